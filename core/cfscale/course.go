package cfscale

import (
	"slices"

	cf "currantford"
)

const (
	// recentSteps is for how long a step that has ended counts: five steps of a trainer.
	recentSteps cf.Millis = 20_000
	// roomy and late are parts of the time in which a step's results are due. Steps that
	// all end before the first need no more engines, whatever is estimated; one that is
	// open or ends after the second is late, or will be by any trouble.
	roomy = 0.6
	late  = 0.8
	// roomyEnded is how many steps must have ended to show that there is room.
	roomyEnded = 4
	// sameEngines is the part of the engines that a step had, with which those after it
	// are taken to go as it did.
	sameEngines = 0.9
)

type (
	// course follows how long steps take.
	course struct {
		open  map[cf.BatchID]openCourse
		ended []endedCourse
	}

	openCourse struct {
		age, due cf.Millis
		at       cf.Millis
	}

	endedCourse struct {
		at cf.Millis
		// took is its time as a part of that in which it was due.
		took    float64
		engines int
	}
)

// note takes the open steps of a look; one that is not among them any more has ended.
func (c *course) note(now cf.Millis, open []OpenStep, engines int) {
	before := c.open
	c.open = map[cf.BatchID]openCourse{}
	for _, s := range open {
		if s.Due > 0 {
			c.open[s.Batch] = openCourse{s.Age, s.Due, now}
		}
		delete(before, s.Batch)
	}
	for _, s := range before {
		took := s.age + (now-s.at)/2
		c.ended = append(c.ended, endedCourse{now, float64(took) / float64(s.due), engines})
	}
	c.ended = slices.DeleteFunc(c.ended, func(e endedCourse) bool { return now-e.at > recentSteps })
}

// worst returns the longest that a recent step took, or an open one has taken, as a part of
// the time in which it was due.
func (c *course) worst() float64 {
	worst := 0.0
	for _, e := range c.ended {
		worst = max(worst, e.took)
	}
	for _, s := range c.open {
		worst = max(worst, float64(s.age)/float64(s.due))
	}
	return worst
}

// roomy says whether the steps of the last while have ended well in time with about as many
// engines as there are now.
func (c *course) roomy(engines int) bool {
	for _, e := range c.ended {
		if float64(engines) < sameEngines*float64(e.engines) {
			return false
		}
	}
	return len(c.ended) >= roomyEnded && c.worst() <= roomy
}
