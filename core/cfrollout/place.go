package cfrollout

import (
	"math"

	cf "currantford"
)

// Outcome is how a run at an engine ended.
type Outcome int

// Outcomes of a run.
const (
	// OutcomeDone: the text is complete.
	OutcomeDone Outcome = iota
	// OutcomeFailed: the engine answered that the attempt failed.
	OutcomeFailed
	// OutcomePermanentFailure: the item can never be done.
	OutcomePermanentFailure
	// OutcomeNotRun: the engine was full or loading.
	OutcomeNotRun
	// OutcomeBroken: the stream broke off or stalled; it can be resumed.
	OutcomeBroken
	// OutcomeStopped: the run was stopped because its batch ended, or to
	// move it.
	OutcomeStopped
)

// Place returns the items to start now, each with its engine set.
func (p *Planner) Place(now cf.Millis) []*Work {
	p.now = now
	clear(p.conflicts)
	if p.scarce || p.needsDivision {
		p.divideEngines() // the models take turns
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
		// Items that have not begun differ in nothing that matters here: if
		// one finds no engine, the others find none.
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

// resetUnresumable drops a text that no engine can go on with: on a route for samples of
// one version, the engines have all loaded another since. It would wait for
// ever.
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
	w.Engine, w.engine, w.engineBorn = e.ID, e, e.Born
	w.Version, w.Started = e.versions[w.Batch.Sub.Model], now
	w.OldestVersion = w.Version
	w.moving, w.resumeAfter = false, w.Text.Last
	w.Progress.reset()
	for _, v := range w.Text.Versions {
		w.OldestVersion = min(w.OldestVersion, v)
	}
	e.Running++
	if e.hasIdleConnection(now) {
		e.idleConnections = e.idleConnections[:len(e.idleConnections)-1] // the run takes the one that was used last
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

// choose returns the engine on which w would run fastest, preferring one that
// runs the item's group already, and so has read its prompt, while it is not
// much slower. Batching costs an engine little, so a fast engine is filled
// before a slow one is used, as far as its memory goes. Of long items each goes to
// the engine that has least to hold among those of about the best pace: the long
// texts of a step must not meet in one memory. An engine whose memory would not hold
// an item to its end is taken only if no other has a slot.
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
	// The best pace is that of the engines which are quiet, if there are any.
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

// warmFactor makes an engine to which a connection is kept count as so much faster: another
// costs it a handshake, in which it serves nobody.
const warmFactor = 0.94

// hasIdleConnection says whether a connection to the engine is kept that nobody uses.
func (e *Engine) hasIdleConnection(now cf.Millis) bool {
	for len(e.idleConnections) > 0 && e.idleConnections[0] <= now {
		e.idleConnections = e.idleConnections[1:]
	}
	return len(e.idleConnections) > 0
}

// ConnectionKept records that the connection of a run, which has not been noted as finished, is kept
// until then.
func (p *Planner) ConnectionKept(w *Work, until cf.Millis) {
	if e := p.currentEngine(w); e != nil && len(e.idleConnections) < e.Slots {
		e.idleConnections = append(e.idleConnections, until)
	}
}

// candidate is an engine with what an event would take there, and how much longer a run
// because the engine is slow for a while, or may be.
type candidate struct {
	engine *Engine
	pace   float64
	delay  float64
}

// equalDelay is how much longer than at the quietest engine a long text may be expected to take
// at one that holds less, in ms: a third of what an engine costs that was not seen of late.
const equalDelay = 20

// shouldWait says whether an item that is nth in line ends sooner if it waits for
// a usual engine than if it starts at a slow one. Long texts do, and a step is
// worth nothing before its last.
func (p *Planner) shouldWait(q queue, w *Work, slow *Engine, nth int) bool {
	if p.usesPeriods(p.now) && p.fullPace(slow) <= slowFactor*q.pace { // it is slow for now
		return q.slots > 0 && p.IsLong(w) && p.periods.Delay(&slow.state, p.remaining(w)*q.pace, p.now) > q.wait(nth)
	}
	return p.remaining(w)*(p.fullPace(slow)-q.pace) > q.wait(nth)
}

// canStart says whether an engine can start an item now.
func (e *Engine) canStart(w *Work, now cf.Millis) bool { return e.hasFreeSlot() && e.accepts(w, now) }

// accepts says whether an engine can start an item now, if it has room.
func (e *Engine) accepts(w *Work, now cf.Millis) bool {
	if e.ID == w.AvoidEngine && now < w.avoidUntil {
		return false
	}
	return now >= e.avoidUntil && e.loading == 0 && e.serves(w)
}

// hasFreeSlot says whether an engine has a slot that is neither taken nor kept for a run, and is
// not set apart.
func (e *Engine) hasFreeSlot() bool { return e.isolationLimit == 0 && e.hasRoom() }

// hasRoom says whether an engine has a slot that is neither taken nor kept for a run.
func (e *Engine) hasRoom() bool { return e.Running+e.reserved < e.Slots }

// serves says whether an engine is of the item's share and its weights fit.
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

// Finished takes the end of a run. It returns true when the item is to be
// listed, as done or as failed; otherwise it waits again.
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
		// An order that was carried out late, or given between two steps, has
		// changed the weights under the run. It begins anew.
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
	// First in line: others of its group have run, and the step waits for it.
	w.interrupted, o.rankingStale = true, true
	o.waiting = append([]*Work{w}, o.waiting...)
	return false
}

// mixesVersions says whether a text was made by several versions where one is asked for.
func (w *Work) mixesVersions() bool { return w.Terms.SingleVersion && len(w.Text.Versions) > 1 }

// penalize keeps new items off an engine for a while after it failed one.
func (p *Planner) penalize(e *Engine, outcome Outcome, now cf.Millis) {
	switch outcome {
	case OutcomeNotRun:
		e.avoidUntil = now + p.limits.BusyPenalty
	case OutcomeFailed, OutcomeBroken:
		e.avoidUntil = now + p.limits.FailurePenalty
	}
}

// Expire returns the waiting items of batches that have waited for longer
// than their route allows, as of the wall clock; they are to be listed as
// failed.
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

// GiveUpAfter returns how long after its acceptance a batch's items are given up,
// zero if they never are.
func (p *Planner) GiveUpAfter(id cf.BatchID) cf.Millis {
	o := p.batches[id]
	if o == nil || o.terms.MaxWait <= 0 {
		return 0
	}
	return o.terms.MaxWait + clockSlack
}

// clockSlack covers the difference between the wall clocks of the instance
// that accepted a batch and of the one that gives its items up: an item given
// up too early breaks a promise, one given up late costs nothing.
const clockSlack cf.Millis = 5000
