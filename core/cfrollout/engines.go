package cfrollout

import (
	"slices"
	"sort"

	cf "currantford"
)

// SetEngines takes the targets that are up, and the models of each service.
// Targets of services without models are passed over.
func (p *Planner) SetEngines(targets []cf.Target, models map[cf.ServiceName][]cf.ModelName) {
	p.models = models
	seen := map[cf.InstanceID]bool{}
	for _, t := range targets {
		if len(models[t.Service]) == 0 || len(t.Models) == 0 {
			continue // no model target, or its weights are not known yet
		}
		seen[t.ID] = true
		e := p.engines[t.ID]
		if e == nil {
			e = &Engine{versions: map[cf.ModelName]cf.WeightVersion{}, groups: map[cf.GroupID]int{}}
			p.engines[t.ID] = e
		}
		born := max(e.Born, t.Born)
		p.starts(e, t.Born)
		e.Target = t
		e.Born = born
		if t.Born == born || t.Born == 0 { // else the list may still show the start before
			for _, m := range t.Models {
				e.hold(m.Name, m.Version)
			}
		}
	}
	for id := range p.engines {
		if !seen[id] {
			p.trials.noteEnd(p.engines[id])
			delete(p.engines, id)
		}
	}
	p.loads.bound(len(p.engines))
	p.divide()
}

// starts records a start of an engine under the id that it had: it holds nothing
// of before, and what was learned of it may hold no more. Its runs end by
// themselves.
func (p *Planner) starts(e *Engine, born cf.Millis) {
	if born <= e.Born {
		return
	}
	first := e.Born == 0
	e.Born = born
	if first {
		return // when it started was not known
	}
	p.trials.noteEnd(e)
	e.versions = map[cf.ModelName]cf.WeightVersion{}
	e.loading, e.loadBegan, e.pace, e.usual, e.avoid, e.rest, e.failed = 0, 0, 0, 0, 0, 0, 0
}

// hold records that an engine has a version. Versions of one start of an
// engine only rise; the instance list shows them late.
func (e *Engine) hold(m cf.ModelName, v cf.WeightVersion) {
	if v > e.versions[m] {
		e.versions[m] = v
	}
	if m == e.Share && e.versions[m] >= e.failed {
		e.failed = 0
	}
	if m == e.Share && e.loading > 0 && e.versions[m] >= e.loading {
		e.loading = 0
	}
}

// divide assigns the engines that are not leaving to the models.
func (p *Planner) divide() {
	p.scarce = false
	for service, models := range p.models {
		var shares []share
		newest := p.newest(service)
		for id, e := range p.engines {
			if e.Service != service || e.Draining {
				continue
			}
			if e.Share == "" {
				e.Share = closest(e, models, newest)
			}
			cost := e.Running
			if e.loading > 0 || e.versions[e.Share] >= p.Named(e.Share) {
				cost += e.Slots
			}
			shares = append(shares, share{id: id, model: e.Share, moveCost: cost})
		}
		if len(shares) < len(models) {
			p.scarce = true
			models = p.turns(service, models)[:len(shares)]
		}
		for id, m := range assign(shares, models, p.need) {
			if e := p.engines[id]; e.Share != m {
				e.Share, e.loading = m, 0
			}
		}
	}
	p.index()
}

// turns orders the models of a service that has fewer engines than models: those
// with work that waits first, the longest wait before the others. A model's turn
// ends when all its items run, so that no trainer starves for another's steps.
func (p *Planner) turns(service cf.ServiceName, models []cf.ModelName) []cf.ModelName {
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

// index rebuilds the shares' lists.
func (p *Planner) index() {
	p.shares = map[shareKey][]*Engine{}
	for _, e := range p.engines {
		k := shareKey{e.Service, e.Share}
		p.shares[k] = append(p.shares[k], e)
	}
	for _, es := range p.shares {
		sort.Slice(es, func(i, j int) bool { return es[i].ID < es[j].ID })
	}
}

// share returns the engines that serve a batch.
func (p *Planner) share(o *open) []*Engine {
	return p.shares[shareKey{o.terms.Service, o.batch.Sub.Model}]
}

// closest returns the model of which an engine lacks least against the newest
// that any engine holds. A coordinator that takes over finds the shares of the
// one before by it, also while the share itself is behind what was named: an
// engine given to another model would have to load weights first, and the
// first orders must wait for the handover.
func closest(e *Engine, models []cf.ModelName, newest map[cf.ModelName]cf.WeightVersion) cf.ModelName {
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
		return "" // no model is closer than another
	}
	return best
}

// newest returns the newest version of each model that any engine holds.
func (p *Planner) newest(service cf.ServiceName) map[cf.ModelName]cf.WeightVersion {
	out := map[cf.ModelName]cf.WeightVersion{}
	for _, e := range p.engines {
		if e.Service != service {
			continue
		}
		for m, v := range e.versions {
			out[m] = max(out[m], v)
		}
	}
	return out
}

// Engine returns what is known of an engine.
func (p *Planner) Engine(id cf.InstanceID) (Engine, bool) {
	e := p.engines[id]
	if e == nil {
		return Engine{}, false
	}
	return *e, true
}
