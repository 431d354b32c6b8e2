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
	replayTick  cf.Millis = 50
	replayLook  cf.Millis = 500
	replayBoot  cf.Millis = 4000
	replayDue   cf.Millis = 7500
	replayCount cf.Millis = 8200
	replaySlots           = 6
	// replayEvent is what an event takes at a full engine that loads a version for each
	// step.
	replayEvent = 52.0 / 0.75
)

var (
	replayDomains = []cf.FailureDomain{"a", "b", "c"}
	replayPrices  = map[cf.FailureDomain]float64{"a": 1, "b": 1.1, "c": 0.9}
)

type (
	// replay is a platform with engines and four trainers, each with a quarter of them. A
	// trainer hands in a step each
	// 4 s, or when the one before has nine tenths of its groups whole.
	replay struct {
		random  *rand.Rand
		now     cf.Millis
		decider *cfscale.Decider
		kept    cfscale.StoredState
		off     bool
		load    float64
		engines []*replayEngine
		wanted  map[cf.EnginePool]int
		steps   []*replayStep
		next    [4]cf.Millis
		// owed and whole count groups, spent is the price of the engines.
		owed, whole int
		spent       float64
		// orders are the totals that were wanted, each time they changed.
		orders []replayOrder
	}

	replayOrder struct {
		at    cf.Millis
		total int
	}

	replayEngine struct {
		pool   cf.EnginePool
		from   cf.Millis // in service since
		leaves cf.Millis // zero while it stays
		// reclaimed: it leaves by the platform's choice.
		reclaimed bool
		runs      []*replayItem
	}

	replayItem struct {
		step   *replayStep
		group  int
		left   float64
		events float64
		guess  float64
	}

	replayStep struct {
		id      cf.BatchID
		trainer int
		at      cf.Millis
		waiting []*replayItem
		groups  []int // items left of each
		// wants are the groups that the trainer waits for, inTime those whole in time.
		wants, whole, inTime int
		over                 bool
	}
)

func newReplay(engines int, load float64, off bool) *replay {
	r := &replay{
		random: rand.New(rand.NewPCG(3, 5)), off: off, load: load, wanted: map[cf.EnginePool]int{},
		decider: cfscale.NewDecider(cfscale.Policy{
			Service: "s", Min: 1, Max: 32, BootTime: replayBoot, SpotPrice: 0.18, DomainPrices: replayPrices,
			EnginePrice: 0.0055, GroupValue: 2,
		}, 0, false),
	}
	for _, d := range replayDomains {
		for range engines {
			r.engines = append(r.engines, &replayEngine{pool: pool(d, false)})
		}
		r.wanted[pool(d, false)] = engines
	}
	for i := range r.next {
		r.next[i] = cf.Millis(i) * 700
	}
	return r
}

// play goes on until a moment.
func (r *replay) play(until cf.Millis) {
	for ; r.now < until; r.now += replayTick {
		r.submit()
		r.run()
		if r.now%replayLook == 0 && !r.off {
			r.look()
		}
	}
}

func (r *replay) submit() {
	for i := range r.next {
		open := slices.ContainsFunc(r.steps, func(s *replayStep) bool { return s.trainer == i && !s.over })
		if open || r.now < r.next[i] {
			continue
		}
		r.next[i] = max(r.next[i]+4000, r.now)
		s := &replayStep{id: cf.BatchID(fmt.Sprint(i, r.now)), trainer: i, at: r.now}
		groups, items := 10+r.random.IntN(5), 8+8*r.random.IntN(2)
		for g := range groups {
			s.groups = append(s.groups, items)
			for range items {
				events := r.load * (4 + 10*r.random.Float64())
				if r.random.Float64() < 0.08 {
					events *= 5
				}
				s.waiting = append(s.waiting, &replayItem{step: s, group: g, left: events, events: events, guess: events * (0.6 + r.random.Float64())})
			}
		}
		slices.SortFunc(s.waiting, func(a, b *replayItem) int { return int(b.guess - a.guess) })
		s.wants = (9*groups + 9) / 10
		r.owed += s.wants
		r.steps = append(r.steps, s)
	}
}

