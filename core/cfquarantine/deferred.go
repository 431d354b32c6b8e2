package cfquarantine

import (
	cf "currantford"
)

const (
	// initialPause is the pause of deferred work after its last crash, once there are maxCrashes.
	// Each further crash doubles it, up to maxPause: work that is at no target for 5 s counts as
	// lost, and a target check, a planning round and a placement take part of that time.
	initialPause cf.Millis = 1000
	maxPause     cf.Millis = 4000
	// initialMaxRuns is the most runs that a target may have, including the deferred work, after
	// maxCrashes crashes. Each further crash halves it, so that work which keeps crashing its
	// targets runs alone after a few retries.
	initialMaxRuns = 4
	// survivalTime is how long a send must have been in flight before other sends of the same
	// content may join it. A request that crashes its targets does so within about 100 ms.
	survivalTime cf.Millis = 500
	// separationPeriod is how long after a crash deferred work avoids targets that run another
	// suspect which is one crash from being held.
	separationPeriod cf.Millis = 1000
)

// DeferredWork describes a piece of work to AdmitDeferred.
type DeferredWork struct {
	// Isolated: the target is reserved for this work, or no target can be reserved.
	Isolated bool
	// WaitingSince is when the work was last at a target, or when it was submitted.
	WaitingSince cf.Millis
}

// AdmitDeferred evaluates work that was submitted for later execution, such as the items of batches
// and their reward calls. The work is not held: after maxCrashes crashes it pauses, and is then
// retried at a target where it runs alone or beside a few others. Work that passes counts as in
// flight there until Answered, Lost or Dropped is called.
//
// When several targets end in a burst, each with everything that it runs, some innocent items are
// lost at every one of them. Holding these items as a caller's request is held would lose them.
func (t *Table) AdmitDeferred(k Key, target Incarnation, work DeferredWork, now cf.Millis) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.evaluateDeferred(k, work, now)
	switch {
	case !v.Pass:
		return v
	case v.MaxRuns > 0 && !work.Isolated:
		v.Pass = false
		return v
	case v.MaxRuns == 0 && now-t.lastStrikeAt(k.Content) < separationPeriod && t.meetsSuspect(k, target):
		return Verdict{OtherTarget: true}
	}
	t.startSend(k, target, now)
	return v
}

// evaluateDeferred is AdmitDeferred regardless of the target. The pause is computed from the
// strikes, so that another instance with the same strikes continues it. Crashes under equal work do
// not prolong it beyond maxPause after this work's own last run. t.mu is held.
func (t *Table) evaluateDeferred(k Key, work DeferredWork, now cf.Millis) Verdict {
	if !t.synced {
		return Verdict{Unsynced: true}
	}
	s := t.suspects[k.Content]
	if s == nil {
		return Verdict{Pass: true}
	}
	served := t.served.contains(k, now) || s.servedToCaller(k.Caller)
	crashes, last := s.countCrashes(k.Caller, served, false)
	if crashes >= maxCrashes {
		retryAt := max(min(last+pauseFor(crashes), work.WaitingSince+maxPause), last+initialPause)
		if now < retryAt {
			return Verdict{RetryAt: retryAt, Strikes: s.strikesAgainst(k.Caller, now)}
		}
		retry := t.unprovenInFlight(k.Content, now) == 0
		return Verdict{Pass: retry, Wait: !retry, MaxRuns: maxRunsAfter(crashes)}
	}
	if crashes == 0 || served || t.unprovenInFlight(k.Content, now) < maxCrashes-crashes {
		return Verdict{Pass: true}
	}
	return Verdict{Wait: true}
}

// unprovenInFlight counts the sends of a content in flight that may still crash their targets. It
// returns zero if one of them has lasted for survivalTime, or if a request with the content has
// completed since the last crash. t.mu is held.
func (t *Table) unprovenInFlight(d Digest, now cf.Millis) int {
	if s := t.suspects[d]; s != nil && s.lastCompleted > s.lastStrikeAt() {
		return 0
	}
	n := 0
	for _, stats := range t.inFlight[d] {
		if now-stats.lastStart >= survivalTime {
			return 0
		}
		n += stats.n
	}
	return n
}

// lastStrikeAt returns the time of the last strike against a content. t.mu is held.
func (t *Table) lastStrikeAt(d Digest) cf.Millis {
	if s := t.suspects[d]; s != nil {
		return s.lastStrikeAt()
	}
	return 0
}

func pauseFor(crashes int) cf.Millis { return initialPause.Backoff(crashes-maxCrashes, maxPause) }

func maxRunsAfter(crashes int) int { return max(initialMaxRuns>>(crashes-maxCrashes), 1) }
