package cfrollout

import (
	"slices"
	"sort"

	cf "currantford"
	"currantford/core/cfslow"
)

// SetEngines replaces the list of targets that are up, and the models of each service. Targets of
// services without models are ignored.
func (p *Planner) SetEngines(targets []cf.Target, models map[cf.ServiceName][]cf.ModelName) {
	p.models = models
	seen := make(map[cf.InstanceID]bool, len(targets))
	for _, t := range targets {
		seen[t.ID] = p.upsertEngine(t)
	}
	for id := range p.engines {
		if !seen[id] {
			p.dropEngine(id)
		}
	}
	p.enginesChanged()
}

// ChangeEngines applies changes to the list: targets that are new or have changed, and those that
// are gone.
func (p *Planner) ChangeEngines(changed []cf.Target, gone []cf.InstanceID) {
	for _, t := range changed {
		if !p.upsertEngine(t) {
			p.dropEngine(t.ID)
		}
	}
	for _, id := range gone {
		p.dropEngine(id)
	}
	p.enginesChanged()
}

func (p *Planner) enginesChanged() {
	p.loadLimit.setEngineCount(len(p.engines))
	p.divideEngines()
}

// upsertEngine adds or updates an engine. It returns false if the target does not serve models or
// its weights are not known yet.
func (p *Planner) upsertEngine(t cf.Target) bool {
	if len(p.models[t.Service]) == 0 || len(t.Models) == 0 {
		return false
	}
	e := p.engines[t.ID]
	if e != nil && e.Service != t.Service {
		p.dropEngine(t.ID)
		e = nil
	}
	if e == nil {
		e = p.departedOrNew(t)
		p.engines[t.ID] = e
	}
	started := max(e.Started, t.Started)
	p.noteStart(e, t.Started)
	e.Target = t
	e.Started = started
	if t.Started == started || t.Started == 0 { // otherwise the list may still show the previous process
		for _, m := range t.Models {
			p.noteVersion(e, m.Name, m.Version)
		}
	}
	f := p.fleets[t.Service]
	if f == nil {
		f = newFleet()
		p.fleets[t.Service] = f
	}
	if e.Draining {
		delete(f.usable, e.ID)
		delete(f.spare, e.ID)
	} else {
		f.usable[e.ID] = e
		p.addSpare(e)
	}
	return true
}

// departedOrNew returns the engine for a target that was not listed: the departed engine if it
// still has runs, otherwise a new one.
func (p *Planner) departedOrNew(t cf.Target) *Engine {
	k := departedKey{t.ID, t.Service}
	e := p.departed[k]
	if e == nil {
		return &Engine{versions: make(map[cf.ModelName]cf.WeightVersion, len(t.Models)), idHash: hashID(t.ID)}
	}
	delete(p.departed, k)
	p.busyEngines[t.ID] = e
	return e
}

// currentEngine returns the engine of a run. It returns nil if the engine is no longer listed, or
// has restarted since the run began: the run's progress does not show the pace of the current
// process.
func (p *Planner) currentEngine(w *Work) *Engine {
	e := w.engine
	if e == nil || p.engines[e.ID] != e || w.engineStarted > 0 && w.engineStarted < e.Started {
		return nil
	}
	return e
}

// runEnded removes a run from the engine that it was given to.
func (p *Planner) runEnded(w *Work, outcome Outcome, now cf.Millis) {
	e := w.engine
	if e == nil {
		return
	}
	e.Running--
	if e.groups[w.Item.Group]--; e.groups[w.Item.Group] <= 0 {
		delete(e.groups, w.Item.Group)
	}
	if k := (departedKey{e.ID, e.Service}); e.Running == 0 && p.departed[k] == e {
		delete(p.departed, k)
	}
	if here := p.currentEngine(w); here != nil {
		p.penalize(here, outcome, now)
	}
}

// IsCurrent says whether a target is listed and has not restarted since t was read.
func (p *Planner) IsCurrent(t cf.Target) bool {
	e := p.engines[t.ID]
	return e != nil && e.Service == t.Service && (t.Started == 0 || t.Started >= e.Started)
}

// dropEngine removes an engine. Runs that have not ended remain counted at it, even if it is listed
// again later.
func (p *Planner) dropEngine(id cf.InstanceID) {
	e := p.engines[id]
	if e == nil {
		return
	}
	p.crashes.noteExit(e)
	delete(p.engines, id)
	p.setLoading(e, 0)
	delete(p.busyEngines, id)
	p.removeFromShare(e)
	e.Model = ""
	if e.Running > 0 {
		p.departed[departedKey{id, e.Service}] = e
	}
	if f := p.fleets[e.Service]; f != nil {
		delete(f.usable, id)
		delete(f.spare, id)
	}
}

