package cfrollout_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

const (
	allocationDomains                = 6
	allocationSlots                  = 6
	allocationTick         cf.Millis = 20
	allocationLoadTime     cf.Millis = 900
	allocationStepInterval cf.Millis = 4000
	fastPace                         = 80
	slowPace                         = 104
)

// allocationSim simulates a fleet with trainers. Each trainer submits a step every four seconds and
// announces the version that the step after the next one requires. Engines generate texts event by
// event, and one in three is slower.
type allocationSim struct {
	t       *testing.T
	random  *rand.Rand
	planner *cfrollout.Planner
	targets []cf.Target
	models  []cf.ModelName
	now     cf.Millis
	steps   map[cf.ModelName]int
	running map[*cfrollout.Work]*allocationRun
	loading map[cf.InstanceID]allocationLoad
	loads   map[cf.ModelName]int // weight orders
	batches map[cf.ModelName][]*cfbatch.Batch
	// runs is the number of started items, slowRuns the number of those at slow engines.
	runs, slowRuns int
	// unplaced holds the items that have not started, unplacedPasses the sum of their numbers over
	// all planning passes.
	unplaced       map[cf.ItemID]bool
	unplacedPasses int
}

type allocationRun struct {
	left  int
	next  cf.Millis
	pace  cf.Millis
	batch cf.BatchID
}

type allocationLoad struct {
	swap cfrollout.Swap
	at   cf.Millis
}

func newAllocationSim(t *testing.T, engines, trainers int) *allocationSim {
	w := &allocationSim{
		t: t, random: rand.New(rand.NewPCG(7, uint64(engines))), steps: map[cf.ModelName]int{}, running: map[*cfrollout.Work]*allocationRun{},
		loading: map[cf.InstanceID]allocationLoad{}, loads: map[cf.ModelName]int{}, batches: map[cf.ModelName][]*cfbatch.Batch{}, unplaced: map[cf.ItemID]bool{},
	}
	var held []cf.ModelState
	for i := range trainers {
		m := cf.ModelName(fmt.Sprint("m", i))
		w.models = append(w.models, m)
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	for i := range engines {
		w.targets = append(w.targets, cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%05d", i)), Service: service, Slots: allocationSlots, Models: append([]cf.ModelState(nil), held...),
			Domain: cf.FailureDomain(fmt.Sprint(i % allocationDomains)),
		})
	}
	w.takeOver()
	return w
}

// takeOver starts a new planner with what the store and the instance list show.
func (w *allocationSim) takeOver() {
	limits := cfrollout.DefaultLimits
	if w.planner != nil {
		limits.LearnedLoads = w.planner.LearnedLoads()
	}
	w.planner = cfrollout.New(limits)
	clear(w.running)
	clear(w.loading)
	for m, k := range w.steps {
		w.planner.SetVersion(m, cf.WeightVersion(k))
	}
	w.planner.SetEngines(w.targets, models(w.models...))
	for _, batches := range w.batches {
		for _, b := range batches {
			w.planner.AddBatch(b, defaultTerms)
		}
	}
}

func (w *allocationSim) pace(id cf.InstanceID) cf.Millis {
	var n int
	if _, err := fmt.Sscanf(string(id), "e%05d", &n); err != nil {
		w.t.Fatal(err)
	}
	if n%3 == 2 {
		return slowPace
	}
	return fastPace
}

// run submits steps with the given number of groups for a while. The steps of the trainers are
// spread over the four seconds.
func (w *allocationSim) run(span cf.Millis, groups int) {
	for end := w.now + span; w.now < end; w.now += allocationTick {
		for i, m := range w.models {
			if offset := cf.Millis(i) * allocationStepInterval / cf.Millis(len(w.models)) / allocationTick * allocationTick; (w.now+offset)%allocationStepInterval != 0 {
				continue
			}
			w.steps[m]++
			k := w.steps[m]
			w.planner.SetVersion(m, cf.WeightVersion(k))
			if k > 2 {
				old := w.batches[m][k-3]
				stop := w.planner.EndBatch(old.Sub.ID)
				old.Ended = true
				for _, run := range stop {
					delete(w.running, run)
					w.planner.Finished(run, cfrollout.OutcomeStopped, w.now)
				}
			}
			b := step(cf.BatchID(fmt.Sprint(m, "-", k)), m, cf.WeightVersion(max(k-1, 1)), groups, 16)
			w.planner.AddBatch(b, defaultTerms)
			w.batches[m] = append(w.batches[m], b)
			for _, it := range b.Sub.Items {
				w.unplaced[it.ID] = true
			}
		}
		w.pass()
	}
}

