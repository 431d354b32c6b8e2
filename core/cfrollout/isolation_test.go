package cfrollout_test

import (
	"fmt"
	"strings"
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// newIsolatingPlanner returns a planner that admits an item only at an isolated engine if suspect
// returns true for it.
func newIsolatingPlanner(engines int, suspect func(cf.ItemID) bool) (*cfrollout.Planner, []cf.Target) {
	limits := cfrollout.DefaultLimits
	limits.Admit = func(w *cfrollout.Work, _ cf.Target, isolated bool) cfrollout.Admission {
		if !suspect(w.Item.ID) {
			return cfrollout.Admission{Allowed: true}
		}
		return cfrollout.Admission{Allowed: isolated, MaxRuns: 1}
	}
	p := cfrollout.New(limits)
	targets := fleet(engines, cf.ModelState{Name: "a", Version: 1})
	for i := range targets {
		targets[i].Started = 1
	}
	p.SetEngines(targets, models("a"))
	return p, targets
}

// TestEngineIsIsolatedForOneRun guards against an engine that stays isolated after the run for
// which it was isolated.
func TestEngineIsIsolatedForOneRun(t *testing.T) {
	endWith := func(o cfrollout.Outcome) func(*cfrollout.Planner, *cfrollout.Work, []cf.Target) {
		return func(p *cfrollout.Planner, w *cfrollout.Work, _ []cf.Target) { p.Finished(w, o, 100) }
	}
	for name, end := range map[string]func(*cfrollout.Planner, *cfrollout.Work, []cf.Target){
		"done": endWith(cfrollout.OutcomeDone), "failed": endWith(cfrollout.OutcomeFailed), "never": endWith(cfrollout.OutcomePermanentFailure),
		"not run": endWith(cfrollout.OutcomeNotRun), "broken": endWith(cfrollout.OutcomeBroken), "stopped": endWith(cfrollout.OutcomeStopped),
		"batch ended": func(p *cfrollout.Planner, w *cfrollout.Work, _ []cf.Target) {
			p.EndBatch("s")
			p.Finished(w, cfrollout.OutcomeStopped, 100)
		},
		"engine left and returned": func(p *cfrollout.Planner, w *cfrollout.Work, targets []cf.Target) {
			p.SetEngines(nil, models("a"))
			p.Finished(w, cfrollout.OutcomeBroken, 100)
			p.SetEngines(targets, models("a"))
		},
		"engine restarted": func(p *cfrollout.Planner, w *cfrollout.Work, targets []cf.Target) {
			for i := range targets {
				targets[i].Started = 2
			}
			p.SetEngines(targets, models("a"))
			p.Finished(w, cfrollout.OutcomeBroken, 100)
		},
	} {
		t.Run(name, func(t *testing.T) {
			suspected := true
			p, targets := newIsolatingPlanner(2, func(id cf.ItemID) bool { return suspected && id == "s-0-0" })
			p.AddBatch(step("s", "a", 1, 1, 1), defaultTerms)
			w := p.Place(0)[0]
			if w.IsolationLimit() != 1 {
				t.Fatalf("the suspect item's engine may have %d runs, want 1", w.IsolationLimit())
			}
			p.AddBatch(step("t", "a", 1, 2, 4), defaultTerms)
			if others := p.Place(10); len(others) != targets[0].Slots {
				t.Fatalf("%d other items placed, want as many as the other engine has slots", len(others))
			}
			suspected = false
			end(p, w, targets)
			placed := 0
			for _, o := range p.Place(5000) { // after the penalties
				if o.Engine == w.Engine || o != w {
					placed++
				}
			}
			if placed < 3 {
				t.Errorf("%d items placed, want the engine to take waiting items", placed)
			}
		})
	}
}

// TestIsolationTakesAQuarterOfTheEngines guards against suspect items that occupy all engines, or
// that wait while slots are free.
func TestIsolationTakesAQuarterOfTheEngines(t *testing.T) {
	for _, engines := range []int{1, 2, 3, 4, 9, 40} {
		t.Run(fmt.Sprint(engines, " engines"), func(t *testing.T) {
			p, targets := newIsolatingPlanner(engines, func(id cf.ItemID) bool { return strings.HasPrefix(string(id), "s-") })
			p.AddBatch(step("s", "a", 1, engines, 2), defaultTerms)
			isolated := map[cf.InstanceID]int{}
			placed := p.Place(0)
			if len(placed) != 2*engines {
				t.Errorf("%d of %d suspect items placed at empty engines", len(placed), 2*engines)
			}
			for _, w := range placed {
				if w.IsolationLimit() > 0 {
					isolated[w.Engine]++
				}
			}
			limit := max(engines/4, min(engines-1, 1))
			if len(isolated) != limit {
				t.Errorf("%d engines are isolated, want %d", len(isolated), limit)
			}
			for _, w := range placed {
				if isolated[w.Engine] > 1 || isolated[w.Engine] > 0 && w.IsolationLimit() == 0 {
					t.Errorf("%s runs together with another item at isolated engine %s", w.Item.ID, w.Engine)
				}
			}
			p.AddBatch(step("t", "a", 1, engines, 4), defaultTerms)
			if n, room := len(p.Place(10)), (engines-limit)*targets[0].Slots-(2*engines-limit); n != room {
				t.Errorf("%d other items placed, want %d", n, room)
			}
		})
	}
}

// TestConflictingItemsAreTriedAtFewEngines guards against planning passes that take seconds after a
// burst of crashes, because suspect items run at all engines and each of many items is tried at
// each of them.
func TestConflictingItemsAreTriedAtFewEngines(t *testing.T) {
	const engines, items, maxAdmissions = 100, 300, 2*300 + 100
	admissions, occupied := 0, map[cf.InstanceID]bool{}
	limits := cfrollout.DefaultLimits
	conflicting := true
	limits.Admit = func(_ *cfrollout.Work, e cf.Target, _ bool) cfrollout.Admission {
		admissions++
		if conflicting && occupied[e.ID] {
			return cfrollout.Admission{TryOthers: true}
		}
		occupied[e.ID] = true
		return cfrollout.Admission{Allowed: true}
	}
	p := cfrollout.New(limits)
	p.SetEngines(fleet(engines, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.AddBatch(step("s", "a", 1, 1, items), defaultTerms)
	placed := len(p.Place(0))
	if admissions > maxAdmissions {
		t.Errorf("%d admission checks in one planning pass for %d items and %d engines", admissions, items, engines)
	}
	if placed != engines {
		t.Errorf("%d items placed, want one at each of %d engines", placed, engines)
	}
	conflicting = false
	if placed += len(p.Place(1000)); placed < items {
		t.Errorf("%d of %d items placed once they may run together", placed, items)
	}
}
