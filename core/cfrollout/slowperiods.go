package cfrollout

import (
	"cmp"
	"math"
	"slices"

	cf "currantford"
	"currantford/core/cfslow"
)

const (
	// minRunTime is the least time between the start of a run and a move of it: its first
	// events come late, after its text was read, or in a burst, and tell nothing.
	minRunTime cf.Millis = 300
	// minRunEvents and ownSlower are how many events a run must have had from an engine, and how
	// many times slower than the engine's lasting pace they must be, for it to leave: the
	// engine's pace is that of all its runs.
	minRunEvents   = 3
	minRunSlowdown = 1.25
	// minPeriodGain is the least that a move must save, in ms, and periodGainMore what is
	// added for each move of that run before: what is left of a period is known within some
	// 100 ms, and a connection is paid for.
	minPeriodGain = 100.0
	gainPerMove   = 20.0
	// maxPeriodMoves bounds the moves of one run: the longest text of a step meets two or
	// three periods, and one more for each engine that was slow as well.
	maxPeriodMoves = 6
	// minRemainingShare is the least part of the longest text's rest that a run must have left to
	// be moved: others end long before their step. A fifth saved a fifth of the moves of a
	// replay and cost the step 15 ms; half of it cost 90 ms.
	minRemainingShare = 0.2
	// reservationTimeout is how long a slot is kept for a run that moves to it. Its stop
	// takes some ten ms, and up to half a second where the instance that holds its stream is slow.
	reservationTimeout cf.Millis = 600
	// lastingSlowdown is how many times slower for good an engine must be that a run leaves while
	// it is not in a slow period: full engines are up to 1.25 times slower than empty ones.
	lastingSlowdown = 1.4
	// stallMargin is how long after a stall events may still be read late.
	stallMargin cf.Millis = 5
	// suspectMinEngines is from how many engines on it is their reference, or a delay here, that
	// makes most of them look slow.
	suspectMinEngines = 4
	// minNormalTime is how long an engine must not be slow until its smoothed pace is free
	// of a period.
	minNormalTime cf.Millis = 500
)

type (
	// Move is why a run was last moved, for logs and metrics.
	Move struct {
		// FromSlowPeriod says that its engine had turned slow for a while; else the other engine
		// is faster for good.
		FromSlowPeriod bool
		// To is the engine that keeps a slot for it.
		To cf.InstanceID
		// Saving is what the move was expected to save, Cost what one costs as observed,
		// and SlowTimeLeft how much longer its engine was expected to be slow, in ms.
		Saving, Cost, SlowTimeLeft float64
	}

	// SlowPeriods is what was observed of the periods in which engines are slow.
	SlowPeriods struct {
		// Known says that decisions go by them.
		Known bool
		// Mean is how long one lasts, in ms, Share the part of the time that engines are
		// slow, and Slowdown how many times slower they are.
		Mean, Share, Slowdown float64
		// MoveCost is what a move of a run costs, in ms.
		MoveCost float64
	}

	// paceSamples is what the events of the engines' runs show at a moment.
	paceSamples struct {
		now     cf.Millis
		planner *Planner
		engines map[*Engine]*enginePace
	}

	enginePace struct {
		paces []float64
		at    cf.Millis
	}
)

// usesPeriods says whether periods of slowness were observed, and count.
func (p *Planner) usesPeriods(now cf.Millis) bool {
	return !p.limits.NoSlowPeriods && p.periods.Reliable(now)
}

// latestPace returns what the latest event took, or what the one under way has taken if that
// is more, and as of when.
func (p *Progress) latestPace(now cf.Millis) (pace float64, at cf.Millis, ok bool) {
	gap := float64(p.latestGap.Load()) / 1000
	if p.events.Load() < minRunEvents {
		return 0, 0, false
	}
	if seen := cf.Millis(p.seenUntil.Load()); seen > 0 {
		now = min(now, seen)
	}
	last := cf.Millis(p.last.Load())
	return max(gap, float64(now-last)), max(now, last), true
}

// currentGap is how long the event under way has taken.
func (p *Progress) currentGap(now cf.Millis) cf.Millis {
	last := cf.Millis(p.last.Load())
	if last == 0 {
		return 0
	}
	return max(now-last, 0)
}

// ProcessStalled records that the process did nothing until an Uptime: the events of its own streams
// came late, and those after it in bursts.
func (p *Planner) ProcessStalled(until cf.Millis) { p.stalledUntil = until }

