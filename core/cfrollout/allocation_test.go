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
	worldDomains            = 6
	worldSlots              = 6
	worldTick     cf.Millis = 20
	worldLoad     cf.Millis = 900
	worldEvery    cf.Millis = 4000
	worldPaceFast           = 80
	worldPaceSlow           = 104
)

// needWorld is a fleet with trainers: each hands in a step every four seconds, and names the
// version that the next but one asks for. Engines make texts event by event; one in three
// is slower.
type needWorld struct {
	t       *testing.T
	random  *rand.Rand
	p       *cfrollout.Planner
	targets []cf.Target
	models  []cf.ModelName
	now     cf.Millis
	steps   map[cf.ModelName]int
	running map[*cfrollout.Work]*worldRun
	loading map[cf.InstanceID]worldLoading
	loads   map[cf.ModelName]int // ordered
	batches map[cf.ModelName][]*cfbatch.Batch
	// runs are the items that began, slow those of them at slow engines.
	runs, slow int
	// unbegun are the items that have not begun, late counts those that a look left.
	unbegun map[cf.ItemID]bool
	late    int
}

type worldRun struct {
	left  int
	next  cf.Millis
	pace  cf.Millis
	batch cf.BatchID
}

type worldLoading struct {
	swap cfrollout.Swap
	at   cf.Millis
}

func newNeedWorld(t *testing.T, engines, trainers int) *needWorld {
	w := &needWorld{
		t: t, random: rand.New(rand.NewPCG(7, uint64(engines))), steps: map[cf.ModelName]int{}, running: map[*cfrollout.Work]*worldRun{},
		loading: map[cf.InstanceID]worldLoading{}, loads: map[cf.ModelName]int{}, batches: map[cf.ModelName][]*cfbatch.Batch{}, unbegun: map[cf.ItemID]bool{},
	}
	var held []cf.ModelState
	for i := range trainers {
		m := cf.ModelName(fmt.Sprint("m", i))
		w.models = append(w.models, m)
		held = append(held, cf.ModelState{Name: m, Version: 1})
	}
	for i := range engines {
		w.targets = append(w.targets, cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%05d", i)), Service: service, Slots: worldSlots, Models: append([]cf.ModelState(nil), held...),
			Domain: cf.FailureDomain(fmt.Sprint(i % worldDomains)),
		})
	}
	w.takeOver()
	return w
}

// takeOver begins with a planner that knows what the store and the instance list show.
func (w *needWorld) takeOver() {
	limits := cfrollout.DefaultLimits
	if w.p != nil {
		limits.LearnedLoads = w.p.LearnedLoads()
	}
	w.p = cfrollout.New(limits)
	clear(w.running)
	clear(w.loading)
	for m, k := range w.steps {
		w.p.SetVersion(m, cf.WeightVersion(k))
	}
	w.p.SetEngines(w.targets, models(w.models...))
	for _, batches := range w.batches {
		for _, b := range batches {
			w.p.AddBatch(b, terms)
		}
	}
}

func (w *needWorld) pace(id cf.InstanceID) cf.Millis {
	var n int
	if _, err := fmt.Sscanf(string(id), "e%05d", &n); err != nil {
		w.t.Fatal(err)
	}
	if n%3 == 2 {
		return worldPaceSlow
	}
	return worldPaceFast
}

// play lets steps of so many groups come for a while. The trainers' steps are spread over
// the four seconds.
func (w *needWorld) play(span cf.Millis, groups int) {
	for end := w.now + span; w.now < end; w.now += worldTick {
		for i, m := range w.models {
			if offset := cf.Millis(i) * worldEvery / cf.Millis(len(w.models)) / worldTick * worldTick; (w.now+offset)%worldEvery != 0 {
				continue
			}
			w.steps[m]++
			k := w.steps[m]
			w.p.SetVersion(m, cf.WeightVersion(k))
			if k > 2 {
				old := w.batches[m][k-3]
				stop := w.p.EndBatch(old.Sub.ID)
				old.Ended = true
				for _, run := range stop {
					delete(w.running, run)
					w.p.Finished(run, cfrollout.OutcomeStopped, w.now)
				}
			}
			b := step(cf.BatchID(fmt.Sprint(m, "-", k)), m, cf.WeightVersion(max(k-1, 1)), groups, 16)
			w.p.AddBatch(b, terms)
			w.batches[m] = append(w.batches[m], b)
			for _, it := range b.Sub.Items {
				w.unbegun[it.ID] = true
			}
		}
		w.look()
	}
}

