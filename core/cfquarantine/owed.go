package cfquarantine

import (
	cf "currantford"
)

const (
	// pauseFirst is the pause of owed work after its last crash, once there are
	// crashesMost. Each further crash doubles it, up to pauseMost: work that is at no
	// target for 5 s counts as lost, and a check, a look and a placement take their part.
	pauseFirst cf.Millis = 1000
	pauseMost  cf.Millis = 4000
	// companyFirst is how many runs a target may have with owed work after crashesMost
	// crashes. Each further crash halves it, so that what keeps crashing its targets is
	// alone after a few tries.
	companyFirst = 4
	// outlives is how long a send must have been under way for others of its content to
	// be sent beside it. A request that crashes its targets does so within some 100 ms.
	outlives cf.Millis = 500
	// apartFor is how long after a crash owed work avoids targets at which other strong
	// suspects run.
	apartFor cf.Millis = 1000
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
func (t *Table) AdmitDeferred(k Key, target Incarnation, w DeferredWork, now cf.Millis) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	v := t.judgeOwed(k, w, now)
	switch {
	case !v.Pass:
		return v
	case v.MaxRuns > 0 && !w.Isolated:
		v.Pass = false
		return v
	case v.MaxRuns == 0 && now-t.lastAt(k.Content) < apartFor && t.meets(k, target):
		return Verdict{OtherTarget: true}
	}
	t.begin(k, target, now)
	return v
}

// judgeOwed is AdmitDeferred for any target. The pause follows from the strikes, so that another
// instance which knows them goes on with it; crashes under equal work do not prolong it beyond
// pauseMost after the work's own last run. t.mu is held.
func (t *Table) judgeOwed(k Key, w DeferredWork, now cf.Millis) Verdict {
	if !t.informed {
		return Verdict{Unsynced: true}
	}
	s := t.suspects[k.Content]
	if s == nil {
		return Verdict{Pass: true}
	}
	served := t.good.knows(k, now) || s.servedFor(k.Caller)
	crashes, last := s.crashes(k.Caller, served, false)
	if crashes >= crashesMost {
		until := max(min(last+pauseFor(crashes), w.WaitingSince+pauseMost), last+pauseFirst)
		if now < until {
			return Verdict{RetryAt: until, Strikes: s.against(k.Caller, now)}
		}
		tried := t.unproved(k.Content, now) == 0
		return Verdict{Pass: tried, Wait: !tried, MaxRuns: companyFor(crashes)}
	}
	if crashes == 0 || served || t.unproved(k.Content, now) < crashesMost-crashes {
		return Verdict{Pass: true}
	}
	return Verdict{Wait: true}
}

// unproved counts the sends of a content under way that may yet crash their targets, zero
// where one has lasted or was run to its end since the last crash. t.mu is held.
func (t *Table) unproved(d Digest, now cf.Millis) int {
	if s := t.suspects[d]; s != nil && s.answered > s.lastAt() {
		return 0
	}
	n := 0
	for _, at := range t.underWay[d] {
		if now-at.latest >= outlives {
			return 0
		}
		n += at.n
	}
	return n
}

// lastAt returns when the last strike against a content was. t.mu is held.
func (t *Table) lastAt(d Digest) cf.Millis {
	if s := t.suspects[d]; s != nil {
		return s.lastAt()
	}
	return 0
}

func pauseFor(crashes int) cf.Millis { return pauseFirst.Doubled(crashes-crashesMost, pauseMost) }

func companyFor(crashes int) int { return max(companyFirst>>(crashes-crashesMost), 1) }