// affectedByStall says whether the process was stalled within what a run's latest pace is made of.
func (p *Planner) affectedByStall(r *Progress) bool {
	if p.stalledUntil == 0 || r.seenUntil.Load() > 0 { // its host knows when events came
		return false
	}
	return r.previousEvent() <= p.stalledUntil+stallMargin
}

// previousEvent is when the event before the latest was noted.
func (p *Progress) previousEvent() cf.Millis {
	return cf.Millis(p.last.Load() - p.latestGap.Load()/1000)
}

func (p *Planner) newPaceSamples(now cf.Millis) *paceSamples {
	return &paceSamples{now: now, planner: p, engines: map[*Engine]*enginePace{}}
}

// add adds what a run shows of its engine.
func (s *paceSamples) add(w *Work, e *Engine) {
	if first := cf.Millis(w.Progress.first.Load()); w.movedAt > 0 && w.Started >= w.movedAt && first > 0 {
		s.planner.moveCost.Observe(float64(first-w.movedAt) - s.planner.expectedPace(e, s.planner.assumedPace()))
		w.movedAt = 0
	}
	if e.loading > 0 {
		e.state.DiscardPeriod(&s.planner.periods, s.now)
		e.loadingSeenAt = s.now
		return
	}
	pace, at, ok := w.Progress.latestPace(s.now)
	if !ok || s.planner.affectedByStall(&w.Progress) || w.Progress.previousEvent() <= e.loadingSeenAt && e.loadingSeenAt > 0 {
		return
	}
	x := s.engines[e]
	if x == nil {
		x = &enginePace{}
		s.engines[e] = x
	}
	x.paces = append(x.paces, pace)
	x.at = max(x.at, at)
}

// notePeriods takes the paces of a moment, of each engine the median of its runs'. If most
// engines look slow, it is more likely that their events came late here, or that their lasting
// paces are wrong: no period goes on.
func (p *Planner) notePeriods(s *paceSamples) {
	usual := p.usualPace()
	slow := 0
	for e, x := range s.engines {
		slices.Sort(x.paces)
		if pace := x.paces[len(x.paces)/2]; e.state.IndicatesSlow(pace) || e.state.Slow(s.now) {
			slow++
		}
	}
	suspect := len(s.engines) >= suspectMinEngines && 2*slow > len(s.engines)
	for e, x := range s.engines {
		e.state.Observe(&p.periods, x.paces[len(x.paces)/2], usual, x.at)
		if suspect {
			e.state.DiscardPeriod(&p.periods, s.now)
		}
	}
}