func (w *needWorld) look() {
	for _, run := range w.p.Place(w.now) {
		events := 4 + w.random.IntN(12)
		if w.random.IntN(10) == 0 {
			events = 30 + w.random.IntN(40)
		}
		pace := w.pace(run.Engine)
		w.running[run] = &worldRun{left: events, next: w.now + pace, pace: pace, batch: run.Batch.Sub.ID}
		w.runs++
		delete(w.unbegun, run.Item.ID)
		if pace == worldPaceSlow {
			w.slow++
		}
	}
	for _, s := range w.p.Swaps(w.now) {
		w.loading[s.Target.ID] = worldLoading{s, w.now + worldLoad}
		w.loads[s.Model]++
	}
	for _, run := range w.p.Moves(w.now) {
		delete(w.running, run)
		w.p.Finished(run, cfrollout.OutcomeStopped, w.now)
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
			w.p.ChangeEngines(w.targets[i:i+1], nil)
		}
		w.p.LoadEnded(id, w.now)
	}
	for run, r := range w.running {
		if w.now < r.next {
			continue
		}
		run.Progress.Note(w.now)
		if err := run.Text.Append(cf.StreamEvent{ID: run.Text.Last + 1, Version: run.Version}); err != nil {
			w.t.Fatal(err)
		}
		r.next += r.pace
		if r.left--; r.left <= 0 {
			delete(w.running, run)
			if w.p.Finished(run, cfrollout.OutcomeDone, w.now) {
				run.Batch.Apply(run.Batch.NextChunk(), []cf.Result{{ID: run.Item.ID}})
			}
		}
	}
	w.late += len(w.unbegun)
}

// lose takes the engines of a failure domain away.
func (w *needWorld) lose(domain cf.FailureDomain) {
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
	w.p.ChangeEngines(nil, gone)
	for run := range w.running {
		if e, up := w.p.Engine(run.Engine); !up || e.Domain == domain {
			delete(w.running, run)
			w.p.Finished(run, cfrollout.OutcomeBroken, w.now)
		}
	}
}

// serving counts the engines that serve a model.
func (w *needWorld) serving() int {
	n := 0
	for _, t := range w.targets {
		if e, _ := w.p.Engine(t.ID); e.Model != "" {
			n++
		}
	}
	return n
}

// Load: six trainers with steps of 208 items before 1,000, 9,444 and 20,000 engines. The
// engines that follow their versions are as many as the steps need, at each size, and no
// item waits for an engine or a load.
func TestEnginesFollowTheWork(t *testing.T) {
	const items = 13 * 16
	for _, engines := range []int{1200, 9444, 20_000} {
		w := newNeedWorld(t, engines, 6)
		w.play(2*worldEvery, 13)
		clear(w.loads)
		w.late = 0
		w.play(4*worldEvery, 13)
		if n := w.serving(); n > 6*items {
			t.Errorf("%d engines: %d serve 6 steps of %d items", engines, n, items)
		}
		for m, n := range w.loads {
			if perVersion := n / 4; perVersion > items || perVersion < items/worldSlots {
				t.Errorf("%d engines: model %s is loaded %d times for a version", engines, m, perVersion)
			}
		}
		if w.late > 0 {
			t.Errorf("%d engines: %d times an item was left by a look", engines, w.late)
		}
	}
}

// Load: 44 engines before four trainers, whose work needs them all: none is left out.
func TestScarceEnginesAllServe(t *testing.T) {
	w := newNeedWorld(t, 44, 4)
	w.play(3*worldEvery, 10)
	if n := w.serving(); n != 44 {
		t.Errorf("%d of 44 engines serve", n)
	}
}

// Load: steps that are suddenly ten times as large. The engines grow with the first of
// them, and shrink again only slowly.
func TestEnginesGrowWithTheWork(t *testing.T) {
	w := newNeedWorld(t, 9444, 2)
	w.play(3*worldEvery, 4)
	before := w.serving()
	w.play(worldEvery, 40)
	grown := w.serving()
	if grown < 4*before {
		t.Errorf("%d engines serve before, %d with ten times the work", before, grown)
	}
	w.play(worldEvery, 40)
	w.late = 0
	w.play(2*worldEvery, 40)
	if w.late > 0 {
		t.Errorf("%d times an item was left by a look after two large steps", w.late)
	}
	w.play(2*worldEvery, 4)
	if n := w.serving(); n < grown*9/10 {
		t.Errorf("%d of %d engines serve after two small steps", n, grown)
	}
	w.play(80_000, 4)
	if n := w.serving(); n > grown/2 {
		t.Errorf("%d of %d engines serve after a minute of small steps", n, grown)
	}
}