func (r *replay) run() {
	for i, e := range r.engines {
		if r.now < e.from || e.leaves > 0 && r.now >= e.leaves {
			for _, it := range e.runs {
				it.step.waiting = append([]*replayItem{it}, it.step.waiting...)
			}
			e.runs = nil
			continue
		}
		price := 0.0055 * replayPrices[e.pool.Domain] * float64(replayTick) / 1000
		if e.pool.Spot {
			price *= 0.18
		}
		r.spent += price
		e.runs = slices.DeleteFunc(e.runs, func(it *replayItem) bool {
			if it.left -= float64(replayTick) / replayEvent; it.left > 0 {
				return false
			}
			it.step.done(it.group, r.now)
			return true
		})
		for _, s := range r.steps {
			for s.trainer == i%len(r.next) && e.leaves == 0 && len(e.runs) < replaySlots && len(s.waiting) > 0 {
				e.runs = append(e.runs, s.waiting[0])
				s.waiting = s.waiting[1:]
			}
		}
	}
	for _, s := range r.steps {
		if s.over = s.whole >= s.wants; s.over {
			r.next[s.trainer] = max(r.next[s.trainer], r.now+750)
			r.whole += min(s.inTime, s.wants)
			for _, e := range r.engines {
				e.runs = slices.DeleteFunc(e.runs, func(it *replayItem) bool { return it.step == s })
			}
		}
	}
	r.steps = slices.DeleteFunc(r.steps, func(s *replayStep) bool { return s.over })
	r.engines = slices.DeleteFunc(r.engines, func(e *replayEngine) bool { return e.leaves > 0 && r.now >= e.leaves })
}

func (s *replayStep) done(group int, now cf.Millis) {
	if s.groups[group]--; s.groups[group] > 0 {
		return
	}
	s.whole++
	if now-s.at <= replayCount {
		s.inTime++
	}
}

func (r *replay) demand() cfscale.Demand {
	d := cfscale.Demand{
		Demand:  cfrollout.Demand{Service: "s", Models: 4, Slots: replaySlots, Pace: 52, Reclaimed: map[cf.EnginePool]int{}},
		Engines: map[cf.EnginePool]int{},
	}
	running := map[*replayStep][]*replayItem{}
	for _, e := range r.engines {
		switch {
		case e.reclaimed:
			d.Reclaimed[e.pool]++
		case e.leaves == 0 && r.now >= e.from:
			d.Engines[e.pool]++
		}
		for _, it := range e.runs {
			running[it.step] = append(running[it.step], it)
		}
	}
	for _, s := range r.steps {
		o := cfscale.OpenStep{Age: r.now - s.at, Due: replayDue}
		o.Batch, o.Model, o.Groups, o.Waiting = s.id, cf.ModelName(fmt.Sprint(s.trainer)), s.wants-s.whole, len(s.waiting)
		for _, it := range slices.Concat(s.waiting, running[s]) {
			o.Events += it.guess
			o.Remaining += max(it.guess-(it.events-it.left), (it.events-it.left)/2)
			o.Longest = max(o.Longest, it.guess)
		}
		d.OpenSteps = append(d.OpenSteps, o)
	}
	return d
}

func (r *replay) look() {
	before := 0
	for _, n := range r.wanted {
		before += n
	}
	orders, _ := r.decider.Decide(r.now, r.demand(), r.kept)
	r.kept = cfscale.StoredState{Orders: orders, Preexisting: r.decider.Preexisting()}
	after := before
	for _, o := range orders {
		has := r.wanted[o.EnginePool]
		after += o.Count - has
		r.wanted[o.EnginePool] = o.Count
		for ; has < o.Count; has++ {
			r.engines = append(r.engines, &replayEngine{pool: o.EnginePool, from: r.now + replayBoot})
		}
		for _, e := range r.engines {
			if has > o.Count && e.pool == o.EnginePool && e.leaves == 0 {
				e.leaves = r.now + 2000
				has--
			}
		}
	}
	if after != before {
		r.orders = append(r.orders, replayOrder{r.now, after})
	}
}

