package cfrollout

import (
	"cmp"
	"math"
	"slices"

	cf "currantford"
	"currantford/core/cfslow"
)

const (
	// minRunTime is the minimum time between the start of a run and its move. The first events say
	// nothing about the engine, because they come late, after the text was processed, or in a
	// burst.
	minRunTime cf.Millis = 300
	// minRunEvents and minRunSlowdown are how many events a run must have had, and how many times
	// slower than the engine's baseline pace they must be, before the run leaves a slow engine: the
	// engine's pace is that of all its runs.
	minRunEvents   = 3
	minRunSlowdown = 1.25
	// minPeriodGain is the least time that a move must save, in ms, and gainPerMove what each
	// earlier move of the run adds to it. The rest of a slow period is known to within about 100
	// ms, and a move costs a connection.
	minPeriodGain = 100.0
	gainPerMove   = 20.0
	// maxPeriodMoves limits the moves of one run. The longest text of a step meets two or three
	// slow periods, and needs one more move for each destination that is slow as well.
	maxPeriodMoves = 6
	// minRemainingShare is the least remaining length of a run that may move, as a part of the
	// longest remaining length of its step. Shorter runs end long before their step. In a replay, a
	// share of a fifth saved a fifth of the moves and made the step 15 ms longer; a share of a half
	// made it 90 ms longer.
	minRemainingShare = 0.2
	// reservationTimeout is how long a slot is reserved for a moving run. Stopping the run takes
	// about ten ms, and up to half a second if the instance that holds its stream is slow.
	reservationTimeout cf.Millis = 600
	// lastingSlowdown is how many times slower an engine must be permanently for a run to leave it
	// outside of a slow period. Full engines are up to 1.25 times slower than empty ones.
	lastingSlowdown = 1.4
	// stallMargin is how long after a stall of this process events may still be read late.
	stallMargin cf.Millis = 5
	// suspectMinEngines is the number of engines from which on a majority of slow ones is
	// attributed to wrong baseline paces or to a delay in this process.
	suspectMinEngines = 4
	// minNormalTime is how long an engine must not be slow before its smoothed pace is unaffected
	// by a slow period.
	minNormalTime cf.Millis = 500
)

type (
	// Move explains the latest move of a run, for logs and metrics.
	Move struct {
		// FromSlowPeriod says that the engine had become slow temporarily; otherwise the other
		// engine is permanently faster.
		FromSlowPeriod bool
		// To is the engine with the reserved slot.
		To cf.InstanceID
		// Saving is what the move was expected to save, Cost the observed cost of a move, and
		// SlowTimeLeft how much longer the engine was expected to be slow, all in ms.
		Saving, Cost, SlowTimeLeft float64
	}

	// SlowPeriods is what was observed of the periods in which engines are slow.
	SlowPeriods struct {
		// Known says that decisions are based on the observations.
		Known bool
		// Mean is the mean duration of a slow period in ms, Share the part of the time in which
		// engines are slow, and Slowdown how many times slower they are then.
		Mean, Share, Slowdown float64
		// MoveCost is the cost of moving a run, in ms.
		MoveCost float64
	}

	// paceSamples holds the paces of the engines' runs at one moment.
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

// usesPeriods says whether slow periods were observed and are to be used in decisions.
func (p *Planner) usesPeriods(now cf.Millis) bool {
	return !p.limits.NoSlowPeriods && p.periods.Reliable(now)
}

// latestPace returns the time of the latest event, or of the current one if it has already taken
// longer, and the time of that observation.
func (p *Progress) latestPace(now cf.Millis) (pace float64, at cf.Millis, ok bool) {
	gap := float64(p.lastGap.Load()) / 1000
	if p.events.Load() < minRunEvents {
		return 0, 0, false
	}
	if seen := cf.Millis(p.seenUntil.Load()); seen > 0 {
		now = min(now, seen)
	}
	last := cf.Millis(p.last.Load())
	return max(gap, float64(now-last)), max(now, last), true
}

// currentGap returns how long the current event has taken so far.
func (p *Progress) currentGap(now cf.Millis) cf.Millis {
	last := cf.Millis(p.last.Load())
	if last == 0 {
		return 0
	}
	return max(now-last, 0)
}

// ProcessStalled records that this process did nothing until an Uptime. The events of its own
// streams came late, and the following ones in bursts.
func (p *Planner) ProcessStalled(until cf.Millis) { p.stalledUntil = until }

// affectedByStall says whether a stall of this process affects a run's latest pace.
func (p *Planner) affectedByStall(r *Progress) bool {
	if p.stalledUntil == 0 || r.seenUntil.Load() > 0 { // the instance that reads the stream knows when events arrived
		return false
	}
	return r.prevEvent() <= p.stalledUntil+stallMargin
}

// prevEvent returns when the event before the latest one was recorded.
func (p *Progress) prevEvent() cf.Millis { return cf.Millis(p.last.Load() - p.lastGap.Load()/1000) }

func (p *Planner) newPaceSamples(now cf.Millis) *paceSamples {
	return &paceSamples{now: now, planner: p, engines: map[*Engine]*enginePace{}}
}

// add adds the pace of a run to the samples of its engine.
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
	if !ok || s.planner.affectedByStall(&w.Progress) || w.Progress.prevEvent() <= e.loadingSeenAt && e.loadingSeenAt > 0 {
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

// notePeriods records the sampled paces, for each engine the median of its runs. If most engines
// look slow, their events were probably read late by this process or their baseline paces are
// wrong, so no slow period continues.
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

// usualPace returns the median baseline pace of the engines that were busy recently, zero if there
// is none.
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

// expectedDelay returns how much longer the given number of remaining events is expected to take at
// an engine because of current or future slow periods, in ms.
func (p *Planner) expectedDelay(e *Engine, left float64, now cf.Millis) float64 {
	if !p.usesPeriods(now) {
		return 0
	}
	return p.periods.Delay(&e.state, left*max(e.pace, 1), now)
}

// periodMoves returns the runs that are expected to end sooner elsewhere, given how long engines
// usually stay slow. Each has a slot reserved at its destination. Engines may be 2.5 times slower
// for 15% of the time, in periods of about 600 ms, and a group counts only when its longest text is
// complete.
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
		// The effect of more runs on the pace is known to within a few percent, which for a long
		// text amounts to half a second. Only a clearly lower baseline pace counts.
		pace, least := e.state.BaselinePace(), minPeriodGain+gainPerMove*float64(w.moves)
		if usual := to.state.BaselinePace(); usual > 0 && lastingSlowdown*usual < pace {
			pace = usual
		} else if !slow {
			continue
		}
		if !slow {
			least = w.minGain()
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

// destinations returns the engines of a share to which runs may move: engines with a free slot that
// are not slow and will not load weights soon. Engines that are least likely to be slow come first,
// and among these the ones with the least memory in use. left is the number of remaining events of
// the longest run.
//
// The list is built once for all runs. With 480 items and 10,000 engines, searching the share for
// each run makes a planning pass take 3 to 4 ms, and one list 0.6 ms (BenchmarkMoves).
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
		out[i].delay = math.Floor((out[i].delay - least) / equalDelay) // ignore smaller differences
	}
	slices.SortStableFunc(out, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.delay, b.delay), cmp.Compare(a.engine.usedMemory, b.engine.usedMemory))
	})
	return out
}

