package cfrollout

import (
	"sort"

	cf "currantford"
)

// Swaps returns the weight orders to give now and marks their engines as
// loading. An engine loads when nothing waits that it could run: before, the
// load would hold up work; much later, the next step would find it without
// the version it needs.
func (p *Planner) Swaps(now cf.Millis) []Swap {
	loading := p.loading()
	var due []*Engine
	for _, e := range p.sortedEngines() {
		if p.due(e, now) {
			due = append(due, e)
		}
	}
	sort.SliceStable(due, func(i, j int) bool {
		a, b := due[i], due[j]
		if ua, ub := p.urgent(a), p.urgent(b); ua != ub {
			return ua
		}
		return a.Running < b.Running
	})
	var out []Swap
	for _, e := range due {
		limit := p.limits.Loads
		if p.urgent(e) {
			limit = p.limits.UrgentLoads
		}
		if loading >= limit || !p.spared(e) {
			continue
		}
		loading++
		e.loading = p.Named(e.Share)
		out = append(out, Swap{Target: e.Target, Model: e.Share, Version: e.loading, KeepRuns: !p.single(e)})
	}
	return out
}

func (p *Planner) loading() int {
	n := 0
	for _, e := range p.engines {
		if e.loading > 0 {
			n++
		}
	}
	return n
}

// due says whether an engine should load its share's newest version.
func (p *Planner) due(e *Engine, now cf.Millis) bool {
	if e.Draining || e.Share == "" || e.loading > 0 || now < e.rest || e.versions[e.Share] >= p.Named(e.Share) {
		return false
	}
	for _, o := range p.batches {
		for _, w := range o.waiting {
			if e.serves(w) {
				return false
			}
		}
	}
	return true
}

// urgent says whether work waits that an engine could run with the newest
// version, and can't with the one it holds.
func (p *Planner) urgent(e *Engine) bool {
	for _, o := range p.batches {
		if len(o.waiting) > 0 && o.batch.Sub.Model == e.Share && o.terms.Service == e.Service &&
			e.versions[e.Share] < o.batch.Sub.MinVersion {
			return true
		}
	}
	return false
}

// spared says whether another engine of the share goes on serving while e
// loads: without one, a step that arrives now would wait for a whole load.
// An engine whose version no step will ask for again is not held back.
func (p *Planner) spared(e *Engine) bool {
	oldest := p.Named(e.Share) - 1
	if e.versions[e.Share] < oldest {
		return true
	}
	others, serving := 0, 0
	for _, x := range p.engines {
		if x == e || x.Share != e.Share || x.Service != e.Service || x.Draining {
			continue
		}
		others++
		if x.loading == 0 && x.versions[x.Share] >= oldest {
			serving++
		}
	}
	return others == 0 || serving > 0
}

// single says whether a batch that the engine runs wants samples of one
// weight version.
func (p *Planner) single(e *Engine) bool {
	for _, o := range p.batches {
		if o.batch.Sub.Model == e.Share && o.terms.Service == e.Service && o.terms.SingleVersion {
			return true
		}
	}
	return false
}

// SwapDone records that an engine holds a version.
func (p *Planner) SwapDone(id cf.InstanceID, m cf.ModelName, v cf.WeightVersion) {
	if e := p.engines[id]; e != nil {
		e.hold(m, v)
	}
}

// SwapFailed records that an order was not taken; it is given again later.
func (p *Planner) SwapFailed(id cf.InstanceID, now cf.Millis) {
	if e := p.engines[id]; e != nil {
		e.loading = 0
		e.rest = now + p.limits.OrderRest
	}
}

// Loading says whether an engine loads weights.
func (p *Planner) Loading(id cf.InstanceID) bool {
	e := p.engines[id]
	return e != nil && e.loading > 0
}
