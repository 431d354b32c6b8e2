package cfrollout

import (
	"slices"
	"sync/atomic"

	cf "currantford"
)

const (
	// paceWeight is the weight of the newest observation of an engine's
	// pace.
	paceWeight = 0.3
	// paceEvents and paceSpan are what a run must have shown before its
	// pace counts: the first events of a run come in bursts.
	paceEvents           = 4
	paceSpan   cf.Millis = 200
	// gapWeight is the weight of the newest gap between events in a run's
	// pace: an engine that turns slow shows within some five events, where the
	// mean over the whole run would take seconds.
	gapWeight = 0.2
	// slowPace is how many times slower than its share an engine is that gets
	// only what it ends before another would.
	slowPace = 1.8
	// lengthWeight is the weight of the newest text in what is known of the
	// lengths of texts, about those of two steps.
	lengthWeight = 0.005
	// moveGain is the least that a move must be expected to save: a moved
	// run reads its text again, loses the event under way, and costs a
	// connection.
	moveGain = 250
	// moveDoublings bounds how often that is doubled.
	moveDoublings = 5
	// moveFactor is how many times faster the other engine must be: what is
	// known of paces is within some 10% of what a run then shows.
	moveFactor = 1.25
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
	gap    atomic.Int64 // smoothed time between events, in microseconds
	latest atomic.Int64 // time between the last two, in microseconds
	// seen is the time until which all events are known, zero where each is
	// noted as it comes.
	seen atomic.Int64
}

// Note records an event at now. One goroutine at a time calls it.
func (p *Progress) Note(now cf.Millis) {
	if !p.first.CompareAndSwap(0, int64(now)) {
		gap := float64(int64(now)-p.last.Load()) * 1000
		p.latest.Store(int64(gap))
		if old := float64(p.gap.Load()); p.events.Load() > 1 {
			gap = old + gapWeight*(gap-old)
		}
		p.gap.Store(int64(gap))
	}
	p.last.Store(int64(now))
	p.events.Add(1)
}

// SeenUntil records that all events until at are known. An engine that merely has not
// been heard of for a while is not taken for one that has stopped sending.
func (p *Progress) SeenUntil(at cf.Millis) { p.seen.Store(int64(at)) }

// reset forgets the run before.
func (p *Progress) reset() {
	p.seen.Store(0)
	p.first.Store(0)
	p.last.Store(0)
	p.events.Store(0)
	p.gap.Store(0)
	p.latest.Store(0)
}

// pace returns the milliseconds that an event takes, as seen at now: a run
// that has stopped sending gets slower as time passes.
func (p *Progress) pace(now cf.Millis) (float64, bool) {
	first, events := cf.Millis(p.first.Load()), p.events.Load()
	if events < paceEvents || now-first < paceSpan {
		return 0, false
	}
	pace := float64(p.gap.Load()) / 1000
	if seen := cf.Millis(p.seen.Load()); seen > 0 {
		now = min(now, seen)
	}
	if silent := float64(now - cf.Millis(p.last.Load())); silent > 3*pace {
		pace += gapWeight * (silent - pace) // as if the next event came now
	}
	return pace, true
}