// Load: a failure domain is lost in mid-step. The engines that are left take its items up
// at once, without a load.
func TestEnginesOutliveAFailureDomain(t *testing.T) {
	w := newNeedWorld(t, 9444, 6)
	w.play(3*worldEvery+worldEvery/2, 13)
	w.late = 0
	w.lose("2")
	w.look()
	if n := w.p.Waiting(); n > 0 {
		t.Errorf("%d items wait after the loss", n)
	}
	w.play(2*worldEvery, 13)
	if w.late > 0 {
		t.Errorf("%d times an item was left by a look after the loss", w.late)
	}
}

// Load: the coordinator is lost. Its successor finds the engines that served by what they
// hold, and loads no other set of them anew.
func TestSuccessorFindsTheEnginesThatServe(t *testing.T) {
	w := newNeedWorld(t, 9444, 6)
	w.play(5*worldEvery, 13)
	before := map[cf.InstanceID]bool{}
	for _, target := range w.targets {
		if e, _ := w.p.Engine(target.ID); e.Model != "" {
			before[target.ID] = true
		}
	}
	w.takeOver()
	w.look()
	w.late = 0
	clear(w.loads)
	w.play(2*worldEvery, 13)
	others := 0
	for _, target := range w.targets {
		if e, _ := w.p.Engine(target.ID); e.Model != "" && !before[target.ID] {
			others++
		}
	}
	if others > len(before)/2 {
		t.Errorf("%d engines serve that did not serve the %d before", others, len(before))
	}
	if w.late > 0 {
		t.Errorf("%d times an item was left by a look", w.late)
	}
}

// Load: one engine in three is slower. Where there are engines to spare, items keep off those
// that have shown it, and others take their place.
func TestSlowEnginesAreReplaced(t *testing.T) {
	w := newNeedWorld(t, 9444, 2)
	w.play(2*worldEvery, 13)
	if w.runs < 100 || w.slow < w.runs/5 {
		t.Fatalf("%d of %d items began at slow engines at first", w.slow, w.runs)
	}
	w.play(6*worldEvery, 13)
	w.runs, w.slow = 0, 0
	w.play(4*worldEvery, 13)
	if w.slow > w.runs/10 {
		t.Errorf("%d of %d items began at slow engines", w.slow, w.runs)
	}
}

// Two planners, one of which hears of changes alone and the other of all engines each time,
// decide the same.
func TestChangesAndWholeListsDecideTheSame(t *testing.T) {
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
					p.AddBatch(step(cf.BatchID(b), m, 1, 2, 4), terms)
				}
			}
			byList.SetEngines(targets, models(names...))
			x, y := byChange.Place(now), byList.Place(now)
			if len(x) != len(y) {
				t.Fatalf("seed %d at %d: %d and %d items begin", seed, now, len(x), len(y))
			}
			for j := range x {
				if x[j].Item.ID != y[j].Item.ID || x[j].Engine != y[j].Engine {
					t.Fatalf("seed %d at %d: %s at %s, and %s at %s", seed, now, x[j].Item.ID, x[j].Engine, y[j].Item.ID, y[j].Engine)
				}
			}
		}
	}
}

// Load: steps of few items before many engines. Their items go to engines to which
// connections are kept, and not to ever others; a long one goes where it is alone.
func TestItemsUseConnectionsAgain(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	targets := fleet(40, cf.ModelState{Name: "a", Version: 1})
	p.SetEngines(targets, models("a"))
	used := map[cf.InstanceID]bool{}
	for i := range 10 {
		now := cf.Millis(i) * 2000
		b := step(cf.BatchID(fmt.Sprint("s", i)), "a", 1, 2, 4)
		p.AddBatch(b, terms)
		for _, w := range p.Place(now) {
			used[w.Engine] = true
			p.Finished(w, cfrollout.OutcomeDone, now+500)
			p.KeptAt(targets[0].ID, 0) // over already
			for _, target := range targets {
				if used[target.ID] {
					p.KeptAt(target.ID, now+8000)
				}
			}
		}
		p.EndBatch(b.Sub.ID)
	}
	if len(used) > 12 {
		t.Errorf("%d engines are used by steps of 8 items", len(used))
	}
}
