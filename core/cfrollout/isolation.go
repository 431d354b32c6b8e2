package cfrollout

import (
	"slices"

	cf "currantford"
)

// maxIsolatedShare is the part of a share's engines that may be set apart at once, though one of two
// or three always may: the others must take what else waits.
const maxIsolatedShare = 0.25

// Admission says whether an item may be sent to an engine now.
type Admission struct {
	Allowed bool
	// TryOthers: it may be to another.
	TryOthers bool
	// RetryAt is when an item that pauses is tried again, zero if it does not.
	RetryAt cf.Millis
	// MaxRuns is how many runs an engine may have with the item, zero for no bound: engines
	// crashed under it, so it is to be set apart.
	MaxRuns int
}

// admit returns the engine to which an item may be sent: e, the one that was chosen,
// or another where it may not meet what runs there; nil if it may be sent to none.
func (p *Planner) admit(engines []*Engine, q queue, w *Work, e *Engine, assumed float64, now cf.Millis) *Engine {
	w.isolated = false
	if p.limits.Admit == nil {
		return e
	}
	for e != nil {
		a := p.limits.Admit(w, e.Target, false)
		w.maxRuns = a.MaxRuns
		switch {
		case a.Allowed:
			return e
		case a.RetryAt > now || !a.TryOthers && a.MaxRuns == 0:
			return nil
		case !a.TryOthers:
			return p.isolate(engines, q, w, assumed, now)
		}
		// What this item may not meet there others may not either: each engine is found so
		// once in a look.
		p.conflicts[e] = true
		rest := slices.DeleteFunc(slices.Clone(engines), func(o *Engine) bool { return p.conflicts[o] })
		e = p.choose(rest, w, assumed, now)
	}
	if w.maxRuns > 0 {
		return p.isolate(engines, q, w, assumed, now)
	}
	return nil
}

// isolate returns the engine for an item that is to have few others beside it, or none: the one
// that runs least, which is then set apart. Where as many are as may be, the item joins others at
// one of them; where it can't, it goes wherever there is room, as it would wait for too long. Two
// items that lost the same engines are tried at the same time, and must not meet again as long as
// that can be helped.
func (p *Planner) isolate(engines []*Engine, q queue, w *Work, assumed float64, now cf.Millis) *Engine {
	var joined, leastBusy *Engine
	isolated := 0
	for _, e := range engines {
		if e.isolationLimit > 0 {
			isolated++
		}
		if !e.accepts(w, now) || !e.hasRoom() || !p.fitsMemory(e, w) {
			continue
		}
		switch {
		case e.isolationLimit == 0:
			if leastBusy == nil || p.betterForIsolation(q, e, leastBusy, assumed) {
				leastBusy = e
			}
		case e.Running < min(e.isolationLimit, w.maxRuns):
			if joined == nil || p.betterForIsolation(q, e, joined, assumed) {
				joined = e
			}
		}
	}
	limit := 0
	if len(engines) > 1 {
		limit = max(int(maxIsolatedShare*float64(len(engines))), 1)
	}
	e, isolating := joined, true
	if leastBusy != nil && isolated < limit {
		e = leastBusy
	}
	if e == nil {
		e, isolating = p.choose(engines, w, assumed, now), false
	}
	if e == nil {
		return nil
	}
	a := p.limits.Admit(w, e.Target, true)
	if w.maxRuns = a.MaxRuns; !a.Allowed {
		return nil
	}
	w.isolated = isolating && w.maxRuns > 0
	return e
}

// betterForIsolation says whether an engine suits an item that is set apart better than another.
func (p *Planner) betterForIsolation(q queue, e, other *Engine, assumed float64) bool {
	if slow := p.isSlow(q, e); slow != p.isSlow(q, other) {
		return !slow
	}
	if e.Running != other.Running {
		return e.Running < other.Running
	}
	return p.expectedPace(e, assumed) < p.expectedPace(other, assumed)
}

// applyIsolationLimit bounds what else may run beside an item that runs set apart.
func (w *Work) applyIsolationLimit() {
	if !w.isolated || w.engine == nil {
		return
	}
	if w.engine.isolationLimit == 0 || w.maxRuns < w.engine.isolationLimit {
		w.engine.isolationLimit = w.maxRuns
	}
}

// WaitingSince returns when the item's last run ended, or since when it waits for its first.
func (w *Work) WaitingSince() cf.Millis { return w.waitingSince }

// IsolationLimit returns how many runs an engine may have with the item while it runs, zero for no bound.
func (w *Work) IsolationLimit() int {
	if w.isolated {
		return w.maxRuns
	}
	return 0
}
