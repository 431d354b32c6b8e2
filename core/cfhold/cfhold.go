// Package cfhold decides what an instance may hold of answers that callers read slowly:
// how many bytes in all and for each caller, and whose answer is cut off where they are not
// enough. It has no sockets and no clock.
//
// The load it answers: callers that read a kilobyte a second, or nothing, beside others.
// Each holds an answer of up to some megabytes in the memory of an instance that is killed
// at 184 MB, and with it every other caller's request.
//
// Usage:
//
//	l := cfhold.New(cfhold.BoundsFor(memory), cfhold.Policy{})
//	h := l.Open(caller, cfhold.Answer)
//	verdict := l.Take(h, n, now)       // before n bytes are read
//	l.Look(h, write, acknowledged, now) // while a write to the caller is under way
//	for _, c := range l.Cuts(now) {}    // those to be cut off
//	l.Close(h)
package cfhold

import (
	"cmp"
	"slices"

	cf "currantford"
)

const (
	// heldDivisor is the part of the process's memory that answers may take, as a divisor.
	// Bodies of requests may take another quarter, and the process itself needs about 40
	// MB: together they stay under the limit from which the collector works harder.
	heldDivisor = 4
	// callerDivisor is the part of it that one caller may always take, as a divisor. It may
	// take more while as much is left for another caller.
	callerDivisor = 4
	// spareDivisor is what answers of more than a smallPart of it leave free for the others, as
	// a divisor: callers that read slowly take more room the larger their answers are, and
	// those of the usual size (up to 0.7 MB on the smallest instances) go on beside them.
	spareDivisor = 4
	smallDivisor = 64
	// uncountedBytes is up to which size an answer is held whatever else is: a refusal by a
	// target, an error or an empty page must go on, and a connection takes more by itself.
	uncountedBytes = 4 << 10
	// unboundedDivisor is the part of it that answers share which may have no end, as a divisor.
	unboundedDivisor = 2
	// pageReserveDivisor is what is kept beside it for pages of results, so that trainers can
	// read while answers to plain requests take all the room.
	pageReserveDivisor = 8

	// StallTimeout is how long a caller may read nothing while bytes wait for it, where half
	// of the bound is taken or there is none. What a caller reads shows only when its
	// machine announces room again, after 64 to 128 KB of a usual buffer: 20 s are a
	// caller that reads less than 6 KB a second.
	StallTimeout cf.Millis = 20000
	// maxStallTimeout is the same up to a quarter of the bound, and falls from there: while
	// there is room waiting costs nobody anything, and at a kilobyte a second those 128 KB
	// take 128 s.
	maxStallTimeout cf.Millis = 150000
	// StreamWriteTimeout is how long one write of a stream may wait for its caller. The
	// connection's buffers are full then, with more than a whole text, and what waits
	// is held up at the target. With CheckInterval it ends within a second, before the stream
	// counts as stalled at its target (1.2 s).
	StreamWriteTimeout cf.Millis = 400
	// SlowWriteAfter is how long a write must have waited before its caller's pace is judged,
	// where others wait for room: far over a round trip (16 ms), and so short that twenty
	// slow answers of 2 MB a second take no more than the room of large ones.
	SlowWriteAfter cf.Millis = 300
	// CheckInterval is how often connections with a write under way are looked at, PressureCheckInterval
	// the same while answers wait for room.
	CheckInterval         cf.Millis = 500
	PressureCheckInterval cf.Millis = 100
	// MaxWait is how long an answer may wait for room; targets cut off what is unread
	// for longer. It leaves time to tell the slowest, and to cut them.
	MaxWait cf.Millis = 2000
)

// Kinds of holds.
const (
	// Answer is a target's answer, or an item's body.
	Answer Kind = iota
	// Page is a page of results; it may use the reserve.
	Page
	// Stream is an answer that is passed on as it arrives.
	Stream
)

// Verdicts on a take.
const (
	// Granted: the bytes are held now.
	Granted Verdict = iota
	// Wait: there is no room at present.
	Wait
	// TooLarge: it is over the bound by itself.
	TooLarge
)

