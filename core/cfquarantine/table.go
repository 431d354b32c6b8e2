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
	// maxCrashes is how many targets may crash under a request before it is held.
	// One crash in a row is bad luck, two may be; a service has three targets and
	// more, and should not lose them all.
	maxCrashes = 3
	// initialHold is how long a request is held. Callers come again for seconds and
	// minutes; each further crash makes it four times as long, up to holdMost, so
	// that a request which never gets well costs a target a day in the end.
	initialHold cf.Millis = 10 * 60 * 1000
	maxHold     cf.Millis = 24 * 60 * 60 * 1000
	// suspectTTL is how long strikes are remembered that do not hold a request.
	suspectTTL cf.Millis = 10 * 60 * 1000
	// crashWindow is the span in which crashes count as one for a request that was run to
	// its end here before: a failure domain is lost at once, with all that it ran.
	crashWindow cf.Millis = 1000
	// replacementWindow is how soon after its loss a target must be gone for it to have
	// been a crash: an entry lapses after three heartbeats.
	replacementWindow cf.Millis = 10000
	// restartDetection is how long after its first answer since a loss a target counts as the
	// same start that it was: one that has started again is listed so within a
	// heartbeat or two.
	restartDetection cf.Millis = 4000
	// attributionDelay is how long after a crash the losses of all its requests are noted.
	attributionDelay cf.Millis = 400
	// trialJitter spreads the ends of a request's time over the instances, as a part of
	// it: one of them tries, and the others hear what came of it.
	trialJitter = 0.25
	// maxSuspects and strikesMost bound the table, at about a kilobyte a suspect.
	maxSuspects = 1024
	maxStrikes  = 8
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
		// synced: what other instances hold has been taken.
		synced   bool
		suspects map[Digest]*suspect
		// inFlight are the sends without an end, by content and target.
		inFlight map[Digest]map[Incarnation]sendCount
		// strikesAt counts the strikes at each target that are not void.
		strikesAt map[Incarnation]int
		served    servedCache
		checksums Checksums
		changed   chan struct{}
	}

	// sendCount are those of a content to a target that have no end yet.
	sendCount struct {
		n         int
		lastStart cf.Millis // when the latest of them began
	}

	// suspect is a content with strikes against it.
	suspect struct {
		strikes []strike
		// lastCompleted is when a request of it was last run to its end here, for any caller.
		lastCompleted cf.Millis
		// checksums is its part of the table's sums.
		checksums Checksums
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
	t.synced = true
	return t
}

// NewUnsynced returns the table of an instance that has just started. It lets nothing pass
// until Inform: any request may be one that the others hold.
func NewUnsynced(self cf.EntryID) *Table {
	return &Table{
		self: self, suspects: map[Digest]*suspect{}, inFlight: map[Digest]map[Incarnation]sendCount{}, strikesAt: map[Incarnation]int{}, changed: make(chan struct{}),
	}
}

// MarkSynced notes that what other instances hold has been taken; false if it was before.
func (t *Table) MarkSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.synced
	t.synced = true
	return first
}

// Synced says whether what other instances hold has been taken.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
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
	return t.evaluate(k, now)
}

// Admit judges a request that is about to be sent to a target. One that passes counts as
// under way there until Answered, Lost or Dropped.
func (t *Table) Admit(k Key, target Incarnation, now cf.Millis) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.evaluate(k, now)
	if v.Pass && t.meetsSuspect(k, target) {
		v = Verdict{OtherTarget: true}
	}
	if v.Pass {
		t.startSend(k, target, now)
	}
	return v
}

// startSend counts a send as under way. t.mu is held.
func (t *Table) startSend(k Key, target Incarnation, now cf.Millis) {
	byTarget := t.inFlight[k.Content]
	if byTarget == nil {
		byTarget = map[Incarnation]sendCount{}
		t.inFlight[k.Content] = byTarget
	}
	byTarget[target] = sendCount{byTarget[target].n + 1, now}
}

