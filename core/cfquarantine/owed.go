package cfquarantine

import (
	cf "currantford"
)

const (
	// initialPause is the pause of owed work after its last crash, once there are
	// crashesMost. Each further crash doubles it, up to pauseMost: work that is at no
	// target for 5 s counts as lost, and a check, a look and a placement take their part.
	initialPause cf.Millis = 1000
	maxPause     cf.Millis = 4000
	// initialMaxRuns is how many runs a target may have with owed work after crashesMost
	// crashes. Each further crash halves it, so that what keeps crashing its targets is
	// alone after a few tries.
	initialMaxRuns = 4
	// survivalTime is how long a send must have been under way for others of its content to
	// be sent beside it. A request that crashes its targets does so within some 100 ms.
	survivalTime cf.Millis = 500
	// separationPeriod is how long after a crash owed work avoids targets at which other strong
	// suspects run.
	separationPeriod cf.Millis = 1000
)

// DeferredWork is what AdmitDeferred must know of a piece of work.
type DeferredWork struct {
	// Isolated: the target is set apart for it, or none can be.
	Isolated bool
	// WaitingSince is when it was last at a target, or came.
	WaitingSince cf.Millis
}

// AdmitDeferred judges work that was handed in for later, as the items of batches and their
// reward calls are. It is not held: after crashesMost crashes it pauses, and is then tried
// again at a target that it has to itself or with a few others. Work that passes counts as
// under way there until Answered, Lost or Dropped.
//
// The load it answers: several targets end in a burst, each with all that it runs, and some
// sound items meet them all. To hold these as a caller's request is held would lose them.
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

// evaluateDeferred is AdmitDeferred for any target. The pause follows from the strikes, so that another
// instance which knows them goes on with it; crashes under equal work do not prolong it beyond
// pauseMost after the work's own last run. t.mu is held.
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

// unprovenInFlight counts the sends of a content under way that may yet crash their targets, zero
// where one has lasted or was run to its end since the last crash. t.mu is held.
func (t *Table) unprovenInFlight(d Digest, now cf.Millis) int {
	if s := t.suspects[d]; s != nil && s.lastCompleted > s.lastStrikeAt() {
		return 0
	}
	n := 0
	for _, sent := range t.inFlight[d] {
		if now-sent.lastStart >= survivalTime {
			return 0
		}
		n += sent.n
	}
	return n
}

// lastStrikeAt returns when the last strike against a content was. t.mu is held.
func (t *Table) lastStrikeAt(d Digest) cf.Millis {
	if s := t.suspects[d]; s != nil {
		return s.lastStrikeAt()
	}
	return 0
}

func pauseFor(crashes int) cf.Millis { return initialPause.Doubled(crashes-maxCrashes, maxPause) }

func maxRunsAfter(crashes int) int { return max(initialMaxRuns>>(crashes-maxCrashes), 1) }
