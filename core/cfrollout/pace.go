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
	// minPaceEvents and paceSpan are what a run must have shown before its
	// pace counts: the first events of a run come in bursts.
	minPaceEvents           = 4
	minPaceSpan   cf.Millis = 200
	// gapWeight is the weight of the newest gap between events in a run's
	// pace: an engine that turns slow shows within some five events, where the
	// mean over the whole run would take seconds.
	gapWeight = 0.2
	// slowFactor is how many times slower than its share an engine is that gets
	// only what it ends before another would.
	slowFactor = 1.8
	// lengthWeight is the weight of the newest text in what is known of the
	// lengths of texts, about those of two steps.
	lengthWeight = 0.005
	// minMoveGain is the least that a move must be expected to save: a moved
	// run reads its text again, loses the event under way, and costs a
	// connection.
	minMoveGain = 250
	// maxGainDoublings bounds how often that is doubled.
	maxGainDoublings = 5
	// minMoveSpeedup is how many times faster the other engine must be: what is
	// known of paces is within some 10% of what a run then shows.
	minMoveSpeedup = 1.25
	// residualShare is what a run is expected to have left, as a part of what it
	// has made: lengths are spread widely, so one that has made more has
	// more to come.
	residualShare = 0.5
	// minMoveInterval is how long a run stays after it was moved: the pace of its
	// new engine must show first.
	minMoveInterval cf.Millis = 800
)

// Progress is what a run has shown so far. The run notes it, the planner
// reads it.
type Progress struct {
	first       atomic.Int64 // Uptime of the first event
	last        atomic.Int64
	events      atomic.Int64
	smoothedGap atomic.Int64 // smoothed time between events, in microseconds
	latestGap   atomic.Int64 // time between the last two, in microseconds
	// seenUntil is the time until which all events are known, zero where each is
	// noted as it comes.
	seenUntil atomic.Int64
}

// Note records an event at now. One goroutine at a time calls it.
func (p *Progress) Note(now cf.Millis) {
	if !p.first.CompareAndSwap(0, int64(now)) {
		gap := float64(int64(now)-p.last.Load()) * 1000
		p.latestGap.Store(int64(gap))
		if old := float64(p.smoothedGap.Load()); p.events.Load() > 1 {
			gap = old + gapWeight*(gap-old)
		}
		p.smoothedGap.Store(int64(gap))
	}
	p.last.Store(int64(now))
	p.events.Add(1)
}

// SeenUntil records that all events until at are known. An engine that merely has not
// been heard of for a while is not taken for one that has stopped sending.
func (p *Progress) SeenUntil(at cf.Millis) { p.seenUntil.Store(int64(at)) }

// reset forgets the run before.
func (p *Progress) reset() {
	p.seenUntil.Store(0)
	p.first.Store(0)
	p.last.Store(0)
	p.events.Store(0)
	p.smoothedGap.Store(0)
	p.latestGap.Store(0)
}

// pace returns the milliseconds that an event takes, as seen at now: a run
// that has stopped sending gets slower as time passes.
func (p *Progress) pace(now cf.Millis) (float64, bool) {
	first, events := cf.Millis(p.first.Load()), p.events.Load()
	if events < minPaceEvents || now-first < minPaceSpan {
		return 0, false
	}
	pace := float64(p.smoothedGap.Load()) / 1000
	if seen := cf.Millis(p.seenUntil.Load()); seen > 0 {
		now = min(now, seen)
	}
	if silent := float64(now - cf.Millis(p.last.Load())); silent > 3*pace {
		pace += gapWeight * (silent - pace) // as if the next event came now
	}
	return pace, true
}

