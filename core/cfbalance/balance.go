// Package cfbalance chooses the target of a single request, decides whether a failed attempt may be
// repeated, and tells a refused caller when to come back. It makes no network calls and takes the
// time as an argument.
//
// It is designed for many short requests from entry instances that do not see each other's
// requests, for targets of different speed, and for targets that fail although they are still
// listed as healthy.
//
// Usage:
//
//	b := cfbalance.New()
//	t, ok := b.Choose(candidates, tried, draw, now)
//	b.Sent(t.ID)
//	outcome, good := attempts.Classify(answer, err)
//	b.Done(t.ID, outcome, answer.Load, took, now)
//	b.ConnectionKept(t.ID, now+answer.Kept)
package cfbalance

import (
	"math"
	"sync"

	cf "currantford"
)

type (
	// Outcome is the outcome of an attempt.
	Outcome int

	// Balancer holds what an instance has learned about targets from their answers. It is safe for
	// concurrent use.
	Balancer struct {
		// IgnorePace disregards the pace that targets report, to measure its benefit. It must be
		// set before the first call.
		IgnorePace bool

		mu      sync.Mutex
		targets map[cf.InstanceID]*targetState
	}

	targetState struct {
		inFlight        int // this instance's requests only
		load            cf.TargetLoad
		loadAt          cf.Millis
		avoidUntil      cf.Millis
		failures        int
		meanTime        float64 // smoothed time of an answer, ms
		meanServiceTime float64 // the same for answers without queueing
		// usualTime is the smoothed time of an answer at the target's usual pace, zero if the
		// target does not report its pace.
		usualTime float64
		lastUsed  cf.Millis
		// A connection to the target is kept until warmUntil.
		warmUntil cf.Millis
	}
)

// Outcomes of an attempt.
const (
	// Answered: a complete answer arrived.
	Answered Outcome = iota
	// NotRun: the target did not run the request.
	NotRun
	// Failed: the target or the connection failed; the target may have run the request.
	Failed
	// Unreached: no connection could be opened.
	Unreached
	// Abandoned: this instance gave up the attempt for reasons of its own.
	Abandoned
)

const (
	// loadMaxAge is the age up to which a target's load report is used.
	loadMaxAge cf.Millis = 1000
	// avoidNotRun and avoidFailed are how long a target is avoided after it did not run a request
	// or failed. avoidFailed doubles with each further failure in a row, up to maxAvoid.
	avoidNotRun cf.Millis = 50
	avoidFailed cf.Millis = 300
	maxAvoid    cf.Millis = 2400
	// usualPace is the pace, in percent, of a machine at its usual speed. paceFade is the time
	// constant with which a reported pace loses its weight; the speed of machines changes about
	// that often.
	usualPace           = 100
	paceFade  cf.Millis = 600
	// smoothing is the weight of the newest sample in smoothed times.
	smoothing = 0.2
	// connectCost is the time in ms that a new connection adds to a request: two round trips and
	// the handshake at the target. It is small compared with the differences between targets. Among
	// similar targets it makes an instance stay with a few of them, which saves the handshakes with
	// all others.
	connectCost = 4
	// minKnown is the number of targets with answers from which on targets without any are expected
	// to be like them.
	minKnown = 2
	// forgetAfter is when the state of an unused target is dropped.
	forgetAfter cf.Millis = 60000
)

// New returns a balancer without any state.
func New() *Balancer { return &Balancer{targets: map[cf.InstanceID]*targetState{}} }

func (b *Balancer) stateOf(id cf.InstanceID) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{}
		b.targets[id] = s
	}
	return s
}

// Choose returns the candidate that is expected to answer soonest, except those in tried. Targets
// that failed recently are chosen only if no other is left. draw is a random number from 0 up to 1.
func (b *Balancer) Choose(candidates []cf.Target, tried map[cf.InstanceID]bool, draw float64, now cf.Millis) (cf.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	bestScore := 0.0
	expected := b.expectedTime(candidates, now)
	// The search starts at a random candidate; otherwise ties would make all instances send to the
	// same target.
	n := len(candidates)
	first := int(draw * float64(n))
	for i := range n {
		j := (first + i) % n
		t := candidates[j]
		if tried[t.ID] {
			continue
		}
		score := b.targets[t.ID].score(t, expected, now)
		if best < 0 || score < bestScore {
			best, bestScore = j, score
		}
	}
	if best < 0 {
		return cf.Target{}, false
	}
	b.stateOf(candidates[best].ID).lastUsed = now
	return candidates[best], true
}