func (w *allocationSim) pass() {
	for _, run := range w.planner.Place(w.now) {
		events := 4 + w.random.IntN(12)
		if w.random.IntN(10) == 0 {
			events = 30 + w.random.IntN(40)
		}
		pace := w.pace(run.Engine)
		w.running[run] = &allocationRun{left: events, next: w.now + pace, pace: pace, batch: run.Batch.Sub.ID}
		w.runs++
		delete(w.unplaced, run.Item.ID)
		if pace == slowPace {
			w.slowRuns++
		}
	}
	for _, s := range w.planner.Swaps(w.now) {
		w.loading[s.Target.ID] = allocationLoad{s, w.now + allocationLoadTime}
		w.loads[s.Model]++
	}
	for _, run := range w.planner.Moves(w.now) {
		delete(w.running, run)
		w.planner.Finished(run, cfrollout.OutcomeStopped, w.now)
	}
	for id, l := range w.loading {
		if w.now < l.at {
			continue
		}
		delete(w.loading, id)
		for i := range w.targets {
			if w.targets[i].ID != id {
				continue
			}
			for j := range w.targets[i].Models {
				if w.targets[i].Models[j].Name == l.swap.Model {
					w.targets[i].Models[j].Version = l.swap.Version
				}
			}
			w.planner.ChangeEngines(w.targets[i:i+1], nil)
		}
		w.planner.LoadEnded(id, w.now)
	}
	for run, r := range w.running {
		if w.now < r.next {
			continue
		}
		run.Progress.RecordEvent(w.now)
		if err := run.Text.Append(cf.StreamEvent{ID: run.Text.Last + 1, Version: run.Version}); err != nil {
			w.t.Fatal(err)
		}
		r.next += r.pace
		if r.left--; r.left <= 0 {
			delete(w.running, run)
			if w.planner.Finished(run, cfrollout.OutcomeDone, w.now) {
				run.Batch.Apply(run.Batch.NextChunk(), []cf.Result{{ID: run.Item.ID}})
			}
		}
	}
	w.unplacedPasses += len(w.unplaced)
}

// loseDomain removes the engines of a failure domain.
func (w *allocationSim) loseDomain(domain cf.FailureDomain) {
	var gone []cf.InstanceID
	var rest []cf.Target
	for _, t := range w.targets {
		if t.Domain == domain {
			gone = append(gone, t.ID)
			delete(w.loading, t.ID)
		} else {
			rest = append(rest, t)
		}
	}
	w.targets = rest
	w.planner.ChangeEngines(nil, gone)
	for run := range w.running {
		if e, up := w.planner.Engine(run.Engine); !up || e.Domain == domain {
			delete(w.running, run)
			w.planner.Finished(run, cfrollout.OutcomeBroken, w.now)
		}
	}
}

// servingEngines returns the number of engines that serve a model.
func (w *allocationSim) servingEngines() int {
	n := 0
	for _, t := range w.targets {
		if e, _ := w.planner.Engine(t.ID); e.Model != "" {
			n++
		}
	}
	return n
}