// observe updates the engines' pace from their runs.
func (p *Planner) observe(now cf.Millis) {
	sum, count := map[*Engine]float64{}, map[*Engine]float64{}
	shown := p.newPaceSamples(now)
	p.eachRunning(func(w *Work) {
		e := p.at(w)
		if e == nil {
			return
		}
		shown.add(w, e)
		if pace, ok := w.Progress.pace(now); ok {
			sum[e] += pace
			count[e]++
		}
	})
	p.notePeriods(shown)
	byPeriods := p.byPeriods(now)
	for e, n := range count {
		if usual := e.state.BaselinePace(); byPeriods && e.pace > 0 && usual > 0 {
			e.pace = min(max(e.pace, usual/lastingFactor), usual)
			if !e.state.Quiet(minNormalTime, now) {
				continue // it shows a period or a load, not the engine or what its runs cost
			}
		}
		pace := sum[e] / n
		p.slots.note(e, pace, now)
		alone := pace / p.slots.factor(e.Running)
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
func (p *Planner) expected(e *Engine, typical float64) float64 {
	pace := e.pace
	if pace == 0 {
		pace = typical
	}
	return pace * p.slots.factor(e.Running+1)
}

// full is what an event would take on an engine whose slots are all taken.
func (p *Planner) full(e *Engine) float64 { return e.pace * p.slots.factor(e.Slots) }

// Pace returns the milliseconds that an event takes with one run, zero where
// it has not shown yet.
func (e *Engine) Pace() float64 { return e.pace }

// typicalEvery is how long what is usual counts.
const typicalEvery cf.Millis = 200

// typical is the pace assumed of an engine that has not shown its own.
func (p *Planner) typical() float64 {
	if p.usualAt >= 0 && p.now-p.usualAt < typicalEvery && p.now >= p.usualAt {
		return p.usual
	}
	var paces []float64
	for _, es := range p.shares {
		for _, e := range es {
			if e.pace > 0 {
				paces = append(paces, e.pace)
			}
		}
	}
	p.usual, p.usualAt = 1, p.now
	if len(paces) == 0 {
		p.usualAt = -1 // the first that shows counts at once
		return p.usual
	}
	slices.Sort(paces)
	p.usual = paces[(len(paces)-1)/2]
	return p.usual
}

// TypicalPace returns the milliseconds that an event takes with one run at a usual engine, zero
// while none has shown it.
func (p *Planner) TypicalPace() float64 {
	if pace := p.typical(); p.usualAt >= 0 {
		return pace
	}
	return 0
}

// Moves returns the runs to stop because another engine would finish them
// sooner, and makes them wait for any engine but theirs. The load it answers:
// an engine turns several times slower in mid-step, and the step would wait
// for its longest item there.
func (p *Planner) Moves(now cf.Millis) []*Work {
	p.now = now
	p.observe(now)
	p.releaseExpiredSlots(now)
	p.takeSizes()
	typical := p.typical()
	var out []*Work
	for _, o := range p.sorted() {
		var moves []*Work
		switch {
		case p.byPeriods(now):
			moves = p.periodMoves(o, now)
		case len(o.waiting) > 0:
			moves = p.urgentMoves(o, now)
		default:
			moves = p.movesToRoom(o, typical, now)
		}
		for _, w := range moves {
			w.moving, w.AvoidEngine, w.avoidUntil = true, w.Engine, now+moveRest
			w.movedAt = now
			w.moves++
		}
		out = append(out, moves...)
	}
	return out
}

// movesToRoom returns the runs that would end sooner at an engine with room.
func (p *Planner) movesToRoom(o *open, typical float64, now cf.Millis) []*Work {
	room := &fastest{planner: p, engines: p.share(o), typical: typical, taken: map[cf.InstanceID]int{}}
	var out []*Work
	for _, w := range o.running {
		if e := p.better(room, w, now); e != nil {
			room.take(e)
			out = append(out, w)
		}
	}
	return out
}

// urgentMoves returns the runs at slow engines that are worth more than the items
// that wait: each stands first in line for the next slot that frees. The load it
// answers: a step several times the slots, whose long texts began at an engine
// that then turned slow; by the time that nothing waits they are late for good.
// A few at a time, since a slot frees every few milliseconds.
func (p *Planner) urgentMoves(o *open, now cf.Millis) []*Work {
	q := p.queueOf(o)
	if q.pace == 0 {
		return nil
	}
	most := max(q.slots/slotsPerMove, 1)
	var out []*Work
	for _, w := range o.running {
		e := p.at(w)
		if e == nil || w.moving || now-w.Started < moveRest || !p.slow(q, e) {
			continue
		}
		pace, shown := w.Progress.pace(now)
		if shown && p.left(w)*(pace-q.pace)-q.wait(1) >= w.moveGain() && len(out) < most {
			out = append(out, w)
		}
	}
	return out
}

// slotsPerMove is for how many slots of a share one run may be moved at a look.
const slotsPerMove = 32

// queue is how the waiting items of a batch are served.
type queue struct {
	// pace is what an event takes at a usual engine of the share that is full,
	// zero while it is not known.
	pace float64
	// slots are those of the engines that are not slow.
	slots int
	// run is what an item takes on average, in ms.
	run float64
}

// queueOf returns how a batch's items are served.
func (p *Planner) queueOf(o *open) queue {
	return p.queueAt(p.share(o), func(e *Engine) bool {
		return !e.Draining && e.versions[e.Model] >= o.batch.Sub.MinVersion
	})
}

// queueFor returns how an item is served: one of a route for samples of one version may go
// on with its text at engines of that version alone.
func (p *Planner) queueFor(q queue, o *open, w *Work) queue {
	if !w.Terms.SingleVersion || len(w.Text.Versions) == 0 {
		return q
	}
	return p.queueAt(p.share(o), func(e *Engine) bool { return e.serves(w) })
}

// queueAt returns how those of some engines serve that do.
func (p *Planner) queueAt(engines []*Engine, serving func(*Engine) bool) queue {
	var paces []float64
	for _, e := range engines {
		if e.pace > 0 && serving(e) {
			paces = append(paces, p.full(e))
		}
	}
	if len(paces) == 0 {
		return queue{}
	}
	slices.Sort(paces)
	q := queue{pace: paces[len(paces)/2]}
	for _, e := range engines {
		if serving(e) && !p.slow(q, e) {
			q.slots += e.Slots
		}
	}
	q.run = p.lengths.events * q.pace
	return q
}

// slow says whether an engine is much slower than its share, for good or for now.
func (p *Planner) slow(q queue, e *Engine) bool {
	return q.pace > 0 && (p.full(e) > slowPace*q.pace || p.byPeriods(p.now) && e.state.Slow(p.now))
}

// wait is how long the nth in line waits for a slot at a usual engine, in ms.
func (q queue) wait(n int) float64 {
	if q.slots == 0 {
		return 0
	}
	return float64(n) * q.run / float64(q.slots)
}

// lengths is what is known of how long texts are.
type lengths struct {
	events  float64 // of a text, on average
	hint    float64 // the guess of its submitter, on average, of those with one
	hinted  float64 // events of those
	started bool
}

// note takes a text that is complete.
func (l *lengths) note(w *Work) {
	n, hint := float64(w.Text.Last), float64(w.Item.LengthHint)
	if !l.started {
		l.events, l.started = n, true
	}
	l.events += lengthWeight * (n - l.events)
	if hint > 0 {
		l.hint += lengthWeight * (hint - l.hint)
		l.hinted += lengthWeight * (n - l.hinted)
	}
}

// of returns the events that an item is expected to have, zero if nothing is
// known.
func (l *lengths) of(it cf.Item) float64 {
	if it.LengthHint > 0 && l.hint > 0 {
		return float64(it.LengthHint) * l.hinted / l.hint
	}
	return l.events
}

// left returns the events that an item is expected to have left.
func (p *Planner) left(w *Work) float64 {
	made := w.made()
	return max(p.lengths.of(w.Item)-made, residual*made)
}

// fastest finds the engine of a share on which one more run would be fastest,
// and keeps it until a run has taken its slot.
type fastest struct {
	planner *Planner
	engines []*Engine
	typical float64
	taken   map[cf.InstanceID]int
	best    *Engine
	pace    float64
	found   bool
}

func (f *fastest) take(e *Engine) {
	f.taken[e.ID]++ // its memory is counted when the run begins there
	f.found = false
}

// find returns the engine, nil if none has room.
func (f *fastest) find(now cf.Millis) (*Engine, float64) {
	if f.found {
		return f.best, f.pace
	}
	f.best, f.found = nil, true
	for _, e := range f.engines {
		if e.most > 0 || e.Running+e.reserved+f.taken[e.ID] >= e.Slots || now < e.avoid || e.loading > 0 || e.Draining {
			continue
		}
		if x := f.planner.expected(e, f.typical); f.best == nil || x < f.pace {
			f.best, f.pace = e, x
		}
	}
	return f.best, f.pace
}

// better returns an engine that a run should move to.
func (p *Planner) better(room *fastest, w *Work, now cf.Millis) *Engine {
	from := p.at(w)
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
	if pace < moveFactor*bestPace || p.left(w)*(pace-bestPace) < w.moveGain() || !p.fits(best, w) {
		return nil
	}
	return best
}

// moveGain is what a move must be expected to save, in ms. Each one doubles it: what
// the moves before were to save they did not, so the estimate is not to be trusted.
func (w *Work) moveGain() float64 { return moveGain * float64(int(1)<<min(w.moves, moveDoublings)) }
