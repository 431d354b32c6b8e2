package cfrollout

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	cf "currantford"
	"currantford/core/cfpeak"
)

const (
	// maxSharingSlowdown is how much slower than alone a run may become because of the other runs
	// at its engine. The longest text of a step decides when the step is complete.
	maxSharingSlowdown = 0.03
	// minEngines is the minimum number of engines of a model, enough for its first step.
	minEngines = 12
	// rotationFactor is the number of engines of a model relative to the number that a step needs:
	// while some serve a step, the others load the version that the next step asks for.
	rotationFactor = 2
	// slackNeed is the factor by which the number of engines must exceed the need before spare
	// engines are left without a model, and slackShare the factor by which a share must exceed its
	// need before it releases engines. They keep the division from oscillating with the size of
	// each step.
	slackNeed  = 1.25
	slackShare = 1.5
)

// fleet holds the engines of a service.
type fleet struct {
	// usable are the engines that are not draining, spare those of them that serve no model.
	usable map[cf.InstanceID]*Engine
	spare  map[cf.InstanceID]*Engine
	// assumedNeed is the assumed need of a model whose steps are not known yet.
	assumedNeed map[cf.ModelName]int
	// byNeed says that each model gets only as many engines as its work needs, and the others are
	// spare.
	byNeed bool
}

func newFleet() *fleet {
	return &fleet{usable: map[cf.InstanceID]*Engine{}, spare: map[cf.InstanceID]*Engine{}, assumedNeed: map[cf.ModelName]int{}}
}

// enginesFollowing counts the engines that hold one of the two newest versions of a model that any
// engine holds. These are the engines that a previous planner had assigned to the model.
func (f *fleet) enginesFollowing(m cf.ModelName) int {
	newest, n := cf.WeightVersion(0), 0
	for _, e := range f.usable {
		newest = max(newest, e.versions[m])
	}
	for _, e := range f.usable {
		if e.versions[m] >= newest-1 {
			n++
		}
	}
	return n
}

// openItems counts the items of a model that are not done.
func (p *Planner) openItems(m cf.ModelName) int {
	n := 0
	for _, o := range p.batches {
		if o.batch.Sub.Model == m && !o.paused {
			n += len(o.waiting) + len(o.running)
		}
	}
	for _, w := range p.orphans {
		if w.Batch.Sub.Model == m {
			n++
		}
	}
	return n
}

// notePeak records the number of open items of a model, n in addition to those that are open now.
func (p *Planner) notePeak(m cf.ModelName, n int) {
	peak := p.peaks[m]
	if peak == nil {
		peak = &cfpeak.Peak{}
		p.peaks[m] = peak
	}
	peak.Observe(n+p.openItems(m), p.now)
}

// runsPerEngine returns how many runs an engine with the given slots should have at once.
func (p *Planner) runsPerEngine(slots int) int {
	alone := p.slotCost.factor(1)
	n := 1 + int(maxSharingSlowdown*alone/p.slotCost.cost)
	return max(min(n, slots), 1)
}

// enginesNeeded returns how many engines of a fleet the open items of a model should run on,
// including a reserve for the loss of a failure domain.
func (p *Planner) enginesNeeded(f *fleet, m cf.ModelName) int {
	service := p.serviceOf(m)
	peak := p.peaks[m]
	switch {
	case peak != nil && peak.Max(p.now) > 0:
	case p.LatestVersion(m) > 1: // the model is being trained, but its steps are not known yet
		if _, assumed := f.assumedNeed[m]; !assumed {
			f.assumedNeed[m] = min(f.enginesFollowing(m)/rotationFactor, len(f.usable)/len(p.models[service]))
		}
		return max(f.assumedNeed[m], minEngines)
	default:
		return minEngines
	}
	slots, domains := 1, map[cf.FailureDomain]bool{}
	for _, e := range f.usable {
		slots = e.Slots // the engines of a service are alike
		break
	}
	for _, e := range p.shares[shareKey{service, m}] {
		domains[e.Domain] = true
	}
	n := math.Ceil(float64(peak.Max(p.now)) / float64(p.runsPerEngine(slots)))
	if d := float64(len(domains)); d > 1 {
		n = math.Ceil(n * d / (d - 1))
	}
	return max(int(n), minEngines)
}

// serviceOf returns the service of a model, empty if there is none.
func (p *Planner) serviceOf(m cf.ModelName) cf.ServiceName {
	for s, models := range p.models {
		if slices.Contains(models, m) {
			return s
		}
	}
	return ""
}

// divideEngines assigns engines to the models: all engines if the work needs that many, otherwise
// as many as the work needs.
//
// A few trainers may use thousands of engines, of which some hundreds suffice. If all engines were
// divided, each version would be ordered at all of them, and the engines that a step waits for
// would load late.
func (p *Planner) divideEngines() {
	p.scarce, p.needsDivision = false, false
	for service, models := range p.models {
		f := p.fleets[service]
		if f == nil {
			continue
		}
		need := 0
		for _, m := range models {
			need += rotationFactor * p.enginesNeeded(f, m)
		}
		limit := float64(len(f.usable))
		if !f.byNeed {
			limit /= slackNeed
		}
		if f.byNeed = float64(need) <= limit; f.byNeed {
			p.divideByNeed(service, models, f)
		} else {
			p.divideAll(service, models, f)
		}
	}
}