// reclaim takes a failure domain's reclaimable engines back.
func (r *replay) reclaim(d cf.FailureDomain) {
	for _, e := range r.engines {
		if e.pool.Spot && e.pool.Domain == d && e.leaves == 0 {
			e.leaves, e.reclaimed = r.now+2000, true
		}
	}
}

func (r *replay) served() float64 { return float64(r.whole) / float64(max(r.owed, 1)) }

// Symptom: with too few engines almost no group is whole in time, for the whole day.
func TestTooFewEnginesAreMore(t *testing.T) {
	for _, engines := range []int{5, 8} {
		off, on := newReplay(engines, 1, true), newReplay(engines, 1, false)
		ample := newReplay(30, 1, true)
		for _, r := range []*replay{off, on, ample} {
			r.play(80_000)
		}
		t.Logf("%d a domain: %d groups whole, switched off %d, with ample engines %d; %d engines, orders %v, spent %.1f against %.1f",
			engines, on.whole, off.whole, ample.whole, len(on.engines), on.orders, on.spent, off.spent)
		if on.whole < ample.whole*3/4 || on.whole <= off.whole {
			t.Errorf("%d a domain: %d groups, %d with ample engines, %d with the decision switched off", engines, on.whole, ample.whole, off.whole)
		}
	}
}

// Symptom: a quiet day is paid for engines that no step needs, or steps come late because
// they went.
func TestTooManyEnginesAreFewer(t *testing.T) {
	off, on := newReplay(30, 0.8, true), newReplay(30, 0.8, false)
	off.play(300_000)
	on.play(300_000)
	t.Logf("served %.3f, switched off %.3f; %d engines, spent %.1f against %.1f", on.served(), off.served(), len(on.engines), on.spent, off.spent)
	if on.spent > 0.8*off.spent {
		t.Errorf("spent %.1f, switched off %.1f", on.spent, off.spent)
	}
	if on.whole < off.whole*99/100 {
		t.Errorf("served %.3f, switched off %.3f", on.served(), off.served())
	}
}

// Symptom: engines are ordered and given back in turn, as steps come and end.
func TestStepsEveryFourSecondsDoNotSwing(t *testing.T) {
	for _, engines := range []int{5, 12, 16} {
		r := newReplay(engines, 1, false)
		r.play(300_000)
		t.Logf("%d a domain: served %.3f, %d engines: %v", engines, r.served(), len(r.engines), r.orders)
		if r.served() < 0.97 {
			t.Errorf("%d a domain: served %.3f", engines, r.served())
		}
		total, rose, turned := 3*engines, false, cf.Millis(0)
		for i, o := range r.orders {
			if rises := o.total > total; i == 0 || rises != rose {
				if i > 0 && o.at-turned < 8*4000 {
					t.Errorf("%d a domain: turns at %d and at %d ms", engines, turned, o.at)
				}
				rose, turned = rises, o.at
			}
			total = o.total
		}
	}
}

// Symptom: a failure domain's reclaimable engines are taken back in the middle of a step,
// and the steps after it come late.
func TestReclaimedEnginesAreReplaced(t *testing.T) {
	off, on := newReplay(3, 1, false), newReplay(3, 1, false)
	for _, r := range []*replay{off, on} {
		r.play(41_500)
		r.owed, r.whole = 0, 0
		r.reclaim("a")
		r.play(44_500)
		r.reclaim("b")
	}
	before := len(on.engines)
	off.off = true
	off.play(90_000)
	on.play(90_000)
	t.Logf("%d groups whole, switched off %d; %d engines of %d, switched off %d", on.whole, off.whole, len(on.engines), before, len(off.engines))
	if len(on.engines) <= len(off.engines) || on.whole < off.whole {
		t.Errorf("%d engines of %d, switched off %d", len(on.engines), before, len(off.engines))
	}
	if firm := slices.DeleteFunc(on.engines, func(e *replayEngine) bool { return e.pool.Spot }); len(firm) <= 9 {
		t.Errorf("%d firm engines, as before", len(firm))
	}
}