// noteStart records that the engine's process has restarted under the same id. The new process
// holds no weights, and what was learned about the old one may not apply. Runs of the old process
// end by themselves.
func (p *Planner) noteStart(e *Engine, started cf.Millis) {
	if started <= e.Started {
		return
	}
	first := e.Started == 0
	e.Started = started
	if first {
		return // the earlier start time was unknown
	}
	p.crashes.noteExit(e)
	clear(e.versions)
	p.setLoading(e, 0)
	e.loadStarted, e.pace, e.meanPace, e.avoidUntil, e.nextOrderAt, e.failedVersion, e.idleConnections = 0, 0, 0, 0, 0, 0, nil
	e.state = cfslow.EngineState{}
}

// noteVersion records that an engine holds a version. The versions of one process only increase,
// and the instance list may show an older one.
func (p *Planner) noteVersion(e *Engine, m cf.ModelName, v cf.WeightVersion) {
	p.provenVersions[m] = max(p.provenVersions[m], v)
	if v > e.versions[m] {
		e.versions[m] = v
	}
	if m == e.Model && e.versions[m] >= e.failedVersion {
		e.failedVersion = 0
	}
	if m == e.Model && e.loading > 0 && e.versions[m] >= e.loading {
		p.setLoading(e, 0)
	}
}

// divideAll divides all engines that are not draining among the models.
func (p *Planner) divideAll(service cf.ServiceName, models []cf.ModelName, f *fleet) {
	var shares []assignment
	newest := p.newestVersions(f)
	for id, e := range f.usable {
		if e.Model == "" {
			p.assignEngine(e, closestModel(e, models, newest))
		}
		cost := e.Running
		if e.loading > 0 || e.versions[e.Model] >= p.LatestVersion(e.Model) {
			cost += e.Slots
		}
		shares = append(shares, assignment{id: id, model: e.Model, moveCost: cost})
	}
	hasDueTimes := p.hasDueTimes(models)
	if len(shares) < len(models) {
		p.scarce = true
		models = p.byLongestWait(service, models)[:len(shares)]
	}
	need := p.needsOf(models, hasDueTimes)
	if hasDueTimes && sharesCloseEnough(shares, models, need) {
		return
	}
	for id, m := range assign(shares, models, need) {
		p.assignEngine(p.engines[id], m)
	}
}

// byLongestWait orders the models of a service that has fewer engines than models: models with
// waiting items first, the longest wait at the front. A model's turn ends when all of its items
// run, so that no trainer is starved by another's steps.
func (p *Planner) byLongestWait(service cf.ServiceName, models []cf.ModelName) []cf.ModelName {
	oldest := map[cf.ModelName]cf.Millis{}
	for _, o := range p.batches {
		if o.terms.Service != service || o.paused || len(o.waiting) == 0 {
			continue
		}
		m := o.batch.Sub.Model
		if at, known := oldest[m]; !known || o.batch.Sub.Accepted < at {
			oldest[m] = o.batch.Sub.Accepted
		}
	}
	out := slices.Clone(models)
	sort.SliceStable(out, func(i, j int) bool {
		a, waits := oldest[out[i]]
		b, others := oldest[out[j]]
		if waits != others {
			return waits
		}
		return waits && a < b
	})
	return out
}

// enginesFor returns the engines that serve a batch's model.
func (p *Planner) enginesFor(o *openBatch) []*Engine {
	return p.shares[shareKey{o.terms.Service, o.batch.Sub.Model}]
}

// closestModel returns the model whose weights at an engine lag least behind the newest version
// that any engine holds, or none if all lag equally. A new coordinator recovers the previous
// division this way, even for a share that lags behind the announced version. An engine given to
// another model would have to load weights first, and the first orders wait for the end of the
// handover.
func closestModel(e *Engine, models []cf.ModelName, newest map[cf.ModelName]cf.WeightVersion) cf.ModelName {
	var best cf.ModelName
	lag := cf.WeightVersion(0)
	same := true
	for i, m := range models {
		l := newest[m] - e.versions[m]
		if i > 0 && l != lag {
			same = false
		}
		if i == 0 || l < lag {
			best, lag = m, l
		}
	}
	if same {
		return "" // no model is closer than the others
	}
	return best
}

// newestVersions returns the newest version of each model that any engine of the fleet holds.
func (p *Planner) newestVersions(f *fleet) map[cf.ModelName]cf.WeightVersion {
	out := map[cf.ModelName]cf.WeightVersion{}
	for _, e := range f.usable {
		for m, v := range e.versions {
			out[m] = max(out[m], v)
		}
	}
	return out
}

// Engine returns a copy of the planner's knowledge of an engine.
func (p *Planner) Engine(id cf.InstanceID) (Engine, bool) {
	e := p.engines[id]
	if e == nil {
		return Engine{}, false
	}
	return *e, true
}