// updatePaces updates the engines' pace from their runs.
func (p *Planner) updatePaces(now cf.Millis) {
	sum, count := map[*Engine]float64{}, map[*Engine]float64{}
	samples := p.newPaceSamples(now)
	p.eachRunning(func(w *Work) {
		e := p.currentEngine(w)
		if e == nil {
			return
		}
		samples.add(w, e)
		if pace, ok := w.Progress.pace(now); ok {
			sum[e] += pace
			count[e]++
		}
	})
	p.notePeriods(samples)
	byPeriods := p.usesPeriods(now)
	for e, n := range count {
		if usual := e.state.BaselinePace(); byPeriods && e.pace > 0 && usual > 0 {
			e.pace = min(max(e.pace, usual/lastingSlowdown), usual)
			if !e.state.Quiet(minNormalTime, now) {
				continue // it shows a period or a load, not the engine or what its runs cost
			}
		}
		pace := sum[e] / n
		p.slotCost.note(e, pace, now)
		alone := pace / p.slotCost.factor(e.Running)
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

// expectedPace is what an event would take on an engine with one more run.
func (p *Planner) expectedPace(e *Engine, assumed float64) float64 {
	pace := e.pace
	if pace == 0 {
		pace = assumed
	}
	return pace * p.slotCost.factor(e.Running+1)
}

// fullPace is what an event would take on an engine whose slots are all taken.
func (p *Planner) fullPace(e *Engine) float64 { return e.pace * p.slotCost.factor(e.Slots) }

// Pace returns the milliseconds that an event takes with one run, zero where
// it has not shown yet.
func (e *Engine) Pace() float64 { return e.pace }

// paceCacheTime is how long what is usual counts.
const paceCacheTime cf.Millis = 200

// assumedPace is the pace assumed of an engine that has not shown its own.
func (p *Planner) assumedPace() float64 {
	if p.cachedPaceAt >= 0 && p.now-p.cachedPaceAt < paceCacheTime && p.now >= p.cachedPaceAt {
		return p.cachedPace
	}
	var paces []float64
	for _, es := range p.shares {
		for _, e := range es {
			if e.pace > 0 {
				paces = append(paces, e.pace)
			}
		}
	}
	p.cachedPace, p.cachedPaceAt = 1, p.now
	if len(paces) == 0 {
		p.cachedPaceAt = -1 // the first that shows counts at once
		return p.cachedPace
	}
	slices.Sort(paces)
	p.cachedPace = paces[(len(paces)-1)/2]
	return p.cachedPace
}

// TypicalPace returns the milliseconds that an event takes with one run at a usual engine, zero
// while none has shown it.
func (p *Planner) TypicalPace() float64 {
	if pace := p.assumedPace(); p.cachedPaceAt >= 0 {
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
	p.updatePaces(now)
	p.releaseExpiredSlots(now)
	p.updateUsage()
	assumed := p.assumedPace()
	var out []*Work
	for _, o := range p.sortedBatches() {
		var moves []*Work
		switch {
		case p.usesPeriods(now):
			moves = p.periodMoves(o, now)
		case len(o.waiting) > 0:
			moves = p.urgentMoves(o, now)
		default:
			moves = p.movesToFreeSlots(o, assumed, now)
		}
		for _, w := range moves {
			w.moving, w.AvoidEngine, w.avoidUntil = true, w.Engine, now+minMoveInterval
			w.movedAt = now
			w.moves++
		}
		out = append(out, moves...)
	}
	return out
}

// movesToFreeSlots returns the runs that would end sooner at an engine with room.
func (p *Planner) movesToFreeSlots(o *openBatch, assumed float64, now cf.Millis) []*Work {
	room := &fastestFree{planner: p, engines: p.enginesFor(o), assumed: assumed, taken: map[cf.InstanceID]int{}}
	var out []*Work
	for _, w := range o.running {
		if e := p.betterEngine(room, w, now); e != nil {
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
func (p *Planner) urgentMoves(o *openBatch, now cf.Millis) []*Work {
	q := p.queueOf(o)
	if q.pace == 0 {
		return nil
	}
	most := max(q.slots/slotsPerMove, 1)
	var out []*Work
	for _, w := range o.running {
		e := p.currentEngine(w)
		if e == nil || w.moving || now-w.Started < minMoveInterval || !p.isSlow(q, e) {
			continue
		}
		pace, shown := w.Progress.pace(now)
		if shown && p.remaining(w)*(pace-q.pace)-q.wait(1) >= w.requiredGain() && len(out) < most {
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
	// itemTime is what an item takes on average, in ms.
	itemTime float64
}

// queueOf returns how a batch's items are served.
func (p *Planner) queueOf(o *openBatch) queue {
	return p.queueOver(p.enginesFor(o), func(e *Engine) bool {
		return !e.Draining && e.versions[e.Model] >= o.batch.Sub.MinVersion
	})
}

// queueFor returns how an item is served: one of a route for samples of one version may go
// on with its text at engines of that version alone.
func (p *Planner) queueFor(q queue, o *openBatch, w *Work) queue {
	if !w.Terms.SingleVersion || len(w.Text.Versions) == 0 {
		return q
	}
	return p.queueOver(p.enginesFor(o), func(e *Engine) bool { return e.serves(w) })
}

// queueOver returns how those of some engines serve that do.
func (p *Planner) queueOver(engines []*Engine, serving func(*Engine) bool) queue {
	var paces []float64
	for _, e := range engines {
		if e.pace > 0 && serving(e) {
			paces = append(paces, p.fullPace(e))
		}
	}
	if len(paces) == 0 {
		return queue{}
	}
	slices.Sort(paces)
	q := queue{pace: paces[len(paces)/2]}
	for _, e := range engines {
		if serving(e) && !p.isSlow(q, e) {
			q.slots += e.Slots
		}
	}
	q.itemTime = p.lengths.mean * q.pace
	return q
}

// isSlow says whether an engine is much slower than its share, for good or for now.
func (p *Planner) isSlow(q queue, e *Engine) bool {
	return q.pace > 0 && (p.fullPace(e) > slowFactor*q.pace || p.usesPeriods(p.now) && e.state.Slow(p.now))
}

// wait is how long the nth in line waits for a slot at a usual engine, in ms.
func (q queue) wait(n int) float64 {
	if q.slots == 0 {
		return 0
	}
	return float64(n) * q.itemTime / float64(q.slots)
}

// lengths is what is known of how long texts are.
type lengths struct {
	mean       float64 // of a text, on average
	meanHint   float64 // the guess of its submitter, on average, of those with one
	meanHinted float64 // events of those
	started    bool
}

// note takes a text that is complete.
func (l *lengths) note(w *Work) {
	n, hint := float64(w.Text.Last), float64(w.Item.LengthHint)
	if !l.started {
		l.mean, l.started = n, true
	}
	l.mean += lengthWeight * (n - l.mean)
	if hint > 0 {
		l.meanHint += lengthWeight * (hint - l.meanHint)
		l.meanHinted += lengthWeight * (n - l.meanHinted)
	}
}

// expected returns the events that an item is expected to have, zero if nothing is
// known.
func (l *lengths) expected(it cf.Item) float64 {
	if it.LengthHint > 0 && l.meanHint > 0 {
		return float64(it.LengthHint) * l.meanHinted / l.meanHint
	}
	return l.mean
}

// remaining returns the events that an item is expected to have left.
func (p *Planner) remaining(w *Work) float64 {
	generated := w.generated()
	return max(p.lengths.expected(w.Item)-generated, residualShare*generated)
}

// fastestFree finds the engine of a share on which one more run would be fastest,
// and keeps it until a run has taken its slot.
type fastestFree struct {
	planner *Planner
	engines []*Engine
	assumed float64
	taken   map[cf.InstanceID]int
	best    *Engine
	pace    float64
	found   bool
}

func (f *fastestFree) take(e *Engine) {
	f.taken[e.ID]++ // its memory is counted when the run begins there
	f.found = false
}

// find returns the engine, nil if none has room.
func (f *fastestFree) find(now cf.Millis) (*Engine, float64) {
	if f.found {
		return f.best, f.pace
	}
	f.best, f.found = nil, true
	for _, e := range f.engines {
		if e.isolationLimit > 0 || e.Running+e.reserved+f.taken[e.ID] >= e.Slots || now < e.avoidUntil || e.loading > 0 || e.Draining {
			continue
		}
		if x := f.planner.expectedPace(e, f.assumed); f.best == nil || x < f.pace {
			f.best, f.pace = e, x
		}
	}
	return f.best, f.pace
}

// betterEngine returns an engine that a run should move to.
func (p *Planner) betterEngine(room *fastestFree, w *Work, now cf.Millis) *Engine {
	from := p.currentEngine(w)
	if from == nil || w.moving || now-w.Started < minMoveInterval {
		return nil
	}
	pace, ok := w.Progress.pace(now)
	if !ok {
		return nil
	}
	best, bestPace := room.find(now)
	if best == nil || best == from || !best.canStart(w, now) {
		return nil
	}
	if pace < minMoveSpeedup*bestPace || p.remaining(w)*(pace-bestPace) < w.requiredGain() || !p.fitsMemory(best, w) {
		return nil
	}
	return best
}

// requiredGain is what a move must be expected to save, in ms. Each one doubles it: what
// the moves before were to save they did not, so the estimate is not to be trusted.
func (w *Work) requiredGain() float64 {
	return minMoveGain * float64(int(1)<<min(w.moves, maxGainDoublings))
}
