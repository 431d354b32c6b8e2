// Package cfquarantine decides which requests may still be sent to targets: one under
// which targets have crashed again and again is held. It makes no calls and has no clock
// of its own.
//
// The load it answers: a request that crashes each target that begins to run it comes
// again and again, under new ids, at any instance; each round leaves a service without
// targets for seconds. Beside it stand innocent requests, which lose their targets too:
// those that ran beside it, those whose target was killed, replaced or cut off, and equal
// requests of many callers, of which a crash of a whole failure domain meets several at
// once.
//
// What counts. A strike is one start of a target that was sent a request, gave no answer
// and was found gone right after by a new connection. Three of them hold the request.
// What tells the innocent from the guilty is that they are run to their end: that voids
// the strikes of the caller's request, and leaves those of other callers to count for
// these alone. A target that answers once more, and is not listed as started again, voids
// the strikes that it gave (its link was cut). A request that is held for the same crashes explains them, and voids what
// they gave to others.
//
// Whose. Targets see no caller, so the same content of two callers should fare alike; but
// as long as one caller's requests alone have crashed targets, another's may still run.
//
// What is told apart. A connection that a target closes while it lives, an answer that is
// lost, a refusal, a drain: none is a strike, as the target is reached again. A link that
// is cut: a strike until the target answers anyone. Begun or queued: a sender can't tell;
// both count, and the queued ones are run to their end elsewhere.
//
// Owed. Work that was handed in for later, as the items of batches and their reward calls are,
// is not held. It is tried again after a pause of a few seconds, with few others or none at
// its target, until it is done or its batch is over.
//
// At a start. An instance that has just started knows nothing, and any request may be one
// that the others hold: it sends none before it has taken what they hold.
//
// Usage:
//
//	table := cfquarantine.NewUnsynced(self)
//	table.Merge(heldByOthers, now)
//	table.Inform()
//	v := table.Admit(key, target, now)
//	v = table.AdmitDeferred(key, target, owed, now) // for items and reward calls
//	if v.Pass { ... send; then one of: }
//	news := table.Answered(key, target, sentAt, now)
//	table.Lost(key, target, now); news = table.Checked(target, checkedAt, loss)
//	table.Dropped(key, target)
//	fresh := table.Merge(newsOfOthers, now)
package cfquarantine

import (
	"hash/fnv"
	"slices"
	"sync"

	cf "currantford"
)

const (
	// crashesMost is how many targets may crash under a request before it is held.
	// One crash in a row is bad luck, two may be; a service has three targets and
	// more, and should not lose them all.
	crashesMost = 3
	// holdFirst is how long a request is held. Callers come again for seconds and
	// minutes; each further crash makes it four times as long, up to holdMost, so
	// that a request which never gets well costs a target a day in the end.
	holdFirst cf.Millis = 10 * 60 * 1000
	holdMost  cf.Millis = 24 * 60 * 60 * 1000
	// suspectFor is how long strikes are remembered that do not hold a request.
	suspectFor cf.Millis = 10 * 60 * 1000
	// moment is the span in which crashes count as one for a request that was run to
	// its end here before: a failure domain is lost at once, with all that it ran.
	moment cf.Millis = 1000
	// replacedWithin is how soon after its loss a target must be gone for it to have
	// been a crash: an entry lapses after three heartbeats.
	replacedWithin cf.Millis = 10000
	// heardFor is how long after its first answer since a loss a target counts as the
	// same start that it was: one that has started again is listed so within a
	// heartbeat or two.
	heardFor cf.Millis = 4000
	// explainAfter is how long after a crash the losses of all its requests are noted.
	explainAfter cf.Millis = 400
	// trialSpread spreads the ends of a request's time over the instances, as a part of
	// it: one of them tries, and the others hear what came of it.
	trialSpread = 0.25
	// suspectsMost and strikesMost bound the table, at about a kilobyte a suspect.
	suspectsMost = 1024
	strikesMost  = 8
)

