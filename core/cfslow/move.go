package cfslow

import cf "currantford"

const (
	// priorCost is the assumed cost of a move in ms until one has been observed: a new connection,
	// the orders to stop and to start, and reading the text again, which takes 35 ms. costWeight is
	// the weight of the newest sample; minCost and maxCost bound each sample.
	priorCost  = 80
	costWeight = 0.1
	minCost    = 30
	maxCost    = 300
)

type (
	// Run is a run that may move to another engine.
	Run struct {
		// EventsLeft is the number of events that the run has yet to generate.
		EventsLeft float64
		// EventElapsed is how long the current event has taken so far.
		EventElapsed cf.Millis
	}

	// Destination is an engine to which a run may move.
	Destination struct {
		// Pace is the time per event there in ms, Wait the time in ms until the run gets a slot.
		Pace, Wait float64
		// Delay is the result of Periods.Delay for that engine, in ms.
		Delay float64
	}

	// MoveCost is the measured cost of moves: the time in ms from the decision until the run's
	// first event at the new engine begins. The zero value has no observations.
	MoveCost struct{ ms float64 }
)

// Ms returns the cost in ms.
func (c *MoveCost) Ms() float64 {
	if c.ms == 0 {
		return priorCost
	}
	return c.ms
}

// Observe records the cost of a move.
func (c *MoveCost) Observe(ms float64) {
	ms = min(max(ms, minCost), maxCost)
	c.ms = c.Ms() + costWeight*(ms-c.Ms())
}

// TimeSaved returns how much sooner, in ms, a run ends if it moves to another engine; negative if
// it ends later. If it stays, it runs at the slow pace until the period ends and then at the
// baseline pace. If it moves, the cost of the move is added and the current event is lost.
func (p *Periods) TimeSaved(run Run, s *EngineState, to Destination, cost float64, now cf.Millis) float64 {
	baseline := s.baseline
	stay := 0.0
	if left := run.EventsLeft; s.Slow(now) {
		slow := baseline * max(s.ratio, 1)
		left = max(left-float64(run.EventElapsed)/slow, 0)
		within := p.Remaining(now-s.since) / slow // events until the end of the period
		if left <= within {
			stay = left * slow
		} else {
			stay = within*slow + (left-within)*baseline
		}
	} else {
		stay = max(left-float64(run.EventElapsed)/baseline, 0) * baseline
	}
	return stay - (to.Wait + cost + to.Delay + run.EventsLeft*to.Pace)
}