// Reasons of cuts.
const (
	// Stalled: the caller has read nothing for StallTimeout, or longer where there is room.
	Stalled Reason = "stalled"
	// Slowest: others need the room, and this one would be in the way for longer than
	// they can wait.
	Slowest Reason = "slowest"
	// SlowStream: the caller holds up a stream at its target.
	SlowStream Reason = "slow_stream"
)

type (
	// Caller is whose answers count together.
	Caller string
	// Kind is what is held.
	Kind int
	// Verdict says whether bytes may be held.
	Verdict int
	// Reason says why an answer is cut off.
	Reason string

	// Bounds limit what is held, in bytes. A Total of zero is no bound.
	Bounds struct {
		Total int64
		// PerCaller is what one caller may take where no more than as much is left for
		// others.
		PerCaller int64
		// SmallAnswer is up to which size an answer may take the last Spare of Total.
		SmallAnswer, Spare int64
		// Unbounded is what answers that may have no end take at most.
		Unbounded int64
		// PageReserve is what pages may take beyond Total.
		PageReserve int64
	}

	// Policy turns the decision off, to measure what it brings.
	Policy struct {
		Disabled bool
	}

	// Reservation is one answer, from before it is read until its caller has it.
	Reservation struct {
		id     uint64
		caller Caller
		kind   Kind
		bytes  int64
		// unbounded are those of them that were taken for an answer that may have no end.
		unbounded int64
		// wanted is what waits for room, zero if nothing does.
		wanted int64
		cut    bool

		// write is the write to the caller that is under way, as numbered by its
		// connection; blocked is when it was first seen, zero if none is.
		write        uint64
		blockedSince cf.Millis
		// acked are the bytes that the caller's machine has acknowledged, first as of
		// blocked; moved is when that changed last.
		acked, ackedAtStart int64
		observedAt          cf.Millis
		ackedAt             cf.Millis
	}

	// Cut is an answer that is to be cut off.
	Cut struct {
		Reservation *Reservation
		Reason      Reason
		Caller      Caller
		Bytes       int64
		// Rate is how much its caller read, in bytes a second, in the time Blocked.
		Rate    int64
		Blocked cf.Millis
	}

	// Ledger is what an instance holds. It is not safe for concurrent use.
	Ledger struct {
		bounds    Bounds
		policy    Policy
		total     int64
		unbounded int64
		lastID    uint64
		callers   map[Caller]int64
		// blocked and waiting are those holds of which it is so; both are empty while
		// callers read at a usual pace.
		blocked, waiting map[*Reservation]bool
	}

	// projection is what is held as it will be after some cuts.
	projection struct {
		ledger  *Ledger
		total   int64
		callers map[Caller]int64
	}
)

// BoundsFor returns the bounds of a process with a memory limit in bytes, zero if it has none.
func BoundsFor(memory int64) Bounds {
	total := memory / heldDivisor
	return Bounds{Total: total, PerCaller: total / callerDivisor, SmallAnswer: total / smallDivisor, Spare: total / spareDivisor, Unbounded: total / unboundedDivisor, PageReserve: total / pageReserveDivisor}
}

// New returns a ledger that holds nothing.
func New(b Bounds, p Policy) *Ledger {
	return &Ledger{bounds: b, policy: p, callers: map[Caller]int64{}, blocked: map[*Reservation]bool{}, waiting: map[*Reservation]bool{}}
}

// Open begins an answer.
func (l *Ledger) Open(c Caller, k Kind) *Reservation {
	l.lastID++
	return &Reservation{id: l.lastID, caller: c, kind: k}
}

// Held returns how many bytes are held.
func (l *Ledger) Held() int64 { return l.total }

// Refuses says whether a caller's next request is turned away: what it has not read yet is
// over its part, others need the room, and as much as half of its part waits already. What
// waits has the slowest cut; a request beyond it would run for an answer that finds no room.
func (l *Ledger) Refuses(c Caller) bool {
	if !l.bounded() || l.callers[c] < l.bounds.PerCaller || l.total < l.bounds.Total-l.bounds.Spare-l.bounds.PerCaller {
		return false
	}
	wants := int64(0)
	for h := range l.waiting {
		if h.caller == c {
			wants += h.wanted
		}
	}
	return wants >= l.bounds.PerCaller/2
}

