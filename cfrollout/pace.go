package cfrollout

import (
	"sync/atomic"

	cf "currantford"
)

const (
	// slotCost is how much slower each further running item makes the
	// others on its engine: 1.5 and 4% were measured on two kinds of
	// engines.
	slotCost = 0.03
	// paceWeight is the weight of the newest observation of an engine's
	// pace.
	paceWeight = 0.3
	// paceEvents and paceSpan are what a run must have shown before its
	// pace counts: the first events of a run come in bursts.
	paceEvents           = 4
	paceSpan   cf.Millis = 200
	// moveGain is the least that a move must be expected to save: a moved
	// run reads its text again, loses the event under way, and costs a
	// connection.
	moveGain = 250
	// residual is what a run is expected to have left, as a part of what it
	// has made: lengths are spread widely, so one that has made more has
	// more to come.
	residual = 0.5
	// moveRest is how long a run stays after it was moved: the pace of its
	// new engine must show first.
	moveRest cf.Millis = 800
)

// Progress is what a run has shown so far. The run notes it, the planner
// reads it.
type Progress struct {
	first  atomic.Int64 // Uptime of the first event
	last   atomic.Int64
	events atomic.Int64
}

// Note records an event at now.
func (p *Progress) Note(now cf.Millis) {
	p.first.CompareAndSwap(0, int64(now))
	p.last.Store(int64(now))
	p.events.Add(1)
}

// reset forgets the run before.
func (p *Progress) reset() {
	p.first.Store(0)
	p.last.Store(0)
	p.events.Store(0)
}

// pace returns the milliseconds that an event takes, as seen at now: a run
// that has stopped sending gets slower as time passes.
func (p *Progress) pace(now cf.Millis) (float64, bool) {
	first, events := cf.Millis(p.first.Load()), p.events.Load()
	if events < paceEvents || now-first < paceSpan {
		return 0, false
	}
	span := cf.Millis(p.last.Load()) - first
	pace := float64(span) / float64(events-1)
	if silent := float64(now - cf.Millis(p.last.Load())); silent > 3*pace {
		pace = (float64(span) + silent) / float64(events)
	}
	return pace, true
}

// observe updates the engines' pace from their runs.
func (p *Planner) observe(now cf.Millis) {
	sum, count := map[cf.InstanceID]float64{}, map[cf.InstanceID]float64{}
	p.eachRunning(func(w *Work) {
		if pace, ok := w.Progress.pace(now); ok {
			sum[w.Engine] += pace
			count[w.Engine]++
		}
	})
	for id, n := range count {
		e := p.engines[id]
		if e == nil {
			continue
		}
		alone := sum[id] / n / (1 + slotCost*float64(e.Running))
		if e.pace == 0 {
			e.pace = alone
		}
		e.pace += paceWeight * (alone - e.pace)
	}
}

func (p *Planner) eachRunning(f func(*Work)) {
	for _, o := range p.batches {
		for _, w := range o.running {
			f(w)
		}
	}
	for _, w := range p.orphans {
		f(w)
	}
}

// expected is what an event would take on an engine with one more run.
func (e *Engine) expected(typical float64) float64 {
	pace := e.pace
	if pace == 0 {
		pace = typical
	}
	return pace * (1 + slotCost*float64(e.Running+1))
}

// Pace returns the milliseconds that an event takes with one run, zero where
// it has not shown yet.
func (e *Engine) Pace() float64 { return e.pace }

// typical is the pace assumed of an engine that has not shown its own.
func (p *Planner) typical() float64 {
	sum, n := 0.0, 0
	for _, e := range p.engines {
		if e.pace > 0 {
			sum += e.pace
			n++
		}
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// Moves returns the runs to stop because another engine would finish them
// sooner, and makes them wait for any engine but theirs. The load it answers:
// an engine turns several times slower in mid-step, and the step would wait
// for its longest item there.
func (p *Planner) Moves(now cf.Millis) []*Work {
	p.observe(now)
	typical := p.typical()
	var out []*Work
	for _, o := range p.sorted() {
		if len(o.waiting) > 0 {
			continue // free slots are for those that have not begun
		}
		room := &fastest{engines: p.share(o), typical: typical, taken: map[cf.InstanceID]int{}}
		for _, w := range o.running {
			if e := p.better(room, w, now); e != nil {
				room.take(e)
				w.moving, w.Avoid, w.avoidUntil = true, w.Engine, now+moveRest
				out = append(out, w)
			}
		}
	}
	return out
}

// fastest finds the engine of a share on which one more run would be fastest,
// and keeps it until a run has taken its slot.
type fastest struct {
	engines []*Engine
	typical float64
	taken   map[cf.InstanceID]int
	best    *Engine
	pace    float64
	found   bool
}

func (f *fastest) take(e *Engine) {
	f.taken[e.ID]++
	f.found = false
}

// find returns the engine, nil if none has room.
func (f *fastest) find(now cf.Millis) (*Engine, float64) {
	if f.found {
		return f.best, f.pace
	}
	f.best, f.found = nil, true
	for _, e := range f.engines {
		if e.Running+f.taken[e.ID] >= e.Slots || now < e.avoid || e.loading > 0 || e.Draining || e.pace == 0 {
			continue
		}
		if x := e.expected(f.typical); f.best == nil || x < f.pace {
			f.best, f.pace = e, x
		}
	}
	return f.best, f.pace
}

// better returns an engine that a run should move to.
func (p *Planner) better(room *fastest, w *Work, now cf.Millis) *Engine {
	from := p.engines[w.Engine]
	if from == nil || w.moving || now-w.Started < moveRest {
		return nil
	}
	pace, ok := w.Progress.pace(now)
	if !ok {
		return nil
	}
	best, bestPace := room.find(now)
	if best == nil || best == from || !best.takes(w, now) {
		return nil
	}
	left := residual * float64(w.Progress.events.Load())
	if left*(pace-bestPace) < moveGain {
		return nil
	}
	return best
}
