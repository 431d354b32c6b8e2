package cfrollout

import (
	"fmt"
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

func newTarget(id cf.InstanceID, service cf.ServiceName, started cf.Millis) cf.Target {
	return cf.Target{ID: id, Service: service, Slots: 3, Started: started, Models: []cf.ModelState{{Name: cf.ModelName("m-" + service), Version: 1}}}
}

var lifecycleModels = map[cf.ServiceName][]cf.ModelName{"a": {"m-a"}, "b": {"m-b"}}

func newServiceStep(id cf.BatchID, service cf.ServiceName, items int) (*cfbatch.Batch, Terms) {
	sub := cf.Submission{ID: id, Model: cf.ModelName("m-" + service), MinVersion: 1, TargetGroups: items}
	for i := range items {
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(fmt.Sprintf("%s-%d", id, i)), Group: cf.GroupID(fmt.Sprintf("%s-%d", id, i/4))})
	}
	return cfbatch.New(sub), Terms{Service: service, MaxAttempts: 100}
}

// TestRunEndsAtAnEngineThatLeftAndCameBack guards against a crash of the coordinator when a run
// ends at an engine that has left the list and come back.
func TestRunEndsAtAnEngineThatLeftAndCameBack(t *testing.T) {
	target := newTarget("e", "a", 1)
	p := New(DefaultLimits)
	p.SetEngines([]cf.Target{target}, lifecycleModels)
	p.AddBatch(newServiceStep("s", "a", 1))
	runs := p.Place(0)
	p.ChangeEngines(nil, []cf.InstanceID{"e"})
	p.ChangeEngines([]cf.Target{target}, nil)
	if e, _ := p.Engine("e"); e.Running != 1 {
		t.Errorf("%d runs at an engine that has returned with one run", e.Running)
	}
	p.Finished(runs[0], OutcomeBroken, 100)
	if e, _ := p.Engine("e"); e.Running != 0 {
		t.Errorf("%d runs after the only one has ended", e.Running)
	}
}

// TestRunAccountingSurvivesEngineChanges checks that the end of a run counts for the engine process
// that the run was given to, whatever the list has shown since.
func TestRunAccountingSurvivesEngineChanges(t *testing.T) {
	for seed := range uint64(300) {
		random := rand.New(rand.NewPCG(seed, 3))
		p := New(DefaultLimits)
		p.SetEngines(nil, lifecycleModels)
		listed := map[cf.InstanceID]cf.Target{}
		startedAt := map[cf.InstanceID]cf.Millis{"e0": 1, "e1": 1, "e2": 1, "e3": 1}
		current := map[*Work]cf.Target{} // the current runs, with their targets at the start
		ids := []cf.InstanceID{"e0", "e1", "e2", "e3"}
		batches := 0
		for now := cf.Millis(1); now < 4000; now += 10 {
			id := ids[random.IntN(len(ids))]
			switch random.IntN(9) {
			case 0: // leaves
				delete(listed, id)
				p.ChangeEngines(nil, []cf.InstanceID{id})
			case 1: // joins, returns, or changes its service
				service := cf.ServiceName("a")
				if random.IntN(4) == 0 {
					service = "b"
				}
				listed[id] = newTarget(id, service, startedAt[id])
				p.ChangeEngines([]cf.Target{listed[id]}, nil)
			case 2: // restarts
				if t, known := listed[id]; known {
					startedAt[id] += 100
					t.Started = startedAt[id]
					listed[id] = t
					p.ChangeEngines([]cf.Target{t}, nil)
				}
			case 3: // starts or stops draining
				if t, known := listed[id]; known {
					t.Draining = !t.Draining
					listed[id] = t
					p.ChangeEngines([]cf.Target{t}, nil)
				}
			case 4: // the list is read again
				var list []cf.Target
				for _, t := range listed {
					list = append(list, t)
				}
				p.SetEngines(list, lifecycleModels)
			case 5:
				if batches < 40 {
					batches++
					p.AddBatch(newServiceStep(cf.BatchID(fmt.Sprint("s", batches)), []cf.ServiceName{"a", "b"}[random.IntN(2)], 5))
				}
			case 6:
				p.Reported(id, cf.TargetReport{Started: startedAt[id], Models: []cf.ModelState{{Name: "m-a", Version: 1}}})
			default:
				for w, at := range current {
					avoid, kept := penalties(p, at.ID)
					p.ConnectionKept(w, now+500)
					p.Finished(w, []Outcome{OutcomeDone, OutcomeBroken, OutcomeNotRun, OutcomeStopped}[random.IntN(4)], now)
					delete(current, w)
					e := p.engines[at.ID]
					if a, k := penalties(p, at.ID); e != nil && (at.Started < e.Started || at.Service != e.Service) && (a != avoid || k != kept) {
						t.Fatalf("seed %d: the end of a run at the process of %s started at %d counts for the one started at %d", seed, at.ID, at.Started, e.Started)
					}
					break
				}
			}
			for _, w := range p.Place(now) {
				current[w] = listed[w.Engine]
			}
			checkAccounting(t, p, current, seed)
		}
	}
}

// penalties returns the effects of ended runs on an engine.
func penalties(p *Planner, id cf.InstanceID) (avoid cf.Millis, kept int) {
	e := p.engines[id]
	if e == nil {
		return 0, 0
	}
	return e.avoidUntil, len(e.idleConnections)
}

// checkAccounting compares the planner's state of the engines with the current runs.
func checkAccounting(t *testing.T, p *Planner, current map[*Work]cf.Target, seed uint64) {
	t.Helper()
	p.updateUsage()
	for id, e := range p.engines {
		runs, groups := 0, map[cf.GroupID]int{}
		for w, at := range current {
			if at.ID == id && at.Service == e.Service {
				runs++
				groups[w.Item.Group]++
			}
		}
		if e.Running != runs || fmt.Sprint(e.groups) != fmt.Sprint(groups) || e.Running > e.Slots || len(e.idleConnections) > e.Slots || runs == 0 && e.usedMemory != 0 {
			t.Fatalf("seed %d: engine %s has %d runs of %v, %d idle connections, %.0f tokens used; want %d runs of %v", seed, id, e.Running, e.groups, len(e.idleConnections), e.usedMemory, runs, groups)
		}
	}
	if len(p.departed) > len(current) {
		t.Fatalf("seed %d: %d departed engines with only %d runs", seed, len(p.departed), len(current))
	}
}
