// Package cfhold limits the memory that an instance spends on answers which callers have not read
// yet: in total and per caller. It also decides which answers to cut off if the memory does not
// suffice. It does no I/O and takes the time as an argument.
//
// It is designed for callers that read a kilobyte a second, or nothing, among others. For each of
// them an answer of up to some megabytes stays in the memory of an instance, which is killed at 184
// MB together with the requests of all other callers.
//
// Usage:
//
//	l := cfhold.New(cfhold.BoundsFor(memory), cfhold.Policy{})
//	r := l.Open(caller, cfhold.Answer)
//	verdict := l.Take(r, n)                     // before n bytes are read
//	l.ObserveWrite(r, write, acknowledged, now) // while a write to the caller is in progress
//	for _, c := range l.Cuts(now) {}            // answers to be cut off
//	l.Close(r)
package cfhold

import (
	"cmp"
	"slices"

	cf "currantford"
)

const (
	// heldDivisor divides the memory limit of the process: answers may take that part. Request
	// bodies may take another quarter, and the process itself needs about 40 MB; together they stay
	// below the limit from which the garbage collector works harder.
	heldDivisor = 4
	// callerDivisor divides the total for answers: a caller may always take that part, and more as
	// long as the same amount is left for another caller.
	callerDivisor = 4
	// spareDivisor and smallDivisor divide the total for answers. Answers larger than
	// total/smallDivisor leave total/spareDivisor free: callers that read slowly take more memory
	// the larger their answers are, and answers of the usual size (up to 0.7 MB on the smallest
	// instances) are still served.
	spareDivisor = 4
	smallDivisor = 64
	// uncountedBytes is the size up to which an answer needs no reservation: a refusal by a target,
	// an error or an empty page must always get through, and a connection takes more memory than
	// that.
	uncountedBytes = 4 << 10
	// unboundedDivisor divides the total for answers: answers of possibly unlimited length share
	// that part.
	unboundedDivisor = 2
	// pageReserveDivisor divides the total for answers: that much is reserved in addition for pages
	// of results, so that trainers can read them while answers to plain requests take all of the
	// total.
	pageReserveDivisor = 8

	// StallTimeout is how long a caller may read nothing while data is waiting for it, if at least
	// half of the bound is taken or there is no bound. Progress is visible only when the caller's
	// machine announces a new receive window, after 64 to 128 KB with usual buffers: 20 s
	// correspond to less than 6 KB a second.
	StallTimeout cf.Millis = 20000
	// maxStallTimeout is the same while at most a quarter of the bound is taken; in between the
	// timeout falls linearly. As long as memory is left, waiting costs nothing, and at a kilobyte a
	// second those 128 KB take 128 s.
	maxStallTimeout cf.Millis = 150000
	// StreamWriteTimeout is how long one write of a stream may wait for the caller. At that point
	// the buffers of the connection are full, with more than a whole text, and the target is
	// blocked. Together with CheckInterval the write ends within a second, before the target treats
	// the stream as stalled (1.2 s).
	StreamWriteTimeout cf.Millis = 400
	// SlowWriteAfter is how long a write must have been blocked before the read rate of its caller
	// is assessed, if other answers wait for memory. It is far longer than a round trip (16 ms),
	// and so short that twenty slow answers of 2 MB each per second take no more than the memory
	// for large answers.
	SlowWriteAfter cf.Millis = 300
	// CheckInterval is the interval at which connections with a write in progress are checked,
	// PressureCheckInterval the same while answers wait for memory.
	CheckInterval         cf.Millis = 500
	PressureCheckInterval cf.Millis = 100
	// MaxWait is how long an answer may wait for memory. Targets close connections that are not
	// read for longer. It leaves enough time to identify the slowest callers and cut them off.
	MaxWait cf.Millis = 2000
)

// Kinds of reservations.
const (
	// Answer is a target's answer, or the body of an item.
	Answer Kind = iota
	// Page is a page of results; it may use the reserve for pages.
	Page
	// Stream is an answer that is forwarded as it arrives.
	Stream
)

// Results of Take and TakeUpTo.
const (
	// Granted: the bytes are reserved.
	Granted Verdict = iota
	// Wait: there is not enough memory at present.
	Wait
	// TooLarge: the answer by itself exceeds the bound.
	TooLarge
)

