package cfrollout

import (
	"cmp"
	"slices"

	cf "currantford"
)

const (
	// replaceFactor is how much slower than usual an engine must be to be replaced by a spare
	// engine instead of loading.
	replaceFactor = 1.15
	// replaceInterval is the time between two searches for such engines.
	replaceInterval cf.Millis = 1000
)

// releaseIdle releases up to n idle engines of a share, the least useful first, and returns how
// many.
func (p *Planner) releaseIdle(share []*Engine, m cf.ModelName, n int) int {
	var idle []*Engine
	for _, e := range share {
		if !e.Draining && e.Running == 0 && e.loading == 0 {
			idle = append(idle, e)
		}
	}
	slices.SortFunc(idle, func(a, b *Engine) int { return p.compareUsefulness(b, a, m) })
	idle = idle[:min(n, len(idle))]
	for _, e := range idle {
		p.assignEngine(e, "")
	}
	return len(idle)
}

// compareUsefulness orders engines by their usefulness for a model: engines with its newest weights
// first, then those that are known not to be slower than usual.
func (p *Planner) compareUsefulness(a, b *Engine, m cf.ModelName) int {
	return cmp.Or(cmp.Compare(b.versions[m], a.versions[m]), cmp.Compare(p.paceRank(a), p.paceRank(b)), cmp.Compare(a.idHash, b.idHash), cmp.Compare(a.ID, b.ID))
}

// paceRank ranks engines by their pace: 0 for usual engines, 1 for unknown ones, 2 for slow ones.
func (p *Planner) paceRank(e *Engine) int {
	switch {
	case e.pace == 0:
		return 1
	case p.slowerThanUsual(e):
		return 2
	default:
		return 0
	}
}

// slowerThanUsual says whether an engine is known to be slower than usual by replaceFactor.
func (p *Planner) slowerThanUsual(e *Engine) bool {
	return e.pace > replaceFactor*p.assumedPace()
}

// pickSpare returns up to n spare engines for a model, spread over the failure domains.
func (p *Planner) pickSpare(f *fleet, m cf.ModelName, n int) []*Engine {
	perDomain := map[cf.FailureDomain]int{}
	for _, e := range p.shares[shareKey{p.serviceOf(m), m}] {
		perDomain[e.Domain]++
	}
	byDomain := map[cf.FailureDomain][]*Engine{}
	for _, e := range f.spare {
		byDomain[e.Domain] = append(byDomain[e.Domain], e)
	}
	domains := make([]cf.FailureDomain, 0, len(byDomain))
	for d, es := range byDomain {
		slices.SortFunc(es, func(a, b *Engine) int { return p.compareUsefulness(a, b, m) })
		domains = append(domains, d)
	}
	slices.Sort(domains)
	var out []*Engine
	for len(out) < n {
		best := -1
		for i, d := range domains {
			if len(byDomain[d]) == 0 {
				continue
			}
			if best < 0 || p.preferred(byDomain[d][0], byDomain[domains[best]][0], m, perDomain[d]-perDomain[domains[best]]) {
				best = i
			}
		}
		if best < 0 {
			break
		}
		d := domains[best]
		out = append(out, byDomain[d][0])
		byDomain[d] = byDomain[d][1:]
		perDomain[d]++
	}
	return out
}

// preferred says whether engine a is selected before engine b of another failure domain. more is
// how many more engines of the share are in a's domain than in b's.
func (p *Planner) preferred(a, b *Engine, m cf.ModelName, more int) bool {
	if c := cmp.Or(cmp.Compare(b.versions[m], a.versions[m]), cmp.Compare(p.paceRank(a), p.paceRank(b))); c != 0 {
		return c < 0
	}
	return more < 0
}

// replaceSlow replaces slow engines that would have to load before they are useful by faster spare
// ones: either way costs one load.
func (p *Planner) replaceSlow() {
	if p.now-p.replacedAt < replaceInterval {
		return
	}
	p.replacedAt = p.now
	for k, es := range p.shares {
		f := p.fleets[k.service]
		if f == nil || !f.byNeed {
			continue
		}
		var slow []*Engine
		for _, e := range es {
			if !e.Draining && e.Running == 0 && e.loading == 0 && e.versions[k.model] < p.LatestVersion(k.model)-1 && p.slowerThanUsual(e) {
				slow = append(slow, e)
			}
		}
		if len(slow) == 0 {
			continue
		}
		for _, e := range p.pickSpare(f, k.model, len(slow)) {
			if p.paceRank(e) < p.paceRank(slow[0]) {
				p.assignEngine(slow[0], "")
				p.assignEngine(e, k.model)
				slow = slow[1:]
			}
		}
	}
}
