package cfrollout

import (
	"slices"
	"sync/atomic"

	cf "currantford"
)

const (
	// paceWeight is the weight of a new observation of an engine's pace.
	paceWeight = 0.3
	// minPaceEvents and minPaceSpan are the number of events and the time after which a run's pace
	// counts, because the first events of a run come in bursts.
	minPaceEvents           = 4
	minPaceSpan   cf.Millis = 200
	// gapWeight is the weight of a new gap between events in a run's pace. An engine that becomes
	// slow shows within about five events; the mean over the whole run would take seconds.
	gapWeight = 0.2
	// slowFactor is how many times slower than its share an engine must be to count as slow. Slow
	// engines get only items that end there sooner than they would end after waiting for another
	// engine.
	slowFactor = 1.8
	// lengthWeight is the weight of a new text in the mean lengths, which average over about two
	// steps.
	lengthWeight = 0.005
	// minMoveGain is the least time that a move must be expected to save, in ms. A moved run
	// processes its text again, loses the current event and needs a connection.
	minMoveGain = 250
	// maxDoublings limits how often minMoveGain is doubled.
	maxDoublings = 5
	// minMoveSpeedup is how many times faster the new engine must be. Known paces are accurate to
	// about 10%.
	minMoveSpeedup = 1.25
	// residualShare is the minimum remaining length of a run, as a part of the text generated so
	// far. Lengths vary widely, so a run that has generated more is expected to have more to come.
	residualShare = 0.5
	// minMoveInterval is how long a run stays after a move, because the pace of its new engine must
	// show first.
	minMoveInterval cf.Millis = 800
)

// Progress is the observed progress of a run. The run updates it, and the planner reads it.
type Progress struct {
	first       atomic.Int64 // Uptime of the first event
	last        atomic.Int64
	events      atomic.Int64
	smoothedGap atomic.Int64 // moving average of the time between events, in microseconds
	lastGap     atomic.Int64 // time between the last two events, in microseconds
	// seenUntil is the time until which all events are known, zero if each event is recorded as it
	// arrives.
	seenUntil atomic.Int64
}

// RecordEvent records an event at now. It must not be called concurrently.
func (p *Progress) RecordEvent(now cf.Millis) {
	if !p.first.CompareAndSwap(0, int64(now)) {
		gap := float64(int64(now)-p.last.Load()) * 1000
		p.lastGap.Store(int64(gap))
		if old := float64(p.smoothedGap.Load()); p.events.Load() > 1 {
			gap = old + gapWeight*(gap-old)
		}
		p.smoothedGap.Store(int64(gap))
	}
	p.last.Store(int64(now))
	p.events.Add(1)
}

// SeenUntil records that all events until at are known, so that an engine from which no news has
// arrived does not count as one that has stopped sending.
func (p *Progress) SeenUntil(at cf.Millis) { p.seenUntil.Store(int64(at)) }

// reset clears the progress of the previous run.
func (p *Progress) reset() {
	p.seenUntil.Store(0)
	p.first.Store(0)
	p.last.Store(0)
	p.events.Store(0)
	p.smoothedGap.Store(0)
	p.lastGap.Store(0)
}

// pace returns the time of an event in ms as observed at now. The pace of a run that has stopped
// sending rises over time.
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
		pace += gapWeight * (silent - pace) // as if the next event arrived now
	}
	return pace, true
}

// updatePaces updates the engines' paces from their runs.
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
				continue // the pace shows a slow period or a load, not the engine or the cost of its runs
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

// expectedPace returns the expected time of an event at an engine with one more run. assumed is the
// pace of an engine that has not shown its own.
func (p *Planner) expectedPace(e *Engine, assumed float64) float64 {
	pace := e.pace
	if pace == 0 {
		pace = assumed
	}
	return pace * p.slotCost.factor(e.Running+1)
}

// fullPace returns the time of an event at an engine with all slots in use.
func (p *Planner) fullPace(e *Engine) float64 { return e.pace * p.slotCost.factor(e.Slots) }

// Pace returns the time of an event without the slowdown from concurrent runs, in ms, zero until it
// was observed.
func (e *Engine) Pace() float64 { return e.pace }

// paceCacheTime is how long the result of assumedPace is reused.
const paceCacheTime cf.Millis = 200

// assumedPace returns the pace assumed for an engine that has not shown its own: the median of the
// others.
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
		p.cachedPaceAt = -1 // use the first observed pace immediately
		return p.cachedPace
	}
	slices.Sort(paces)
	p.cachedPace = paces[(len(paces)-1)/2]
	return p.cachedPace
}

