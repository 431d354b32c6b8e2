package cfscale

import (
	"cmp"
	"maps"
	"math"
	"slices"

	cf "currantford"
)

type (
	// plan is a look under way.
	plan struct {
		*Decider
		now     cf.Millis
		demand  Demand
		kept    map[cf.EnginePool]int
		wanted  map[cf.EnginePool]int
		domains []cf.FailureDomain
	}
)

func (p *plan) allDomains() []cf.FailureDomain {
	seen := map[cf.FailureDomain]bool{}
	for d := range p.terms.DomainPrices {
		seen[d] = true
	}
	for pool := range p.found {
		seen[pool.Domain] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

func (p *plan) pool(d cf.FailureDomain, spot bool) cf.EnginePool {
	return cf.EnginePool{Service: p.terms.Service, Domain: d, Spot: spot}
}

// count is how many of a pool the platform is to have: as ordered, or as found.
func (p *plan) count(pool cf.EnginePool) int {
	if n, ordered := p.wanted[pool]; ordered {
		return n
	}
	return p.found[pool]
}

// before is how many of a pool the platform was to have before this look.
func (p *plan) before(pool cf.EnginePool) int {
	if n, ordered := p.kept[pool]; ordered {
		return n
	}
	return p.found[pool]
}

// coming is how many of a pool are in service, or will be soon, with what this look
// changes.
func (p *plan) coming(pool cf.EnginePool) int {
	n := p.demand.Engines[pool]
	if kept, ordered := p.kept[pool]; ordered && !p.overdue(pool) {
		n = max(n, kept)
	}
	if changed := p.count(pool) - p.before(pool); changed >= 0 {
		return n + changed
	}
	return min(n, p.count(pool))
}

// overdue says whether engines of a pool that were ordered and are not there can't be
// counted on: they had the time to come, were refused, or were reclaimed.
func (p *plan) overdue(pool cf.EnginePool) bool {
	return p.now-p.raised[pool] >= p.bootTime() || p.now < p.refused[pool]
}

// short says whether ordered engines of a pool have not come, or were lost.
func (p *plan) short(pool cf.EnginePool) bool {
	return p.demand.Engines[pool] < p.kept[pool] && p.overdue(pool)
}

func (p *plan) domain(d cf.FailureDomain) int {
	return p.coming(p.pool(d, false)) + p.coming(p.pool(d, true))
}

func (p *plan) total() int {
	n := 0
	for _, d := range p.domains {
		n += p.domain(d)
	}
	return n
}

func (p *plan) serving() int {
	n := 0
	for _, count := range p.demand.Engines {
		n += count
	}
	return n
}

func (p *plan) booting() int { return max(p.total()-p.serving(), 0) }

// price is what an engine of a pool costs in a second.
func (p *plan) price(pool cf.EnginePool) float64 {
	price := p.terms.EnginePrice
	if domain, set := p.terms.DomainPrices[pool.Domain]; set {
		price *= domain
	}
	if pool.Spot {
		price *= p.terms.SpotPrice
	}
	return price
}

// add asks for one more engine of a pool.
func (p *plan) add(pool cf.EnginePool) { p.wanted[pool] = p.count(pool) + 1 }

// counted says whether it is known how many of a pool the platform has. An order that names
// fewer takes some away, and those that were there first are listed one after the other
// when a deployment starts.
func (p *plan) counted(pool cf.EnginePool) bool {
	if _, ordered := p.wanted[pool]; ordered {
		return true
	}
	shown := false // any such engines: a failure domain without may be out of sight
	for other, n := range p.demand.Engines {
		shown = shown || other.Spot == pool.Spot && n > 0
	}
	return p.listed() && (p.demand.Engines[pool] > 0 || !shown)
}

// listed says whether the list shows all engines that were there before.
func (p *plan) listed() bool {
	if p.Decider.listed == 0 {
		return p.now-p.began >= noneWithin
	}
	return p.now-p.Decider.listed >= listedWithin
}

// domainLost says whether a failure domain had engines and shows none: more that are ordered
// there would not be seen either.
func (p *plan) domainLost(d cf.FailureDomain) bool {
	had := false
	for _, spot := range []bool{false, true} {
		pool := p.pool(d, spot)
		if p.demand.Engines[pool] > 0 {
			return false
		}
		_, ordered := p.kept[pool]
		had = had || p.found[pool] > 0 && (!ordered || p.overdue(pool))
	}
	return had
}

// mayAdd says whether one more of a pool may be ordered.
func (p *plan) mayAdd(pool cf.EnginePool) bool {
	if p.now < p.refused[pool] || p.short(pool) || pool.Spot && p.terms.SpotPrice <= 0 {
		return false
	}
	if p.domainLost(pool.Domain) || !pool.Spot && !p.counted(pool) {
		return false
	}
	return p.count(p.pool(pool.Domain, false))+p.count(p.pool(pool.Domain, true)) < p.terms.Max
}

// cheapest returns the pool for one more engine: of the failure domain that has the fewest,
// reclaimable where there are such ones, firm while some were just reclaimed.
func (p *plan) cheapest() (cf.EnginePool, bool) {
	var best cf.EnginePool
	found := false
	for _, d := range p.domains {
		for _, spot := range []bool{true, false} {
			pool := p.pool(d, spot)
			if p.mayAdd(pool) && (!found || p.preferred(pool, best)) {
				best, found = pool, true
			}
		}
	}
	return best, found
}

// preferred says whether a is to be ordered before b.
func (p *plan) preferred(a, b cf.EnginePool) bool {
	if p.now < p.reclaimed && a.Spot != b.Spot {
		return b.Spot
	}
	return cmp.Or(cmp.Compare(p.domain(a.Domain), p.domain(b.Domain)), cmp.Compare(p.price(a), p.price(b))) < 0
}

// withdraw takes back what can't be had: of reclaimable engines that leave, and of a pool
// that had none. It would take the room of others below the failure domain's bound.
func (p *plan) withdraw(why *Rationale) {
	for pool := range p.demand.Reclaimed {
		have := p.demand.Engines[pool]
		p.refused[pool], p.reclaimed = p.now+refusedRest, p.now+refusedRest
		p.found[pool] = min(p.found[pool], have)
		if p.kept[pool] > have {
			p.wanted[pool] = have
			why.Cause = CauseReclaim
		}
	}
	for pool, n := range p.lower {
		n = max(n, p.demand.Engines[pool]) // engines in service are not given back by a refusal
		if n < p.kept[pool] {
			p.wanted[pool] = n
			why.Cause = CauseUnavailable
		}
		delete(p.lower, pool)
	}
}

// maximum takes back orders beyond a bound that was lowered.
func (p *plan) maximum(why *Rationale) {
	for _, d := range p.domains {
		for _, spot := range []bool{true, false} {
			pool := p.pool(d, spot)
			over := p.count(p.pool(d, false)) + p.count(p.pool(d, true)) - p.terms.Max
			if n, ordered := p.wanted[pool]; ordered && over > 0 && n > 0 {
				p.wanted[pool] = max(n-over, 0)
				why.Cause = CauseMaximum
			}
		}
	}
}

// minimum orders what the configuration asks for at the least.
func (p *plan) minimum(why *Rationale) {
	if !p.listed() {
		return
	}
	for _, d := range p.domains {
		for p.count(p.pool(d, false))+p.count(p.pool(d, true)) < min(p.terms.Min, p.terms.Max) {
			pool := p.pool(d, true)
			if !p.mayAdd(pool) {
				pool = p.pool(d, false)
			}
			if !p.mayAdd(pool) {
				break
			}
			p.add(pool)
			why.Cause = CauseMinimum
		}
	}
}

// missing returns how many engines there should be where open steps will come late with so
// many, by what recent ones have shown, or by the estimate before; zero where enough are there.
// urgent says that steps can't be in time at all.
func (p *plan) missing(n need, shown bool, engines int) (want float64, urgent bool) {
	worst, reserve := p.history.worst(p.now), growMore*float64(spread(n.engines, len(p.domains)))
	least := startShare * n.engines
	switch {
	case shown && worst >= late:
		least, want = growSlack*reserve/growMore, reserve
	case p.now < p.reclaimed:
		least, want = n.engines, shownMore*n.engines // what recent steps took says nothing of what is left
	case shown && worst < prompt:
		return 0, false
	case shown:
		least, want = n.engines, shownMore*n.engines
	case p.follows:
		least, want = n.least, shownMore*n.engines // the holder before had ordered what it saw to be needed
	default:
		all := p.unopened()
		urgent = float64(engines) < severe*n.engines*all
		least, want = max(least, severe*n.engines*all), reserve*all
	}
	if float64(engines) >= least {
		return 0, false
	}
	return want, urgent
}

// grow orders as many as are missing, at once, while one more earns more than it costs.
func (p *plan) grow(n need, shown bool, why *Rationale) {
	why.Desired = p.total()
	want, urgent := p.missing(n, shown, why.Desired)
	cause := CauseSteps
	if p.now < p.reclaimed {
		cause = CauseReclaim
	}
	for float64(p.total()) < want {
		pool, ok := p.cheapest()
		if !ok {
			break
		}
		worth := p.total()
		if urgent {
			worth = 0 // the estimate grows with the first steps
		}
		earns, costs := n.another(worth), p.price(pool)
		if earns < costs {
			break
		}
		why.Cause, why.MarginalValue, why.MarginalCost = cause, earns, costs
		p.add(pool)
	}
	why.Desired = p.total()
}

// unopened is how many times as much the steps of all models need as those that are open:
// where engines are far too few from the start, all trainers begin at about one time, and an
// engine that is ordered for the last of them is there a step later.
func (p *plan) unopened() float64 {
	models := map[cf.ModelName]bool{}
	for _, s := range p.demand.OpenSteps {
		models[s.Model] = true
	}
	if len(p.history.ended) > 0 || len(models) == 0 || p.demand.Models < len(models) {
		return 1
	}
	return float64(p.demand.Models) / float64(len(models))
}

// shrink gives some engines back: those that the steps of the last while did not need.
func (p *plan) shrink(recent need, why *Rationale) {
	needed, shown := p.history.inTime()
	rests := p.now-p.began < recentSteps || p.now-p.changed < grownRest || p.now-p.shrunk < shrinkRest || p.now < p.reclaimed
	if rests || !shown || p.history.worst(p.now) >= late || p.unsure > 0 && p.now-p.unsure < remembered || p.booting() > 0 {
		return
	}
	recent.engines = min(recent.engines, needed)
	keep := int(math.Ceil(shrinkSlack * float64(spread(recent.engines, len(p.domains)))))
	for range shrinkMost * len(p.domains) {
		pool, ok := p.mostExpensive(recent)
		if !ok || p.total()-1 < keep {
			return
		}
		earns, costs := recent.another(p.total()-1), p.price(pool)
		if earns >= costs {
			return
		}
		p.wanted[pool] = p.count(pool) - 1
		why.Cause, why.MarginalValue, why.MarginalCost, why.Desired = CauseSurplus, earns, costs, p.total()-1
	}
}

// mostExpensive returns the pool to give an engine back from: the failure domain that has the
// most, of which none went by this look, and its more expensive kind. Firm ones stay for half of
// what was needed: what is reclaimed may be so in two failure domains one after the other.
func (p *plan) mostExpensive(recent need) (cf.EnginePool, bool) {
	firm := 0
	for _, d := range p.domains {
		firm += p.count(p.pool(d, false))
	}
	var best cf.EnginePool
	found := false
	for _, d := range p.domains {
		if p.lowered(d) >= shrinkMost {
			continue
		}
		for _, spot := range []bool{false, true} {
			pool := p.pool(d, spot)
			n := p.count(pool)
			if n == 0 || p.demand.Engines[pool] < n || p.domain(d)-1 < p.terms.Min || !spot && float64(firm-1) < recent.engines/2 {
				continue
			}
			if !found || cmp.Or(cmp.Compare(p.domain(best.Domain), p.domain(d)), cmp.Compare(p.price(best), p.price(pool))) < 0 {
				best, found = pool, true
			}
		}
	}
	return best, found
}

// lowered is how many engines of a failure domain this look gives back.
func (p *plan) lowered(d cf.FailureDomain) int {
	n := 0
	for _, spot := range []bool{false, true} {
		pool := p.pool(d, spot)
		n += max(p.before(pool)-p.count(pool), 0)
	}
	return n
}

// orders returns what is wanted, and notes when it changed.
func (p *plan) orders() []cf.EngineOrder {
	var out []cf.EngineOrder
	for pool, n := range p.wanted {
		out = append(out, cf.EngineOrder{EnginePool: pool, Count: n})
		switch before := p.before(pool); {
		case n > before:
			p.changed, p.raised[pool], p.prior[pool] = p.now, p.now, before
		case n < before:
			p.shrunk = p.now
		}
	}
	sortOrders(out)
	return out
}