// usualPace is the lasting pace of a usual engine that has run something lately, zero if none
// has.
func (p *Planner) usualPace() float64 {
	var paces []float64
	for _, e := range p.busyEngines {
		if usual := e.state.BaselinePace(); usual > 0 {
			paces = append(paces, usual)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[(len(paces)-1)/2]
}

// expectedDelay is how much longer the events that are left are expected to take at an engine because
// it is slow for a while, or may be, in ms.
func (p *Planner) expectedDelay(e *Engine, left float64, now cf.Millis) float64 {
	if !p.usesPeriods(now) {
		return 0
	}
	return p.periods.Delay(&e.state, left*max(e.pace, 1), now)
}

// periodMoves returns the runs that end sooner elsewhere, by how long engines were observed to
// stay slow, each with a slot that is kept for it. The load it answers: each engine is 2.5 times
// slower for 15% of the time, in periods of some 600 ms, and a group counts when its longest text
// is complete.
func (p *Planner) periodMoves(o *openBatch, now cf.Millis) []*Work {
	longest := 0.0
	for _, w := range o.running {
		longest = max(longest, p.remaining(w))
	}
	var out []*Work
	var engines []candidate
	listed := false
	for _, w := range o.running {
		e := p.currentEngine(w)
		if e == nil || w.moving || w.moves >= maxPeriodMoves || now-w.Started < minRunTime || !p.IsLong(w) || p.remaining(w) < minRemainingShare*longest {
			continue
		}
		own, _, shown := w.Progress.latestPace(now)
		slow := e.state.Slow(now)
		if !shown || slow && own < minRunSlowdown*e.state.BaselinePace() || !slow && now-w.Started < minMoveInterval {
			continue
		}
		if !listed {
			engines, listed = p.destinations(o, longest, now), true
		}
		for len(engines) > 0 && !engines[0].engine.hasFreeSlot() {
			engines = engines[1:]
		}
		to := p.destination(engines, w, now)
		if to == nil {
			continue
		}
		// What more runs cost is learned within some percent, of which a long text would make
		// half a second: only a lasting pace that is clearly lower counts.
		pace, least := e.state.BaselinePace(), minPeriodGain+gainPerMove*float64(w.moves)
		if usual := to.state.BaselinePace(); usual > 0 && lastingSlowdown*usual < pace {
			pace = usual
		} else if !slow {
			continue
		}
		if !slow {
			least = w.requiredGain()
		}
		run := cfslow.Run{EventsLeft: p.remaining(w), EventElapsed: w.Progress.currentGap(now)}
		place := cfslow.Destination{Pace: pace, Delay: p.expectedDelay(to, run.EventsLeft, now)}
		saved := p.periods.TimeSaved(run, &e.state, place, p.moveCost.Ms(), now)
		if saved < least {
			continue
		}
		w.lastMove = Move{FromSlowPeriod: slow, To: to.ID, Saving: saved, Cost: p.moveCost.Ms()}
		if slow {
			w.lastMove.SlowTimeLeft = p.periods.Remaining(now - e.state.Since())
		}
		p.reserve(w, to, now)
		out = append(out, w)
	}
	return out
}

// destinations returns the engines of a share to which runs may move, those first that are
// least likely to be slow, and of these those that hold least: engines with a free slot that
// are not slow, and that will not load weights soon. left is the events of the longest run.
//
// The load it answers: many runs at slow engines of a large share. A walk over the share for
// each of them made a look at 480 items and 10,000 engines take 3 to 4 ms, one list for all 0.6 ms
// (BenchmarkMoves).
func (p *Planner) destinations(o *openBatch, left float64, now cf.Millis) []candidate {
	var out []candidate
	least := math.Inf(1)
	for _, e := range p.enginesFor(o) {
		if !e.hasFreeSlot() || now < e.avoidUntil || e.loading > 0 || e.Draining || e.state.Slow(now) || e.versions[e.Model] < p.LatestVersion(e.Model) {
			continue
		}
		delay := p.expectedDelay(e, left, now)
		least = min(least, delay)
		out = append(out, candidate{engine: e, delay: delay})
	}
	for i := range out {
		out[i].delay = math.Floor((out[i].delay - least) / equalDelay) // smaller differences do not count
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.engine.usedMemory, b.engine.usedMemory))
	})
	return out
}

// destination returns the first of some engines that can take a run; nil if none can.
func (p *Planner) destination(engines []candidate, w *Work, now cf.Millis) *Engine {
	for _, x := range engines {
		if e := x.engine; e != w.engine && e.canStart(w, now) && p.fitsMemory(e, w) {
			return e
		}
	}
	return nil
}

// reserve keeps a slot for a run that moves.
func (p *Planner) reserve(w *Work, e *Engine, now cf.Millis) {
	p.releaseSlot(w)
	w.reservedEngine, w.reservedUntil = e, now+reservationTimeout
	e.reserved++
	p.reservations = append(p.reservations, w)
}

// releaseSlot releases the slot that is kept for a run.
func (p *Planner) releaseSlot(w *Work) {
	if w.reservedEngine == nil {
		return
	}
	w.reservedEngine.reserved--
	w.reservedEngine = nil
	p.reservations = slices.DeleteFunc(p.reservations, func(x *Work) bool { return x == w })
}

// releaseExpiredSlots releases the slots whose runs have not come in time.
func (p *Planner) releaseExpiredSlots(now cf.Millis) {
	for _, w := range slices.Clone(p.reservations) {
		if now >= w.reservedUntil {
			p.releaseSlot(w)
		}
	}
}

// reservedFor returns the engine that keeps a slot for a run, and releases the slot; nil if it
// keeps none, or has turned slow or cannot take the run any more.
func (p *Planner) reservedFor(w *Work, now cf.Millis) *Engine {
	e := w.reservedEngine
	p.releaseSlot(w)
	if e == nil || p.engines[e.ID] != e || !e.canStart(w, now) || e.state.Slow(now) {
		return nil
	}
	return e
}

// LastMove returns why the run was moved last.
func (w *Work) LastMove() Move { return w.lastMove }

// SlowPeriods returns what was observed of slow periods.
func (p *Planner) SlowPeriods(now cf.Millis) SlowPeriods {
	if !p.usesPeriods(now) {
		return SlowPeriods{}
	}
	return SlowPeriods{true, p.periods.Mean(), p.periods.SlowFraction(), p.periods.Slowdown(), p.moveCost.Ms()}
}
