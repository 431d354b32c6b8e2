package cfscale

import (
	"math"

	cf "currantford"
	"currantford/core/cfrollout"
)

const (
	// dueShare is the fraction of a step's time within which it should be complete. The rest is for
	// listing its results and for repeating work that was lost.
	dueShare = 0.8
	// minRunShare is the smallest fraction of a step's time that is assumed to be available for
	// running its items. With less than that, the longest text determines the duration, and more
	// engines do not help.
	minRunShare = 0.25
	// runningShare is the fraction of its time in which an engine runs items. It loads new weights
	// for each step, which takes 0.9 s of 4 s.
	runningShare = 0.75
	// valueFalloff determines how steeply the probability falls that engines beyond the need are
	// useful. Steps of one trainer differ by a sixth in groups and by half in items, and those of
	// four trainers together by about 15%.
	valueFalloff = 16
)

type (
	// OpenStep is an open step with its times.
	OpenStep struct {
		cfrollout.StepDemand
		// Age is the time since the step was accepted. Due is the time from then until its results
		// are needed, or zero if the route does not specify it.
		Age, Due cf.Millis
	}

	// Demand is the demand of a service's open steps for engines.
	Demand struct {
		cfrollout.Demand
		// Engines counts the engines in service by pool, as the platform does: engines that have
		// not reported their weights yet are included, and draining ones are not.
		Engines map[cf.EnginePool]int
		// OpenSteps holds the open steps of the service, with their times.
		OpenSteps []OpenStep
	}

	// need is the number of engines that the open steps need to be complete in time if their
	// longest texts start last, and the value that they then earn per second.
	need struct {
		engines float64
		// minEngines is the number needed if the longest texts start first, as far as their lengths
		// are known.
		minEngines float64
		valueRate  float64
		// unknown says that there are steps whose need is not known.
		unknown bool
	}
)

// estimateNeed returns the need of the open steps. The need of a step is unknown if its route does
// not specify when the results are due, or if no lengths are known.
func estimateNeed(d Demand, groupValue float64) need {
	var n need
	if d.Slots == 0 || d.Pace == 0 {
		return need{unknown: len(d.OpenSteps) > 0}
	}
	perEngine := float64(d.Slots) * runningShare
	for _, s := range d.OpenSteps {
		if s.Due <= 0 || s.Events == 0 {
			n.unknown = true
			continue
		}
		due := float64(s.Due)
		longest := s.Longest * d.Pace
		// fromStart is the need counted from the acceptance of the step, fromNow that of the
		// remaining work, counted from now: a step that is behind schedule needs more engines than
		// it did at first.
		fromStart := s.Events * d.Pace / max(dueShare*due-longest, minRunShare*due)
		fromNow := s.Remaining * d.Pace / max(dueShare*due-float64(s.Age), minRunShare*due)
		minimum := s.Events * d.Pace / max(dueShare*due-longest/2, minRunShare*due)
		n.engines += max(fromStart, fromNow) / perEngine
		n.minEngines += max(minimum, fromNow) / perEngine
		n.valueRate += float64(s.Groups) * groupValue / (due / 1000)
	}
	return n
}

// marginalValue returns what one more engine, in addition to the given number, earns per second:
// its share of the steps' value, times the probability that it is useful.
func (n need) marginalValue(engines int) float64 {
	if n.engines == 0 {
		return 0
	}
	return n.valueRate / n.engines / (1 + math.Pow(float64(engines)/n.engines, valueFalloff))
}

// withDomainReserve returns how many engines are required for the given number to remain after the
// loss of one failure domain.
func withDomainReserve(engines float64, domains int) int {
	if domains > 1 {
		engines *= float64(domains) / float64(domains-1)
	}
	return int(math.Ceil(engines))
}