type (
	// Verdict is what may be done with a request now.
	Verdict struct {
		// Pass: it may be sent, and counts as under way.
		Pass bool
		// Wait: as many as may be are under way; their ends decide.
		Wait bool
		// OtherTarget: not at this target, where another suspect runs.
		OtherTarget bool
		// Unsynced: it is not known yet what other instances hold.
		Unsynced bool
		// RetryAt is when a held request may come back, or owed work is tried again; zero if
		// neither holds.
		RetryAt cf.Millis
		// MaxRuns is how many runs the target of owed work may have with it, zero for no bound.
		MaxRuns int
		// Strikes are the evidence against it.
		Strikes []Strike
	}

	// Table holds the evidence. It is safe for concurrent use.
	Table struct {
		self cf.EntryID
		mu   sync.Mutex
		// informed: what other instances hold has been taken.
		informed bool
		suspects map[Digest]*suspect
		// underWay are the sends without an end, by content and target.
		underWay map[Digest]map[Incarnation]sends
		// struck counts the strikes at each target that are not void.
		struck  map[Incarnation]int
		good    good
		sums    Checksums
		changed chan struct{}
	}

	// sends are those of a content to a target that have no end yet.
	sends struct {
		n      int
		latest cf.Millis // when the latest of them began
	}

	// suspect is a content with strikes against it.
	suspect struct {
		strikes []strike
		// answered is when a request of it was last run to its end here, for any caller.
		answered cf.Millis
		// part is its part of the table's sums.
		part Checksums
	}

	// Checksums identify what a table holds: tables with equal sums hold the same.
	Checksums struct {
		Held uint64 `cbor:"held,omitempty"` // of the strikes against what is held
		All  uint64 `cbor:"all,omitempty"`  // of all that is shared
	}
)

// New returns an instance's table, without evidence.
func New(self cf.EntryID) *Table {
	t := NewUnsynced(self)
	t.informed = true
	return t
}

// NewUnsynced returns the table of an instance that has just started. It lets nothing pass
// until Inform: any request may be one that the others hold.
func NewUnsynced(self cf.EntryID) *Table {
	return &Table{
		self: self, suspects: map[Digest]*suspect{}, underWay: map[Digest]map[Incarnation]sends{}, struck: map[Incarnation]int{}, changed: make(chan struct{}),
	}
}

// MarkSynced notes that what other instances hold has been taken; false if it was before.
func (t *Table) MarkSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.informed
	t.informed = true
	return first
}

// Synced says whether what other instances hold has been taken.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.informed
}

// Changed returns a channel that is closed at the next change of the evidence, or end of
// a suspect's send.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Evaluate says whether a request may be sent to some target.
func (t *Table) Evaluate(k Key, now cf.Millis) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.judge(k, now)
}

// Admit judges a request that is about to be sent to a target. One that passes counts as
// under way there until Answered, Lost or Dropped.
func (t *Table) Admit(k Key, target Incarnation, now cf.Millis) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.judge(k, now)
	if v.Pass && t.meets(k, target) {
		v = Verdict{OtherTarget: true}
	}
	if v.Pass {
		t.begin(k, target, now)
	}
	return v
}

// begin counts a send as under way. t.mu is held.
func (t *Table) begin(k Key, target Incarnation, now cf.Millis) {
	at := t.underWay[k.Content]
	if at == nil {
		at = map[Incarnation]sends{}
		t.underWay[k.Content] = at
	}
	at[target] = sends{at[target].n + 1, now}
}

// judge is Judge with t.mu held. As long as it is not known whether a suspect crashes
// targets, no more of it are under way than may crash one each.
func (t *Table) judge(k Key, now cf.Millis) Verdict {
	if !t.informed {
		return Verdict{Unsynced: true}
	}
	s := t.suspects[k.Content]
	if s == nil {
		return Verdict{Pass: true}
	}
	served := t.good.knows(k, now) || s.servedFor(k.Caller)
	proofs, last := s.crashes(k.Caller, served, true)
	crashes, _ := s.crashes(k.Caller, served, false)
	until := last + t.holdHere(k.Content, proofs)
	under := 0
	for _, at := range t.underWay[k.Content] {
		under += at.n
	}
	switch {
	case proofs >= crashesMost && now < until:
		return Verdict{RetryAt: until, Strikes: s.against(k.Caller, now)}
	case proofs < crashesMost && crashes >= crashesMost:
		return Verdict{Wait: true} // for the checks of the targets
	case crashes >= crashesMost: // its time is over: one tries
		return Verdict{Pass: under == 0, Wait: under > 0}
	case crashes == 0 || served || under < crashesMost-crashes:
		return Verdict{Pass: true}
	default:
		return Verdict{Wait: true}
	}
}