// TestAllocationFollowsTheWork runs six trainers with steps of 208 items on 1,200, 9,444 and 20,000
// engines. At each size, only as many engines as the steps need load their versions, and no item
// waits for an engine or a load.
func TestAllocationFollowsTheWork(t *testing.T) {
	const items = 13 * 16
	for _, engines := range []int{1200, 9444, 20_000} {
		w := newAllocationSim(t, engines, 6)
		w.run(2*allocationStepInterval, 13)
		clear(w.loads)
		w.unplacedPasses = 0
		w.run(4*allocationStepInterval, 13)
		if n := w.servingEngines(); n > 6*items {
			t.Errorf("%d engines: %d serve 6 steps of %d items", engines, n, items)
		}
		for m, n := range w.loads {
			if perVersion := n / 4; perVersion > items || perVersion < items/allocationSlots {
				t.Errorf("%d engines: model %s is loaded %d times for a version", engines, m, perVersion)
			}
		}
		if w.unplacedPasses > 0 {
			t.Errorf("%d engines: %d times an item was left waiting by a planning pass", engines, w.unplacedPasses)
		}
	}
}

// TestScarceEnginesAllServe runs four trainers whose work needs all 44 engines, so none may be left
// out.
func TestScarceEnginesAllServe(t *testing.T) {
	w := newAllocationSim(t, 44, 4)
	w.run(3*allocationStepInterval, 10)
	if n := w.servingEngines(); n != 44 {
		t.Errorf("%d of 44 engines serve", n)
	}
}

// TestAllocationGrowsWithTheWork makes steps ten times as large. The number of engines grows with
// the first large step, and shrinks only slowly afterwards.
func TestAllocationGrowsWithTheWork(t *testing.T) {
	w := newAllocationSim(t, 9444, 2)
	w.run(3*allocationStepInterval, 4)
	before := w.servingEngines()
	w.run(allocationStepInterval, 40)
	grown := w.servingEngines()
	if grown < 4*before {
		t.Errorf("%d engines serve before the increase, %d with ten times the work", before, grown)
	}
	w.run(allocationStepInterval, 40)
	w.unplacedPasses = 0
	w.run(2*allocationStepInterval, 40)
	if w.unplacedPasses > 0 {
		t.Errorf("%d times an item was left waiting by a planning pass after two large steps", w.unplacedPasses)
	}
	w.run(2*allocationStepInterval, 4)
	if n := w.servingEngines(); n < grown*9/10 {
		t.Errorf("%d of %d engines serve after two small steps", n, grown)
	}
	w.run(80_000, 4)
	if n := w.servingEngines(); n > grown/2 {
		t.Errorf("%d of %d engines serve after a minute of small steps", n, grown)
	}
}

// TestItemsSurviveTheLossOfAFailureDomain removes a failure domain during a step. The remaining
// engines take over its items immediately, without a load.
func TestItemsSurviveTheLossOfAFailureDomain(t *testing.T) {
	w := newAllocationSim(t, 9444, 6)
	w.run(3*allocationStepInterval+allocationStepInterval/2, 13)
	w.unplacedPasses = 0
	w.loseDomain("2")
	w.pass()
	if n := w.planner.WaitingCount(); n > 0 {
		t.Errorf("%d items wait after the loss", n)
	}
	w.run(2*allocationStepInterval, 13)
	if w.unplacedPasses > 0 {
		t.Errorf("%d times an item was left waiting by a planning pass after the loss", w.unplacedPasses)
	}
}

// TestSuccessorKeepsTheServingEngines replaces the planner. The new one recognises the serving
// engines by the versions that they hold, and does not load another set of engines.
func TestSuccessorKeepsTheServingEngines(t *testing.T) {
	w := newAllocationSim(t, 9444, 6)
	w.run(5*allocationStepInterval, 13)
	before := map[cf.InstanceID]bool{}
	for _, target := range w.targets {
		if e, _ := w.planner.Engine(target.ID); e.Model != "" {
			before[target.ID] = true
		}
	}
	w.takeOver()
	w.pass()
	w.unplacedPasses = 0
	clear(w.loads)
	w.run(2*allocationStepInterval, 13)
	others := 0
	for _, target := range w.targets {
		if e, _ := w.planner.Engine(target.ID); e.Model != "" && !before[target.ID] {
			others++
		}
	}
	if others > len(before)/2 {
		t.Errorf("%d engines serve now that did not before the change, of %d that did", others, len(before))
	}
	if w.unplacedPasses > 0 {
		t.Errorf("%d times an item was left waiting by a planning pass", w.unplacedPasses)
	}
}