// Reasons for cutting off an answer.
const (
	// Stalled: the caller has read nothing for StallTimeout, or for longer while memory is left.
	Stalled Reason = "stalled"
	// Slowest: others wait for memory, and this answer would occupy it for longer than they can
	// wait.
	Slowest Reason = "slowest"
	// SlowStream: the caller blocks a stream at its target.
	SlowStream Reason = "slow_stream"
)

type (
	// Caller identifies a caller, whose answers are counted together.
	Caller string
	// Kind is the kind of a reservation.
	Kind int
	// Verdict is the result of a request for memory.
	Verdict int
	// Reason is the reason for cutting off an answer.
	Reason string

	// Bounds limit the reserved memory, in bytes. A Total of zero means no limit.
	Bounds struct {
		Total int64
		// PerCaller is what one caller may take in any case. Beyond that, PerCaller must be left
		// for others.
		PerCaller int64
		// SmallAnswer is the size up to which an answer may use the last Spare bytes of Total.
		SmallAnswer, Spare int64
		// Unbounded is the limit for all answers of possibly unlimited length.
		Unbounded int64
		// PageReserve is what pages may take in addition to Total.
		PageReserve int64
	}

	// Policy can disable the limits, to measure their benefit.
	Policy struct {
		Disabled bool
	}

	// Reservation is the memory reserved for one answer, from before it is read until the caller
	// has received it.
	Reservation struct {
		id     uint64
		caller Caller
		kind   Kind
		bytes  int64
		// unbounded is the part of bytes that was taken by TakeUnbounded.
		unbounded int64
		// wanted is the number of bytes that the answer waits for, zero if it does not wait.
		wanted int64
		cut    bool

		// write is the write to the caller in progress, as numbered by its connection. blockedSince
		// is when it was first observed, zero if there is none.
		write        uint64
		blockedSince cf.Millis
		// acked is the number of bytes acknowledged by the caller's machine, ackedAtStart the same
		// as of blockedSince, and ackedAt when acked last changed.
		acked, ackedAtStart int64
		observedAt          cf.Millis
		ackedAt             cf.Millis
	}

	// Cut is an answer to be cut off.
	Cut struct {
		Reservation *Reservation
		Reason      Reason
		Caller      Caller
		Bytes       int64
		// Rate is the rate at which the caller read, in bytes a second, during the time Blocked.
		Rate    int64
		Blocked cf.Millis
	}

	// Ledger accounts for the memory that an instance has reserved for answers. It is not safe for
	// concurrent use.
	Ledger struct {
		bounds    Bounds
		policy    Policy
		total     int64
		unbounded int64
		lastID    uint64
		callers   map[Caller]int64
		// blocked are the reservations with a write in progress, waiting those that wait for
		// memory. Both are empty as long as callers read at a usual rate.
		blocked, waiting map[*Reservation]bool
	}

	// projection is the reserved memory as it will be after some cuts.
	projection struct {
		ledger  *Ledger
		total   int64
		callers map[Caller]int64
	}
)

// BoundsFor returns the bounds for a process with a memory limit in bytes, zero if it has none.
func BoundsFor(memory int64) Bounds {
	total := memory / heldDivisor
	return Bounds{Total: total, PerCaller: total / callerDivisor, SmallAnswer: total / smallDivisor, Spare: total / spareDivisor, Unbounded: total / unboundedDivisor, PageReserve: total / pageReserveDivisor}
}

// New returns a ledger without reservations.
func New(b Bounds, p Policy) *Ledger {
	return &Ledger{bounds: b, policy: p, callers: map[Caller]int64{}, blocked: map[*Reservation]bool{}, waiting: map[*Reservation]bool{}}
}

// Open begins the reservation for an answer.
func (l *Ledger) Open(c Caller, k Kind) *Reservation {
	l.lastID++
	return &Reservation{id: l.lastID, caller: c, kind: k}
}

// Held returns the number of reserved bytes.
func (l *Ledger) Held() int64 { return l.total }

