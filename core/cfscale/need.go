package cfscale

import (
	"math"

	cf "currantford"
	"currantford/core/cfrollout"
)

const (
	// dueShare is the part of a step's time by which it should be whole: listing its
	// results and what a loss repeats take the rest.
	dueShare = 0.8
	// leastSpan is the least part of that time in which the items are to be run. Below it
	// the longest text decides, and more engines bring nothing.
	leastSpan = 0.25
	// serving is the part of its time in which an engine runs items. It loads a version
	// for each step, 0.9 s of 4 s.
	serving = 0.75
	// needSpread is how steeply the chance falls that more engines than the need are of
	// use: steps of one trainer differ by a sixth in groups and by half in items, and
	// those of four trainers together by some 15%.
	needSpread = 16
)

type (
	// OpenStep is an open step with its times.
	OpenStep struct {
		cfrollout.StepDemand
		// Age is how long ago it was accepted, Due how long after that its results are
		// needed, zero where the route does not say.
		Age, Due cf.Millis
	}

	// Demand is what the open steps of a service ask of its engines.
	Demand struct {
		cfrollout.Demand
		// Engines counts those in service by pool, also those that have not told their
		// weights yet, as the platform does; one that drains is gone.
		Engines map[cf.EnginePool]int
		// OpenSteps are its steps, with their times.
		OpenSteps []OpenStep
	}

	// need is how many engines the open steps need to be whole in time if their long texts
	// begin last, and what they earn then in a second.
	need struct {
		engines float64
		// least is the same if the long texts begin first, as far as they are known.
		least float64
		earns float64
		// unsure: there are steps whose need is not known.
		unsure bool
	}
)

// needOf returns what the open steps need. Of a step whose route names no time that is not
// known.
func needOf(d Demand, groupValue float64) need {
	var n need
	if d.Slots == 0 || d.Pace == 0 {
		return need{unsure: len(d.OpenSteps) > 0}
	}
	perEngine := float64(d.Slots) * serving
	for _, s := range d.OpenSteps {
		if s.Due <= 0 || s.Events == 0 {
			n.unsure = true
			continue
		}
		due := float64(s.Due)
		longest := s.Longest * d.Pace
		// What it needs from its acceptance on, and what is left now: a step that is
		// behind needs more than it did.
		fresh := s.Events * d.Pace / max(dueShare*due-longest, leastSpan*due)
		now := s.Remaining * d.Pace / max(dueShare*due-float64(s.Age), leastSpan*due)
		least := s.Events * d.Pace / max(dueShare*due-longest/2, leastSpan*due)
		n.engines += max(fresh, now) / perEngine
		n.least += max(least, now) / perEngine
		n.earns += float64(s.Groups) * groupValue / (due / 1000)
	}
	return n
}

// another returns what one more engine beside so many earns in a second: its part of what
// the steps earn, as far as it is likely to be of use.
func (n need) another(engines int) float64 {
	if n.engines == 0 {
		return 0
	}
	return n.earns / n.engines / (1 + math.Pow(float64(engines)/n.engines, needSpread))
}

// spread returns how many engines leave so many if one of the failure domains is lost.
func spread(engines float64, domains int) int {
	if domains > 1 {
		engines *= float64(domains) / float64(domains-1)
	}
	return int(math.Ceil(engines))
}
