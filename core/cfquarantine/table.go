// Package cfquarantine decides which requests may still be sent to targets. A request under which
// several targets have crashed is held: it is refused until a retry time. The package makes no
// calls and has no clock of its own.
//
// The failure it guards against is a request that crashes every target that begins to run it. Such
// a request is submitted again and again, under new ids and at any instance, and each round leaves
// a service without targets for seconds. Innocent requests lose their targets at the same time:
// requests that ran beside the faulty one; requests whose target was killed, replaced or cut off;
// and equal requests of many callers, several of which are hit at once when a whole failure domain
// crashes.
//
// Strikes. A strike records that one incarnation (one start) of a target was sent a request, gave
// no answer and was found gone right after by a new connection. Three strikes hold the request.
// Innocent requests are told apart because they complete: a completion voids the strikes of the
// same caller's request, and makes the strikes of other callers with the same content count for
// those callers alone. A target that answers again, and is not listed as restarted, voids the
// strikes recorded at it, because only its link was cut. If a held request accounts for the same
// crashes, the strikes that these crashes added to other requests are voided.
//
// Callers. Targets do not see the caller, so the same content of two callers should be treated
// alike. However, as long as only one caller's requests have crashed targets, another caller's
// request may still run.
//
// Losses that are not strikes. After a connection that a live target closes, a lost answer, a
// refusal or a drain, the target can be reached again, so none of these is a strike. A cut link is
// a strike until the target answers any request. A sender can't tell whether a lost request was
// running or queued at the target; both count, and queued requests complete elsewhere.
//
// Deferred work. Work that was submitted for later execution, such as the items of batches and
// their reward calls, is not held. It is retried after a pause of a few seconds, on a target that
// runs few other requests or none, until it completes or its batch ends.
//
// Startup. An instance that has just started has no evidence, and any request may be one that other
// instances hold. It sends no request before it has merged the strikes of the requests held
// elsewhere.
//
// Usage:
//
//	table := cfquarantine.NewUnsynced(self)
//	table.Merge(heldByOthers, now)
//	table.MarkSynced()
//	v := table.Admit(key, target, now)
//	v = table.AdmitDeferred(key, target, work, now) // for items and reward calls
//	if v.Pass { ... send; then one of: }
//	updates := table.Answered(key, target, sentAt, now)
//	table.Lost(key, target, aliveAfterSend, now); updates = table.Checked(target, checkedAt, loss, now)
//	table.Dropped(key, target)
//	relay := table.Merge(updatesOfOthers, now)
package cfquarantine

import (
	"hash/fnv"
	"slices"
	"sync"

	cf "currantford"
)

const (
	// maxCrashes is the number of targets that may crash under a request before it is held. One
	// crash, or even two, can be a coincidence; a service has three targets or more and should not
	// lose all of them.
	maxCrashes = 3
	// initialHold is how long a request is held first. Callers retry for seconds and minutes. Each
	// further crash multiplies the time by four, up to maxHold, so that a request which never
	// completes costs one target a day in the end.
	initialHold cf.Millis = 10 * 60 * 1000
	maxHold     cf.Millis = 24 * 60 * 60 * 1000
	// suspectTTL is how long strikes are kept that do not hold a request.
	suspectTTL cf.Millis = 10 * 60 * 1000
	// crashWindow is the period in which crashes count as one for a request that was served before:
	// a failure domain is lost at once, with everything that runs in it.
	crashWindow cf.Millis = 1000
	// replacementWindow is how soon after a loss its target must be listed as gone for the loss to
	// count as a crash: a target's entry in the instance list lapses after three missed heartbeats.
	replacementWindow cf.Millis = 10000
	// restartDetection is how long after the first answer that follows a loss the target is taken
	// to be the same incarnation: a restarted target is listed as such within one or two
	// heartbeats.
	restartDetection cf.Millis = 4000
	// attributionDelay is how long after a crash all requests that were lost in it have been
	// recorded.
	attributionDelay cf.Millis = 400
	// trialJitter spreads the end of a hold over the instances, as a fraction of the hold: one
	// instance sends the request on trial, and the others receive the result.
	trialJitter = 0.25
	// maxSuspects and maxStrikes (per suspect) bound the table, which takes about a kilobyte per
	// suspect.
	maxSuspects = 1024
	maxStrikes  = 8
)

