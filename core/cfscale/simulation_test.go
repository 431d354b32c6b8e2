package cfscale_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/core/cfscale"
)

const (
	simTick           cf.Millis = 50
	simDecideInterval cf.Millis = 500
	simBootTime       cf.Millis = 4000
	simDue            cf.Millis = 7500 // when results are due, as the decider sees it
	simDeadline       cf.Millis = 8200 // until when a complete group counts
	simSlots                    = 6
	// simEventTime is the time per event at an engine that is fully used and loads new weights for
	// each step.
	simEventTime = 52.0 / 0.75
)

var (
	simDomains = []cf.FailureDomain{"a", "b", "c"}
	simPrices  = map[cf.FailureDomain]float64{"a": 1, "b": 1.1, "c": 0.9}
)

type (
	// sim simulates a platform with engines and four trainers, each of which uses a quarter of the
	// engines. A trainer submits a step every 4 s, or as soon as nine tenths of the groups of its
	// previous step are complete if that is later.
	sim struct {
		random       *rand.Rand
		now          cf.Millis
		decider      *cfscale.Decider
		stored       cfscale.StoredState
		disabled     bool
		lengthFactor float64
		engines      []*simEngine
		wanted       map[cf.EnginePool]int
		steps        []*simStep
		nextSubmit   [4]cf.Millis
		// targetGroups counts the groups that trainers wait for, groupsInTime those of them that
		// were complete in time. cost is the price of the engines.
		targetGroups, groupsInTime int
		cost                       float64
		// totals holds the total number of wanted engines, each time it changed.
		totals []simTotal
	}

	simTotal struct {
		at    cf.Millis
		total int
	}

	simEngine struct {
		pool        cf.EnginePool
		inServiceAt cf.Millis // time from which the engine is in service
		leavesAt    cf.Millis // zero while it stays
		// reclaimed says that the platform takes the engine back.
		reclaimed bool
		items     []*simItem
	}

	simItem struct {
		step     *simStep
		group    int
		left     float64
		events   float64
		estimate float64
	}

	simStep struct {
		id          cf.BatchID
		trainer     int
		submittedAt cf.Millis
		waiting     []*simItem
		itemsLeft   []int // items left of each group
		// target is the number of groups that the trainer waits for, complete and inTime how many
		// are complete, at all and in time.
		target, complete, inTime int
		done                     bool
	}
)

func newSim(engines int, lengthFactor float64, disabled bool) *sim {
	r := &sim{
		random: rand.New(rand.NewPCG(3, 5)), disabled: disabled, lengthFactor: lengthFactor, wanted: map[cf.EnginePool]int{},
		decider: cfscale.NewDecider(cfscale.Policy{
			Service: "s", Min: 1, Max: 32, BootTime: simBootTime, SpotPrice: 0.18, DomainPrices: simPrices,
			EnginePrice: 0.0055, GroupValue: 2,
		}, 0, false),
	}
	for _, d := range simDomains {
		for range engines {
			r.engines = append(r.engines, &simEngine{pool: pool(d, false)})
		}
		r.wanted[pool(d, false)] = engines
	}
	for i := range r.nextSubmit {
		r.nextSubmit[i] = cf.Millis(i) * 700
	}
	return r
}

// runUntil advances the simulation to the given time.
func (r *sim) runUntil(until cf.Millis) {
	for ; r.now < until; r.now += simTick {
		r.submitSteps()
		r.runEngines()
		if r.now%simDecideInterval == 0 && !r.disabled {
			r.decide()
		}
	}
}

func (r *sim) submitSteps() {
	for i := range r.nextSubmit {
		open := slices.ContainsFunc(r.steps, func(s *simStep) bool { return s.trainer == i && !s.done })
		if open || r.now < r.nextSubmit[i] {
			continue
		}
		r.nextSubmit[i] = max(r.nextSubmit[i]+4000, r.now)
		s := &simStep{id: cf.BatchID(fmt.Sprint(i, r.now)), trainer: i, submittedAt: r.now}
		groups, items := 10+r.random.IntN(5), 8+8*r.random.IntN(2)
		for g := range groups {
			s.itemsLeft = append(s.itemsLeft, items)
			for range items {
				events := r.lengthFactor * (4 + 10*r.random.Float64())
				if r.random.Float64() < 0.08 {
					events *= 5
				}
				s.waiting = append(s.waiting, &simItem{step: s, group: g, left: events, events: events, estimate: events * (0.6 + r.random.Float64())})
			}
		}
		slices.SortFunc(s.waiting, func(a, b *simItem) int { return int(b.estimate - a.estimate) })
		s.target = (9*groups + 9) / 10
		r.targetGroups += s.target
		r.steps = append(r.steps, s)
	}
}