// TypicalPace returns the time of an event with a single run at a typical engine, in ms, zero until
// a pace was observed.
func (p *Planner) TypicalPace() float64 {
	if pace := p.assumedPace(); p.cachedPaceAt >= 0 {
		return pace
	}
	return 0
}

// Moves returns the runs to stop because another engine would finish them sooner, and keeps them
// from returning to their engine. When an engine becomes several times slower during a step, the
// step would otherwise wait for its longest item there.
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

// movesToFreeSlots returns the runs that would end sooner at an engine with a free slot.
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

// urgentMoves returns the runs at slow engines that matter more than the waiting items; each goes
// to the front of the queue for the next free slot. In a step with several times more items than
// slots, the long texts may have started at an engine that became slow later, and once no item
// waits it is too late for them to be in time. Only a few runs move at a time, since a slot becomes
// free every few milliseconds.
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
		if shown && p.remaining(w)*(pace-q.pace)-q.wait(1) >= w.minGain() && len(out) < most {
			out = append(out, w)
		}
	}
	return out
}

// slotsPerMove is the number of slots of a share per run that may move in one planning pass.
const slotsPerMove = 32

// queue describes how the waiting items of a batch are served.
type queue struct {
	// pace is the time of an event at a typical full engine of the share, zero if unknown.
	pace float64
	// slots is the number of slots of the engines that are not slow.
	slots int
	// itemTime is the average duration of an item, in ms.
	itemTime float64
}

// queueOf returns the queue of a batch's items.
func (p *Planner) queueOf(o *openBatch) queue {
	return p.queueOver(p.enginesFor(o), func(e *Engine) bool {
		return !e.Draining && e.versions[e.Model] >= o.batch.Sub.MinVersion
	})
}

// queueFor returns the queue of an item. An item of a route for samples of one version can continue
// its text only at engines with that version.
func (p *Planner) queueFor(q queue, o *openBatch, w *Work) queue {
	if !w.Terms.SingleVersion || len(w.Text.Versions) == 0 {
		return q
	}
	return p.queueOver(p.enginesFor(o), func(e *Engine) bool { return e.serves(w) })
}

// queueOver returns the queue of the engines for which serving returns true.
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

// isSlow says whether an engine is much slower than its share, permanently or temporarily.
func (p *Planner) isSlow(q queue, e *Engine) bool {
	return q.pace > 0 && (p.fullPace(e) > slowFactor*q.pace || p.usesPeriods(p.now) && e.state.Slow(p.now))
}

// wait returns how long the nth waiting item waits for a slot at a usual engine, in ms.
func (q queue) wait(n int) float64 {
	if q.slots == 0 {
		return 0
	}
	return float64(n) * q.itemTime / float64(q.slots)
}

// lengths holds the average lengths of texts.
type lengths struct {
	mean       float64 // mean events of a text
	meanHint   float64 // mean hint of the texts with a hint
	meanHinted float64 // mean events of the texts with a hint
	started    bool
}

// note records a complete text.
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

// expected returns the expected number of events of an item, zero if unknown.
func (l *lengths) expected(it cf.Item) float64 {
	if it.LengthHint > 0 && l.meanHint > 0 {
		return float64(it.LengthHint) * l.meanHinted / l.meanHint
	}
	return l.mean
}

// remaining returns the number of events that an item is expected to have left.
func (p *Planner) remaining(w *Work) float64 {
	generated := w.generated()
	return max(p.lengths.expected(w.Item)-generated, residualShare*generated)
}

// fastestFree finds the engine of a share at which one more run would be fastest, and caches it
// until a run takes its slot.
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
	f.taken[e.ID]++ // its memory is counted when the run starts there
	f.found = false
}

// find returns the engine and its expected pace, nil if no engine has a free slot.
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

// betterEngine returns the engine that a run should move to, nil if there is none.
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
	if pace < minMoveSpeedup*bestPace || p.remaining(w)*(pace-bestPace) < w.minGain() || !p.fitsMemory(best, w) {
		return nil
	}
	return best
}

// minGain returns what a move must be expected to save, in ms. It doubles with each earlier move of
// the run: these moves did not save what was expected, so the estimate cannot be trusted.
func (w *Work) minGain() float64 { return minMoveGain * float64(int(1)<<min(w.moves, maxDoublings)) }
