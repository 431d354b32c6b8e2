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

		mu    sync.Mutex
		state map[cf.InstanceID]*state
	}

	state struct {
		sent     int // requests of this instance in flight
		load     cf.TargetLoad
		loadAt   cf.Millis
		avoid    cf.Millis
		failures int
		took     float64 // smoothed time of an answer, ms
		work     float64 // the same of answers that had not to queue
		// usual is the same of answers at the target's usual pace, zero where it does not
		// say its pace.
		usual float64
		seen  cf.Millis
		// warm is until when a connection is kept.
		warm cf.Millis
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
	// loadFresh is how long a target's word on its load counts.
	loadFresh cf.Millis = 1000
	// avoidFull and avoidFailed keep requests off a target that was full or
	// failed; a second failure in a row doubles the span, up to avoidMost.
	avoidFull   cf.Millis = 50
	avoidFailed cf.Millis = 300
	avoidMost   cf.Millis = 2400
	// usualPace is the pace of a machine that is as fast as usual, in percent. paceFade is
	// over how long what a target said of it ceases to tell anything: machines' states are
	// redrawn about so often.
	usualPace           = 100
	paceFade  cf.Millis = 600
	// smooth is the weight of the newest time in the smoothed one.
	smooth = 0.2
	// coldCost is what a new connection adds to a request's time, in ms: two round
	// trips, and its handshake at the target. Small beside what targets differ by, it
	// lets an instance stay with some of those that are alike, and so spares them
	// the handshakes of all the others.
	coldCost = 4
	// knownEnough is from how many targets on that have answered the others are expected
	// to be like them.
	knownEnough = 2
	// forget drops what is known of targets that are not heard of any more.
	forget cf.Millis = 60000
)

// New returns a balancer that knows nothing.
func New() *Balancer { return &Balancer{state: map[cf.InstanceID]*state{}} }

func (b *Balancer) of(id cf.InstanceID) *state {
	s := b.state[id]
	if s == nil {
		s = &state{}
		b.state[id] = s
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
	usual := b.usual(candidates, now)
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
		score := b.state[t.ID].score(t, usual, now)
		if best < 0 || score < bestScore {
			best, bestScore = j, score
		}
	}
	if best < 0 {
		return cf.Target{}, false
	}
	b.of(candidates[best].ID).seen = now
	return candidates[best], true
}

// usual returns what an answer of a target takes that has not answered yet: the mean of
// those that have, once there are some, else less than any, so that they are tried.
//
// The load it answers: hundreds of instances before hundreds of targets, each with a request
// every second or two. With targets that are expected to be faster until they have answered,
// each instance tried them all, and opened a connection for nearly every request.
func (b *Balancer) usual(candidates []cf.Target, now cf.Millis) float64 {
	sum, known := 0.0, 0
	for _, t := range candidates {
		if s := b.state[t.ID]; s != nil && s.took > 0 && now >= s.avoid {
			sum += s.took
			known++
		}
	}
	if known < knownEnough {
		return 1
	}
	return max(sum/float64(known), 1)
}

// avoidScore puts targets that failed lately behind all others.
const avoidScore = 1e6

// score is when a target is expected to answer; usual is for one that has not answered yet.
func (s *state) score(t cf.Target, usual float64, now cf.Millis) float64 {
	if s == nil {
		return usual + coldCost
	}
	queue := float64(s.sent)
	if now-s.loadAt < loadFresh {
		queue = max(queue, float64(s.load.Running+s.load.Waiting))
	}
	took := usual
	switch {
	case s.usual > 0:
		took = max(s.usual*s.pace(now), 1)
	case s.took > 0:
		took = max(s.took, 1)
	}
	score := (1 + queue/float64(max(t.Slots, 1))) * took
	if now >= s.warm {
		score += coldCost
	}
	if now < s.avoid {
		score += avoidScore
	}
	return score
}

// pace is how many times longer than usual work is expected to take at a target now, by what
// it said last.
//
// The load it answers: targets share their machines with other workloads, and each is 2.5 times
// as slow for some 600 ms at a time. A smoothed time of answers shows that when it is over.
func (s *state) pace(now cf.Millis) float64 {
	if s.load.Pace <= 0 {
		return 1
	}
	said := s.load.At
	if said == 0 {
		said = s.loadAt
	}
	return 1 + (float64(s.load.Pace)/usualPace-1)*math.Exp(-float64(max(now-said, 0))/float64(paceFade))
}

// Sent records that a request goes to a target.
func (b *Balancer) Sent(id cf.InstanceID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(id).sent++
}

// Done records what came of a request.
func (b *Balancer) Done(id cf.InstanceID, o Outcome, load *cf.TargetLoad, took, now cf.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.of(id)
	s.sent--
	s.seen = now
	if load != nil {
		s.load, s.loadAt = *load, now
		if b.IgnorePace {
			s.load.Pace = 0
		}
	}
	switch o {
	case Answered:
		s.failures = 0
		if s.took == 0 {
			s.took = float64(took)
		}
		s.took += smooth * (float64(took) - s.took)
		s.noteUsual(float64(took), load != nil, now)
		if load == nil || load.Waiting == 0 {
			if s.work == 0 {
				s.work = float64(took)
			}
			s.work += smooth * (float64(took) - s.work)
		}
	case NotRun:
		s.avoid = now + avoidFull
	case Failed, Unreached:
		s.avoid = now + avoidFailed.Doubled(s.failures, avoidMost)
		s.failures++
	case Abandoned:
		// Slower than what we waited for, at least.
		s.took = max(s.took, float64(took))
		if s.usual > 0 {
			s.usual = max(s.usual, float64(took)/max(s.pace(now), 1))
		}
	}
	b.prune(now)
}

// noteUsual takes the time of an answer, and whether it said the target's load. One that does
// not leaves the usual time as it is while what was said before may hold.
func (s *state) noteUsual(took float64, said bool, now cf.Millis) {
	switch {
	case s.load.Pace <= 0 || !said && now-s.loadAt > loadFresh:
		s.usual = 0
	case said:
		took /= s.pace(now)
		if s.usual == 0 {
			s.usual = took
		}
		s.usual += smooth * (took - s.usual)
	}
}

// ConnectionKept records that a connection to a target is kept until then.
func (b *Balancer) ConnectionKept(id cf.InstanceID, until cf.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.of(id).warm = until
}

func (b *Balancer) prune(now cf.Millis) {
	for id, s := range b.state {
		if s.sent <= 0 && now-s.seen > forget {
			delete(b.state, id)
		}
	}
}
