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
	"maps"
	"math"
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
	shrinkMost int       = 1
	// shrinkSlack is by how much what is there must exceed what was needed: in a replay at
	// half of the usual load, 1.15 cost 2.5% of the groups, worth 25 times what it saved.
	shrinkSlack = 1.4
	// growSlack is how far what is there may fall short before more is ordered, growMore by
	// how much more is ordered then: the need swings with each step.
	growSlack = 0.92
	growMore  = 1.1
	// bootFactor and bootSlack are how long an ordered engine counts as coming.
	bootFactor           = 2
	bootSlack  cf.Millis = 2000
	// refusedRest is how long a pool that had none is left out, and a failure domain's
	// reclaimable engines after it was reclaimed.
	refusedRest cf.Millis = 20_000
	// listedWithin is how long after the duty's begin engines that were there before are
	// all in the list.
	listedWithin cf.Millis = 10_000
	// repeatMost is the longest pause between repeats of an order whose engines are
	// missing.
	repeatMost cf.Millis = 60_000
)

type (
	// Terms bound what may be ordered of a service, and say what it costs.
	Terms struct {
		Service cf.ServiceName
		// Min and Max bound the engines of each failure domain, of both kinds together.
		Min, Max int
		Boot     cf.Millis
		// SpotPrice is the price of a reclaimable engine as a part of a firm one's, zero
		// where there are none; DomainPrices multiply both.
		SpotPrice    float64
		DomainPrices map[cf.FailureDomain]float64
		// EnginePrice is that of a firm engine for a second, GroupValue what a group
		// earns that is whole in time.
		EnginePrice, GroupValue float64
	}

	// Why says what decided a look, for the log.
	Why struct {
		// Cause is "minimum", "steps", "reclaim" or "surplus"; empty if nothing changed.
		Cause string
		// Need is how many engines the open steps need, Recent the most of the last
		// while, Target how many there should be.
		Need, Recent float64
		Target       int
		// Serving and Booting are those that are there and that were ordered.
		Serving, Booting int
		// Earns and Costs are what one more engine earns and costs in a second.
		Earns, Costs float64
	}

	// Decider decides for one service. It is not safe for concurrent use.
	Decider struct {
		terms Terms
		needs []pastNeed
		// last is the need at the look before.
		last need
		// found is the most engines seen of each pool: nobody here ordered them.
		found map[cf.EnginePool]int
		// raised is when a pool's order was last raised or begun to be followed.
		raised map[cf.EnginePool]cf.Millis
		// refused and reclaimed are until when a pool is left out.
		refused   map[cf.EnginePool]cf.Millis
		reclaimed cf.Millis
		// repeats are the orders whose engines are missing.
		repeats map[cf.EnginePool]repeat
		began   cf.Millis
		changed cf.Millis
		shrunk  cf.Millis
	}

	repeat struct{ next, pause cf.Millis }

	pastNeed struct {
		at cf.Millis
		need
	}

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

// NewDecider returns the decider of a duty that begins at now.
func NewDecider(terms Terms, now cf.Millis) *Decider {
	return &Decider{
		terms: terms, found: map[cf.EnginePool]int{}, raised: map[cf.EnginePool]cf.Millis{}, refused: map[cf.EnginePool]cf.Millis{},
		repeats: map[cf.EnginePool]repeat{},
		began:   now, changed: now - grownRest, shrunk: now,
	}
}

// SetTerms takes what the configuration now in force says.
func (d *Decider) SetTerms(t Terms) { d.terms = t }

// Missing returns the pools whose order is to be repeated: engines that were ordered have not
// come, or were reclaimed a while ago.
func (d *Decider) Missing(now cf.Millis, demand Demand, kept Kept) []cf.EnginePool {
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
func (d *Decider) bootTime() cf.Millis { return bootFactor*d.terms.Boot + bootSlack }

// Given notes that an order for a pool was given: its engines come from now on, whether it
// was answered or not.
func (d *Decider) Given(p cf.EnginePool, now cf.Millis) {
	if d.repeats[p].pause == 0 {
		d.raised[p] = now
	}
}

// Refused notes that the platform had none of a pool.
func (d *Decider) Refused(p cf.EnginePool, now cf.Millis) { d.refused[p] = now + refusedRest }

// Look returns what should have been ordered of the service's pools, given what was.
func (d *Decider) Look(now cf.Millis, demand Demand, kept Kept) ([]cf.EngineOrder, Why) {
	p := &plan{Decider: d, now: now, demand: demand, kept: map[cf.EnginePool]int{}, wanted: map[cf.EnginePool]int{}}
	for _, o := range kept.Found {
		if o.Service == d.terms.Service {
			d.found[o.EnginePool] = max(d.found[o.EnginePool], o.Count)
		}
	}
	for _, o := range kept.Orders {
		if o.Service != d.terms.Service {
			continue
		}
		p.kept[o.EnginePool], p.wanted[o.EnginePool] = o.Count, o.Count
		if _, followed := d.raised[o.EnginePool]; !followed {
			d.raised[o.EnginePool] = now
		}
	}
	for pool, n := range demand.Engines {
		d.found[pool] = max(d.found[pool], n)
	}
	for pool := range demand.Draining {
		if pool.Spot {
			d.refused[pool] = max(d.refused[pool], now+refusedRest)
			d.reclaimed = now + refusedRest
		}
	}
	p.domains = p.allDomains()
	n := needOf(demand, d.terms.GroupValue)
	recent := d.note(now, n)
	why := Why{Need: n.engines, Recent: recent.engines, Serving: p.serving(), Booting: p.booting()}
	p.minimum(&why)
	p.grow(d.steady(n), &why)
	if why.Cause == "" {
		p.shrink(recent, &why)
	}
	d.last = n
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
		most.engines, most.earns = max(most.engines, p.engines), max(most.earns, p.earns)
	}
	return most
}

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
	return n + p.count(pool) - p.before(pool)
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
	_, ordered := p.wanted[pool]
	return ordered || p.now-p.began >= listedWithin
}