// evaluate is Judge with t.mu held. As long as it is not known whether a suspect crashes
// targets, no more of it are under way than may crash one each.
func (t *Table) evaluate(k Key, now cf.Millis) Verdict {
	if !t.synced {
		return Verdict{Unsynced: true}
	}
	s := t.suspects[k.Content]
	if s == nil {
		return Verdict{Pass: true}
	}
	served := t.served.contains(k, now) || s.servedToCaller(k.Caller)
	confirmed, last := s.countCrashes(k.Caller, served, true)
	crashes, _ := s.countCrashes(k.Caller, served, false)
	heldUntil := last + t.jitteredHold(k.Content, confirmed)
	inFlight := 0
	for _, sent := range t.inFlight[k.Content] {
		inFlight += sent.n
	}
	switch {
	case confirmed >= maxCrashes && now < heldUntil:
		return Verdict{RetryAt: heldUntil, Strikes: s.strikesAgainst(k.Caller, now)}
	case confirmed < maxCrashes && crashes >= maxCrashes:
		return Verdict{Wait: true} // for the checks of the targets
	case crashes >= maxCrashes: // its time is over: one tries
		return Verdict{Pass: inFlight == 0, Wait: inFlight > 0}
	case crashes == 0 || served || inFlight < maxCrashes-crashes:
		return Verdict{Pass: true}
	default:
		return Verdict{Wait: true}
	}
}

// meetsSuspect says whether a strong suspect would meet another one at a target. Two that have
// lost the same targets can't be told apart by a third that they lose together: the items
// of a step that fill each engine beside the one that crashes it would be held with it.
func (t *Table) meetsSuspect(k Key, target Incarnation) bool {
	if !t.oneCrashFromHold(k.Content) {
		return false
	}
	for other := range t.suspects {
		if other != k.Content && t.inFlight[other][target].n > 0 && t.oneCrashFromHold(other) {
			return true
		}
	}
	return false
}

// oneCrashFromHold says whether one more crash would hold a content. t.mu is held.
func (t *Table) oneCrashFromHold(d Digest) bool {
	s := t.suspects[d]
	return s != nil && s.activeStrikes() >= maxCrashes-1
}

// holdDuration returns how long a request is held after so many crashes.
func holdDuration(crashes int) cf.Millis {
	hold := initialHold
	for ; crashes > maxCrashes && hold < maxHold; crashes-- {
		hold *= 4
	}
	return min(hold, maxHold)
}

// jitteredHold is holdFor at this instance.
func (t *Table) jitteredHold(d Digest, crashes int) cf.Millis {
	h := fnv.New32a()
	_, _ = h.Write(append(d[:], t.self...)) // a hash takes everything
	fraction := float64(h.Sum32()) / (1 << 32)
	hold := holdDuration(crashes)
	return hold + cf.Millis(float64(hold)*trialJitter*fraction)
}

// countCrashes counts the crashes under a caller's requests, and says when the last was: those
// that are proven, or those in doubt as well. Those of one moment count as one if the
// request was served before.
func (s *suspect) countCrashes(c CallerDigest, served, confirmedOnly bool) (n int, last cf.Millis) {
	severalCallers := s.countCallers() > 1
	windowStart := cf.Millis(0) // of the moment
	for i := range s.strikes {  // in the order of their times
		st := &s.strikes[i]
		if !st.countsAgainst(c) || st.Caller != c && !severalCallers || confirmedOnly && st.state != lossConfirmed {
			continue
		}
		if !served || n == 0 || st.pos-windowStart > crashWindow {
			n++
			windowStart = st.pos
		}
		last = st.pos
	}
	return n, last
}

// servedToCaller says whether a caller's request had been run to its end at an instance that knows of
// its losses: one that has just started has served nothing itself.
func (s *suspect) servedToCaller(c CallerDigest) bool {
	return slices.ContainsFunc(s.strikes, func(st strike) bool { return st.Caller == c && st.Served })
}

// countCallers counts the callers whose requests have crashed targets, as far as these strikes
// count for all.
func (s *suspect) countCallers() int {
	seen := map[CallerDigest]bool{}
	for i := range s.strikes {
		if st := &s.strikes[i]; st.Scope == AllCallers && st.state < targetReached {
			seen[st.Caller] = true
		}
	}
	return len(seen)
}

// strikesAgainst returns the strikes that count against a caller's requests.
func (s *suspect) strikesAgainst(c CallerDigest, now cf.Millis) []Strike {
	var out []Strike
	for i := range s.strikes {
		if s.strikes[i].countsAgainst(c) {
			out = append(out, s.strikes[i].export(now))
		}
	}
	return out
}

// Dropped takes the end of a send that tells nothing: it was not run, or given up here.
func (t *Table) Dropped(k Key, target Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endSend(k, target)
}

// endSend takes a send from those under way. t.mu is held.
func (t *Table) endSend(k Key, target Incarnation) {
	if byTarget := t.inFlight[k.Content]; byTarget != nil {
		if left := byTarget[target]; left.n > 1 {
			left.n--
			byTarget[target] = left
		} else {
			delete(byTarget, target)
		}
		if len(byTarget) == 0 {
			delete(t.inFlight, k.Content)
		}
	}
	if t.suspects[k.Content] != nil {
		t.notify()
	}
}