// Refuses reports whether the next request of a caller is to be refused: its unread answers take at
// least PerCaller, little memory is left, and answers of the caller that need at least half of
// PerCaller in total are waiting already. Waiting answers cause the slowest to be cut off; a
// further request would run without getting memory for its answer.
func (l *Ledger) Refuses(c Caller) bool {
	if !l.bounded() || l.callers[c] < l.bounds.PerCaller || l.total < l.bounds.Total-l.bounds.Spare-l.bounds.PerCaller {
		return false
	}
	wanted := int64(0)
	for r := range l.waiting {
		if r.caller == c {
			wanted += r.wanted
		}
	}
	return wanted >= l.bounds.PerCaller/2
}

// Take reserves n more bytes for an answer. If there is not enough memory, the answer counts as
// waiting until it is granted the bytes or closed, or StopWaiting is called.
func (l *Ledger) Take(r *Reservation, n int64) Verdict {
	_, v := l.TakeUpTo(r, n, n)
	return v
}

// TakeUpTo reserves between least and most bytes, as many as are available.
func (l *Ledger) TakeUpTo(r *Reservation, least, most int64) (int64, Verdict) {
	current := projection{l, l.total, l.callers}
	var n int64
	switch {
	case most <= uncountedBytes && r.bytes == 0:
		return most, Granted
	case current.fits(r, most):
		n = most
	case r.bytes+least > l.bounds.Total:
		l.StopWaiting(r)
		return 0, TooLarge
	case !current.fits(r, least):
		r.wanted = least
		l.waiting[r] = true
		return 0, Wait
	default:
		n = max(least, min(most, l.limit(r, least)-l.total, max(l.bounds.PerCaller-l.callers[r.caller], l.limit(r, least)-l.bounds.PerCaller-l.total)))
	}
	l.StopWaiting(r)
	r.bytes += n
	l.total += n
	l.callers[r.caller] += n
	return n, Granted
}

// TakeUnbounded reserves n more bytes for an answer of possibly unlimited length, and returns false
// if that is not possible. Such an answer may become as large as what is left of the part for these
// answers (a dynamic threshold), so that a target that sends endlessly leaves memory for other
// answers.
func (l *Ledger) TakeUnbounded(r *Reservation, n int64) bool {
	current := projection{l, l.total, l.callers}
	if l.bounded() && (r.unbounded+n > l.bounds.Unbounded-l.unbounded || !current.fits(r, n)) {
		return false
	}
	r.bytes += n
	r.unbounded += n
	l.unbounded += n
	l.total += n
	l.callers[r.caller] += n
	return true
}

// Release releases n bytes of a reservation, first those taken by TakeUnbounded.
func (l *Ledger) Release(r *Reservation, n int64) {
	n = min(n, r.bytes) // the first bytes, up to uncountedBytes, may have been granted without being counted
	unbounded := min(n, r.unbounded)
	r.unbounded -= unbounded
	l.unbounded -= unbounded
	r.bytes -= n
	l.total -= n
	if l.callers[r.caller] -= n; l.callers[r.caller] == 0 {
		delete(l.callers, r.caller)
	}
}

// StopWaiting records that an answer no longer waits for memory.
func (l *Ledger) StopWaiting(r *Reservation) {
	r.wanted = 0
	delete(l.waiting, r)
}

// Close releases the whole reservation.
func (l *Ledger) Close(r *Reservation) {
	l.StopWaiting(r)
	delete(l.blocked, r)
	l.Release(r, r.bytes)
}

// ObserveWrite records that a write to an answer's caller is in progress, and how many bytes the
// caller's machine has acknowledged on the connection.
func (l *Ledger) ObserveWrite(r *Reservation, write uint64, acked int64, now cf.Millis) {
	if r.blockedSince == 0 || r.write != write {
		r.write, r.blockedSince, r.ackedAt, r.ackedAtStart, r.acked = write, now, now, acked, acked
	}
	if acked != r.acked {
		r.acked, r.ackedAt = acked, now
	}
	r.observedAt = now
	l.blocked[r] = true
}

// WriteDone records that no write to an answer's caller is in progress.
func (l *Ledger) WriteDone(r *Reservation) {
	r.blockedSince = 0
	delete(l.blocked, r)
}

