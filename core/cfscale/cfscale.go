// Package cfscale decides how many engines of each kind each failure domain should have.
//
// The load it answers: four trainers hand in a step every 4 s each, whose groups count only
// if they are whole within some 8 s, before engines that may be too few for a whole day. An
// engine is in service 4 s after its order and costs a thousandth of what a step earns, so
// one that is missing costs far more than one that idles: engines are ordered as soon as the
// open steps need them, and given back slowly. Reclaimable engines cost a fifth of firm
// ones, and a failure domain of them may be taken back at once.
//
// Decider says what is wanted, Keeper when it is written and ordered, so that a successor
// finds it. Neither has a clock or connections.
//
// Usage:
//
//	d := cfscale.NewDecider(terms)
//	wanted := d.Look(now, demand, keeper.Kept())
//	step := keeper.Next(now, wanted)
package cfscale

import (
	"cmp"
	"slices"

	cf "currantford"
)

const (
	// needWindow is for how long a need counts, ten steps of a trainer: engines are not
	// given back below it. With half as long a replay gave some back that were ordered again
	// three steps later.
	needWindow cf.Millis = 40_000
	// growToShrinkDelay is the time from an order of more engines to the first that gives some
	// back: ten steps of a trainer.
	growToShrinkDelay cf.Millis = 40_000
	// shrinkInterval is the time between two orders that give engines back, shrinkMost how
	// many of a failure domain go by one of them: the platform chooses which go, and runs
	// there begin anew elsewhere.
	shrinkInterval     cf.Millis = 10_000
	maxShrinkPerDomain int       = 2
	// shrinkMargin is by how much what is there must exceed what was needed, beside the reserve
	// for a failure domain: a group that is late costs what an engine does in minutes.
	shrinkMargin = 1.2
	// estimateGrowThreshold is the part of the need below which engines are ordered before steps have
	// shown how many they need: the estimate is of the unlucky case.
	estimateGrowThreshold = 0.8
	// severeShortage is the part of the need of all models below which engines are ordered by the
	// first look that shows it.
	severeShortage = 0.5
	// growMargin is by how much more is ordered than is missing: the need swings with each
	// step, and each order is a call to the store and some to the API.
	growMargin = 1.1
	// promptGrowMargin is the same where steps are in time and few are missing: half of the reserve
	// for one of three failure domains.
	promptGrowMargin = 1.25
	// lateGrowThreshold is how far what is there may fall short, where steps are late, before more
	// is ordered: the need swings with each step.
	lateGrowThreshold = 0.92
	// bootFactor and bootSlack are how long an ordered engine counts as coming.
	bootFactor           = 2
	bootSlack  cf.Millis = 2000
	// unavailableCooldown is how long a pool that had none is left out, and a failure domain's
	// reclaimable engines after it was reclaimed.
	unavailableCooldown cf.Millis = 20_000
	// discoveryTime is how long after the first engine was seen all that were there before
	// are in the list: one is listed by its heartbeat of 1.2 s, and seen 0.8 s later.
	// noneWithin is how long after the duty's begin none is there if none was seen.
	discoveryTime  cf.Millis = 4_000
	noEnginesAfter cf.Millis = 15_000
	// countInService stands for as many of a pool as are in service.
	countInService = -1
	// maxReorderPause is the longest pause between repeats of an order whose engines are
	// missing.
	maxReorderPause cf.Millis = 60_000
)

// Causes of changes.
const (
	// CauseMinimum: the configuration asks for more.
	CauseMinimum Cause = "minimum"
	// CauseMaximum: the configuration allows fewer.
	CauseMaximum Cause = "maximum"
	// CauseSteps: open steps need more to be whole in time.
	CauseSteps Cause = "steps"
	// CauseReclaim: reclaimable engines leave, and steps need others.
	CauseReclaim Cause = "reclaim"
	// CauseUnavailable: the platform had none of a pool.
	CauseUnavailable Cause = "none_available"
	// CauseSurplus: steps did not need all for a while.
	CauseSurplus Cause = "surplus"
	// CauseInherited: a holder before wanted it.
	CauseInherited Cause = "kept"
)