// Take takes n more bytes for an answer. One that must wait counts as waiting until it is
// granted or closed.
func (l *Ledger) Take(h *Reservation, n int64) Verdict {
	_, v := l.TakeUpTo(h, n, n)
	return v
}

// TakeUpTo takes between least and most bytes, as many as there is room for.
func (l *Ledger) TakeUpTo(h *Reservation, least, most int64) (int64, Verdict) {
	now := projection{l, l.total, l.callers}
	var n int64
	switch {
	case most <= uncountedBytes && h.bytes == 0:
		return most, Granted
	case now.fits(h, most):
		n = most
	case h.bytes+least > l.bounds.Total:
		l.StopWaiting(h)
		return 0, TooLarge
	case !now.fits(h, least):
		h.wanted = least
		l.waiting[h] = true
		return 0, Wait
	default:
		n = max(least, min(most, l.limit(h, least)-l.total, max(l.bounds.PerCaller-l.callers[h.caller], l.limit(h, least)-l.bounds.PerCaller-l.total)))
	}
	l.StopWaiting(h)
	h.bytes += n
	l.total += n
	l.callers[h.caller] += n
	return n, Granted
}

// TakeUnbounded takes n more bytes for an answer that may have no end; false if they are too
// many. It may become as large as what is left of its part of the room (a dynamic threshold),
// so that a target that sends without end leaves room for answers of others.
func (l *Ledger) TakeUnbounded(h *Reservation, n int64) bool {
	now := projection{l, l.total, l.callers}
	if l.bounded() && (h.unbounded+n > l.bounds.Unbounded-l.unbounded || !now.fits(h, n)) {
		return false
	}
	h.bytes += n
	h.unbounded += n
	l.unbounded += n
	l.total += n
	l.callers[h.caller] += n
	return true
}

// Release gives n bytes of an answer back, those first that may have had no end.
func (l *Ledger) Release(h *Reservation, n int64) {
	n = min(n, h.bytes) // the first bytes of an answer are not counted
	unsure := min(n, h.unbounded)
	h.unbounded -= unsure
	l.unbounded -= unsure
	h.bytes -= n
	l.total -= n
	if l.callers[h.caller] -= n; l.callers[h.caller] == 0 {
		delete(l.callers, h.caller)
	}
}

// StopWaiting notes that an answer waits for room no longer.
func (l *Ledger) StopWaiting(h *Reservation) {
	h.wanted = 0
	delete(l.waiting, h)
}

// Close gives an answer's bytes back.
func (l *Ledger) Close(h *Reservation) {
	l.StopWaiting(h)
	delete(l.blocked, h)
	l.Release(h, h.bytes)
}

// ObserveWrite notes that a write to an answer's caller is under way, and how many bytes the caller's
// machine has acknowledged on the connection.
func (l *Ledger) ObserveWrite(h *Reservation, write uint64, acked int64, now cf.Millis) {
	if h.blockedSince == 0 || h.write != write {
		h.write, h.blockedSince, h.ackedAt, h.ackedAtStart, h.acked = write, now, now, acked, acked
	}
	if acked != h.acked {
		h.acked, h.ackedAt = acked, now
	}
	h.observedAt = now
	l.blocked[h] = true
}

// WriteDone notes that no write to an answer's caller is under way.
func (l *Ledger) WriteDone(h *Reservation) {
	h.blockedSince = 0
	delete(l.blocked, h)
}

