package cfrollout

import (
	"slices"

	cf "currantford"
)

// apartPart is the part of a share's engines that may be set apart at once, though one of two
// or three always may: the others must take what else waits.
const apartPart = 0.25

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

// admitted returns the engine to which an item may be sent: e, the one that was chosen,
// or another where it may not meet what runs there; nil if it may be sent to none.
func (p *Planner) admitted(engines []*Engine, q queue, w *Work, e *Engine, typical float64, now cf.Millis) *Engine {
	w.apart = false
	if p.limits.Admit == nil {
		return e
	}
	for e != nil {
		a := p.limits.Admit(w, e.Target, false)
		w.most = a.MaxRuns
		switch {
		case a.Allowed:
			return e
		case a.RetryAt > now || !a.TryOthers && a.MaxRuns == 0:
			return nil
		case !a.TryOthers:
			return p.setApart(engines, q, w, typical, now)
		}
		// What this item may not meet there others may not either: each engine is found so
		// once in a look.
		p.conflicts[e] = true
		rest := slices.DeleteFunc(slices.Clone(engines), func(o *Engine) bool { return p.conflicts[o] })
		e = p.choose(rest, w, typical, now)
	}
	if w.most > 0 {
		return p.setApart(engines, q, w, typical, now)
	}
	return nil
}

// setApart returns the engine for an item that is to have few others beside it, or none: the one
// that runs least, which is then set apart. Where as many are as may be, the item joins others at
// one of them; where it can't, it goes wherever there is room, as it would wait for too long. Two
// items that lost the same engines are tried at the same time, and must not meet again as long as
// that can be helped.
func (p *Planner) setApart(engines []*Engine, q queue, w *Work, typical float64, now cf.Millis) *Engine {
	var joined, emptiest *Engine
	apart := 0
	for _, e := range engines {
		if e.most > 0 {
			apart++
		}
		if !e.open(w, now) || !e.hasRoom() || !p.fits(e, w) {
			continue
		}
		switch {
		case e.most == 0:
			if emptiest == nil || p.runsLess(q, e, emptiest, typical) {
				emptiest = e
			}
		case e.Running < min(e.most, w.most):
			if joined == nil || p.runsLess(q, e, joined, typical) {
				joined = e
			}
		}
	}
	most := 0
	if len(engines) > 1 {
		most = max(int(apartPart*float64(len(engines))), 1)
	}
	e, alone := joined, true
	if emptiest != nil && apart < most {
		e = emptiest
	}
	if e == nil {
		e, alone = p.choose(engines, w, typical, now), false
	}
	if e == nil {
		return nil
	}
	a := p.limits.Admit(w, e.Target, true)
	if w.most = a.MaxRuns; !a.Allowed {
		return nil
	}
	w.apart = alone && w.most > 0
	return e
}

// runsLess says whether an engine suits an item that is set apart better than another.
func (p *Planner) runsLess(q queue, e, other *Engine, typical float64) bool {
	if slow := p.slow(q, e); slow != p.slow(q, other) {
		return !slow
	}
	if e.Running != other.Running {
		return e.Running < other.Running
	}
	return p.expected(e, typical) < p.expected(other, typical)
}

// noteApart bounds what else may run beside an item that runs set apart.
func (w *Work) noteApart() {
	if !w.apart || w.engine == nil {
		return
	}
	if w.engine.most == 0 || w.most < w.engine.most {
		w.engine.most = w.most
	}
}

// WaitingSince returns when the item's last run ended, or since when it waits for its first.
func (w *Work) WaitingSince() cf.Millis { return w.waitsSince }

// IsolationLimit returns how many runs an engine may have with the item while it runs, zero for no bound.
func (w *Work) IsolationLimit() int {
	if w.apart {
		return w.most
	}
	return 0
}
