package cfscale

import (
	"slices"

	cf "currantford"
)

const (
	// recentSteps is for how long a step that has ended decides about more engines, five
	// steps of a trainer; for fewer it counts as long as an estimate.
	recentSteps cf.Millis = 20_000
	// shownBy is how many steps must have ended to show what they need.
	shownBy = 4
	// late is the part of its time in which a step is late, or will be by any trouble. By
	// inTime it ends in time, and engines may go; by prompt it does not hold its trainer up,
	// which hands in the next only then: engines are ordered for that.
	late   = 0.8
	inTime = 0.85
	prompt = 0.7
	// leastWait is the least part of its time that a step is taken to have for its items to
	// begin: beyond that it is late for other reasons than too few engines.
	leastWait = 0.25
	// waitsMost is by which part of its time an open step should have no item that waits.
	waitsMost = 0.5
)

type (
	// stepHistory follows how steps go. The time of a step is until its last item has begun, which
	// shrinks with more engines, and from then on, which its longest texts take on any.
	stepHistory struct {
		open  map[cf.BatchID]*openCourse
		ended []endedCourse
	}

	openCourse struct {
		age, due cf.Millis
		at       cf.Millis
		// waited is until when items waited, waits that some do.
		waited cf.Millis
		waits  bool
		// engines are those that were there when it began.
		engines int
	}

	endedCourse struct {
		at cf.Millis
		// took is its time as a part of that in which it was due, inTime and prompt the
		// engines with which it would just have ended by those parts.
		took, inTime, prompt float64
	}
)

// note takes the open steps of a look; one that is not among them any more has ended.
func (c *stepHistory) note(now cf.Millis, steps []OpenStep, engines int) {
	before := c.open
	c.open = map[cf.BatchID]*openCourse{}
	for _, s := range steps {
		if s.Due <= 0 {
			continue
		}
		o := before[s.Batch]
		if o == nil {
			o = &openCourse{due: s.Due, engines: engines, waits: true}
		}
		delete(before, s.Batch)
		o.age, o.at = s.Age, now
		if o.waits {
			o.waited, o.waits = s.Age, s.Waiting > 0
		}
		c.open[s.Batch] = o
	}
	for _, o := range before {
		c.ended = append(c.ended, o.end(now))
	}
	c.ended = slices.DeleteFunc(c.ended, func(e endedCourse) bool { return now-e.at > remembered })
}

// end returns how a step has gone that ended since the look before.
func (o *openCourse) end(now cf.Millis) endedCourse {
	took, due := float64(o.age)+float64(now-o.at)/2, float64(o.due)
	waited := float64(o.waited)
	by := func(part float64) float64 { // the items have to begin in what the rest leaves of it
		return float64(o.engines) * waited / max(part*due-took+waited, leastWait*due)
	}
	return endedCourse{at: now, took: took / due, inTime: by(inTime), prompt: by(prompt)}
}

// worst returns the longest that a recent step took, or an open one has taken, as a part of
// the time in which it was due.
func (c *stepHistory) worst(now cf.Millis) float64 {
	worst := 0.0
	for _, e := range c.ended {
		if now-e.at <= recentSteps {
			worst = max(worst, e.took)
		}
	}
	for _, o := range c.open {
		worst = max(worst, float64(o.age)/float64(o.due))
	}
	return worst
}

// prompt returns how many engines recent steps needed to end promptly, open ones with them,
// false if too few have ended to show it.
func (c *stepHistory) prompt(now cf.Millis) (float64, bool) {
	needed, steps := 0.0, 0
	for _, e := range c.ended {
		if now-e.at <= recentSteps {
			needed, steps = max(needed, e.prompt), steps+1
		}
	}
	for _, o := range c.open {
		if o.waits {
			needed = max(needed, float64(o.engines)*float64(o.age)/(waitsMost*float64(o.due)))
		}
	}
	return needed, steps >= shownBy
}

// inTime returns how many engines the steps that are remembered needed to end in time, false
// if too few have ended to show it.
func (c *stepHistory) inTime() (float64, bool) {
	needed := 0.0
	for _, e := range c.ended {
		needed = max(needed, e.inTime)
	}
	return needed, len(c.ended) >= shownBy
}