// divideByNeed gives each model as many engines as its work needs.
func (p *Planner) divideByNeed(service cf.ServiceName, models []cf.ModelName, f *fleet) {
	for k, es := range p.shares {
		if k.service == service && !slices.Contains(models, k.model) {
			for _, e := range slices.Clone(es) {
				p.assignEngine(e, "")
			}
		}
	}
	active, want, short := map[cf.ModelName]int{}, map[cf.ModelName]int{}, -len(f.spare)
	for _, m := range models {
		for _, e := range p.shares[shareKey{service, m}] {
			if !e.Draining {
				active[m]++
			}
		}
		needed := p.enginesNeeded(f, m)
		want[m] = rotationFactor * needed
		short += max(needed-active[m], 0)
	}
	for _, m := range models {
		n := active[m] - want[m]
		if float64(active[m]) <= slackShare*float64(want[m]) {
			n = min(n, short) // only what other models lack to serve a step and spare engines cannot provide
		}
		if n > 0 {
			short -= p.releaseIdle(p.shares[shareKey{service, m}], m, n)
		}
	}
	p.needsDivision = p.needsDivision || short > 0 // until idle engines of other models can be released
	for _, m := range models {
		if active[m] < want[m] {
			for _, e := range p.pickSpare(f, m, want[m]-active[m]) {
				p.assignEngine(e, m)
			}
		}
	}
}

// dueByNeed returns the engines of a share that should load, if the fleet has more engines than the
// work needs: as many as will serve a step, starting with the engines whose version no step can use
// any more. Engines with the previous version continue to serve, so that a step submitted now finds
// engines and no run is delayed by a load.
func (p *Planner) dueByNeed(f *fleet, k shareKey, share []*Engine, d *shareDemand, now cf.Millis) []swapCandidate {
	newest := p.LatestVersion(k.model)
	ready, useful, active := 0, 0, 0
	var options []swapOption
	for _, e := range share {
		if e.Draining {
			continue
		}
		active++
		v := e.versions[k.model]
		switch {
		case v >= newest || e.loading >= newest:
			ready++
			continue
		case e.loading > 0:
			continue
		case v >= newest-1:
			useful++
		}
		blocked := d.hasBlocked(v)
		if now < e.nextOrderAt || !blocked && (e.Running > 0 || d.hasRunnable(v)) || blocked && p.limits.SwapWhenIdle && d.hasRunnable(v) {
			continue
		}
		options = append(options, swapOption{e, v, p.paceRank(e), blocked})
	}
	need := p.enginesNeeded(f, k.model)
	if ready >= need || len(options) == 0 {
		return nil
	}
	keep := min(need, active/rotationFactor)
	slices.SortFunc(options, func(a, b swapOption) int {
		return cmp.Or(cmp.Compare(a.Running, b.Running), cmp.Compare(a.version, b.version), cmp.Compare(a.rank, b.rank), cmp.Compare(a.idHash, b.idHash))
	})
	var due []swapCandidate
	for _, e := range options {
		if len(due) == need-ready {
			break
		}
		if !e.blocked && e.version >= newest-1 {
			if useful <= keep {
				continue
			}
			useful--
		}
		due = append(due, swapCandidate{e.Engine, e.blocked})
	}
	return due
}

// swapOption is an engine that may load, with the values that rank it.
type swapOption struct {
	*Engine
	version cf.WeightVersion
	rank    int
	blocked bool
}

// assignEngine assigns an engine to a model, or to none.
func (p *Planner) assignEngine(e *Engine, m cf.ModelName) {
	if e.Model == m && m != "" {
		return
	}
	p.removeFromShare(e)
	e.Model = m
	p.setLoading(e, 0)
	if m == "" {
		p.addSpare(e)
		return
	}
	k := shareKey{e.Service, m}
	at, _ := slices.BinarySearchFunc(p.shares[k], e.ID, byID)
	p.shares[k] = slices.Insert(p.shares[k], at, e)
	if f := p.fleets[e.Service]; f != nil {
		delete(f.spare, e.ID)
	}
}

// removeFromShare removes an engine from the list of its share.
func (p *Planner) removeFromShare(e *Engine) {
	k := shareKey{e.Service, e.Model}
	if at, found := slices.BinarySearchFunc(p.shares[k], e.ID, byID); found {
		p.shares[k] = slices.Delete(p.shares[k], at, at+1)
	}
	if len(p.shares[k]) == 0 {
		delete(p.shares, k)
	}
}

func byID(e *Engine, id cf.InstanceID) int { return cmp.Compare(e.ID, id) }

// addSpare lists an engine as spare if it serves no model and is not draining.
func (p *Planner) addSpare(e *Engine) {
	if f := p.fleets[e.Service]; f != nil && e.Model == "" && !e.Draining {
		f.spare[e.ID] = e
	}
}

// hashID returns a hash of an engine's id, so that engines with consecutive ids are not selected
// together.
func hashID(id cf.InstanceID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never returns an error
	return h.Sum64()
}