type (
	// Verdict tells what may be done with a request now.
	Verdict struct {
		// Pass: the request may be sent, and counts as in flight.
		Pass bool
		// Wait: as many sends as allowed are in flight or being checked; the request must wait for
		// their results.
		Wait bool
		// OtherTarget: the request may not be sent to this target, where another suspect runs.
		OtherTarget bool
		// Unsynced: the strikes of requests held by other instances are not known yet.
		Unsynced bool
		// RetryAt is when a held request may be sent again, or deferred work is retried; zero if
		// the request is neither held nor paused.
		RetryAt cf.Millis
		// MaxRuns is the most runs that the target may have, including this one, if the work is
		// deferred; zero for no limit.
		MaxRuns int
		// Strikes are the evidence against the request.
		Strikes []Strike
	}

	// Table holds the strikes against requests. It is safe for concurrent use.
	Table struct {
		self cf.EntryID
		mu   sync.Mutex
		// synced: the strikes of requests held by other instances have been merged.
		synced   bool
		suspects map[Digest]*suspect
		// inFlight holds the unfinished sends, by content and target.
		inFlight map[Digest]map[Incarnation]sendStats
		// strikesAt counts the strikes at each target that are not void.
		strikesAt map[Incarnation]int
		served    servedCache
		checksums Checksums
		changed   chan struct{}
	}

	// sendStats describes the unfinished sends of one content to one target.
	sendStats struct {
		n         int
		lastStart cf.Millis // start time of the latest send
	}

	// suspect is a content with strikes against it.
	suspect struct {
		strikes []strike
		// lastCompleted is when a request with this content last completed here, for any caller.
		lastCompleted cf.Millis
		// checksums is the suspect's contribution to the table's checksums.
		checksums Checksums
	}

	// Checksums identify the strikes of a table: tables with equal checksums hold the same strikes.
	Checksums struct {
		Held uint64 `cbor:"held,omitempty"` // over the strikes of held contents
		All  uint64 `cbor:"all,omitempty"`  // over all strikes that are shared with other instances
	}
)

// New returns an instance's table, without strikes.
func New(self cf.EntryID) *Table {
	t := NewUnsynced(self)
	t.synced = true
	return t
}

// NewUnsynced returns the table of an instance that has just started. No request passes until
// MarkSynced is called, because any request may be one that other instances hold.
func NewUnsynced(self cf.EntryID) *Table {
	return &Table{
		self: self, suspects: map[Digest]*suspect{}, inFlight: map[Digest]map[Incarnation]sendStats{}, strikesAt: map[Incarnation]int{}, changed: make(chan struct{}),
	}
}

// MarkSynced records that the strikes of requests held by other instances have been merged. It
// returns false if that was recorded before.
func (t *Table) MarkSynced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := !t.synced
	t.synced = true
	return first
}

// Synced reports whether the strikes of requests held by other instances have been merged.
func (t *Table) Synced() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.synced
}

// Changed returns a channel that is closed at the next change of the strikes, or when the next send
// of a suspect ends.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

func (t *Table) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Evaluate reports whether a request may be sent, regardless of the target.
func (t *Table) Evaluate(k Key, now cf.Millis) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evaluate(k, now)
}

// Admit evaluates a request that is about to be sent to a target. A request that passes counts as
// in flight there until Answered, Lost or Dropped is called.
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

// startSend records a send as in flight. t.mu is held.
func (t *Table) startSend(k Key, target Incarnation, now cf.Millis) {
	byTarget := t.inFlight[k.Content]
	if byTarget == nil {
		byTarget = map[Incarnation]sendStats{}
		t.inFlight[k.Content] = byTarget
	}
	byTarget[target] = sendStats{byTarget[target].n + 1, now}
}

