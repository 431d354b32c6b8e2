package cfrollout

import (
	cf "currantford"
)

const (
	// slotPrior is how much slower each further run is taken to make the others
	// on its engine until engines have shown it; kinds of engines differ tenfold.
	// slotLeast and slotMost bound what is learned.
	slotPrior = 0.02
	slotLeast = 0.003
	slotMost  = 0.05
	// slotWeight is the weight of the prior, in squared runs; a step of an
	// engine with 12 slots shows several times as much.
	slotWeight = 300
	// slotMemory is what is kept of the observations before at each one: with
	// ten engines they count for some ten seconds.
	slotMemory = 0.999
	// usualMemory is the same of an engine's mean pace, some five seconds.
	usualMemory = 0.98
	// slotEvery is the least time between observations of an engine.
	slotEvery cf.Millis = 100
)

// slotCost learns how much slower an engine gets with each run, from its pace with
// few and with many. Where it is taken for too much, a full engine looks slower than an
// empty one, and long texts move in vain.
type slotCost struct {
	cov, spread float64
	cost        float64
}

// factor is how much slower an event is with n runs than with one alone.
func (s *slotCost) factor(n int) float64 { return 1 + s.cost*float64(n) }

// note takes an engine's pace with its runs of now.
func (s *slotCost) note(e *Engine, pace float64, now cf.Millis) {
	if now-e.usualAt < slotEvery {
		return
	}
	e.usualAt = now
	runs := float64(e.Running)
	if e.usual == 0 || pace > slowPace*e.usual || e.usual > slowPace*pace {
		e.usual, e.usualRuns = pace, runs // it has changed in itself
		return
	}
	more, slower := runs-e.usualRuns, pace/e.usual-1
	e.usual += (1 - usualMemory) * (pace - e.usual)
	e.usualRuns += (1 - usualMemory) * (runs - e.usualRuns)
	s.cov = slotMemory*s.cov + more*slower
	s.spread = slotMemory*s.spread + more*more
	slope := (slotWeight*slotPrior + s.cov) / (slotWeight + s.spread)
	slope /= max(1-slope*e.usualRuns, 0.5) // of the pace alone, not of the mean
	s.cost = min(max(slope, slotLeast), slotMost)
}
