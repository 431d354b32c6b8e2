package cfscale

import (
	"cmp"
	"maps"
	"math"
	"slices"

	cf "currantford"
)

type (
	// plan is the state of one decision while it is made.
	plan struct {
		*Decider
		now     cf.Millis
		demand  Demand
		stored  map[cf.EnginePool]int
		wanted  map[cf.EnginePool]int
		domains []cf.FailureDomain
	}
)

func (p *plan) allDomains() []cf.FailureDomain {
	seen := map[cf.FailureDomain]bool{}
	for d := range p.policy.DomainPrices {
		seen[d] = true
	}
	for pool := range p.preexisting {
		seen[pool.Domain] = true
	}
	return slices.Sorted(maps.Keys(seen))
}

func (p *plan) pool(d cf.FailureDomain, spot bool) cf.EnginePool {
	return cf.EnginePool{Service: p.policy.Service, Domain: d, Spot: spot}
}

// desired returns how many engines of a pool the platform should have after this decision: the
// ordered number, or the number found if nothing was ordered.
func (p *plan) desired(pool cf.EnginePool) int {
	if n, ordered := p.wanted[pool]; ordered {
		return n
	}
	return p.preexisting[pool]
}

// previous returns the same number as it was before this decision.
func (p *plan) previous(pool cf.EnginePool) int {
	if n, ordered := p.stored[pool]; ordered {
		return n
	}
	return p.preexisting[pool]
}

// expected returns how many engines of a pool are in service or will be soon, including the changes
// of this decision.
func (p *plan) expected(pool cf.EnginePool) int {
	n := p.demand.Engines[pool]
	if stored, ordered := p.stored[pool]; ordered && !p.overdue(pool) {
		n = max(n, stored)
	}
	if changed := p.desired(pool) - p.previous(pool); changed >= 0 {
		return n + changed
	}
	return min(n, p.desired(pool))
}

// overdue reports whether engines of a pool that were ordered and are not in service can't be
// relied on: the boot timeout has passed, or the pool is in a cooldown after a refusal or a
// reclaim.
func (p *plan) overdue(pool cf.EnginePool) bool {
	return p.now-p.raisedAt[pool] >= p.bootTimeout() || p.now < p.refusedUntil[pool]
}

// incomplete reports whether ordered engines of a pool have not arrived or were lost.
func (p *plan) incomplete(pool cf.EnginePool) bool {
	return p.demand.Engines[pool] < p.stored[pool] && p.overdue(pool)
}

func (p *plan) expectedInDomain(d cf.FailureDomain) int {
	return p.expected(p.pool(d, false)) + p.expected(p.pool(d, true))
}

func (p *plan) expectedTotal() int {
	n := 0
	for _, d := range p.domains {
		n += p.expectedInDomain(d)
	}
	return n
}

func (p *plan) inService() int {
	n := 0
	for _, count := range p.demand.Engines {
		n += count
	}
	return n
}

func (p *plan) booting() int { return max(p.expectedTotal()-p.inService(), 0) }

// price returns the cost of an engine of a pool per second.
func (p *plan) price(pool cf.EnginePool) float64 {
	price := p.policy.EnginePrice
	if domain, set := p.policy.DomainPrices[pool.Domain]; set {
		price *= domain
	}
	if pool.Spot {
		price *= p.policy.SpotPrice
	}
	return price
}

// add orders one more engine of a pool.
func (p *plan) add(pool cf.EnginePool) { p.wanted[pool] = p.desired(pool) + 1 }

// countKnown reports whether the number of engines that the platform has in a pool is known. An
// order for a smaller number would take engines away, and when a deployment starts, the existing
// engines are listed one after the other.
func (p *plan) countKnown(pool cf.EnginePool) bool {
	if _, ordered := p.wanted[pool]; ordered {
		return true
	}
	kindSeen := false // if true, a failure domain that shows no engines may have some that are not visible
	for other, n := range p.demand.Engines {
		kindSeen = kindSeen || other.Spot == pool.Spot && n > 0
	}
	return p.discovered() && (p.demand.Engines[pool] > 0 || !kindSeen)
}

// discovered reports whether the list shows all engines that existed before the first order.
func (p *plan) discovered() bool {
	if p.Decider.discovered == 0 {
		return p.now-p.startedAt >= noEnginesAfter
	}
	return p.now-p.Decider.discovered >= discoveryTime
}

// domainLost reports whether a failure domain had engines and none is seen now. Engines ordered
// there would not be seen either.
func (p *plan) domainLost(d cf.FailureDomain) bool {
	had := false
	for _, spot := range []bool{false, true} {
		pool := p.pool(d, spot)
		if p.demand.Engines[pool] > 0 {
			return false
		}
		_, ordered := p.stored[pool]
		had = had || p.preexisting[pool] > 0 && (!ordered || p.overdue(pool))
	}
	return had
}