// meets says whether a strong suspect would meet another one at a target. Two that have
// lost the same targets can't be told apart by a third that they lose together: the items
// of a step that fill each engine beside the one that crashes it would be held with it.
func (t *Table) meets(k Key, target Incarnation) bool {
	if !t.strong(k.Content) {
		return false
	}
	for other := range t.suspects {
		if other != k.Content && t.underWay[other][target].n > 0 && t.strong(other) {
			return true
		}
	}
	return false
}

// strong says whether one more crash would hold a content. t.mu is held.
func (t *Table) strong(d Digest) bool {
	s := t.suspects[d]
	return s != nil && s.standing() >= crashesMost-1
}

// holdFor returns how long a request is held after so many crashes.
func holdFor(crashes int) cf.Millis {
	span := holdFirst
	for ; crashes > crashesMost && span < holdMost; crashes-- {
		span *= 4
	}
	return min(span, holdMost)
}

// holdHere is holdFor at this instance.
func (t *Table) holdHere(d Digest, crashes int) cf.Millis {
	h := fnv.New32a()
	_, _ = h.Write(append(d[:], t.self...)) // a hash takes everything
	draw := float64(h.Sum32()) / (1 << 32)
	span := holdFor(crashes)
	return span + cf.Millis(float64(span)*trialSpread*draw)
}

// crashes counts the crashes under a caller's requests, and says when the last was: those
// that are proven, or those in doubt as well. Those of one moment count as one if the
// request was served before.
func (s *suspect) crashes(c CallerDigest, served, provenOnly bool) (n int, last cf.Millis) {
	others := s.callers() > 1
	began := cf.Millis(0)      // of the moment
	for i := range s.strikes { // in the order of their times
		st := &s.strikes[i]
		if !st.counts(c) || st.Caller != c && !others || provenOnly && st.doubt != proven {
			continue
		}
		if !served || n == 0 || st.at-began > moment {
			n++
			began = st.at
		}
		last = st.at
	}
	return n, last
}

// servedFor says whether a caller's request had been run to its end at an instance that knows of
// its losses: one that has just started has served nothing itself.
func (s *suspect) servedFor(c CallerDigest) bool {
	return slices.ContainsFunc(s.strikes, func(st strike) bool { return st.Caller == c && st.Served })
}

// callers counts the callers whose requests have crashed targets, as far as these strikes
// count for all.
func (s *suspect) callers() int {
	seen := map[CallerDigest]bool{}
	for i := range s.strikes {
		if st := &s.strikes[i]; st.Scope == AllCallers && st.doubt < reached {
			seen[st.Caller] = true
		}
	}
	return len(seen)
}

// against returns the strikes that count against a caller's requests.
func (s *suspect) against(c CallerDigest, now cf.Millis) []Strike {
	var out []Strike
	for i := range s.strikes {
		if s.strikes[i].counts(c) {
			out = append(out, s.strikes[i].export(now))
		}
	}
	return out
}

// Dropped takes the end of a send that tells nothing: it was not run, or given up here.
func (t *Table) Dropped(k Key, target Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ended(k, target)
}

// ended takes a send from those under way. t.mu is held.
func (t *Table) ended(k Key, target Incarnation) {
	if at := t.underWay[k.Content]; at != nil {
		if left := at[target]; left.n > 1 {
			left.n--
			at[target] = left
		} else {
			delete(at, target)
		}
		if len(at) == 0 {
			delete(t.underWay, k.Content)
		}
	}
	if t.suspects[k.Content] != nil {
		t.notify()
	}
}