// destination returns the first of the engines that can take a run, nil if none can.
func (p *Planner) destination(engines []candidate, w *Work, now cf.Millis) *Engine {
	for _, x := range engines {
		if e := x.engine; e != w.engine && e.canStart(w, now) && p.fitsMemory(e, w) {
			return e
		}
	}
	return nil
}

// reserve reserves a slot for a run that moves.
func (p *Planner) reserve(w *Work, e *Engine, now cf.Millis) {
	p.releaseSlot(w)
	w.reservedEngine, w.reservedUntil = e, now+reservationTimeout
	e.reserved++
	p.reservations = append(p.reservations, w)
}

// releaseSlot releases the slot that is reserved for a run.
func (p *Planner) releaseSlot(w *Work) {
	if w.reservedEngine == nil {
		return
	}
	w.reservedEngine.reserved--
	w.reservedEngine = nil
	p.reservations = slices.DeleteFunc(p.reservations, func(x *Work) bool { return x == w })
}

// releaseExpiredSlots releases the slots whose runs have not arrived in time.
func (p *Planner) releaseExpiredSlots(now cf.Millis) {
	for _, w := range slices.Clone(p.reservations) {
		if now >= w.reservedUntil {
			p.releaseSlot(w)
		}
	}
}

// reservedFor releases the slot that is reserved for a run and returns its engine. It returns nil
// if there is none, or if the engine has become slow or cannot take the run any more.
func (p *Planner) reservedFor(w *Work, now cf.Millis) *Engine {
	e := w.reservedEngine
	p.releaseSlot(w)
	if e == nil || p.engines[e.ID] != e || !e.canStart(w, now) || e.state.Slow(now) {
		return nil
	}
	return e
}

// LastMove returns the explanation of the run's latest move.
func (w *Work) LastMove() Move { return w.lastMove }

// SlowPeriods returns what was observed of slow periods.
func (p *Planner) SlowPeriods(now cf.Millis) SlowPeriods {
	if !p.usesPeriods(now) {
		return SlowPeriods{}
	}
	return SlowPeriods{true, p.periods.Mean(), p.periods.SlowFraction(), p.periods.Slowdown(), p.moveCost.Ms()}
}