// canAdd reports whether one more engine of a pool may be ordered.
func (p *plan) canAdd(pool cf.EnginePool) bool {
	if p.now < p.refusedUntil[pool] || p.incomplete(pool) || pool.Spot && p.policy.SpotPrice <= 0 {
		return false
	}
	if p.domainLost(pool.Domain) || !pool.Spot && !p.countKnown(pool) {
		return false
	}
	return p.desired(p.pool(pool.Domain, false))+p.desired(p.pool(pool.Domain, true)) < p.policy.Max
}

// poolToGrow returns the pool from which to order one more engine. It prefers the failure domain
// with the fewest engines and then the lower price, which is that of reclaimable engines, but firm
// engines for some time after a reclaim.
func (p *plan) poolToGrow() (cf.EnginePool, bool) {
	var best cf.EnginePool
	found := false
	for _, d := range p.domains {
		for _, spot := range []bool{true, false} {
			pool := p.pool(d, spot)
			if p.canAdd(pool) && (!found || p.preferred(pool, best)) {
				best, found = pool, true
			}
		}
	}
	return best, found
}

// preferred reports whether to order from a rather than from b.
func (p *plan) preferred(a, b cf.EnginePool) bool {
	if p.now < p.reclaimedUntil && a.Spot != b.Spot {
		return b.Spot
	}
	return cmp.Or(cmp.Compare(p.expectedInDomain(a.Domain), p.expectedInDomain(b.Domain)), cmp.Compare(p.price(a), p.price(b))) < 0
}

// withdrawUnavailable withdraws orders that can't be fulfilled: for reclaimable engines that are
// leaving, and for a pool of which the platform had none. They would count towards the failure
// domain's maximum and exclude other engines.
func (p *plan) withdrawUnavailable(rationale *Rationale) {
	for pool := range p.demand.Reclaimed {
		inService := p.demand.Engines[pool]
		p.refusedUntil[pool], p.reclaimedUntil = p.now+unavailableCooldown, p.now+unavailableCooldown
		p.preexisting[pool] = min(p.preexisting[pool], inService)
		if p.stored[pool] > inService {
			p.wanted[pool] = inService
			rationale.Cause = CauseReclaim
		}
	}
	for pool, n := range p.lowerTo {
		n = max(n, p.demand.Engines[pool]) // a refusal releases no engines that are in service
		if n < p.stored[pool] {
			p.wanted[pool] = n
			rationale.Cause = CauseUnavailable
		}
		delete(p.lowerTo, pool)
	}
}

// enforceMax withdraws orders beyond a maximum that was lowered.
func (p *plan) enforceMax(rationale *Rationale) {
	for _, d := range p.domains {
		for _, spot := range []bool{true, false} {
			pool := p.pool(d, spot)
			over := p.desired(p.pool(d, false)) + p.desired(p.pool(d, true)) - p.policy.Max
			if n, ordered := p.wanted[pool]; ordered && over > 0 && n > 0 {
				p.wanted[pool] = max(n-over, 0)
				rationale.Cause = CauseMaximum
			}
		}
	}
}

// enforceMin orders the minimum that the configuration requires.
func (p *plan) enforceMin(rationale *Rationale) {
	if !p.discovered() {
		return
	}
	for _, d := range p.domains {
		for p.desired(p.pool(d, false))+p.desired(p.pool(d, true)) < min(p.policy.Min, p.policy.Max) {
			pool := p.pool(d, true)
			if !p.canAdd(pool) {
				pool = p.pool(d, false)
			}
			if !p.canAdd(pool) {
				break
			}
			p.add(pool)
			rationale.Cause = CauseMinimum
		}
	}
}

// wantedTotal returns how many engines there should be if open steps will be late with the given
// number, according to recent steps or, before any have ended, to the estimate. It returns zero if
// the given number is enough. urgent says that it is far too small for the steps to be in time.
func (p *plan) wantedTotal(n need, observed bool, engines int) (want float64, urgent bool) {
	worstStep, reserve := p.history.worstTimeShare(p.now), growMargin*float64(withDomainReserve(n.engines, len(p.domains)))
	threshold := estimateGrowThreshold * n.engines
	switch {
	case observed && worstStep >= lateShare:
		threshold, want = lateGrowThreshold*reserve/growMargin, reserve
	case p.now < p.reclaimedUntil:
		threshold, want = n.engines, promptGrowMargin*n.engines // the duration of recent steps does not show what the remaining engines can do
	case observed && worstStep < promptShare:
		return 0, false
	case observed:
		threshold, want = n.engines, promptGrowMargin*n.engines
	case p.successor:
		threshold, want = n.minEngines, promptGrowMargin*n.engines // the previous holder has ordered what it observed to be needed
	default:
		factor := p.allModelsFactor()
		urgent = float64(engines) < severeShortage*n.engines*factor
		threshold, want = max(threshold, severeShortage*n.engines*factor), reserve*factor
	}
	if float64(engines) >= threshold {
		return 0, false
	}
	return want, urgent
}