// evaluate is Evaluate with t.mu held. As long as it is not known whether a suspect crashes
// targets, the number of its sends in flight is limited to the crashes that are left before it is
// held.
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
	for _, stats := range t.inFlight[k.Content] {
		inFlight += stats.n
	}
	switch {
	case confirmed >= maxCrashes && now < heldUntil:
		return Verdict{RetryAt: heldUntil, Strikes: s.strikesAgainst(k.Caller, now)}
	case confirmed < maxCrashes && crashes >= maxCrashes:
		return Verdict{Wait: true} // for the checks of the lost targets
	case crashes >= maxCrashes: // the hold is over: one send on trial
		return Verdict{Pass: inFlight == 0, Wait: inFlight > 0}
	case crashes == 0 || served || inFlight < maxCrashes-crashes:
		return Verdict{Pass: true}
	default:
		return Verdict{Wait: true}
	}
}

// meetsSuspect reports whether a send to target would place a suspect that is one crash from being
// held beside another such suspect. Two requests that have lost the same targets can't be told
// apart by a third target that they lose together: the items of a step that fill every target
// beside the item that crashes the targets would be held with it. t.mu is held.
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

// oneCrashFromHold reports whether one more crash would hold a content. t.mu is held.
func (t *Table) oneCrashFromHold(d Digest) bool {
	s := t.suspects[d]
	return s != nil && s.activeStrikes() >= maxCrashes-1
}

// holdDuration returns how long a request is held after a number of crashes.
func holdDuration(crashes int) cf.Millis {
	hold := initialHold
	for ; crashes > maxCrashes && hold < maxHold; crashes-- {
		hold *= 4
	}
	return min(hold, maxHold)
}

// jitteredHold returns holdDuration with the jitter of this instance.
func (t *Table) jitteredHold(d Digest, crashes int) cf.Millis {
	h := fnv.New32a()
	_, _ = h.Write(append(d[:], t.self...)) // hash.Hash.Write never returns an error
	fraction := float64(h.Sum32()) / (1 << 32)
	hold := holdDuration(crashes)
	return hold + cf.Millis(float64(hold)*trialJitter*fraction)
}

// countCrashes counts the crashes under a caller's requests and returns the time of the last one.
// If the requests of at least two callers have crashed targets, it counts the crashes under all of
// them. It counts confirmed losses, and those not yet checked as well unless confirmedOnly is set.
// Crashes within one crashWindow count as one if the request was served before.
func (s *suspect) countCrashes(c CallerDigest, served, confirmedOnly bool) (n int, last cf.Millis) {
	severalCallers := s.countCallers() > 1
	windowStart := cf.Millis(0) // of the current crash window
	for i := range s.strikes {  // ordered by time
		st := &s.strikes[i]
		if !st.countsAgainst(c) || st.Caller != c && !severalCallers || confirmedOnly && st.state != lossConfirmed {
			continue
		}
		if !served || n == 0 || st.lostAt-windowStart > crashWindow {
			n++
			windowStart = st.lostAt
		}
		last = st.lostAt
	}
	return n, last
}

// servedToCaller reports whether a caller's request had completed at any instance that knows of its
// losses: an instance that has just started has completed no request itself.
func (s *suspect) servedToCaller(c CallerDigest) bool {
	return slices.ContainsFunc(s.strikes, func(st strike) bool { return st.Caller == c && st.Served })
}

// countCallers counts the callers whose requests have crashed targets, over the strikes that count
// for all callers.
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

// Dropped ends a send that gives no evidence: the request was not run, or it was cancelled here.
func (t *Table) Dropped(k Key, target Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.endSend(k, target)
}

// endSend removes a send from those in flight and wakes waiting requests. t.mu is held.
func (t *Table) endSend(k Key, target Incarnation) {
	if byTarget := t.inFlight[k.Content]; byTarget != nil {
		if stats := byTarget[target]; stats.n > 1 {
			stats.n--
			byTarget[target] = stats
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
