// Package cfscale decides how many inference engines of each kind each failure domain should have.
//
// It is designed for this load: each of four trainers submits a training step every 4 s, and the
// groups of a step count only if they are complete within about 8 s. The engines may be too few for
// a whole day. An engine is in service 4 s after it is ordered, and costs a thousandth of what a
// step earns, so a missing engine costs far more than an idle one. Engines are therefore ordered as
// soon as the open steps need them, and released slowly. Reclaimable (spot) engines cost a fifth of
// the others, which are called firm, but the platform may reclaim all those of a failure domain at
// once.
//
// One instance at a time holds the lease of this duty. Decider computes how many engines are
// wanted. Reconciler decides when that is written to the store and when it is ordered from the
// platform, so that the next holder of the lease finds it. Neither has a clock or makes calls.
//
// Usage:
//
//	d := cfscale.NewDecider(policy, now, successor)
//	stored, _ := reconciler.Stored()
//	orders, rationale := d.Decide(now, demand, stored)
//	wanted := cfscale.StoredState{Orders: orders, Preexisting: d.Preexisting()}
//	action := reconciler.Next(now, wanted, mayOrder)
package cfscale

import (
	"cmp"
	"slices"

	cf "currantford"
)

const (
	// needWindow is how long a need is remembered, ten steps of a trainer: engines that it required
	// are not released. With half of this time, a simulation released engines that were ordered
	// again three steps later.
	needWindow cf.Millis = 40_000
	// growToShrinkDelay is the shortest time between an order for more engines and the first one
	// that releases some: ten steps of a trainer.
	growToShrinkDelay cf.Millis = 40_000
	// shrinkInterval is the shortest time between two orders that release engines, and
	// maxShrinkPerDomain is how many of a failure domain one such order may release. Both are
	// limited because the platform chooses which engines leave, and the items that run there start
	// again elsewhere.
	shrinkInterval     cf.Millis = 10_000
	maxShrinkPerDomain int       = 2
	// shrinkMargin is the factor by which the remaining engines must exceed the need, in addition
	// to the reserve for the loss of a failure domain: a late group costs as much as an engine does
	// in minutes.
	shrinkMargin = 1.2
	// estimateGrowThreshold is the fraction of the estimated need below which engines are ordered
	// while too few steps have ended to show the real need. It is below 1 because the estimate
	// assumes an unfavourable order of the items.
	estimateGrowThreshold = 0.8
	// severeShortage is the fraction of the need of all models below which engines are ordered by
	// the first decision that finds it, without a second one to confirm it.
	severeShortage = 0.5
	// growMargin is the factor by which an order exceeds the need. The need varies with each step,
	// and each order takes one call to the store and several to the platform's API.
	growMargin = 1.1
	// promptGrowMargin replaces growMargin if steps end in time and few engines are missing. Its
	// excess over 1 is half of the reserve for the loss of one of three failure domains.
	promptGrowMargin = 1.25
	// lateGrowThreshold is the fraction of the need, with its reserve, below which engines are
	// ordered while steps are late. It is below 1 because the need varies with each step.
	lateGrowThreshold = 0.92
	// bootFactor and bootSlack determine how long an ordered engine is counted as booting:
	// bootFactor times the boot time, plus bootSlack.
	bootFactor           = 2
	bootSlack  cf.Millis = 2000
	// unavailableCooldown is how long nothing is ordered from a pool for which the platform had no
	// engine, or whose engines it reclaimed. For the same time after a reclaim, firm engines are
	// preferred to reclaimable ones.
	unavailableCooldown cf.Millis = 20_000
	// discoveryTime is how long after the first engine was seen the list contains all engines that
	// existed before the first order: an engine is listed with its heartbeat, every 1.2 s, and seen
	// 0.8 s later. noEnginesAfter is the time since the start of the duty after which no such
	// engine is expected if none was seen.
	discoveryTime  cf.Millis = 4_000
	noEnginesAfter cf.Millis = 15_000
	// countInService is a count that stands for the number of engines of the pool that are in
	// service.
	countInService = -1
	// maxReorderPause is the longest pause between repeats of an order whose engines are missing.
	maxReorderPause cf.Millis = 60_000
)

// Causes of a change of orders.
const (
	// CauseMinimum means that the configuration requires more engines.
	CauseMinimum Cause = "minimum"
	// CauseMaximum means that the configuration allows fewer engines.
	CauseMaximum Cause = "maximum"
	// CauseSteps means that open steps need more engines to be complete in time.
	CauseSteps Cause = "steps"
	// CauseReclaim means that reclaimable engines are leaving and that steps need others.
	CauseReclaim Cause = "reclaim"
	// CauseUnavailable means that the platform had no engine for a pool.
	CauseUnavailable Cause = "none_available"
	// CauseSurplus means that for some time the steps did not need all engines.
	CauseSurplus Cause = "surplus"
	// CauseInherited means that a previous holder of the lease wanted the engines.
	CauseInherited Cause = "kept"
)