// gone says whether a failure domain had engines and shows none: more that are ordered
// there would not be seen either.
func (p *plan) gone(d cf.FailureDomain) bool {
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
	if p.gone(pool.Domain) || !pool.Spot && !p.counted(pool) {
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
			if p.mayAdd(pool) && (!found || p.rather(pool, best)) {
				best, found = pool, true
			}
		}
	}
	return best, found
}

func (p *plan) rather(a, b cf.EnginePool) bool {
	if p.now < p.reclaimed && a.Spot != b.Spot {
		return b.Spot
	}
	return cmp.Or(cmp.Compare(p.domain(a.Domain), p.domain(b.Domain)), cmp.Compare(p.price(a), p.price(b))) < 0
}

// minimum orders what the configuration asks for at the least.
func (p *plan) minimum(why *Why) {
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
			why.Cause = "minimum"
		}
	}
}

// grow orders as many as are missing, at once: while one more earns more than it costs, and
// as many as leave the need where a failure domain is lost.
func (p *plan) grow(n need, why *Why) {
	total, spread := p.total(), n.spread(len(p.domains))
	why.Target = max(spread, total)
	if float64(total) >= growSlack*float64(spread) {
		return
	}
	spread = int(math.Ceil(growMore * float64(spread)))
	cause := "steps"
	if p.now < p.reclaimed {
		cause = "reclaim"
	}
	for {
		pool, ok := p.cheapest()
		if !ok {
			break
		}
		earns, costs := n.another(p.total()), p.price(pool)
		if p.total() >= spread && earns < costs || n.another(0) < costs {
			break
		}
		why.Cause, why.Earns, why.Costs = cause, earns, costs
		p.add(pool)
	}
	why.Target = p.total()
}

// shrink gives some engines back: those that the steps of the last while did not need.
func (p *plan) shrink(recent need, why *Why) {
	if p.now-p.began < remembered || p.now-p.changed < grownRest || p.now-p.shrunk < shrinkRest || p.now < p.reclaimed || p.booting() > 0 {
		return
	}
	spread := p.keepFor(recent)
	for range shrinkMost * len(p.domains) {
		pool, ok := p.dearest(recent)
		if !ok || p.total()-1 < spread {
			return
		}
		earns, costs := recent.another(p.total()-1), p.price(pool)
		if earns >= costs {
			return
		}
		p.wanted[pool] = p.count(pool) - 1
		why.Cause, why.Earns, why.Costs, why.Target = "surplus", earns, costs, p.total()-1
	}
}

func (p *plan) keepFor(recent need) int {
	return int(math.Ceil(shrinkSlack * float64(recent.spread(len(p.domains)))))
}

// dearest returns the pool to give an engine back from: the failure domain that has the
// most, of which none went by this look, and its dearer kind. Firm ones stay for half of
// what was needed: what is reclaimed may be so in two failure domains one after the other.
func (p *plan) dearest(recent need) (cf.EnginePool, bool) {
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
			p.changed, p.raised[pool] = p.now, p.now
		case n < before:
			p.shrunk = p.now
		}
	}
	sortOrders(out)
	return out
}

// Found returns the engines that were there before any were ordered.
func (d *Decider) Found() []cf.EngineOrder {
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
