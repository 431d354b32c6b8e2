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
	// remembered is for how long a need counts, ten steps of a trainer: engines are not
	// given back below it. With half as long a replay gave some back that were ordered again
	// three steps later.
	remembered cf.Millis = 40_000
	// grownRest is the time from an order of more engines to the first that gives some
	// back: ten steps of a trainer.
	grownRest cf.Millis = 40_000
	// shrinkRest is the time between two orders that give engines back, shrinkMost how
	// many of a failure domain go by one of them: the platform chooses which go, and runs
	// there begin anew elsewhere.
	shrinkRest cf.Millis = 10_000
	shrinkMost int       = 2
	// shrinkSlack is by how much what is there must exceed what was needed, beside the reserve
	// for a failure domain: a group that is late costs what an engine does in minutes.
	shrinkSlack = 1.2
	// startShare is the part of the need below which engines are ordered before steps have
	// shown how many they need: the estimate is of the unlucky case.
	startShare = 0.8
	// severe is the part of the need of all models below which engines are ordered by the
	// first look that shows it.
	severe = 0.5
	// growMore is by how much more is ordered than is missing: the need swings with each
	// step, and each order is a call to the store and some to the API.
	growMore = 1.1
	// shownMore is the same where steps are in time and few are missing: half of the reserve
	// for one of three failure domains.
	shownMore = 1.25
	// growSlack is how far what is there may fall short, where steps are late, before more
	// is ordered: the need swings with each step.
	growSlack = 0.92
	// bootFactor and bootSlack are how long an ordered engine counts as coming.
	bootFactor           = 2
	bootSlack  cf.Millis = 2000
	// refusedRest is how long a pool that had none is left out, and a failure domain's
	// reclaimable engines after it was reclaimed.
	refusedRest cf.Millis = 20_000
	// listedWithin is how long after the first engine was seen all that were there before
	// are in the list: one is listed by its heartbeat of 1.2 s, and seen 0.8 s later.
	// noneWithin is how long after the duty's begin none is there if none was seen.
	listedWithin cf.Millis = 4_000
	noneWithin   cf.Millis = 15_000
	// countInService stands for as many of a pool as are in service.
	countInService = -1
	// repeatMost is the longest pause between repeats of an order whose engines are
	// missing.
	repeatMost cf.Millis = 60_000
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
		terms Policy
		// follows: a holder before has seen how steps go, and ordered what they needed.
		follows bool
		needs   []pastNeed
		history stepHistory
		// last is the need at the look before.
		last need
		// found is the most engines seen of each pool: nobody here ordered them.
		found map[cf.EnginePool]int
		// restored: what a holder before has found is among them.
		restored bool
		// raised is when a pool's order was last raised or begun to be followed.
		raised map[cf.EnginePool]cf.Millis
		// refused and reclaimed are until when a pool is left out.
		refused   map[cf.EnginePool]cf.Millis
		reclaimed cf.Millis
		// prior is what was wanted of a pool before it was last raised, lower what is
		// wanted of one that refused that.
		prior, lower map[cf.EnginePool]int
		// repeats are the orders whose engines are missing.
		repeats map[cf.EnginePool]repeat
		// unsure is when the need of open steps was last not known.
		unsure cf.Millis
		began  cf.Millis
		// listed is when the first engine was seen, zero if none was.
		listed  cf.Millis
		changed cf.Millis
		shrunk  cf.Millis
	}

	repeat struct{ next, pause cf.Millis }

	pastNeed struct {
		at cf.Millis
		need
	}
)

// NewDecider returns the decider of a duty that begins at now; follows says that another had
// it before.
func NewDecider(terms Policy, now cf.Millis, follows bool) *Decider {
	return &Decider{
		terms: terms, follows: follows, found: map[cf.EnginePool]int{}, raised: map[cf.EnginePool]cf.Millis{}, refused: map[cf.EnginePool]cf.Millis{},
		repeats: map[cf.EnginePool]repeat{}, prior: map[cf.EnginePool]int{}, lower: map[cf.EnginePool]int{},
		began: now, changed: now - grownRest, shrunk: now,
	}
}

// SetPolicy takes what the configuration now in force says.
func (d *Decider) SetPolicy(t Policy) { d.terms = t }

