package cfrollout

import (
	"container/heap"
	"slices"

	cf "currantford"
)

// shareDemand holds the requirements of the batches that wait for a share.
type shareDemand struct {
	// minVersions are the oldest versions that the waiting batches allow.
	minVersions []cf.WeightVersion
}

// hasRunnable says whether an item waits that may run on version v.
func (d *shareDemand) hasRunnable(v cf.WeightVersion) bool {
	return slices.ContainsFunc(d.minVersions, func(least cf.WeightVersion) bool { return v >= least })
}

// hasBlocked says whether an item waits that may not run on version v.
func (d *shareDemand) hasBlocked(v cf.WeightVersion) bool {
	return slices.ContainsFunc(d.minVersions, func(least cf.WeightVersion) bool { return v < least })
}

func (p *Planner) shareDemands() map[shareKey]*shareDemand {
	out := map[shareKey]*shareDemand{}
	for k := range p.shares {
		out[k] = &shareDemand{}
	}
	for _, o := range p.batches {
		d := out[shareKey{o.terms.Service, o.batch.Sub.Model}]
		if d == nil {
			continue // no engine serves it
		}
		if o.delayedByLoads() {
			d.minVersions = append(d.minVersions, o.batch.Sub.MinVersion)
		}
	}
	return out
}

// swapCandidate is an engine that should load its share's newest version.
type swapCandidate struct {
	engine *Engine
	// urgent says that an item waits that may not run on the engine's version.
	urgent bool
}

// swapQueue is a heap of candidates with the first one to load at its head. Only a few of them may
// load at once, so sorting all of them would be wasted work.
type swapQueue []swapCandidate

func (q swapQueue) Len() int      { return len(q) }
func (q swapQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q swapQueue) Less(i, j int) bool {
	a, b := q[i], q[j]
	if a.urgent != b.urgent {
		return a.urgent
	}
	if a.engine.Running != b.engine.Running {
		return a.engine.Running < b.engine.Running
	}
	return a.engine.ID < b.engine.ID
}

func (q *swapQueue) Push(x any) { *q = append(*q, x.(swapCandidate)) }

