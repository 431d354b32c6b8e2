package cfrollout

import (
	"math"

	cf "currantford"
)

// Outcome is how a run at an engine ended.
type Outcome int

// Outcomes of a run.
const (
	// OutcomeDone means that the text is complete.
	OutcomeDone Outcome = iota
	// OutcomeFailed means that the engine reported a failed attempt.
	OutcomeFailed
	// OutcomePermanentFailure means that the item can never be done.
	OutcomePermanentFailure
	// OutcomeNotRun means that the engine was full or loading.
	OutcomeNotRun
	// OutcomeBroken means that the stream broke or stalled. The text can be resumed.
	OutcomeBroken
	// OutcomeStopped means that the run was stopped because its batch ended or to move it.
	OutcomeStopped
)

// Place returns the items to start now, each with its engine set.
func (p *Planner) Place(now cf.Millis) []*Work {
	p.now = now
	clear(p.conflicts)
	if p.scarce || p.needsDivision {
		p.divideEngines() // models may have to take turns
	}
	var out []*Work
	p.updateUsage()
	assumed := p.assumedPace()
	priorWork := map[shareKey]float64{}
	for _, o := range p.sortedBatches() {
		if o.paused {
			continue
		}
		k := shareKey{o.terms.Service, o.batch.Sub.Model}
		priorWork[k] = p.rankGroups(o, priorWork[k], now)
		if len(o.waiting) == 0 {
			continue
		}
		engines := p.enginesFor(o)
		// Items that have not started do not differ here: if one of them finds no engine, neither
		// do the others.
		full := false
		q := p.queueOf(o)
		rest := o.waiting[:0]
		for _, w := range o.waiting {
			w.resetUnresumable(engines)
			w.notAdmitted = false
			if w.waitingSince == 0 {
				w.waitingSince = now
			}
			if w.unplacedSince == 0 {
				w.unplacedSince = now
			}
			var e *Engine
			if fresh := w.Text.Last == 0 && w.AvoidEngine == ""; !fresh || !full {
				e = p.choose(engines, w, assumed, now)
				full = full || fresh && e == nil
			}
			if e != nil && !p.limits.LongOnSlow {
				if q := p.queueFor(q, o, w); p.isSlow(q, e) && p.shouldWait(q, w, e, len(rest)+1) {
					e = nil
				}
			}
			if e != nil || w.maxRuns > 0 {
				e = p.admit(engines, q, w, e, assumed, now)
				w.notAdmitted = e == nil
			}
			if e == nil {
				rest = append(rest, w)
				continue
			}
			p.start(o, w, e, now)
			if o.requiredWaiting > 0 && w.class != groupOptional {
				o.requiredWaiting--
			}
			out = append(out, w)
		}
		clear(o.waiting[len(rest):])
		o.waiting = rest
	}
	return out
}

// resetUnresumable discards a text that no engine can continue: the route asks for samples of one
// version, and all engines have loaded another version since. The item would otherwise wait
// forever.
func (w *Work) resetUnresumable(engines []*Engine) {
	if !w.Terms.SingleVersion || len(w.Text.Versions) == 0 {
		return
	}
	for _, e := range engines {
		if !e.Draining && e.versions[e.Model] == w.Text.Versions[0] {
			return
		}
	}
	w.Text = Text{}
}

func (p *Planner) start(o *openBatch, w *Work, e *Engine, now cf.Millis) {
	w.Engine, w.engine, w.engineStarted = e.ID, e, e.Started
	w.Version, w.Started = e.versions[w.Batch.Sub.Model], now
	w.OldestVersion = w.Version
	w.moving, w.resumeAfter = false, w.Text.Last
	w.Progress.reset()
	for _, v := range w.Text.Versions {
		w.OldestVersion = min(w.OldestVersion, v)
	}
	e.Running++
	if e.hasIdleConnection(now) {
		e.idleConnections = e.idleConnections[:len(e.idleConnections)-1] // the run uses the most recently used connection
	}
	p.busyEngines[e.ID] = e
	e.usedMemory += p.expectedMemory(w)
	if e.groups == nil {
		e.groups = map[cf.GroupID]int{}
	}
	e.groups[w.Item.Group]++
	w.applyIsolationLimit()
	o.running[w.Item.ID], o.started = w, true
}