// PoolsToReorder returns the pools whose order is to be repeated: engines that were ordered have not
// come, or were reclaimed a while ago.
func (d *Decider) PoolsToReorder(now cf.Millis, demand Demand, kept StoredState) []cf.EnginePool {
	var out []cf.EnginePool
	for _, o := range kept.Orders {
		pool := o.EnginePool
		raised, followed := d.raised[pool]
		if o.Service != d.terms.Service || !followed {
			continue
		}
		if demand.Engines[pool] >= o.Count {
			delete(d.repeats, pool)
			continue
		}
		r := d.repeats[pool]
		if now < max(raised+d.bootTime(), d.refused[pool], r.next) {
			continue
		}
		r.pause = min(max(2*r.pause, d.bootTime()), repeatMost)
		r.next = now + r.pause
		d.repeats[pool] = r
		out = append(out, pool)
	}
	return out
}

// bootTime is how long an ordered engine counts as coming.
func (d *Decider) bootTime() cf.Millis { return bootFactor*d.terms.BootTime + bootSlack }

// OrderSent notes that an order for a pool was given: its engines come from now on, whether it
// was answered or not.
func (d *Decider) OrderSent(p cf.EnginePool, now cf.Millis) {
	if d.repeats[p].pause == 0 {
		d.raised[p] = now
	}
}

// Refused notes that the platform had none of a pool.
func (d *Decider) Refused(p cf.EnginePool, now cf.Millis) {
	d.refused[p] = now + refusedRest
	if n, raised := d.prior[p]; raised {
		d.lower[p] = n
	} else if p.Spot {
		d.lower[p] = countInService // a holder before has raised it
	}
}

// Decide returns what should have been ordered of the service's pools, given what was.
func (d *Decider) Decide(now cf.Millis, demand Demand, kept StoredState) ([]cf.EngineOrder, Rationale) {
	p := &plan{Decider: d, now: now, demand: demand, kept: map[cf.EnginePool]int{}, wanted: map[cf.EnginePool]int{}}
	for _, o := range kept.Preexisting {
		if o.Service == d.terms.Service && !d.restored {
			d.found[o.EnginePool] = max(d.found[o.EnginePool], o.Count)
		}
	}
	d.restored = true
	for _, o := range kept.Orders {
		if o.Service != d.terms.Service {
			continue
		}
		p.kept[o.EnginePool], p.wanted[o.EnginePool] = o.Count, o.Count
		if _, followed := d.raised[o.EnginePool]; !followed {
			d.raised[o.EnginePool] = now
		}
		if demand.Engines[o.EnginePool] >= o.Count {
			delete(d.prior, o.EnginePool) // all have come: a later refusal is not of the raise
		}
	}
	if len(demand.Engines) > 0 && d.listed == 0 {
		d.listed = max(now, 1)
	}
	for pool, n := range demand.Engines {
		d.found[pool] = max(d.found[pool], n)
	}
	p.domains = p.allDomains()
	d.history.note(now, demand.OpenSteps, p.serving())
	seen := needOf(demand, d.terms.GroupValue)
	n := seen
	recent := d.note(now, n)
	if n.unsure {
		d.unsure = now
	}
	why := Rationale{Need: n.engines, RecentNeed: recent.engines, Serving: p.serving(), Booting: p.booting(), WorstStep: d.history.worst(now)}
	p.withdraw(&why)
	p.maximum(&why)
	p.minimum(&why)
	if float64(p.total()) >= severe*n.engines*p.unopened() {
		n = d.steady(n)
	}
	shown, ok := d.history.prompt(now)
	if ok {
		n.engines = min(shown, recent.engines)
		why.ObservedNeed = shown
	}
	p.grow(n, ok, &why)
	if why.Cause == "" {
		p.shrink(recent, &why)
	}
	d.last = seen
	return p.orders(), why
}

// steady is the need that two looks agree on.
func (d *Decider) steady(n need) need {
	if d.last.engines < n.engines {
		return d.last
	}
	return n
}

// note remembers a need and returns the most of the last while.
func (d *Decider) note(now cf.Millis, n need) need {
	d.needs = slices.DeleteFunc(d.needs, func(p pastNeed) bool { return now-p.at > remembered })
	d.needs = append(d.needs, pastNeed{now, n})
	var most need
	for _, p := range d.needs {
		most.engines, most.least, most.earns = max(most.engines, p.engines), max(most.least, p.least), max(most.earns, p.earns)
	}
	return most
}

// Preexisting returns the engines that were there before any were ordered.
func (d *Decider) Preexisting() []cf.EngineOrder {
	out := make([]cf.EngineOrder, 0, len(d.found))
	for pool, n := range d.found {
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
