package cfrollout

import (
	"slices"

	cf "currantford"
)

// maxIsolatedShare is the part of a share's engines that may be isolated at once, so that the
// others can take the remaining items. In a share of two or three engines, one may always be
// isolated.
const maxIsolatedShare = 0.25

// Admission says whether an item may be sent to an engine now.
type Admission struct {
	Allowed bool
	// TryOthers says that another engine may take the item.
	TryOthers bool
	// RetryAt is when a paused item may be tried again, zero if the item is not paused.
	RetryAt cf.Millis
	// MaxRuns is how many runs an engine may have while it runs the item, zero for no limit. A
	// limit means that engines have crashed while they ran the item, so it must run at an isolated
	// engine.
	MaxRuns int
}

// admit returns an engine to which an item may be sent: e, the chosen engine, or another one if the
// item must not run together with the runs at e. It returns nil if no engine may get the item.
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
		// Other items may not be allowed there either, so each engine is rejected at most once per
		// planning pass.
		p.conflicts[e] = true
		rest := slices.DeleteFunc(slices.Clone(engines), func(o *Engine) bool { return p.conflicts[o] })
		e = p.choose(rest, w, assumed, now)
	}
	if w.maxRuns > 0 {
		return p.isolate(engines, q, w, assumed, now)
	}
	return nil
}

// isolate returns the engine for an item that may run only with few others or none: the least busy
// engine, which becomes isolated. If the maximum number of engines is already isolated, the item
// joins the runs at one of them. If it cannot, it goes to any engine with room, since it would wait
// too long otherwise. Two items that ran at the same engines when these crashed are retried at the
// same time, and should be kept apart if possible.
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

// betterForIsolation says whether an engine suits an isolated item better than another.
func (p *Planner) betterForIsolation(q queue, e, other *Engine, assumed float64) bool {
	if slow := p.isSlow(q, e); slow != p.isSlow(q, other) {
		return !slow
	}
	if e.Running != other.Running {
		return e.Running < other.Running
	}
	return p.expectedPace(e, assumed) < p.expectedPace(other, assumed)
}

// applyIsolationLimit limits the other runs at the engine of an isolated item.
func (w *Work) applyIsolationLimit() {
	if !w.isolated || w.engine == nil {
		return
	}
	if w.engine.isolationLimit == 0 || w.maxRuns < w.engine.isolationLimit {
		w.engine.isolationLimit = w.maxRuns
	}
}

// WaitingSince returns when the item's latest run ended, or since when it waits for its first run.
func (w *Work) WaitingSince() cf.Millis { return w.waitingSince }

// IsolationLimit returns how many runs the engine may have while it runs the item, zero for no
// limit.
func (w *Work) IsolationLimit() int {
	if w.isolated {
		return w.maxRuns
	}
	return 0
}
