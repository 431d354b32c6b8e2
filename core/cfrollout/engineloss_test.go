package cfrollout_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// lossSim simulates a fleet that loses engines while steps run.
type lossSim struct {
	t          *testing.T
	planner    *cfrollout.Planner
	models     map[cf.ServiceName][]cf.ModelName
	targets    []cf.Target
	now        cf.Millis
	runs       map[*cfrollout.Work]bool
	loads      map[cf.InstanceID]cfrollout.Swap
	loadEndsAt map[cf.InstanceID]cf.Millis
	// unplacedSince is since when each item has had no engine.
	unplacedSince map[cf.ItemID]cf.Millis
	longestWait   cf.Millis
	terms         cfrollout.Terms
	// slow holds the engines that take four times as long per event.
	slow map[cf.InstanceID]bool
}

const (
	lossTick      cf.Millis = 50
	lossLoadTime  cf.Millis = 900
	lossEventTime cf.Millis = 100
)

func newLossSim(t *testing.T, engines int, names []cf.ModelName) *lossSim {
	var held []cf.ModelState
	for _, m := range names {
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	x := &lossSim{
		t: t, planner: cfrollout.New(cfrollout.DefaultLimits), models: models(names...), targets: fleet(engines, held...),
		runs: map[*cfrollout.Work]bool{}, loads: map[cf.InstanceID]cfrollout.Swap{}, loadEndsAt: map[cf.InstanceID]cf.Millis{},
		unplacedSince: map[cf.ItemID]cf.Millis{}, terms: defaultTerms, slow: map[cf.InstanceID]bool{},
	}
	for i := range x.targets {
		x.targets[i].Slots, x.targets[i].Domain = 6, cf.FailureDomain(fmt.Sprint(i%6))
	}
	x.planner.SetEngines(x.targets, x.models)
	return x
}

// removeEngines removes engines, either immediately or by draining them first.
func (x *lossSim) removeEngines(draining bool, which func(cf.Target) bool) {
	for i := range x.targets {
		x.targets[i].Draining = x.targets[i].Draining || draining && which(x.targets[i])
	}
	if !draining {
		x.targets = slices.DeleteFunc(x.targets, which)
	}
	x.planner.SetEngines(x.targets, x.models)
	for w := range x.runs {
		if !draining && !slices.ContainsFunc(x.targets, func(t cf.Target) bool { return t.ID == w.Engine }) {
			delete(x.runs, w)
			x.planner.Finished(w, cfrollout.OutcomeBroken, x.now)
			x.unplacedSince[w.Item.ID] = x.now
		}
	}
}

// submit adds a step with single-item groups.
func (x *lossSim) submit(id cf.BatchID, m cf.ModelName, least cf.WeightVersion, items int) {
	b := step(id, m, least, items, 1)
	x.planner.AddBatch(b, x.terms)
	for _, it := range b.Sub.Items {
		x.unplacedSince[it.ID] = x.now
	}
}

// tick simulates one time step. Texts have ten to forty events.
func (x *lossSim) tick(random *rand.Rand) {
	x.now += lossTick
	for _, w := range x.planner.Place(x.now) {
		x.runs[w] = true
		x.longestWait = max(x.longestWait, x.now-x.unplacedSince[w.Item.ID])
		delete(x.unplacedSince, w.Item.ID)
	}
	for _, at := range x.unplacedSince {
		x.longestWait = max(x.longestWait, x.now-at)
	}
	for _, s := range x.planner.Swaps(x.now) {
		x.loads[s.Target.ID], x.loadEndsAt[s.Target.ID] = s, x.now+lossLoadTime
	}
	for id, s := range x.loads {
		if x.now < x.loadEndsAt[id] {
			continue
		}
		delete(x.loads, id)
		x.planner.LoadEnded(id, x.now)
		x.planner.SwapDone(id, s.Model, s.Version)
		for i := range x.targets {
			if x.targets[i].ID == id {
				for j, m := range x.targets[i].Models {
					if m.Name == s.Model {
						x.targets[i].Models = slices.Clone(x.targets[i].Models)
						x.targets[i].Models[j].Version = s.Version
					}
				}
			}
		}
	}
	for _, w := range x.planner.Moves(x.now) {
		delete(x.runs, w)
		x.planner.Finished(w, cfrollout.OutcomeStopped, x.now)
		x.unplacedSince[w.Item.ID] = x.now
	}
	for w := range x.runs {
		pace := lossEventTime
		if x.slow[w.Engine] {
			pace *= 4
		}
		if x.now%pace == 0 {
			generate(x.t, w, x.now, x.now, lossEventTime)
		}
		if w.Text.Last >= 10 && random.IntN(100) == 0 || w.Text.Last >= 40 {
			delete(x.runs, w)
			x.planner.Finished(w, cfrollout.OutcomeDone, x.now)
		}
	}
}

// TestItemsArePlacedAfterEnginesLeave guards against items that have no engine for 5 s, although
// thousands are idle, after the engines of their model's share or all engines with the weights that
// they need have left.
func TestItemsArePlacedAfterEnginesLeave(t *testing.T) {
	names := []cf.ModelName{"a", "b", "c", "d", "e", "f"}
	losses := map[string]func(x *lossSim) func(cf.Target) bool{
		"share": func(x *lossSim) func(cf.Target) bool {
			of := shares(x.planner, x.targets)
			return func(t cf.Target) bool { return of[t.ID] == "a" }
		},
		"weights": func(x *lossSim) func(cf.Target) bool {
			return func(t cf.Target) bool { return t.Models[0].Version >= 2 }
		},
		"shares": func(x *lossSim) func(cf.Target) bool {
			of := shares(x.planner, x.targets)
			return func(t cf.Target) bool { return of[t.ID] == "a" || of[t.ID] == "b" || of[t.ID] == "c" }
		},
		"some": func(*lossSim) func(cf.Target) bool {
			n := 0
			return func(cf.Target) bool { n++; return n%50 == 0 }
		},
	}
	for name, loss := range losses {
		for _, draining := range []bool{false, true} {
			for seed := range uint64(3) {
				random := rand.New(rand.NewPCG(seed, 7))
				x := newLossSim(t, 1200, names)
				at := cf.Millis(random.IntN(60)) * lossTick
				for x.now < 16_000 {
					if k := cf.WeightVersion(x.now / 4000); x.now%4000 == 0 && k < 2 {
						for _, m := range names {
							x.planner.SetVersion(m, k+1)
							x.submit(cf.BatchID(fmt.Sprint(m, k)), m, k+1, 40)
						}
					}
					if x.now == 5000+at {
						x.removeEngines(draining, loss(x))
					}
					if x.now == 7000+at && draining {
						x.removeEngines(false, func(t cf.Target) bool { return t.Draining })
					}
					x.tick(random)
				}
				if n := x.planner.WaitingCount(); n > 0 || x.longestWait >= 5000 {
					t.Errorf("%s, draining=%v, seed %d: %d items wait, one for %d ms", name, draining, seed, n, x.longestWait)
				}
				t.Logf("%s, draining=%v, seed %d: at most %d ms without an engine", name, draining, seed, x.longestWait)
			}
		}
	}
}

// TestModelWithoutEnginesGetsSurplusEngines guards against a model that stays without engines
// because other models hold all idle engines beyond their need.
func TestModelWithoutEnginesGetsSurplusEngines(t *testing.T) {
	x := newLossSim(t, 120, []cf.ModelName{"a", "b", "c"})
	random := rand.New(rand.NewPCG(1, 1))
	run := func(until cf.Millis) {
		for x.now < until {
			x.tick(random)
		}
	}
	count := func(m cf.ModelName) int {
		n := 0
		for _, has := range shares(x.planner, x.targets) {
			if has == m {
				n++
			}
		}
		return n
	}
	x.submit("a0", "a", 1, 30)
	x.submit("b0", "b", 1, 30)
	run(10_000)
	of := shares(x.planner, x.targets)
	x.removeEngines(false, func(t cf.Target) bool { return of[t.ID] == "" })
	x.planner.EndBatch("a0")
	x.planner.EndBatch("b0")
	run(80_000) // until the large steps no longer count
	x.submit("a1", "a", 1, 10)
	x.submit("b1", "b", 1, 10)
	x.submit("c1", "c", 1, 10)
	run(81_000)
	t.Logf("engines: %d, %d, %d of %d", count("a"), count("b"), count("c"), len(x.targets))
	of = shares(x.planner, x.targets)
	x.removeEngines(false, func(t cf.Target) bool { return of[t.ID] == "c" })
	run(86_000)
	if n := count("c"); n == 0 || x.planner.WaitingCount() > 0 {
		t.Errorf("%d items wait; c has %d engines, a %d and b %d", x.planner.WaitingCount(), n, count("a"), count("b"))
	}
}

// TestItemsArePlacedOnceFaultsEnd guards against items that stay without an engine after earlier
// faults, although engines that may run them are idle.
func TestItemsArePlacedOnceFaultsEnd(t *testing.T) {
	names := []cf.ModelName{"a", "b", "c"}
	for seed := range uint64(100) {
		random := rand.New(rand.NewPCG(seed, 3))
		x := newLossSim(t, 20+random.IntN(150), names)
		x.terms.SingleVersion = seed%2 == 0
		if seed%3 == 0 {
			x.terms.Due, x.terms.Span = 7500, 7500
		}
		for _, e := range x.targets {
			x.slow[e.ID] = random.IntN(8) == 0
		}
		for x.now < 24_000 {
			if k := cf.WeightVersion(x.now / 4000); x.now%4000 == 0 && k < 3 {
				for _, m := range names {
					x.planner.SetVersion(m, k+1)
					x.submit(cf.BatchID(fmt.Sprint(m, k)), m, max(k, 1), 4+random.IntN(16))
				}
			}
			switch {
			case x.now < 13_000:
				x.injectFaults(random)
			case x.now == 13_000:
				for k := range 3 {
					for _, m := range names {
						x.planner.SetTerms(cf.BatchID(fmt.Sprint(m, k)), x.terms, true)
					}
				}
			}
			x.tick(random)
		}
		if n := x.planner.WaitingCount(); n > 0 {
			t.Errorf("seed %d: %d items wait 11 s after the last fault, with %d engines: %v", seed, n, len(x.targets), x.planner.WaitingItems(x.now).Counts)
		}
	}
}

// injectFaults ends runs in all ways, and permanently removes engines.
func (x *lossSim) injectFaults(random *rand.Rand) {
	for w := range x.runs {
		if random.IntN(60) > 0 {
			continue
		}
		delete(x.runs, w)
		outcome := []cfrollout.Outcome{cfrollout.OutcomeNotRun, cfrollout.OutcomeBroken, cfrollout.OutcomeStopped}[random.IntN(3)]
		x.planner.Finished(w, outcome, x.now)
		x.unplacedSince[w.Item.ID] = x.now
	}
	if random.IntN(40) == 0 && len(x.targets) > 12 {
		n, draining := random.IntN(len(x.targets)/4), random.IntN(2) == 0
		x.removeEngines(draining, func(cf.Target) bool { n--; return n == 0 })
	}
	if random.IntN(100) == 0 {
		m := cf.BatchID(fmt.Sprint([]string{"a", "b", "c"}[random.IntN(3)], x.now/4000))
		x.planner.SetTerms(m, x.terms, random.IntN(2) == 0)
		if random.IntN(3) == 0 {
			x.planner.EndBatch(m)
		}
	}
}
