package cfslow

import cf "currantford"

const (
	// priorCost is what a move is taken to cost until some have shown it, in ms: a new
	// connection, the orders to stop and to start, and the text that is read again, which
	// takes 35 ms. costWeight is the weight of the newest; costLeast and costMost bound it.
	priorCost  = 80
	costWeight = 0.1
	minCost    = 30
	maxCost    = 300
)

type (
	// Run is a run that may move.
	Run struct {
		// EventsLeft is how many events it has to make yet.
		EventsLeft float64
		// EventElapsed is how long the event under way has taken.
		EventElapsed cf.Millis
	}

	// Destination is what a run meets elsewhere.
	Destination struct {
		// Pace is what an event takes there, Wait how long the run waits for a slot.
		Pace, Wait float64
		// Delay is that of Periods.Delay.
		Delay float64
	}

	// MoveCost is what a move costs, as observed: the time from the decision to when the
	// run's first event at the new engine was begun, in ms. The zero value knows nothing.
	MoveCost struct{ ms float64 }
)

// Ms returns the cost in ms.
func (c *MoveCost) Ms() float64 {
	if c.ms == 0 {
		return priorCost
	}
	return c.ms
}

// Observe takes what a move has cost.
func (c *MoveCost) Observe(ms float64) {
	ms = min(max(ms, minCost), maxCost)
	c.ms = c.Ms() + costWeight*(ms-c.Ms())
}

// TimeSaved returns how much sooner a run ends if it leaves an engine, in ms: what it makes at
// the slow pace until the period ends and then at the lasting one, against all of it
// elsewhere, after the cost of the move and with the event under way lost.
func (p *Periods) TimeSaved(run Run, s *EngineState, to Destination, cost float64, now cf.Millis) float64 {
	usual := s.baseline
	stay := 0.0
	if left := run.EventsLeft; s.Slow(now) {
		slow := usual * max(s.ratio, 1)
		left = max(left-float64(run.EventElapsed)/slow, 0)
		within := p.Remaining(now-s.since) / slow // events of the rest of the period
		if left <= within {
			stay = left * slow
		} else {
			stay = within*slow + (left-within)*usual
		}
	} else {
		stay = max(left-float64(run.EventElapsed)/usual, 0) * usual
	}
	return stay - (to.Wait + cost + to.Delay + run.EventsLeft*to.Pace)
}