// Cuts returns the answers to be cut off, each once. Their bytes count until they are closed.
func (l *Ledger) Cuts(now cf.Millis) []Cut {
	if l.policy.Disabled || len(l.blocked) == 0 {
		return nil
	}
	var cuts []Cut
	var slow []*Reservation
	after := projection{l, l.total, map[Caller]int64{}}
	for c, n := range l.callers {
		after.callers[c] = n
	}
	cut := func(h *Reservation, r Reason) {
		h.cut = true
		after.release(h)
		cuts = append(cuts, Cut{Reservation: h, Reason: r, Caller: h.caller, Bytes: h.bytes, Rate: h.rate(), Blocked: now - h.blockedSince})
	}
	for _, h := range l.byAge(l.blocked) {
		switch {
		case now-h.observedAt > 2*CheckInterval:
			l.WriteDone(h) // its connection has ended
		case h.cut:
			after.release(h) // it ends at any moment
		case h.kind == Stream && now-h.blockedSince >= StreamWriteTimeout:
			cut(h, SlowStream)
		case now-h.ackedAt >= l.stallTimeout():
			cut(h, Stalled)
		case h.blocksWaiters(now):
			slow = append(slow, h)
		}
	}
	if len(l.waiting) == 0 {
		return cuts
	}
	slices.SortStableFunc(slow, l.compareForCut)
	for _, w := range l.byAge(l.waiting) {
		for !after.fits(w, w.wanted) {
			i := slices.IndexFunc(slow, func(h *Reservation) bool { return !h.cut && after.freesRoomFor(w, h) })
			if i < 0 {
				break
			}
			cut(slow[i], Slowest)
		}
		after.total += w.wanted
		after.callers[w.caller] += w.wanted
	}
	return cuts
}

// stallTimeout returns how long a caller may read nothing.
func (l *Ledger) stallTimeout() cf.Millis {
	quarter := l.bounds.Total / 4
	if l.total >= 2*quarter {
		return StallTimeout
	}
	return StallTimeout + (maxStallTimeout-StallTimeout)*cf.Millis(min(quarter, 2*quarter-l.total))/cf.Millis(quarter)
}

// compareForCut orders those that may be cut: callers over their part first, then by pace, and
// of those that show none yet the one that has shown none for longest.
func (l *Ledger) compareForCut(a, b *Reservation) int {
	over := func(h *Reservation) int {
		if l.callers[h.caller] > l.bounds.PerCaller {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(over(a), over(b)), cmp.Compare(a.rate(), b.rate()), cmp.Compare(a.blockedSince, b.blockedSince))
}

// byAge returns holds by age.
func (l *Ledger) byAge(holds map[*Reservation]bool) []*Reservation {
	out := make([]*Reservation, 0, len(holds))
	for h := range holds {
		out = append(out, h)
	}
	slices.SortFunc(out, func(a, b *Reservation) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (l *Ledger) bounded() bool { return !l.policy.Disabled && l.bounds.Total > 0 }

// limit returns what may be held in all with n more bytes of an answer.
func (l *Ledger) limit(h *Reservation, n int64) int64 {
	switch {
	case h.kind == Page:
		return l.bounds.Total + l.bounds.PageReserve
	case h.bytes+n > l.bounds.SmallAnswer:
		return l.bounds.Total - l.bounds.Spare
	default:
		return l.bounds.Total
	}
}

// blocksWaiters says whether an answer's caller will not have it within the time for which others
// can wait.
func (h *Reservation) blocksWaiters(now cf.Millis) bool {
	if now-h.blockedSince < SlowWriteAfter || h.observedAt == h.blockedSince {
		return false
	}
	return h.bytes-(h.acked-h.ackedAtStart) > h.rate()*int64(MaxWait)/1000
}

// rate returns the pace of an answer's caller in bytes a second.
func (h *Reservation) rate() int64 {
	if h.observedAt <= h.blockedSince {
		return 0
	}
	return (h.acked - h.ackedAtStart) * 1000 / int64(h.observedAt-h.blockedSince)
}

// fits says whether n more bytes may be taken for an answer: by what is held in all, and by
// the part of its caller, or as much is left for another one. One that is alone may take all.
func (p *projection) fits(h *Reservation, n int64) bool {
	limit := p.ledger.limit(h, n)
	switch {
	case !p.ledger.bounded():
		return true
	case p.total == h.bytes:
		return p.total+n <= p.ledger.bounds.Total
	default:
		return p.total+n <= limit && (p.callers[h.caller]+n <= p.ledger.bounds.PerCaller || p.total+n <= limit-p.ledger.bounds.PerCaller)
	}
}

// freesRoomFor says whether a cut brings an answer that waits nearer to its room.
func (p *projection) freesRoomFor(w, h *Reservation) bool {
	return h.bytes > 0 && (p.total+w.wanted > p.ledger.limit(w, w.wanted) || h.caller == w.caller)
}

func (p *projection) release(h *Reservation) {
	p.total -= h.bytes
	p.callers[h.caller] -= h.bytes
}
