package cfrollout

import (
	cf "currantford"
	"currantford/core/cfslow"
)

const (
	// periodStay is how long a run stays at an engine at least, so that the engine's pace
	// shows while it is there: within 50 to 100 ms where several runs have events.
	periodStay cf.Millis = 100
	// periodGain is the least that a move must save, in ms, and periodGainMore what is
	// added for each move of that run before: estimates of what is left of a period are
	// within some 100 ms.
	periodGain     = 50.0
	periodGainMore = 20.0
	// periodMovesMost bounds the moves of one run: the longest text of a step meets two or
	// three periods, and one more for each engine that was slow as well.
	periodMovesMost = 8
	// periodPart is the least part of the longest text's rest that a run must have left to
	// be moved: others end long before their step. A fifth saved a fifth of the moves of a
	// replay and cost the step 15 ms; half of it cost 90 ms.
	periodPart = 0.2
	// suspectFrom is from how many engines on their slowness may be a delay here.
	suspectFrom = 4
)

type (
	// Moved is why a run was last moved, for logs and metrics.
	Moved struct {
		// Period says that its engine had turned slow for a while; else the other engine
		// is faster for good.
		Period bool
		// Saves is what the move was expected to save, Cost what one costs as observed,
		// and SlowLeft how much longer its engine was expected to be slow, in ms.
		Saves, Cost, SlowLeft float64
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

	// shownNow is what the events of the engines' runs show at a moment.
	shownNow struct {
		now     cf.Millis
		planner *Planner
		engines map[*Engine]*enginePace
	}

	enginePace struct {
		sum, runs float64
		at        cf.Millis
	}
)

// byPeriods says whether periods of slowness were observed, and count.
func (p *Planner) byPeriods(now cf.Millis) bool {
	return !p.limits.NoSlowPeriods && p.periods.Known(now)
}

// latestPace returns what the latest event took, or what the one under way has taken if that
// is more, and as of when.
func (p *Progress) latestPace(now cf.Millis) (pace float64, at cf.Millis, ok bool) {
	gap := float64(p.latest.Load()) / 1000
	if p.events.Load() < 2 {
		return 0, 0, false
	}
	if seen := cf.Millis(p.seen.Load()); seen > 0 {
		now = min(now, seen)
	}
	last := cf.Millis(p.last.Load())
	return max(gap, float64(now-last)), max(now, last), true
}

// under is how long the event under way has taken.
func (p *Progress) under(now cf.Millis) cf.Millis {
	last := cf.Millis(p.last.Load())
	if last == 0 {
		return 0
	}
	return max(now-last, 0)
}

func (p *Planner) shownNow(now cf.Millis) *shownNow {
	return &shownNow{now: now, planner: p, engines: map[*Engine]*enginePace{}}
}

// take takes what a run shows of its engine.
func (s *shownNow) take(w *Work, e *Engine) {
	if first := cf.Millis(w.Progress.first.Load()); w.movedAt > 0 && w.Started >= w.movedAt && first > 0 {
		s.planner.moveCost.Note(float64(first-w.movedAt) - s.planner.expected(e, s.planner.typical()))
		w.movedAt = 0
	}
	if e.loading > 0 {
		e.state.Forget(&s.planner.periods, s.now)
		return
	}
	pace, at, ok := w.Progress.latestPace(s.now)
	if !ok {
		return
	}
	x := s.engines[e]
	if x == nil {
		x = &enginePace{}
		s.engines[e] = x
	}
	x.sum += pace
	x.runs++
	x.at = max(x.at, at)
}

// notePeriods takes the paces of a moment. If most engines look slow, it is more likely that
// their events came late here, and no period begins.
func (p *Planner) notePeriods(s *shownNow) {
	slow := 0
	for e, x := range s.engines {
		x.sum /= x.runs * p.slots.factor(e.Running)
		if e.state.Shows(x.sum) {
			slow++
		}
	}
	suspect := len(s.engines) >= suspectFrom && 2*slow > len(s.engines)
	for e, x := range s.engines {
		e.state.Note(&p.periods, x.sum, x.at, suspect)
	}
}

// delay is how much longer the events that are left are expected to take at an engine because
// it is slow for a while, or may be, in ms.
func (p *Planner) delay(e *Engine, left float64, now cf.Millis) float64 {
	if !p.byPeriods(now) {
		return 0
	}
	return p.periods.Delay(&e.state, left*max(e.pace, 1), now)
}

// periodMoves returns the runs that end sooner elsewhere, by how long engines were observed to
// stay slow. The load it answers: each engine is 2.5 times slower for 15% of the time, in
// periods of some 600 ms, and a group counts when its longest text is complete.
func (p *Planner) periodMoves(o *open, typical float64, now cf.Millis) []*Work {
	room := &fastest{planner: p, engines: p.share(o), typical: typical, taken: map[cf.InstanceID]int{}}
	q := p.queueOf(o)
	most := len(o.running)
	if len(o.waiting) > 0 {
		most = max(q.slots/slotsPerMove, 1)
	}
	longest := 0.0
	for _, w := range o.running {
		longest = max(longest, p.left(w))
	}
	var out []*Work
	for _, w := range o.running {
		if p.left(w) < periodPart*longest {
			continue
		}
		if len(out) >= most {
			break
		}
		e := p.at(w)
		if e == nil || w.moving || w.moves >= periodMovesMost || now-w.Started < periodStay || e.state.Usual() == 0 || !p.Long(w) {
			continue
		}
		if !e.state.Slow(now) && now-w.Started < moveRest {
			continue
		}
		to, best := p.elsewhere(o, room, w, q, now)
		if to.Pace == 0 {
			continue
		}
		run := cfslow.Run{Left: p.left(w), Factor: p.slots.factor(e.Running), Under: w.Progress.under(now)}
		saved := p.periods.Saves(run, &e.state, to, p.moveCost.Ms(), now)
		least := periodGain + periodGainMore*float64(w.moves)
		if !e.state.Slow(now) { // it is slower for good, or not at all
			if e.pace*run.Factor < moveFactor*to.Pace {
				continue
			}
			least = w.moveGain()
		}
		if saved < least {
			continue
		}
		if best != nil {
			room.take(best)
		}
		w.moved = Moved{Period: e.state.Slow(now), Saves: saved, Cost: p.moveCost.Ms()}
		if w.moved.Period {
			w.moved.SlowLeft = p.periods.Left(now - e.state.Since())
		}
		out = append(out, w)
	}
	return out
}

// elsewhere returns what a run meets that leaves its engine: a slot at the fastest engine with
// room, or while items wait the next that frees.
func (p *Planner) elsewhere(o *open, room *fastest, w *Work, q queue, now cf.Millis) (cfslow.Place, *Engine) {
	room.left = p.left(w)
	best, pace := room.find(now)
	if best != nil && best != p.at(w) && best.takes(w, now) && p.fits(best, w) && !best.state.Slow(now) {
		return cfslow.Place{Pace: pace}, best
	}
	if len(o.waiting) == 0 || q.pace == 0 {
		return cfslow.Place{}, nil
	}
	return cfslow.Place{Pace: q.pace, Wait: q.wait(1), Delay: p.periods.Share() * p.periods.Mean() / 2}, nil
}

// Moved returns why the run was moved last.
func (w *Work) Moved() Moved { return w.moved }

// SlowPeriods returns what was observed of slow periods.
func (p *Planner) SlowPeriods(now cf.Millis) SlowPeriods {
	if !p.byPeriods(now) {
		return SlowPeriods{}
	}
	return SlowPeriods{true, p.periods.Mean(), p.periods.Share(), p.periods.Slowdown(), p.moveCost.Ms()}
}
