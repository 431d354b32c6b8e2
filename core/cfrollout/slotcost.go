package cfrollout

import (
	cf "currantford"
)

const (
	// slotCostPrior is by how much each further run is assumed to slow down the others on its
	// engine until engines have shown it. Kinds of engines differ tenfold. minSlotCost and
	// maxSlotCost bound what is learned.
	slotCostPrior = 0.02
	minSlotCost   = 0.003
	maxSlotCost   = 0.05
	// slotPriorWeight is the weight of the prior, in squared runs. One step at an engine with 12
	// slots contributes observations of several times that weight.
	slotPriorWeight = 300
	// slotDecay is the factor on the earlier observations with each new one. With ten engines they
	// count for about ten seconds.
	slotDecay = 0.999
	// meanDecay is the corresponding factor for an engine's mean pace, which averages over about
	// five seconds.
	meanDecay = 0.98
	// slotInterval is the minimum time between two observations of an engine.
	slotInterval cf.Millis = 100
)

// slotCostModel learns by how much an engine slows down with each run, from its paces with few and
// with many runs. If the cost is overestimated, a full engine looks slower than an empty one, and
// long texts move without benefit.
type slotCostModel struct {
	cov, spread float64
	cost        float64
}

// factor returns the time of an event with n runs relative to that of an unloaded engine.
func (s *slotCostModel) factor(n int) float64 { return 1 + s.cost*float64(n) }

// note records an engine's pace with its current number of runs.
func (s *slotCostModel) note(e *Engine, pace float64, now cf.Millis) {
	if now-e.meanAt < slotInterval {
		return
	}
	e.meanAt = now
	runs := float64(e.Running)
	if e.meanPace == 0 || pace > slowFactor*e.meanPace || e.meanPace > slowFactor*pace {
		e.meanPace, e.meanRuns = pace, runs // the engine itself has changed
		return
	}
	more, slower := runs-e.meanRuns, pace/e.meanPace-1
	e.meanPace += (1 - meanDecay) * (pace - e.meanPace)
	e.meanRuns += (1 - meanDecay) * (runs - e.meanRuns)
	s.cov = slotDecay*s.cov + more*slower
	s.spread = slotDecay*s.spread + more*more
	slope := (slotPriorWeight*slotCostPrior + s.cov) / (slotPriorWeight + s.spread)
	slope /= max(1-slope*e.meanRuns, 0.5) // relative to the pace without runs, not to the mean
	s.cost = min(max(slope, minSlotCost), maxSlotCost)
}