// choose returns the engine at which w is expected to run fastest. It prefers an engine that
// already runs the item's group, and so has processed its prompt, unless that engine is much
// slower. Batching costs an engine little, so a fast engine is filled before a slow one is used, as
// far as its memory allows.
//
// A long item goes to the engine with the least memory in use among those of about the best pace,
// because the long texts of a step must not fill the memory of one engine. An engine that lacks the
// memory for an item until its end is chosen only if no other engine has a free slot.
func (p *Planner) choose(engines []*Engine, w *Work, assumed float64, now cf.Millis) *Engine {
	if w.reservedEngine != nil {
		if e := p.reservedFor(w, now); e != nil {
			return e
		}
	}
	var best, roomiest, leastUsed *Engine
	bestPace, bestDelay := math.Inf(1), math.Inf(1)
	long, left := p.IsLong(w), p.remaining(w)
	candidates := p.candidates[:0]
	for _, e := range engines {
		switch {
		case !e.canStart(w, now):
			continue
		case !p.fitsMemory(e, w):
			if roomiest == nil || float64(p.memory.capacity(e))-e.usedMemory > float64(p.memory.capacity(roomiest))-roomiest.usedMemory {
				roomiest = e
			}
			continue
		}
		delay := p.expectedDelay(e, left, now)
		pace := p.expectedPace(e, assumed) + delay/max(left, 1)
		if !long && e.groups[w.Item.Group] > 0 {
			pace *= p.limits.GroupAffinity
		}
		if !long && e.hasIdleConnection(now) {
			pace *= warmFactor
		}
		if pace < bestPace {
			best, bestPace = e, pace
		}
		bestDelay = min(bestDelay, delay)
		candidates = append(candidates, candidate{e, pace, delay})
	}
	p.candidates = candidates
	if best == nil {
		return roomiest
	}
	if !long {
		return best
	}
	// Compare with the best pace among the engines with the least expected delay.
	lowDelayPace := math.Inf(1)
	for _, f := range candidates {
		if f.delay <= bestDelay+equalDelay {
			lowDelayPace = min(lowDelayPace, f.pace)
		}
	}
	for _, f := range candidates {
		if f.pace > lowDelayPace*equalPaceFactor || f.delay > bestDelay+equalDelay {
			continue
		}
		if leastUsed == nil || f.engine.usedMemory < leastUsed.usedMemory || f.engine.usedMemory == leastUsed.usedMemory && f.engine.hasIdleConnection(now) && !leastUsed.hasIdleConnection(now) {
			leastUsed = f.engine
		}
	}
	return leastUsed
}

// warmFactor is the factor on the pace of an engine with an idle connection. A new connection costs
// the engine a handshake, during which it serves nothing.
const warmFactor = 0.94

// hasIdleConnection says whether there is an idle connection to the engine.
func (e *Engine) hasIdleConnection(now cf.Millis) bool {
	for len(e.idleConnections) > 0 && e.idleConnections[0] <= now {
		e.idleConnections = e.idleConnections[1:]
	}
	return len(e.idleConnections) > 0
}

// ConnectionKept records that the connection of a run stays open for reuse until the given time. It
// must be called before Finished for that run.
func (p *Planner) ConnectionKept(w *Work, until cf.Millis) {
	if e := p.currentEngine(w); e != nil && len(e.idleConnections) < e.Slots {
		e.idleConnections = append(e.idleConnections, until)
	}
}

// candidate is an engine with the expected time of an event there, and the expected delay of a run
// from temporary slowness.
type candidate struct {
	engine *Engine
	pace   float64
	delay  float64
}

// equalDelay is the difference of expected delays, in ms, below which engines count as equal for a
// long text, so that the one with less memory in use is chosen. It is a third of the expected delay
// at an engine that was not observed recently.
const equalDelay = 20

// shouldWait says whether the nth waiting item would end sooner by waiting for a usual engine than
// by starting at a slow one. This is so for long texts, and a step is useless until its last text
// is complete.
func (p *Planner) shouldWait(q queue, w *Work, slow *Engine, nth int) bool {
	if p.usesPeriods(p.now) && p.fullPace(slow) <= slowFactor*q.pace { // slow only temporarily
		return q.slots > 0 && p.IsLong(w) && p.periods.Delay(&slow.state, p.remaining(w)*q.pace, p.now) > q.wait(nth)
	}
	return p.remaining(w)*(p.fullPace(slow)-q.pace) > q.wait(nth)
}

// canStart says whether an engine can start an item now.
func (e *Engine) canStart(w *Work, now cf.Millis) bool { return e.hasFreeSlot() && e.accepts(w, now) }