// Cuts returns the answers to be cut off, each once. Their bytes stay reserved until Close.
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
	cut := func(r *Reservation, reason Reason) {
		r.cut = true
		after.release(r)
		cuts = append(cuts, Cut{Reservation: r, Reason: reason, Caller: r.caller, Bytes: r.bytes, Rate: r.rate(), Blocked: now - r.blockedSince})
	}
	for _, r := range l.byAge(l.blocked) {
		switch {
		case now-r.observedAt > 2*CheckInterval:
			l.WriteDone(r) // its connection has ended
		case r.cut:
			after.release(r) // it is about to be closed
		case r.kind == Stream && now-r.blockedSince >= StreamWriteTimeout:
			cut(r, SlowStream)
		case now-r.ackedAt >= l.stallTimeout():
			cut(r, Stalled)
		case r.blocksWaiters(now):
			slow = append(slow, r)
		}
	}
	if len(l.waiting) == 0 {
		return cuts
	}
	slices.SortStableFunc(slow, l.compareForCut)
	for _, w := range l.byAge(l.waiting) {
		for !after.fits(w, w.wanted) {
			i := slices.IndexFunc(slow, func(r *Reservation) bool { return !r.cut && after.freesRoomFor(w, r) })
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

// compareForCut orders the answers that may be cut off: first those of callers over their part,
// then by read rate, then by how long their write has been blocked.
func (l *Ledger) compareForCut(a, b *Reservation) int {
	over := func(r *Reservation) int {
		if l.callers[r.caller] > l.bounds.PerCaller {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(over(a), over(b)), cmp.Compare(a.rate(), b.rate()), cmp.Compare(a.blockedSince, b.blockedSince))
}

// byAge returns reservations sorted by age.
func (l *Ledger) byAge(reservations map[*Reservation]bool) []*Reservation {
	out := make([]*Reservation, 0, len(reservations))
	for r := range reservations {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b *Reservation) int { return cmp.Compare(a.id, b.id) })
	return out
}

func (l *Ledger) bounded() bool { return !l.policy.Disabled && l.bounds.Total > 0 }

// limit returns the limit on the total if an answer takes n more bytes.
func (l *Ledger) limit(r *Reservation, n int64) int64 {
	switch {
	case r.kind == Page:
		return l.bounds.Total + l.bounds.PageReserve
	case r.bytes+n > l.bounds.SmallAnswer:
		return l.bounds.Total - l.bounds.Spare
	default:
		return l.bounds.Total
	}
}

// blocksWaiters reports whether the caller will not have read the answer within the time that other
// answers can wait.
func (r *Reservation) blocksWaiters(now cf.Millis) bool {
	if now-r.blockedSince < SlowWriteAfter || r.observedAt == r.blockedSince {
		return false
	}
	return r.bytes-(r.acked-r.ackedAtStart) > r.rate()*int64(MaxWait)/1000
}

// rate returns the rate at which the caller reads the answer, in bytes a second.
func (r *Reservation) rate() int64 {
	if r.observedAt <= r.blockedSince {
		return 0
	}
	return (r.acked - r.ackedAtStart) * 1000 / int64(r.observedAt-r.blockedSince)
}

// fits reports whether n more bytes may be reserved for an answer: the total must stay within its
// limit, and either the caller within its part or the same amount must be left for another caller.
// An answer alone may take all memory.
func (p *projection) fits(r *Reservation, n int64) bool {
	limit := p.ledger.limit(r, n)
	switch {
	case !p.ledger.bounded():
		return true
	case p.total == r.bytes:
		return p.total+n <= p.ledger.bounds.Total
	default:
		return p.total+n <= limit && (p.callers[r.caller]+n <= p.ledger.bounds.PerCaller || p.total+n <= limit-p.ledger.bounds.PerCaller)
	}
}

// freesRoomFor reports whether cutting off r frees memory that w, which waits, can use.
func (p *projection) freesRoomFor(w, r *Reservation) bool {
	return r.bytes > 0 && (p.total+w.wanted > p.ledger.limit(w, w.wanted) || r.caller == w.caller)
}

func (p *projection) release(r *Reservation) {
	p.total -= r.bytes
	p.callers[r.caller] -= r.bytes
}
