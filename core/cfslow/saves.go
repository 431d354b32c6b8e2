package cfslow

import cf "currantford"

const (
	// costPrior is what a move is taken to cost until some have shown it, in ms: a new
	// connection, the orders to stop and to start, and the text that is read again, which
	// takes 35 ms. costWeight is the weight of the newest; costLeast and costMost bound it.
	costPrior  = 80
	costWeight = 0.1
	costLeast  = 30
	costMost   = 300
)

type (
	// Run is a run that may move.
	Run struct {
		// Left is how many events it has to make yet.
		Left float64
		// Under is how long the event under way has taken.
		Under cf.Millis
	}

	// Place is what a run meets elsewhere.
	Place struct {
		// Pace is what an event takes there, Wait how long the run waits for a slot.
		Pace, Wait float64
		// Delay is that of Periods.Delay.
		Delay float64
	}

	// Cost is what a move costs, as observed: the time from the decision to when the
	// run's first event at the new engine was begun, in ms. The zero value knows nothing.
	Cost struct{ ms float64 }
)

// Ms returns the cost in ms.
func (c *Cost) Ms() float64 {
	if c.ms == 0 {
		return costPrior
	}
	return c.ms
}

// Note takes what a move has cost.
func (c *Cost) Note(ms float64) {
	ms = min(max(ms, costLeast), costMost)
	c.ms = c.Ms() + costWeight*(ms-c.Ms())
}

// Saves returns how much sooner a run ends if it leaves an engine, in ms: what it makes at
// the slow pace until the period ends and then at the lasting one, against all of it
// elsewhere, after the cost of the move and with the event under way lost.
func (p *Periods) Saves(run Run, s *State, to Place, cost float64, now cf.Millis) float64 {
	usual := s.usual
	stay := 0.0
	if left := run.Left; s.Slow(now) {
		slow := usual * max(s.ratio, 1)
		left = max(left-float64(run.Under)/slow, 0)
		within := p.Left(now-s.since) / slow // events of the rest of the period
		if left <= within {
			stay = left * slow
		} else {
			stay = within*slow + (left-within)*usual
		}
	} else {
		stay = max(left-float64(run.Under)/usual, 0) * usual
	}
	return stay - (to.Wait + cost + to.Delay + run.Left*to.Pace)
}