// grow orders all missing engines at once, as long as one more engine earns more than it costs.
func (p *plan) grow(n need, observed bool, rationale *Rationale) {
	rationale.Desired = p.expectedTotal()
	want, urgent := p.wantedTotal(n, observed, rationale.Desired)
	cause := CauseSteps
	if p.now < p.reclaimedUntil {
		cause = CauseReclaim
	}
	for float64(p.expectedTotal()) < want {
		pool, ok := p.poolToGrow()
		if !ok {
			break
		}
		counted := p.expectedTotal()
		if urgent {
			counted = 0 // the estimate is still incomplete and grows with the first steps
		}
		value, cost := n.marginalValue(counted), p.price(pool)
		if value < cost {
			break
		}
		rationale.Cause, rationale.MarginalValue, rationale.MarginalCost = cause, value, cost
		p.add(pool)
	}
	rationale.Desired = p.expectedTotal()
}

// allModelsFactor returns the ratio of the number of models to the number of models with open
// steps. It scales the estimate for the open steps to all steps. If there are far too few engines
// from the start, all trainers begin at about the same time, and an engine that is ordered only for
// the last of them arrives one step later.
func (p *plan) allModelsFactor() float64 {
	models := map[cf.ModelName]bool{}
	for _, s := range p.demand.OpenSteps {
		models[s.Model] = true
	}
	if len(p.history.ended) > 0 || len(models) == 0 || p.demand.Models < len(models) {
		return 1
	}
	return float64(p.demand.Models) / float64(len(models))
}

// shrink releases some engines that recent steps did not need.
func (p *plan) shrink(recent need, rationale *Rationale) {
	needed, observed := p.history.enginesForInTime()
	tooEarly := p.now-p.startedAt < recentStepWindow || p.now-p.grownAt < growToShrinkDelay || p.now-p.shrunkAt < shrinkInterval || p.now < p.reclaimedUntil
	if tooEarly || !observed || p.history.worstTimeShare(p.now) >= lateShare || p.needUnknownAt > 0 && p.now-p.needUnknownAt < needWindow || p.booting() > 0 {
		return
	}
	recent.engines = min(recent.engines, needed)
	keep := int(math.Ceil(shrinkMargin * float64(withDomainReserve(recent.engines, len(p.domains)))))
	for range maxShrinkPerDomain * len(p.domains) {
		pool, ok := p.poolToShrink(recent)
		if !ok || p.expectedTotal()-1 < keep {
			return
		}
		value, cost := recent.marginalValue(p.expectedTotal()-1), p.price(pool)
		if value >= cost {
			return
		}
		p.wanted[pool] = p.desired(pool) - 1
		rationale.Cause, rationale.MarginalValue, rationale.MarginalCost, rationale.Desired = CauseSurplus, value, cost, p.expectedTotal()-1
	}
}

// poolToShrink returns the pool from which to release one engine: of the failure domains from which
// this decision has released fewer than maxShrinkPerDomain, the one with the most engines, and its
// more expensive kind. Firm engines are kept for half of the need, because reclaimable engines may
// be reclaimed in two failure domains one after the other.
func (p *plan) poolToShrink(recent need) (cf.EnginePool, bool) {
	firm := 0
	for _, d := range p.domains {
		firm += p.desired(p.pool(d, false))
	}
	var best cf.EnginePool
	found := false
	for _, d := range p.domains {
		if p.removedFromDomain(d) >= maxShrinkPerDomain {
			continue
		}
		for _, spot := range []bool{false, true} {
			pool := p.pool(d, spot)
			n := p.desired(pool)
			if n == 0 || p.demand.Engines[pool] < n || p.expectedInDomain(d)-1 < p.policy.Min || !spot && float64(firm-1) < recent.engines/2 {
				continue
			}
			if !found || cmp.Or(cmp.Compare(p.expectedInDomain(best.Domain), p.expectedInDomain(d)), cmp.Compare(p.price(best), p.price(pool))) < 0 {
				best, found = pool, true
			}
		}
	}
	return best, found
}

// removedFromDomain returns how many engines of a failure domain this decision releases.
func (p *plan) removedFromDomain(d cf.FailureDomain) int {
	n := 0
	for _, spot := range []bool{false, true} {
		pool := p.pool(d, spot)
		n += max(p.previous(pool)-p.desired(pool), 0)
	}
	return n
}

// recordOrders returns the wanted orders and records when they changed.
func (p *plan) recordOrders() []cf.EngineOrder {
	var out []cf.EngineOrder
	for pool, n := range p.wanted {
		out = append(out, cf.EngineOrder{EnginePool: pool, Count: n})
		switch previous := p.previous(pool); {
		case n > previous:
			p.grownAt, p.raisedAt[pool], p.beforeRaise[pool] = p.now, p.now, previous
		case n < previous:
			p.shrunkAt = p.now
		}
	}
	sortOrders(out)
	return out
}
