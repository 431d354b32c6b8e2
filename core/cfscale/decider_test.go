package cfscale_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/core/cfscale"
)

func pool(d cf.FailureDomain, spot bool) cf.EnginePool {
	return cf.EnginePool{Service: "s", Domain: d, Spot: spot}
}

// demandOf returns the demand of the given number of steps, each of which needs about 15 engines,
// with the given numbers of firm engines in the failure domains.
func demandOf(steps int, due cf.Millis, engines ...int) cfscale.Demand {
	d := cfscale.Demand{Demand: cfrollout.Demand{Service: "s", Slots: 6, Pace: 50}, Engines: map[cf.EnginePool]int{}}
	for i, n := range engines {
		if n > 0 {
			d.Engines[pool(simDomains[i], false)] = n
		}
	}
	for i := range steps {
		d.OpenSteps = append(d.OpenSteps, cfscale.OpenStep{StepDemand: cfrollout.StepDemand{Batch: cf.BatchID(fmt.Sprint(i)), Groups: 12, Events: 5400, Remaining: 2700, Longest: 40}, Due: due})
	}
	return d
}

// runDecider makes decisions on one demand from one time until another. Every order is accepted
// except those that refuse selects. It returns the final state.
func runDecider(d *cfscale.Decider, from, until cf.Millis, demand cfscale.Demand, stored cfscale.StoredState, refuse func(cf.EngineOrder) bool) cfscale.StoredState {
	for now := from; now < until; now += simDecideInterval {
		orders, _ := d.Decide(now, demand, stored)
		for _, o := range orders {
			if refuse != nil && refuse(o) {
				d.Refused(o.EnginePool, now)
			}
		}
		stored = cfscale.StoredState{Orders: orders, Preexisting: d.Preexisting()}
	}
	return stored
}

func counts(state cfscale.StoredState) map[cf.EnginePool]int {
	out := map[cf.EnginePool]int{}
	for _, o := range state.Orders {
		out[o.EnginePool] = o.Count
	}
	return out
}

// TestOrdersForDemand guards against an order that names fewer engines than exist, which makes the
// platform take some away, and against an order that can't be fulfilled and prevents others.
func TestOrdersForDemand(t *testing.T) {
	policy := cfscale.Policy{
		Service: "s", Min: 1, Max: 20, BootTime: 4000, SpotPrice: 0.18, EnginePrice: 0.0055, GroupValue: 2,
		DomainPrices: map[cf.FailureDomain]float64{"a": 1, "b": 1, "c": 1},
	}
	withMin := func(n int) cfscale.Policy { p := policy; p.Min = n; return p }
	for _, c := range []struct {
		name   string
		policy cfscale.Policy
		demand cfscale.Demand
		refuse func(cf.EngineOrder) bool
		check  func(map[cf.EnginePool]int) bool
	}{
		{"no open steps", policy, demandOf(0, 0, 5, 5, 5), nil, func(m map[cf.EnginePool]int) bool { return len(m) == 0 }},
		{"no due time specified", policy, demandOf(4, 0, 5, 5, 5), nil, func(m map[cf.EnginePool]int) bool { return len(m) == 0 }},
		{"reclaimable ones first", policy, demandOf(2, 7500, 5, 5, 5), nil, func(m map[cf.EnginePool]int) bool {
			return m[pool("a", true)] > 0 && m[pool("b", true)] > 0 && m[pool("c", true)] > 0 && len(m) == 3
		}},
		{"no reclaimable engines available", policy, demandOf(2, 7500, 5, 5, 5), func(o cf.EngineOrder) bool { return o.Spot && o.Count > 0 }, func(m map[cf.EnginePool]int) bool {
			return m[pool("a", false)] > 5 && m[pool("a", true)] == 0
		}},
		{"one failure domain out of sight", policy, demandOf(1, 7500, 5, 5, 0), nil, func(m map[cf.EnginePool]int) bool {
			_, firm := m[pool("c", false)]
			return !firm && m[pool("a", true)] > 0
		}},
		{"minimum above the need", withMin(7), demandOf(0, 0, 5, 5, 5), nil, func(m map[cf.EnginePool]int) bool {
			return m[pool("a", true)] == 2 && m[pool("b", true)] == 2 && m[pool("c", true)] == 2
		}},
		{"maximum below the need", policy, demandOf(9, 7500, 5, 5, 5), nil, func(m map[cf.EnginePool]int) bool {
			return m[pool("a", true)] == 15 && m[pool("b", true)] == 15
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := cfscale.NewDecider(c.policy, 0, false)
			stored := runDecider(d, 0, 1000, demandOf(0, 0, 5, 5, 5), cfscale.StoredState{}, c.refuse)
			stored = runDecider(d, 1000, 9_000, c.demand, stored, c.refuse)
			if m := counts(stored); !c.check(m) {
				t.Errorf("unexpected orders %v", m)
			}
		})
	}
}

// TestSuccessorKeepsOrders guards against a change of the lease holder after which engines are
// released that the steps of the previous holder needed, or after which the existing engines are
// counted again.
func TestSuccessorKeepsOrders(t *testing.T) {
	policy := cfscale.Policy{Service: "s", Max: 32, BootTime: 4000, SpotPrice: 0.18, EnginePrice: 0.0055, GroupValue: 2}
	stored := runDecider(cfscale.NewDecider(policy, 0, false), 0, 3000, demandOf(2, 7500, 5, 5, 5), cfscale.StoredState{}, nil)
	after := runDecider(cfscale.NewDecider(policy, 3000, true), 3000, 30_000, demandOf(0, 0, 5, 5, 0), stored, nil)
	if before, now := counts(stored), counts(after); len(before) == 0 || len(now) != len(before) || now[pool("c", true)] != before[pool("c", true)] {
		t.Errorf("wanted %v before the change of holder, %v after it", before, now)
	}
}

// TestRefusedRepeatKeepsEnginesInService guards against a refused repeat of an order that releases
// engines in service.
func TestRefusedRepeatKeepsEnginesInService(t *testing.T) {
	policy := cfscale.Policy{Service: "s", Max: 32, BootTime: 4000, SpotPrice: 0.18, EnginePrice: 0.0055, GroupValue: 2}
	for _, allArrived := range []bool{true, false} { // whether all ordered engines arrived before one was missing
		d := cfscale.NewDecider(policy, 0, false)
		stored := runDecider(d, 0, 9000, demandOf(2, 7500, 5, 5, 5), cfscale.StoredState{}, nil)
		grown := pool("a", true)
		ordered := counts(stored)[grown]
		if ordered < 2 {
			t.Fatalf("ordered %d engines, want at least 2", ordered)
		}
		demand := demandOf(0, 0, 5, 5, 5)
		for p, n := range counts(stored) {
			demand.Engines[p] = n
		}
		if allArrived {
			stored = runDecider(d, 9000, 20_000, demand, stored, nil)
		}
		demand.Engines[grown] = ordered - 1
		if missing := d.PoolsToReorder(20_000, demand, stored); len(missing) != 1 || missing[0] != grown {
			t.Fatalf("pools to reorder: %v, want only the one that lacks an engine", missing)
		}
		d.Refused(grown, 20_000)
		stored = runDecider(d, 20_000, 20_500, demand, stored, nil)
		if n := counts(stored)[grown]; n != ordered-1 {
			t.Errorf("all arrived %v: %d engines wanted after the refusal, %d in service", allArrived, n, ordered-1)
		}
	}
}
