// Package cfbalance chooses the target of a single request, decides what a failed
// attempt allows, and when a refused caller comes back. It makes no calls and has
// no clock of its own.
//
// The load it answers: many short requests from entry instances that do not
// see each other's work, targets of different speed, and targets that fail
// while their entry in the instance list still looks well.
//
// Usage:
//
//	b := cfbalance.New()
//	t, ok := b.Choose(candidates, tried, now)
//	b.Sent(t.ID)
//	outcome, good := attempts.Judge(answer, err)
//	b.Done(t.ID, outcome, answer.Load, took, now)
//	b.Kept(t.ID, now+answer.Kept)
package cfbalance

import (
	"math"
	"sync"

	cf "currantford"
)

type (
	// Outcome is what an attempt came to.
	Outcome int

	// Balancer holds what an instance has learned of the targets from
	// their answers. It is safe for concurrent use.
	Balancer struct {
		// IgnorePace leaves out what targets say of their pace, to measure what it brings.
		// It is set before the first call.
		IgnorePace bool

		mu      sync.Mutex
		targets map[cf.InstanceID]*targetState
	}

	targetState struct {
		inFlight        int // requests of this instance in flight
		load            cf.TargetLoad
		loadAt          cf.Millis
		avoidUntil      cf.Millis
		failures        int
		meanTime        float64 // smoothed time of an answer, ms
		meanServiceTime float64 // the same of answers that had not to queue
		// usualTime is the same of answers at the target's usual pace, zero where it does not
		// say its pace.
		usualTime float64
		lastUsed  cf.Millis
		// warmUntil is until when a connection is kept.
		warmUntil cf.Millis
	}
)

// Outcomes of an attempt.
const (
	// Answered: a whole answer came.
	Answered Outcome = iota
	// NotRun: the target did not run the request.
	NotRun
	// Failed: the target or the connection failed, and may have run it.
	Failed
	// Unreached: no connection could be had.
	Unreached
	// Abandoned: the attempt was given up for reasons of our own.
	Abandoned
)

const (
	// loadMaxAge is how long a target's word on its load counts.
	loadMaxAge cf.Millis = 1000
	// avoidNotRun and avoidFailed keep requests off a target that was full or
	// failed; a second failure in a row doubles the span, up to avoidMost.
	avoidNotRun cf.Millis = 50
	avoidFailed cf.Millis = 300
	maxAvoid    cf.Millis = 2400
	// usualPace is the pace of a machine that is as fast as usual, in percent. paceFade is
	// over how long what a target said of it ceases to tell anything: machines' states are
	// redrawn about so often.
	usualPace           = 100
	paceFade  cf.Millis = 600
	// smoothing is the weight of the newest time in the smoothed one.
	smoothing = 0.2
	// connectCost is what a new connection adds to a request's time, in ms: two round
	// trips, and its handshake at the target. Small beside what targets differ by, it
	// lets an instance stay with some of those that are alike, and so spares them
	// the handshakes of all the others.
	connectCost = 4
	// minKnown is from how many targets on that have answered the others are expected
	// to be like them.
	minKnown = 2
	// forgetAfter drops what is known of targets that are not heard of any more.
	forgetAfter cf.Millis = 60000
)

// New returns a balancer that knows nothing.
func New() *Balancer { return &Balancer{targets: map[cf.InstanceID]*targetState{}} }

func (b *Balancer) stateOf(id cf.InstanceID) *targetState {
	s := b.targets[id]
	if s == nil {
		s = &targetState{}
		b.targets[id] = s
	}
	return s
}

// Choose returns the candidate that should answer soonest, leaving out those
// in tried. Targets that failed lately are chosen only if no other is left.
func (b *Balancer) Choose(candidates []cf.Target, tried map[cf.InstanceID]bool, draw float64, now cf.Millis) (cf.Target, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	best := -1
	bestScore := 0.0
	usual := b.expectedTime(candidates, now)
	// Ties are broken by a random start, or all instances would send to the
	// same target.
	n := len(candidates)
	first := int(draw * float64(n))
	for i := range n {
		j := (first + i) % n
		t := candidates[j]
		if tried[t.ID] {
			continue
		}
		score := b.targets[t.ID].score(t, usual, now)
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

// expectedTime returns what an answer of a target takes that has not answered yet: the mean of
// those that have, once there are some, else less than any, so that they are tried.
//
// The load it answers: hundreds of instances before hundreds of targets, each with a request
// every second or two. With targets that are expected to be faster until they have answered,
// each instance tried them all, and opened a connection for nearly every request.
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

// avoidPenalty puts targets that failed lately behind all others.
const avoidPenalty = 1e6

// score is when a target is expected to answer; usual is for one that has not answered yet.
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

// expectedSlowdown is how many times longer than usual work is expected to take at a target now, by what
// it said last.
//
// The load it answers: targets share their machines with other workloads, and each is 2.5 times
// as slow for some 600 ms at a time. A smoothed time of answers shows that when it is over.
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

// Sent records that a request goes to a target.
func (b *Balancer) Sent(id cf.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stateOf(id).inFlight++
}

// Done records what came of a request.
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
		s.avoidUntil = now + avoidFailed.Doubled(s.failures, maxAvoid)
		s.failures++
	case Abandoned:
		// Slower than what we waited for, at least.
		s.meanTime = max(s.meanTime, float64(took))
		if s.usualTime > 0 {
			s.usualTime = max(s.usualTime, float64(took)/max(s.expectedSlowdown(now), 1))
		}
	}
	b.prune(now)
}

// updateUsualTime takes the time of an answer, and whether it said the target's load. One that does
// not leaves the usual time as it is while what was said before may hold.
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

// ConnectionKept records that a connection to a target is kept until then.
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