type (
	// Policy limits what may be ordered for a service, and holds the prices.
	Policy struct {
		Service cf.ServiceName
		// Min and Max limit the engines of each failure domain, firm and reclaimable together.
		Min, Max int
		BootTime cf.Millis
		// SpotPrice is the price of a reclaimable engine as a fraction of the price of a firm one,
		// or zero if there are no reclaimable engines. DomainPrices are factors on the price of
		// both kinds.
		SpotPrice    float64
		DomainPrices map[cf.FailureDomain]float64
		// EnginePrice is the price of a firm engine per second. GroupValue is what a group earns
		// that is complete in time.
		EnginePrice, GroupValue float64
	}

	// Cause is the reason for a change of orders.
	Cause string

	// Rationale explains a decision, for the log.
	Rationale struct {
		// Cause is empty if nothing changed.
		Cause Cause
		// Need is how many engines the open steps need, and RecentNeed is the largest need within
		// needWindow.
		Need, RecentNeed float64
		// ObservedNeed is the need that recently ended steps have shown, or zero if too few have
		// ended.
		ObservedNeed float64
		// WorstStep is the longest duration of a recent step, as a fraction of the time that it
		// had.
		WorstStep float64
		// Desired is how many engines there should be.
		Desired int
		// Serving counts the engines in service, and Booting those that were ordered and are not in
		// service yet.
		Serving, Booting int
		// MarginalValue and MarginalCost are what one more engine earns and costs per second.
		MarginalValue, MarginalCost float64
	}

	// Decider decides for one service. It is not safe for concurrent use.
	Decider struct {
		policy Policy
		// successor says that a previous holder of the lease has observed steps and ordered what
		// they needed.
		successor   bool
		recentNeeds []needSample
		history     stepHistory
		// lastNeed is the need found by the previous decision.
		lastNeed need
		// preexisting is, for each pool, the largest number of engines seen. It is used for pools
		// for which nothing was ordered.
		preexisting map[cf.EnginePool]int
		// preexistingLoaded says that preexisting includes the counts that a previous holder
		// stored.
		preexistingLoaded bool
		// raisedAt is when the order for a pool was last raised or sent, or was first seen by this
		// decider.
		raisedAt map[cf.EnginePool]cf.Millis
		// refusedUntil and reclaimedUntil are the ends of the cooldowns of a pool that had no
		// engines and after engines were reclaimed.
		refusedUntil   map[cf.EnginePool]cf.Millis
		reclaimedUntil cf.Millis
		// beforeRaise is the count wanted of a pool before it was last raised. lowerTo is the count
		// to return to in a pool for which the platform had no engine.
		beforeRaise, lowerTo map[cf.EnginePool]int
		// reorders holds the pauses between repeated orders for pools whose engines are missing.
		reorders map[cf.EnginePool]reorderPause
		// needUnknownAt is when the need of some open step was last unknown.
		needUnknownAt cf.Millis
		startedAt     cf.Millis
		// discovered is when the first engine was seen, or zero if none was. See also
		// plan.discovered.
		discovered cf.Millis
		grownAt    cf.Millis
		shrunkAt   cf.Millis
	}

	reorderPause struct{ next, pause cf.Millis }

	needSample struct {
		at cf.Millis
		need
	}
)

// NewDecider returns the decider of a duty that starts at now. successor says that another instance
// held the duty before.
func NewDecider(policy Policy, now cf.Millis, successor bool) *Decider {
	return &Decider{
		policy: policy, successor: successor, preexisting: map[cf.EnginePool]int{}, raisedAt: map[cf.EnginePool]cf.Millis{}, refusedUntil: map[cf.EnginePool]cf.Millis{},
		reorders: map[cf.EnginePool]reorderPause{}, beforeRaise: map[cf.EnginePool]int{}, lowerTo: map[cf.EnginePool]int{},
		startedAt: now, grownAt: now - growToShrinkDelay, shrunkAt: now,
	}
}

// SetPolicy replaces the policy, after a change of the configuration.
func (d *Decider) SetPolicy(policy Policy) { d.policy = policy }

// PoolsToReorder returns the pools whose order has to be repeated, because engines that were
// ordered have not arrived or were reclaimed some time ago.
func (d *Decider) PoolsToReorder(now cf.Millis, demand Demand, stored StoredState) []cf.EnginePool {
	var out []cf.EnginePool
	for _, o := range stored.Orders {
		pool := o.EnginePool
		raisedAt, followed := d.raisedAt[pool]
		if o.Service != d.policy.Service || !followed {
			continue
		}
		if demand.Engines[pool] >= o.Count {
			delete(d.reorders, pool)
			continue
		}
		r := d.reorders[pool]
		if now < max(raisedAt+d.bootTimeout(), d.refusedUntil[pool], r.next) {
			continue
		}
		r.pause = min(max(2*r.pause, d.bootTimeout()), maxReorderPause)
		r.next = now + r.pause
		d.reorders[pool] = r
		out = append(out, pool)
	}
	return out
}

