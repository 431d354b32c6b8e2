package cfrollout

import (
	cf "currantford"
)

// Waiting counts the items that wait for an engine.
func (p *Planner) Waiting() int {
	n := 0
	for _, o := range p.batches {
		n += len(o.waiting)
	}
	return n
}

// KeptAt records that a connection to an engine is kept until then.
func (p *Planner) KeptAt(id cf.InstanceID, until cf.Millis) {
	if e := p.engines[id]; e != nil {
		p.Kept(&Work{engine: e, born: e.Born}, until)
	}
}

// Last returns when the latest event was noted.
func (p *Progress) Last() cf.Millis { return cf.Millis(p.last.Load()) }

// KeepSlot keeps a slot of an engine for a run.
func (p *Planner) KeepSlot(w *Work, id cf.InstanceID, now cf.Millis) {
	p.reserve(w, p.engines[id], now)
}