// accepts says whether an engine can start an item now, provided that it has a slot.
func (e *Engine) accepts(w *Work, now cf.Millis) bool {
	if e.ID == w.AvoidEngine && now < w.avoidUntil {
		return false
	}
	return now >= e.avoidUntil && e.loading == 0 && e.serves(w)
}

// hasFreeSlot says whether an engine has a slot that is neither used nor reserved, and is not
// isolated.
func (e *Engine) hasFreeSlot() bool { return e.isolationLimit == 0 && e.hasRoom() }

// hasRoom says whether an engine has a slot that is neither used nor reserved.
func (e *Engine) hasRoom() bool { return e.Running+e.reserved < e.Slots }

// serves says whether an engine belongs to the item's share and holds suitable weights.
func (e *Engine) serves(w *Work) bool {
	if e.Draining || e.Service != w.Terms.Service || e.Model != w.Batch.Sub.Model {
		return false
	}
	v := e.versions[e.Model]
	if v < w.Batch.Sub.MinVersion {
		return false
	}
	if w.Terms.SingleVersion && len(w.Text.Versions) > 0 {
		return w.Text.Versions[0] == v
	}
	return true
}

// Finished records the end of a run. It returns true if the item is to be listed, as done or as
// failed. Otherwise the item waits again.
func (p *Planner) Finished(w *Work, outcome Outcome, now cf.Millis) (list bool) {
	p.runEnded(w, outcome, now)
	w.Engine, w.engine, w.resumeAfter, w.waitingSince = "", nil, w.Text.Last, now
	if w.Progress.events.Load() > 0 {
		w.unplacedSince, w.reportedWait = now, 0
	}
	o := p.batches[w.Batch.Sub.ID]
	if o != nil {
		delete(o.running, w.Item.ID)
	}
	if w.mixesVersions() {
		// A weight order that was carried out late, or given between two steps, has changed the
		// weights during the run. The item starts from the beginning.
		w.Text = Text{}
		if outcome == OutcomeDone {
			outcome = OutcomeStopped
		}
	}
	switch outcome {
	case OutcomeDone:
		w.Text.Complete = true
		p.lengths.note(w)
		p.hints.note(w)
		p.longestText = max(float64(w.Text.Last), p.longestText*longestDecay)
	case OutcomeFailed:
		w.Failures++
	}
	if o == nil {
		delete(p.orphans, w.Item.ID)
		p.KeepText(w)
		return false
	}
	switch {
	case outcome == OutcomeDone, outcome == OutcomePermanentFailure, w.Failures >= max(w.Terms.MaxAttempts, 1):
		return true
	}
	// The item goes to the front: others of its group have already run, and the step waits for it.
	w.interrupted, o.rankingStale = true, true
	o.waiting = append([]*Work{w}, o.waiting...)
	return false
}

// mixesVersions says whether the text was generated by several versions although the route asks for
// samples of one.
func (w *Work) mixesVersions() bool { return w.Terms.SingleVersion && len(w.Text.Versions) > 1 }

// penalize makes new items avoid an engine for a while after it failed or refused one.
func (p *Planner) penalize(e *Engine, outcome Outcome, now cf.Millis) {
	switch outcome {
	case OutcomeNotRun:
		e.avoidUntil = now + p.limits.BusyPenalty
	case OutcomeFailed, OutcomeBroken:
		e.avoidUntil = now + p.limits.FailurePenalty
	}
}

// Expire removes and returns the waiting items of batches that have waited longer than their route
// allows, by the wall clock. They are to be listed as failed.
func (p *Planner) Expire(wall cf.Millis) []*Work {
	var out []*Work
	for id, o := range p.batches {
		if most := p.GiveUpAfter(id); most <= 0 || wall-o.batch.Sub.Accepted < most {
			continue
		}
		out = append(out, o.waiting...)
		o.waiting = nil
	}
	return out
}

// GiveUpAfter returns how long after its acceptance a batch's items expire, zero if they never do.
func (p *Planner) GiveUpAfter(id cf.BatchID) cf.Millis {
	o := p.batches[id]
	if o == nil || o.terms.MaxWait <= 0 {
		return 0
	}
	return o.terms.MaxWait + clockSlack
}

// clockSlack covers the difference between the wall clocks of the instance that accepted a batch
// and the one that expires its items. An item that expires too early breaks the guarantee that
// MaxWait gives to the submitter; one that expires late costs nothing.
const clockSlack cf.Millis = 5000