type (
	// Policy bound what may be ordered of a service, and say what it costs.
	Policy struct {
		Service cf.ServiceName
		// Min and Max bound the engines of each failure domain, of both kinds together.
		Min, Max int
		BootTime cf.Millis
		// SpotPrice is the price of a reclaimable engine as a part of a firm one's, zero
		// where there are none; DomainPrices multiply both.
		SpotPrice    float64
		DomainPrices map[cf.FailureDomain]float64
		// EnginePrice is that of a firm engine for a second, GroupValue what a group
		// earns that is whole in time.
		EnginePrice, GroupValue float64
	}

	// Cause is why orders changed.
	Cause string

	// Rationale says what decided a look, for the log.
	Rationale struct {
		// Cause is empty if nothing changed.
		Cause Cause
		// Need is how many engines the open steps need, Recent the most of the last
		// while, Target how many there should be.
		Need, RecentNeed float64
		// ObservedNeed is how many they needed as recent steps have shown, zero where too few
		// have ended.
		ObservedNeed float64
		// WorstStep is the longest that a recent step took, as a part of its time.
		WorstStep float64
		Desired   int
		// Serving and Booting are those that are there and that were ordered.
		Serving, Booting int
		// MarginalValue and Costs are what one more engine earns and costs in a second.
		MarginalValue, MarginalCost float64
	}

	// Decider decides for one service. It is not safe for concurrent use.
	Decider struct {
		policy Policy
		// successor: a holder before has seen how steps go, and ordered what they needed.
		successor   bool
		recentNeeds []needSample
		history     stepHistory
		// lastNeed is the need at the look before.
		lastNeed need
		// preexisting is the most engines seen of each pool: nobody here ordered them.
		preexisting map[cf.EnginePool]int
		// preexistingLoaded: what a holder before has found is among them.
		preexistingLoaded bool
		// raisedAt is when a pool's order was last raised or begun to be followed.
		raisedAt map[cf.EnginePool]cf.Millis
		// refusedUntil and reclaimed are until when a pool is left out.
		refusedUntil   map[cf.EnginePool]cf.Millis
		reclaimedUntil cf.Millis
		// beforeRaise is what was wanted of a pool before it was last raised, lower what is
		// wanted of one that refused that.
		beforeRaise, lowerTo map[cf.EnginePool]int
		// reorders are the orders whose engines are missing.
		reorders map[cf.EnginePool]reorderPause
		// needUnknownAt is when the need of open steps was last not known.
		needUnknownAt cf.Millis
		startedAt     cf.Millis
		// firstListedAt is when the first engine was seen, zero if none was.
		firstListedAt cf.Millis
		grownAt       cf.Millis
		shrunkAt      cf.Millis
	}

	reorderPause struct{ next, pause cf.Millis }

	needSample struct {
		at cf.Millis
		need
	}
)

// NewDecider returns the decider of a duty that begins at now; follows says that another had
// it before.
func NewDecider(policy Policy, now cf.Millis, successor bool) *Decider {
	return &Decider{
		policy: policy, successor: successor, preexisting: map[cf.EnginePool]int{}, raisedAt: map[cf.EnginePool]cf.Millis{}, refusedUntil: map[cf.EnginePool]cf.Millis{},
		reorders: map[cf.EnginePool]reorderPause{}, beforeRaise: map[cf.EnginePool]int{}, lowerTo: map[cf.EnginePool]int{},
		startedAt: now, grownAt: now - growToShrinkDelay, shrunkAt: now,
	}
}

// SetPolicy takes what the configuration now in force says.
func (d *Decider) SetPolicy(policy Policy) { d.policy = policy }

// PoolsToReorder returns the pools whose order is to be repeated: engines that were ordered have not
// come, or were reclaimed a while ago.
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

// bootTimeout is how long an ordered engine counts as coming.
func (d *Decider) bootTimeout() cf.Millis { return bootFactor*d.policy.BootTime + bootSlack }

// OrderSent notes that an order for a pool was given: its engines come from now on, whether it
// was answered or not.
func (d *Decider) OrderSent(p cf.EnginePool, now cf.Millis) {
	if d.reorders[p].pause == 0 {
		d.raisedAt[p] = now
	}
}

// Refused notes that the platform had none of a pool.
func (d *Decider) Refused(p cf.EnginePool, now cf.Millis) {
	d.refusedUntil[p] = now + unavailableCooldown
	if n, raised := d.beforeRaise[p]; raised {
		d.lowerTo[p] = n
	} else if p.Spot {
		d.lowerTo[p] = countInService // a holder before has raised it
	}
}

// Decide returns what should have been ordered of the service's pools, given what was.
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
			delete(d.beforeRaise, o.EnginePool) // all have come: a later refusal is not of the raise
		}
	}
	if len(demand.Engines) > 0 && d.firstListedAt == 0 {
		d.firstListedAt = max(now, 1)
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

// confirmedNeed is the need that two looks agree on.
func (d *Decider) confirmedNeed(n need) need {
	if d.lastNeed.engines < n.engines {
		return d.lastNeed
	}
	return n
}

// recordNeed remembers a need and returns the most of the last while.
func (d *Decider) recordNeed(now cf.Millis, n need) need {
	d.recentNeeds = slices.DeleteFunc(d.recentNeeds, func(p needSample) bool { return now-p.at > needWindow })
	d.recentNeeds = append(d.recentNeeds, needSample{now, n})
	var most need
	for _, p := range d.recentNeeds {
		most.engines, most.minEngines, most.valueRate = max(most.engines, p.engines), max(most.minEngines, p.minEngines), max(most.valueRate, p.valueRate)
	}
	return most
}

// Preexisting returns the engines that were there before any were ordered.
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