// bootTimeout returns how long an ordered engine is counted as booting.
func (d *Decider) bootTimeout() cf.Millis { return bootFactor*d.policy.BootTime + bootSlack }

// OrderSent records that an order for a pool was sent. Its engines are expected from now on, even
// if the order was not answered.
func (d *Decider) OrderSent(p cf.EnginePool, now cf.Millis) {
	if d.reorders[p].pause == 0 {
		d.raisedAt[p] = now
	}
}

// Refused records that the platform had no engine for a pool.
func (d *Decider) Refused(p cf.EnginePool, now cf.Millis) {
	d.refusedUntil[p] = now + unavailableCooldown
	if n, raised := d.beforeRaise[p]; raised {
		d.lowerTo[p] = n
	} else if p.Spot {
		d.lowerTo[p] = countInService // a previous holder raised the order
	}
}

// Decide returns the orders that should be in force for the service's pools, given those that are
// stored.
func (d *Decider) Decide(now cf.Millis, demand Demand, stored StoredState) ([]cf.EngineOrder, Rationale) {
	p := &plan{Decider: d, now: now, demand: demand, stored: map[cf.EnginePool]int{}, wanted: map[cf.EnginePool]int{}}
	for _, o := range stored.Preexisting {
		if o.Service == d.policy.Service && !d.preexistingLoaded {
			d.preexisting[o.EnginePool] = max(d.preexisting[o.EnginePool], o.Count)
		}
	}
	d.preexistingLoaded = true
	for _, o := range stored.Orders {
		if o.Service != d.policy.Service {
			continue
		}
		p.stored[o.EnginePool], p.wanted[o.EnginePool] = o.Count, o.Count
		if _, followed := d.raisedAt[o.EnginePool]; !followed {
			d.raisedAt[o.EnginePool] = now
		}
		if demand.Engines[o.EnginePool] >= o.Count {
			delete(d.beforeRaise, o.EnginePool) // all engines have arrived, so a later refusal does not concern the raise
		}
	}
	if len(demand.Engines) > 0 && d.discovered == 0 {
		d.discovered = max(now, 1)
	}
	for pool, n := range demand.Engines {
		d.preexisting[pool] = max(d.preexisting[pool], n)
	}
	p.domains = p.allDomains()
	d.history.update(now, demand.OpenSteps, p.inService())
	current := estimateNeed(demand, d.policy.GroupValue)
	n := current
	recent := d.recordNeed(now, n)
	if n.unknown {
		d.needUnknownAt = now
	}
	rationale := Rationale{Need: n.engines, RecentNeed: recent.engines, Serving: p.inService(), Booting: p.booting(), WorstStep: d.history.worstTimeShare(now)}
	p.withdrawUnavailable(&rationale)
	p.enforceMax(&rationale)
	p.enforceMin(&rationale)
	if float64(p.expectedTotal()) >= severeShortage*n.engines*p.allModelsFactor() {
		n = d.confirmedNeed(n)
	}
	observed, ok := d.history.enginesForPrompt(now)
	if ok {
		n.engines = min(observed, recent.engines)
		rationale.ObservedNeed = observed
	}
	p.grow(n, ok, &rationale)
	if rationale.Cause == "" {
		p.shrink(recent, &rationale)
	}
	d.lastNeed = current
	return p.recordOrders(), rationale
}

// confirmedNeed returns the smaller of the current need and that of the previous decision.
func (d *Decider) confirmedNeed(n need) need {
	if d.lastNeed.engines < n.engines {
		return d.lastNeed
	}
	return n
}

// recordNeed stores a need and returns the largest values of those within needWindow.
func (d *Decider) recordNeed(now cf.Millis, n need) need {
	d.recentNeeds = slices.DeleteFunc(d.recentNeeds, func(p needSample) bool { return now-p.at > needWindow })
	d.recentNeeds = append(d.recentNeeds, needSample{now, n})
	var most need
	for _, p := range d.recentNeeds {
		most.engines, most.minEngines, most.valueRate = max(most.engines, p.engines), max(most.minEngines, p.minEngines), max(most.valueRate, p.valueRate)
	}
	return most
}

// Preexisting returns the largest number of engines seen in each pool, ordered or not.
func (d *Decider) Preexisting() []cf.EngineOrder {
	out := make([]cf.EngineOrder, 0, len(d.preexisting))
	for pool, n := range d.preexisting {
		out = append(out, cf.EngineOrder{EnginePool: pool, Count: n})
	}
	sortOrders(out)
	return out
}

func sortOrders(orders []cf.EngineOrder) {
	slices.SortFunc(orders, func(a, b cf.EngineOrder) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Domain, b.Domain), compareSpot(a.Spot, b.Spot))
	})
}

func compareSpot(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