func (r *sim) runEngines() {
	for i, e := range r.engines {
		if r.now < e.inServiceAt || e.leavesAt > 0 && r.now >= e.leavesAt {
			for _, it := range e.items {
				it.step.waiting = append([]*simItem{it}, it.step.waiting...)
			}
			e.items = nil
			continue
		}
		price := 0.0055 * simPrices[e.pool.Domain] * float64(simTick) / 1000
		if e.pool.Spot {
			price *= 0.18
		}
		r.cost += price
		e.items = slices.DeleteFunc(e.items, func(it *simItem) bool {
			if it.left -= float64(simTick) / simEventTime; it.left > 0 {
				return false
			}
			it.step.itemDone(it.group, r.now)
			return true
		})
		for _, s := range r.steps {
			for s.trainer == i%len(r.nextSubmit) && e.leavesAt == 0 && len(e.items) < simSlots && len(s.waiting) > 0 {
				e.items = append(e.items, s.waiting[0])
				s.waiting = s.waiting[1:]
			}
		}
	}
	for _, s := range r.steps {
		if s.done = s.complete >= s.target; s.done {
			r.nextSubmit[s.trainer] = max(r.nextSubmit[s.trainer], r.now+750)
			r.groupsInTime += min(s.inTime, s.target)
			for _, e := range r.engines {
				e.items = slices.DeleteFunc(e.items, func(it *simItem) bool { return it.step == s })
			}
		}
	}
	r.steps = slices.DeleteFunc(r.steps, func(s *simStep) bool { return s.done })
	r.engines = slices.DeleteFunc(r.engines, func(e *simEngine) bool { return e.leavesAt > 0 && r.now >= e.leavesAt })
}

func (s *simStep) itemDone(group int, now cf.Millis) {
	if s.itemsLeft[group]--; s.itemsLeft[group] > 0 {
		return
	}
	s.complete++
	if now-s.submittedAt <= simDeadline {
		s.inTime++
	}
}

func (r *sim) demand() cfscale.Demand {
	d := cfscale.Demand{
		Demand:  cfrollout.Demand{Service: "s", Models: 4, Slots: simSlots, Pace: 52, Reclaimed: map[cf.EnginePool]int{}},
		Engines: map[cf.EnginePool]int{},
	}
	running := map[*simStep][]*simItem{}
	for _, e := range r.engines {
		switch {
		case e.reclaimed:
			d.Reclaimed[e.pool]++
		case e.leavesAt == 0 && r.now >= e.inServiceAt:
			d.Engines[e.pool]++
		}
		for _, it := range e.items {
			running[it.step] = append(running[it.step], it)
		}
	}
	for _, s := range r.steps {
		o := cfscale.OpenStep{Age: r.now - s.submittedAt, Due: simDue}
		o.Batch, o.Model, o.Groups, o.Waiting = s.id, cf.ModelName(fmt.Sprint(s.trainer)), s.target-s.complete, len(s.waiting)
		for _, it := range slices.Concat(s.waiting, running[s]) {
			o.Events += it.estimate
			o.Remaining += max(it.estimate-(it.events-it.left), (it.events-it.left)/2)
			o.Longest = max(o.Longest, it.estimate)
		}
		d.OpenSteps = append(d.OpenSteps, o)
	}
	return d
}

func (r *sim) decide() {
	before := 0
	for _, n := range r.wanted {
		before += n
	}
	orders, _ := r.decider.Decide(r.now, r.demand(), r.stored)
	r.stored = cfscale.StoredState{Orders: orders, Preexisting: r.decider.Preexisting()}
	after := before
	for _, o := range orders {
		has := r.wanted[o.EnginePool]
		after += o.Count - has
		r.wanted[o.EnginePool] = o.Count
		for ; has < o.Count; has++ {
			r.engines = append(r.engines, &simEngine{pool: o.EnginePool, inServiceAt: r.now + simBootTime})
		}
		for _, e := range r.engines {
			if has > o.Count && e.pool == o.EnginePool && e.leavesAt == 0 {
				e.leavesAt = r.now + 2000
				has--
			}
		}
	}
	if after != before {
		r.totals = append(r.totals, simTotal{r.now, after})
	}
}

// reclaim takes back the reclaimable engines of a failure domain.
func (r *sim) reclaim(d cf.FailureDomain) {
	for _, e := range r.engines {
		if e.pool.Spot && e.pool.Domain == d && e.leavesAt == 0 {
			e.leavesAt, e.reclaimed = r.now+2000, true
		}
	}
}

