package cfrollout

import (
	cf "currantford"
)

const (
	// slotCostPrior is how much slower each further run is taken to make the others
	// on its engine until engines have shown it; kinds of engines differ tenfold.
	// slotLeast and slotMost bound what is learned.
	slotCostPrior = 0.02
	minSlotCost   = 0.003
	maxSlotCost   = 0.05
	// slotPriorWeight is the weight of the prior, in squared runs; a step of an
	// engine with 12 slots shows several times as much.
	slotPriorWeight = 300
	// slotDecay is what is kept of the observations before at each one: with
	// ten engines they count for some ten seconds.
	slotDecay = 0.999
	// meanDecay is the same of an engine's mean pace, some five seconds.
	meanDecay = 0.98
	// slotInterval is the least time between observations of an engine.
	slotInterval cf.Millis = 100
)

// slotCostModel learns how much slower an engine gets with each run, from its pace with
// few and with many. Where it is taken for too much, a full engine looks slower than an
// empty one, and long texts move in vain.
type slotCostModel struct {
	cov, spread float64
	cost        float64
}

// factor is how much slower an event is with n runs than with one alone.
func (s *slotCostModel) factor(n int) float64 { return 1 + s.cost*float64(n) }

// note takes an engine's pace with its runs of now.
func (s *slotCostModel) note(e *Engine, pace float64, now cf.Millis) {
	if now-e.meanAt < slotInterval {
		return
	}
	e.meanAt = now
	runs := float64(e.Running)
	if e.meanPace == 0 || pace > slowFactor*e.meanPace || e.meanPace > slowFactor*pace {
		e.meanPace, e.meanRuns = pace, runs // it has changed in itself
		return
	}
	more, slower := runs-e.meanRuns, pace/e.meanPace-1
	e.meanPace += (1 - meanDecay) * (pace - e.meanPace)
	e.meanRuns += (1 - meanDecay) * (runs - e.meanRuns)
	s.cov = slotDecay*s.cov + more*slower
	s.spread = slotDecay*s.spread + more*more
	slope := (slotPriorWeight*slotCostPrior + s.cov) / (slotPriorWeight + s.spread)
	slope /= max(1-slope*e.meanRuns, 0.5) // of the pace alone, not of the mean
	s.cost = min(max(slope, minSlotCost), maxSlotCost)
}