func (q *swapQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Swaps returns the weight orders to give now and marks their engines as loading. An engine loads
// when no waiting item could run on it, or when an item waits that may not run on its version.
// Loading earlier would delay waiting items; loading much later would leave the next step without
// its version.
func (p *Planner) Swaps(now cf.Millis) []Swap {
	p.now = now
	if p.needsDivision {
		p.divideEngines()
	}
	p.replaceSlow()
	p.crashes.evaluate(p.newestHeld, now)
	loading := p.loadingCount()
	urgent := max(p.loadLimit.allowed(), p.limits.UrgentLoads)
	if loading >= urgent {
		return nil
	}
	due, suspects, unproven := p.dueSwaps(now), p.loadingSuspects(), p.loadingUnproven()
	var out []Swap
	for len(due) > 0 {
		c := heap.Pop(&due).(swapCandidate)
		limit := p.loadLimit.allowed()
		if c.urgent {
			limit = urgent
		}
		if loading >= limit {
			break // the remaining candidates are not more urgent
		}
		e := c.engine
		if p.provenVersions[e.Model] < p.LatestVersion(e.Model) && unproven[e.Model] >= maxUnprovenLoads {
			continue
		}
		if !p.canBeSpared(e) || !p.crashes.allows(e.Model, p.LatestVersion(e.Model), suspects[e.Model], now) {
			continue
		}
		loading++
		unproven[e.Model]++
		p.setLoading(e, p.LatestVersion(e.Model))
		if suspects != nil {
			suspects[e.Model]++
		}
		single := p.singleVersion[e.Model]
		e.failedVersion, e.loadStarted, e.concurrentLoads, e.loadUndelayed = 0, now, 0, !single || e.Running == 0
		out = append(out, Swap{Target: e.Target, Model: e.Model, Version: e.loading, KeepRuns: !single})
	}
	if len(out) > 0 {
		p.noteConcurrentLoads(loading)
	}
	return out
}

// loadingUnproven counts the engines of each model that load a version that no engine has loaded
// yet.
func (p *Planner) loadingUnproven() map[cf.ModelName]int {
	out := map[cf.ModelName]int{}
	for _, e := range p.loadingEngines {
		if e.loading > p.provenVersions[e.Model] {
			out[e.Model]++
		}
	}
	return out
}

// dueSwaps returns the engines that should load, as a heap.
func (p *Planner) dueSwaps(now cf.Millis) swapQueue {
	demands := p.shareDemands()
	var due swapQueue
	awaitedEngines := p.awaitedEngines()
	for k, es := range p.shares {
		d := demands[k]
		if f := p.fleets[k.service]; f != nil && f.byNeed {
			due = append(due, p.dueByNeed(f, k, es, d, now)...)
			continue
		}
		for _, e := range es {
			if p.shouldLoad(e, d, now) && (!awaitedEngines[e] || d.hasBlocked(e.versions[e.Model])) {
				due = append(due, swapCandidate{e, d.hasBlocked(e.versions[e.Model])})
			}
		}
	}
	heap.Init(&due)
	return due
}

// noteConcurrentLoads records the number of concurrent loads at each loading engine.
func (p *Planner) noteConcurrentLoads(loading int) {
	for _, e := range p.loadingEngines {
		e.concurrentLoads = max(e.concurrentLoads, loading)
	}
}

// LoadEnded records the duration of a load that was just seen to end. It returns how many engines
// may load at once.
func (p *Planner) LoadEnded(id cf.InstanceID, now cf.Millis) (limit int) {
	e := p.engines[id]
	if e == nil || e.loadStarted == 0 {
		return p.loadLimit.allowed()
	}
	if e.loadUndelayed {
		p.loadLimit.observe(e.concurrentLoads, now-e.loadStarted, now)
	}
	e.loadStarted = 0
	return p.loadLimit.allowed()
}

// loadingCount returns how many engines load weights.
func (p *Planner) loadingCount() int {
	for id, e := range p.loadingEngines {
		if e.loading == 0 {
			delete(p.loadingEngines, id)
		}
	}
	return len(p.loadingEngines)
}

// setLoading records the version that an engine is loading, zero for none.
func (p *Planner) setLoading(e *Engine, v cf.WeightVersion) {
	if e.loading = v; v > 0 {
		p.loadingEngines[e.ID] = e
	} else {
		delete(p.loadingEngines, e.ID)
	}
}

// shouldLoad says whether an engine should load its share's newest version.
func (p *Planner) shouldLoad(e *Engine, d *shareDemand, now cf.Millis) bool {
	if e.Draining || e.Model == "" || e.loading > 0 || now < e.nextOrderAt || e.versions[e.Model] >= p.LatestVersion(e.Model) {
		return false
	}
	v := e.versions[e.Model]
	// A step that no engine may run does not wait for the queue of another step: engines keep their
	// runs while they load, and serve both steps afterwards.
	return !d.hasRunnable(v) || !p.limits.SwapWhenIdle && d.hasBlocked(v)
}

// canBeSpared says whether another engine of the share continues to serve while e loads. Without
// one, a step that arrives now would wait for the entire load. An engine whose version no later
// step will ask for may always load.
func (p *Planner) canBeSpared(e *Engine) bool {
	oldest := p.LatestVersion(e.Model) - 1
	if e.versions[e.Model] < oldest {
		return true
	}
	alone := true
	for _, x := range p.shares[shareKey{e.Service, e.Model}] {
		if x == e || x.Draining {
			continue
		}
		if x.loading == 0 && x.versions[x.Model] >= oldest {
			return true
		}
		alone = false
	}
	return alone
}

// SwapDone records that an engine holds a version.
func (p *Planner) SwapDone(id cf.InstanceID, m cf.ModelName, v cf.WeightVersion) {
	if e := p.engines[id]; e != nil {
		p.noteVersion(e, m, v)
	}
}

// Reported processes an engine's report of its start time, memory, runs and weights.
func (p *Planner) Reported(id cf.InstanceID, r cf.TargetReport) {
	e := p.engines[id]
	if e == nil || r.Started < e.Started {
		return
	}
	p.noteStart(e, r.Started)
	e.Memory, e.memoryReported = r.Memory, true
	p.memory.noteReport(e)
	p.memory.noteRuns(r.Runs, p.runningItems())
	for _, m := range r.Models {
		p.noteVersion(e, m.Name, m.Version)
	}
}

// runningItems returns the running items by their request ids at the engines.
func (p *Planner) runningItems() map[cf.RequestID]*Work {
	out := map[cf.RequestID]*Work{}
	p.eachRunning(func(w *Work) { out[w.Item.ID.RequestID()] = w })
	return out
}

// SwapFailed records that an engine did not accept an order, which is given again later.
func (p *Planner) SwapFailed(id cf.InstanceID, now cf.Millis) {
	if e := p.engines[id]; e != nil {
		if e.loading > 0 {
			e.failedVersion, e.failedAt = e.loading, now
		}
		p.setLoading(e, 0)
		e.nextOrderAt = now + p.limits.OrderBackoff
	}
}

// IsLoading says whether an engine is loading weights.
func (p *Planner) IsLoading(id cf.InstanceID) bool {
	e := p.engines[id]
	return e != nil && e.loading > 0
}