// expectedTime returns the expected answer time of a target that has not answered yet: the mean
// over the candidates that have, if there are at least minKnown, and otherwise less than any of
// them, so that it is tried.
//
// With hundreds of instances and hundreds of targets, each instance receives a request every second
// or two. If targets without answers were always expected to be faster, each instance would try
// them all and open a connection for nearly every request.
func (b *Balancer) expectedTime(candidates []cf.Target, now cf.Millis) float64 {
	sum, known := 0.0, 0
	for _, t := range candidates {
		if s := b.targets[t.ID]; s != nil && s.meanTime > 0 && now >= s.avoidUntil {
			sum += s.meanTime
			known++
		}
	}
	if known < minKnown {
		return 1
	}
	return max(sum/float64(known), 1)
}

// avoidPenalty ranks targets that failed recently behind all others.
const avoidPenalty = 1e6

// score returns the expected answer time in ms; expected is that of a target that has not answered
// yet.
func (s *targetState) score(t cf.Target, expected float64, now cf.Millis) float64 {
	if s == nil {
		return expected + connectCost
	}
	queue := float64(s.inFlight)
	if now-s.loadAt < loadMaxAge {
		queue = max(queue, float64(s.load.Running+s.load.Waiting))
	}
	took := expected
	switch {
	case s.usualTime > 0:
		took = max(s.usualTime*s.expectedSlowdown(now), 1)
	case s.meanTime > 0:
		took = max(s.meanTime, 1)
	}
	score := (1 + queue/float64(max(t.Slots, 1))) * took
	if now >= s.warmUntil {
		score += connectCost
	}
	if now < s.avoidUntil {
		score += avoidPenalty
	}
	return score
}

// expectedSlowdown returns the expected ratio of the answer time at a target to its usual one, by
// the pace that the target reported last.
//
// Targets share their machines with other workloads, and each is 2.5 times as slow for some 600 ms
// at a time. A smoothed answer time shows such a period only when it is over.
func (s *targetState) expectedSlowdown(now cf.Millis) float64 {
	if s.load.Pace <= 0 {
		return 1
	}
	reportedAt := s.load.At
	if reportedAt == 0 {
		reportedAt = s.loadAt
	}
	return 1 + (float64(s.load.Pace)/usualPace-1)*math.Exp(-float64(max(now-reportedAt, 0))/float64(paceFade))
}

// Sent records that a request is sent to a target.
func (b *Balancer) Sent(id cf.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).inFlight++
}

// Done records the result of a request.
func (b *Balancer) Done(id cf.InstanceID, o Outcome, load *cf.TargetLoad, took, now cf.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.stateOf(id)
	s.inFlight--
	s.lastUsed = now
	if load != nil {
		s.load, s.loadAt = *load, now
		if b.IgnorePace {
			s.load.Pace = 0
		}
	}
	switch o {
	case Answered:
		s.failures = 0
		if s.meanTime == 0 {
			s.meanTime = float64(took)
		}
		s.meanTime += smoothing * (float64(took) - s.meanTime)
		s.updateUsualTime(float64(took), load != nil, now)
		if load == nil || load.Waiting == 0 {
			if s.meanServiceTime == 0 {
				s.meanServiceTime = float64(took)
			}
			s.meanServiceTime += smoothing * (float64(took) - s.meanServiceTime)
		}
	case NotRun:
		s.avoidUntil = now + avoidNotRun
	case Failed, Unreached:
		s.avoidUntil = now + avoidFailed.Backoff(s.failures, maxAvoid)
		s.failures++
	case Abandoned:
		// The answer would have taken at least this long.
		s.meanTime = max(s.meanTime, float64(took))
		if s.usualTime > 0 {
			s.usualTime = max(s.usualTime, float64(took)/max(s.expectedSlowdown(now), 1))
		}
	}
	b.prune(now)
}

// updateUsualTime updates the usual time with an answer. reported is true if the answer included
// the target's load; otherwise the usual time is kept as long as the last report may still hold.
func (s *targetState) updateUsualTime(took float64, reported bool, now cf.Millis) {
	switch {
	case s.load.Pace <= 0 || !reported && now-s.loadAt > loadMaxAge:
		s.usualTime = 0
	case reported:
		took /= s.expectedSlowdown(now)
		if s.usualTime == 0 {
			s.usualTime = took
		}
		s.usualTime += smoothing * (took - s.usualTime)
	}
}

// ConnectionKept records until when a connection to a target is kept.
func (b *Balancer) ConnectionKept(id cf.InstanceID, until cf.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).warmUntil = until
}

func (b *Balancer) prune(now cf.Millis) {
	for id, s := range b.targets {
		if s.inFlight <= 0 && now-s.lastUsed > forgetAfter {
			delete(b.targets, id)
		}
	}
}