// TestSlowEnginesAreReplaced makes one engine in three slower. If there are spare engines, items
// avoid the engines known to be slow, and others replace these.
func TestSlowEnginesAreReplaced(t *testing.T) {
	w := newAllocationSim(t, 9444, 2)
	w.run(2*allocationStepInterval, 13)
	if w.runs < 100 || w.slowRuns < w.runs/5 {
		t.Fatalf("%d of %d items initially started at slow engines", w.slowRuns, w.runs)
	}
	w.run(6*allocationStepInterval, 13)
	w.runs, w.slowRuns = 0, 0
	w.run(4*allocationStepInterval, 13)
	if w.slowRuns > w.runs/10 {
		t.Errorf("%d of %d items started at slow engines", w.slowRuns, w.runs)
	}
}

// TestIncrementalAndFullListsAgree compares two planners, one of which receives only changes and
// the other the full list of engines each time. Both must decide the same.
func TestIncrementalAndFullListsAgree(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		names := []cf.ModelName{"a", "b"}
		held := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}}
		targets := fleet(90, held...)
		byChange, byList := cfrollout.New(cfrollout.DefaultLimits), cfrollout.New(cfrollout.DefaultLimits)
		byChange.SetEngines(targets, models(names...))
		byList.SetEngines(targets, models(names...))
		for now := cf.Millis(0); now < 4000; now += 50 {
			i := random.IntN(len(targets))
			switch random.IntN(4) {
			case 0:
				targets[i].Draining = !targets[i].Draining
				byChange.ChangeEngines(targets[i:i+1], nil)
			case 1:
				byChange.ChangeEngines(nil, []cf.InstanceID{targets[i].ID})
				targets = append(targets[:i:i], targets[i+1:]...)
			case 2:
				m := names[random.IntN(2)]
				b := fmt.Sprint(seed, "-", now)
				for _, p := range []*cfrollout.Planner{byChange, byList} {
					p.AddBatch(step(cf.BatchID(b), m, 1, 2, 4), defaultTerms)
				}
			}
			byList.SetEngines(targets, models(names...))
			x, y := byChange.Place(now), byList.Place(now)
			if len(x) != len(y) {
				t.Fatalf("seed %d at %d: %d and %d items start", seed, now, len(x), len(y))
			}
			for j := range x {
				if x[j].Item.ID != y[j].Item.ID || x[j].Engine != y[j].Engine {
					t.Fatalf("seed %d at %d: %s at %s, and %s at %s", seed, now, x[j].Item.ID, x[j].Engine, y[j].Item.ID, y[j].Engine)
				}
			}
		}
	}
}

// TestItemsReuseConnections submits steps of few items to many engines. Their items must go to
// engines with idle connections instead of to engines that were not used before.
func TestItemsReuseConnections(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	targets := fleet(40, cf.ModelState{Name: "a", Version: 1})
	p.SetEngines(targets, models("a"))
	used := map[cf.InstanceID]bool{}
	for i := range 10 {
		now := cf.Millis(i) * 2000
		b := step(cf.BatchID(fmt.Sprint("s", i)), "a", 1, 2, 4)
		p.AddBatch(b, defaultTerms)
		for _, w := range p.Place(now) {
			used[w.Engine] = true
			p.Finished(w, cfrollout.OutcomeDone, now+500)
			p.ConnectionKeptAt(targets[0].ID, 0) // already expired
			for _, target := range targets {
				if used[target.ID] {
					p.ConnectionKeptAt(target.ID, now+8000)
				}
			}
		}
		p.EndBatch(b.Sub.ID)
	}
	if len(used) > 12 {
		t.Errorf("%d engines are used by steps of 8 items", len(used))
	}
}
