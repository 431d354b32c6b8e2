package cfrollout

import (
	cf "currantford"
	"currantford/core/cfslow"
)

// WaitingCount returns the number of items that wait for an engine.
func (p *Planner) WaitingCount() int {
	n := 0
	for _, o := range p.batches {
		n += len(o.waiting)
	}
	return n
}

// ConnectionKeptAt records that a connection to an engine stays open until the given time.
func (p *Planner) ConnectionKeptAt(id cf.InstanceID, until cf.Millis) {
	if e := p.engines[id]; e != nil {
		p.ConnectionKept(&Work{engine: e, engineStarted: e.Started}, until)
	}
}

// LastEvent returns when the latest event was recorded.
func (p *Progress) LastEvent() cf.Millis { return cf.Millis(p.last.Load()) }

// ReserveSlot reserves a slot of an engine for a run.
func (p *Planner) ReserveSlot(w *Work, id cf.InstanceID, now cf.Millis) {
	p.reserve(w, p.engines[id], now)
}

// SimulatePeriods makes the planner observe slow periods and lets the current runs show the pace of
// their engines until now: 40 ms, and 100 ms for the last 250 ms at slow engines.
func (p *Planner) SimulatePeriods(slow func(cf.InstanceID) bool, now cf.Millis) {
	s := &cfslow.EngineState{}
	for at := now - 8000; at < now; at += 50 {
		pace := 40.0
		if at%800 < 300 {
			pace = 100
		}
		s.Observe(&p.periods, pace, 40, at)
	}
	for at := now - 1000; at <= now; at += 10 {
		p.eachRunning(func(w *Work) {
			pace := cf.Millis(40)
			if at > now-250 && slow(w.Engine) {
				pace = 100
			}
			if (now-at)%pace == 0 {
				w.Progress.RecordEvent(at)
			}
		})
		p.updatePaces(at)
	}
}

// UndoMoves cancels moves, so that the next planning pass starts from the same state.
func (p *Planner) UndoMoves(works []*Work) {
	for _, w := range works {
		p.releaseSlot(w)
		w.moving, w.moves, w.AvoidEngine = false, 0, ""
	}
}