func (r *sim) servedShare() float64 { return float64(r.groupsInTime) / float64(max(r.targetGroups, 1)) }

// TestTooFewEnginesGrow guards against too few engines for the whole day, with which almost no
// group is complete in time.
func TestTooFewEnginesGrow(t *testing.T) {
	for _, engines := range []int{5, 8} {
		disabled, enabled := newSim(engines, 1, true), newSim(engines, 1, false)
		ample := newSim(30, 1, true)
		for _, r := range []*sim{disabled, enabled, ample} {
			r.runUntil(80_000)
		}
		t.Logf("%d engines per domain: %d groups in time, %d without scaling, %d with ample engines; %d engines at the end, totals %v, cost %.1f, without scaling %.1f",
			engines, enabled.groupsInTime, disabled.groupsInTime, ample.groupsInTime, len(enabled.engines), enabled.totals, enabled.cost, disabled.cost)
		if enabled.groupsInTime < ample.groupsInTime*3/4 || enabled.groupsInTime <= disabled.groupsInTime {
			t.Errorf("%d engines per domain: %d groups in time, %d with ample engines, %d without scaling", engines, enabled.groupsInTime, ample.groupsInTime, disabled.groupsInTime)
		}
	}
}

// TestTooManyEnginesShrink guards against paying for engines that no step needs on a quiet day, and
// against steps that are late because engines were released.
func TestTooManyEnginesShrink(t *testing.T) {
	disabled, enabled := newSim(30, 0.8, true), newSim(30, 0.8, false)
	disabled.runUntil(300_000)
	enabled.runUntil(300_000)
	t.Logf("served share %.3f, without scaling %.3f; %d engines at the end, cost %.1f, without scaling %.1f", enabled.servedShare(), disabled.servedShare(), len(enabled.engines), enabled.cost, disabled.cost)
	if enabled.cost > 0.8*disabled.cost {
		t.Errorf("cost %.1f, want at most 0.8 of the cost without scaling, %.1f", enabled.cost, disabled.cost)
	}
	if enabled.groupsInTime < disabled.groupsInTime*99/100 {
		t.Errorf("served share %.3f, without scaling %.3f", enabled.servedShare(), disabled.servedShare())
	}
}

// TestPeriodicStepsDoNotOscillate guards against engines that are ordered and released in turn, as
// steps begin and end.
func TestPeriodicStepsDoNotOscillate(t *testing.T) {
	for _, engines := range []int{5, 12, 16} {
		r := newSim(engines, 1, false)
		r.runUntil(300_000)
		t.Logf("%d engines per domain: served share %.3f, %d engines at the end, totals %v", engines, r.servedShare(), len(r.engines), r.totals)
		if r.servedShare() < 0.97 {
			t.Errorf("%d engines per domain: served share %.3f, want at least 0.97", engines, r.servedShare())
		}
		total, rose, turned := 3*engines, false, cf.Millis(0)
		for i, o := range r.totals {
			if rises := o.total > total; i == 0 || rises != rose {
				if i > 0 && o.at-turned < 8*4000 {
					t.Errorf("%d engines per domain: the total changes direction at %d ms and again at %d ms", engines, turned, o.at)
				}
				rose, turned = rises, o.at
			}
			total = o.total
		}
	}
}

// TestReclaimedEnginesAreReplaced guards against late steps after a failure domain's reclaimable
// engines are reclaimed in the middle of a step.
func TestReclaimedEnginesAreReplaced(t *testing.T) {
	disabled, enabled := newSim(3, 1, false), newSim(3, 1, false)
	for _, r := range []*sim{disabled, enabled} {
		r.runUntil(41_500)
		r.targetGroups, r.groupsInTime = 0, 0
		r.reclaim("a")
		r.runUntil(44_500)
		r.reclaim("b")
	}
	before := len(enabled.engines)
	disabled.disabled = true
	disabled.runUntil(90_000)
	enabled.runUntil(90_000)
	t.Logf("%d groups in time, without scaling %d; %d engines after %d before, without scaling %d", enabled.groupsInTime, disabled.groupsInTime, len(enabled.engines), before, len(disabled.engines))
	if len(enabled.engines) <= len(disabled.engines) || enabled.groupsInTime < disabled.groupsInTime {
		t.Errorf("%d engines after %d before, without scaling %d", len(enabled.engines), before, len(disabled.engines))
	}
	if firm := slices.DeleteFunc(enabled.engines, func(e *simEngine) bool { return e.pool.Spot }); len(firm) <= 9 {
		t.Errorf("%d firm engines, want more than the initial 9", len(firm))
	}
}
