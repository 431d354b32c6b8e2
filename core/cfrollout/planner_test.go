package cfrollout_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

const service cf.ServiceName = "engines"

var defaultTerms = cfrollout.Terms{Service: service, MaxAttempts: 3, MaxWait: 40000}

// fleet returns n engines with 4 slots that hold the given versions.
func fleet(n int, held ...cf.ModelState) []cf.Target {
	var out []cf.Target
	for i := range n {
		out = append(out, cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%02d", i)), Service: service, Slots: 4, Models: held,
		})
	}
	return out
}

func models(names ...cf.ModelName) map[cf.ServiceName][]cf.ModelName {
	return map[cf.ServiceName][]cf.ModelName{service: names}
}

// step returns a batch with groups of size items each.
func step(id cf.BatchID, m cf.ModelName, least cf.WeightVersion, groups, size int) *cfbatch.Batch {
	sub := cf.Submission{ID: id, Model: m, MinVersion: least, TargetGroups: groups}
	for g := range groups {
		for i := range size {
			sub.Items = append(sub.Items, cf.Item{
				ID: cf.ItemID(fmt.Sprintf("%s-%d-%d", id, g, i)), Group: cf.GroupID(fmt.Sprintf("%s-%d", id, g)), MaxTokens: 100,
			})
		}
	}
	return cfbatch.New(sub)
}

// generate adds events to a run at the given pace between two times.
func generate(t *testing.T, w *cfrollout.Work, from, to, pace cf.Millis) {
	t.Helper()
	for now := from; now <= to; now += pace {
		if err := w.Text.Append(cf.StreamEvent{ID: w.Text.Last + 1, Data: "x", Version: w.Version}); err != nil {
			t.Fatal(err)
		}
		w.Progress.RecordEvent(now)
	}
}

func shares(p *cfrollout.Planner, targets []cf.Target) map[cf.InstanceID]cf.ModelName {
	out := map[cf.InstanceID]cf.ModelName{}
	for _, t := range targets {
		e, _ := p.Engine(t.ID)
		out[t.ID] = e.Model
	}
	return out
}

// TestEnginesAreDividedAmongModels checks that each model has its share of the engines and that no
// engine is left out.
func TestEnginesAreDividedAmongModels(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	held := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}, {Name: "c", Version: 1}}
	targets := fleet(11, held...)
	p.SetEngines(targets, models("a", "b", "c"))
	count := map[cf.ModelName]int{}
	for _, m := range shares(p, targets) {
		count[m]++
	}
	for _, m := range []cf.ModelName{"a", "b", "c"} {
		if count[m] < 3 || count[m] > 4 {
			t.Errorf("model %s has %d of 11 engines", m, count[m])
		}
	}
}

// TestSuccessorKeepsTheShares guards against a step that is delayed for seconds by a change of the
// coordinator. The new coordinator knows only which versions the engines hold. A division that
// ignores them assigns engines to models whose weights they lack, and no order may be given during
// the handover.
func TestSuccessorKeepsTheShares(t *testing.T) {
	names := []cf.ModelName{"a", "b", "c"}
	targets := fleet(11)
	old := map[cf.InstanceID]cf.ModelName{}
	for i, t := range targets {
		old[t.ID] = names[(2*i+1)%3]
	}
	after := cfrollout.New(cfrollout.DefaultLimits)
	// The share of c lags two versions behind the announced one.
	after.SetVersion("a", 4)
	after.SetVersion("b", 5)
	after.SetVersion("c", 3)
	for i := range targets {
		state := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}, {Name: "c", Version: 1}}
		for j := range state {
			if state[j].Name == old[targets[i].ID] {
				state[j].Version = map[cf.ModelName]cf.WeightVersion{"a": 4, "b": 3, "c": 3}[state[j].Name]
			}
		}
		targets[i].Models = state
	}
	after.SetEngines(targets, models(names...))
	for id, m := range shares(after, targets) {
		if m != old[id] {
			t.Errorf("engine %s changed from %s to %s", id, old[id], m)
		}
	}
}

// TestLostEngineMovesFewOthers checks that the loss of an engine moves at most one other to its
// share.
func TestLostEngineMovesFewOthers(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	held := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}}
	targets := fleet(8, held...)
	p.SetEngines(targets, models("a", "b"))
	old := shares(p, targets)
	for lost := range targets {
		left := append(append([]cf.Target{}, targets[:lost]...), targets[lost+1:]...)
		q := cfrollout.New(cfrollout.DefaultLimits)
		q.SetEngines(targets, models("a", "b"))
		q.SetEngines(left, models("a", "b"))
		moved := 0
		for id, m := range shares(q, left) {
			if old[id] != m {
				moved++
			}
		}
		if moved > 1 {
			t.Errorf("the loss of %s moved %d engines", targets[lost].ID, moved)
		}
	}
}

// TestStepStartsOnTheOldestVersionAllowed guards against a step that waits for a load although
// engines hold a version that it allows. Version 2 is announced when the step that allows version 1
// arrives.
func TestStepStartsOnTheOldestVersionAllowed(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(2, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.SetVersion("a", 2)
	p.AddBatch(step("s", "a", 1, 3, 4), defaultTerms)
	if n := len(p.Place(0)); n != 8 {
		t.Errorf("%d items started, want all 8 slots taken", n)
	}
	if s := p.Swaps(0); len(s) != 0 {
		t.Errorf("%d engines load while waiting items could run on them", len(s))
	}
}

// TestSwapsLeaveOneEngineServing checks that engines load when no item waits for them, and that at
// least one always serves.
func TestSwapsLeaveOneEngineServing(t *testing.T) {
	p := cfrollout.New(cfrollout.Limits{MinLoads: 10, UrgentLoads: 10, GroupAffinity: 1})
	p.SetEngines(fleet(3, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.SetVersion("a", 2)
	first := p.Swaps(0)
	if len(first) != 2 {
		t.Fatalf("%d of 3 engines load at once, want 2", len(first))
	}
	for _, s := range first {
		p.SwapDone(s.Target.ID, s.Model, s.Version)
	}
	if second := p.Swaps(0); len(second) != 1 {
		t.Errorf("%d engines load next, want the third one", len(second))
	}
}

// TestBlockedStepLoadsAtOnce checks that engines whose version is too old for the waiting step load
// immediately, and more of them at once than usual, since nothing can run.
func TestBlockedStepLoadsAtOnce(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(4, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.SetVersion("a", 3)
	p.AddBatch(step("s", "a", 2, 2, 4), defaultTerms)
	if n := len(p.Place(0)); n != 0 {
		t.Errorf("%d items started on weights that are too old", n)
	}
	if n := len(p.Swaps(0)); n != cfrollout.DefaultLimits.UrgentLoads {
		t.Errorf("%d engines load, want %d", n, cfrollout.DefaultLimits.UrgentLoads)
	}
}

// TestSingleVersionTextIsNotResumedOnOtherVersions guards against a sample of two versions on a
// route that asks for one, when its stream breaks and is resumed on other weights.
func TestSingleVersionTextIsNotResumedOnOtherVersions(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	targets := fleet(2, cf.ModelState{Name: "a", Version: 1})
	p.SetEngines(targets, models("a"))
	single := defaultTerms
	single.SingleVersion = true
	p.AddBatch(step("s", "a", 1, 1, 1), single)
	w := p.Place(0)[0]
	generate(t, w, 0, 100, 20)
	p.SwapDone("e00", "a", 2)
	p.SwapDone("e01", "a", 2)
	p.Finished(w, cfrollout.OutcomeBroken, 200)
	for _, again := range p.Place(5000) {
		if len(again.Text.Versions) > 0 && again.Text.Versions[0] != again.Version {
			t.Errorf("text of version %v is resumed with version %d", again.Text.Versions, again.Version)
		}
	}
}

// TestRunsMoveOffASlowEngine makes an engine four times slower during a step. Once no item waits to
// start, its runs move to engines with free slots and resume where they were.
func TestRunsMoveOffASlowEngine(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(3, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.AddBatch(step("s", "a", 1, 2, 4), defaultTerms)
	works := p.Place(0)
	for _, w := range works {
		pace := cf.Millis(40)
		if w.Engine == "e00" {
			pace = 160
		}
		generate(t, w, 10, 1900, pace)
	}
	moves := p.Moves(2000)
	if len(moves) == 0 {
		t.Fatal("no run moves off the slow engine")
	}
	for _, w := range moves {
		if w.Engine != "e00" {
			t.Errorf("a run moves off the fast engine %s", w.Engine)
		}
		last := w.Text.Last
		p.Finished(w, cfrollout.OutcomeStopped, 2010)
		for _, again := range p.Place(2010) {
			if again.Engine == "e00" || again.Text.Last != last {
				t.Errorf("run is resumed at %s after event %d, want another engine after event %d", again.Engine, again.Text.Last, last)
			}
		}
	}
}

// TestUniformEnginesKeepTheirRuns guards against runs that move back and forth between equally fast
// engines and process their prompts again each time.
func TestUniformEnginesKeepTheirRuns(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(3, cf.ModelState{Name: "a", Version: 1}), models("a"))
	p.AddBatch(step("s", "a", 1, 2, 4), defaultTerms)
	for _, w := range p.Place(0) {
		generate(t, w, 10, 1900, 40)
	}
	if moves := p.Moves(2000); len(moves) != 0 {
		t.Errorf("%d runs move between equally fast engines", len(moves))
	}
}

// TestUnfinishedGroupIsResumedInTheNextStep checks that the next step continues the texts of an
// unfinished group if the weights fit, and adopts a run that has not ended instead of repeating it.
func TestUnfinishedGroupIsResumedInTheNextStep(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(2, cf.ModelState{Name: "a", Version: 2}), models("a"))
	p.SetVersion("a", 2)
	p.AddBatch(step("s", "a", 1, 1, 2), defaultTerms)
	works := p.Place(0)
	for _, w := range works {
		generate(t, w, 0, 400, 40)
	}
	if stopped := p.EndBatch("s"); len(stopped) != 0 {
		t.Errorf("%d runs stopped although the next step can use their texts", len(stopped))
	}
	p.Finished(works[0], cfrollout.OutcomeDone, 500) // after its batch has ended
	next := step("t", "a", 2, 1, 0)
	for _, w := range works {
		next.Sub.Items = append(next.Sub.Items, w.Item)
	}
	ready := p.AddBatch(cfbatch.New(next.Sub), defaultTerms)
	if len(ready) != 1 || ready[0].Item.ID != works[0].Item.ID {
		t.Errorf("%d items ready, want the finished one", len(ready))
	}
	if n := len(p.Place(600)); n != 0 {
		t.Errorf("%d runs started, want the other adopted", n)
	}
	if !p.Finished(works[1], cfrollout.OutcomeDone, 700) {
		t.Error("the item of the adopted run is not listed for the next step")
	}
}

// TestStoppedRunIsResumedAtOnce guards against a text that is generated again because its run,
// which was stopped with its batch, has not ended when the next batch asks for it.
func TestStoppedRunIsResumedAtOnce(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(1, cf.ModelState{Name: "a", Version: 1}), models("a"))
	b := step("s", "a", 1, 1, 1)
	p.AddBatch(b, defaultTerms)
	w := p.Place(0)[0]
	generate(t, w, 0, 400, 40)
	if stopped := p.EndBatch("s"); len(stopped) != 1 {
		t.Fatalf("%d runs stopped, want 1", len(stopped))
	}
	sub := b.Sub
	sub.ID = "t"
	p.AddBatch(cfbatch.New(sub), defaultTerms)
	if again := p.Place(410); len(again) != 1 || again[0].Text.Last != 11 {
		t.Errorf("the text is not resumed: %+v", again)
	}
	p.Finished(w, cfrollout.OutcomeStopped, 500)
}

// TestStaleTextIsNotReused checks that a text of weights that are too old for the next step is
// discarded.
func TestStaleTextIsNotReused(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(1, cf.ModelState{Name: "a", Version: 1}), models("a"))
	b := step("s", "a", 1, 1, 1)
	p.AddBatch(b, defaultTerms)
	w := p.Place(0)[0]
	generate(t, w, 0, 400, 40)
	stopped := p.EndBatch("s")
	if len(stopped) != 1 {
		t.Fatalf("%d runs stopped, want 1", len(stopped))
	}
	p.Finished(w, cfrollout.OutcomeStopped, 500)
	p.SwapDone("e00", "a", 2)
	sub := b.Sub
	sub.ID, sub.MinVersion = "t", 2
	p.AddBatch(cfbatch.New(sub), defaultTerms)
	if again := p.Place(600); len(again) != 1 || again[0].Text.Last != 0 {
		t.Errorf("stale text is resumed: %+v", again)
	}
}

// BenchmarkPlace measures one call of Place, for three sizes of a step and its engines.
func BenchmarkPlace(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("engines_%d", n), func(b *testing.B) {
			targets := fleet(n, cf.ModelState{Name: "a", Version: 1})
			for b.Loop() {
				p := cfrollout.New(cfrollout.DefaultLimits)
				p.SetEngines(targets, models("a"))
				p.AddBatch(step("s", "a", 1, n, 4), defaultTerms)
				if len(p.Place(0)) == 0 {
					b.Fatal("nothing placed")
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(4*n), "ns/item")
		})
	}
}

// BenchmarkPass measures one planning pass of a busy planner: every engine is full, twice as many
// items wait, and a new version was announced.
func BenchmarkPass(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("engines_%d", n), func(b *testing.B) {
			held := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}, {Name: "c", Version: 1}}
			p := cfrollout.New(cfrollout.DefaultLimits)
			p.SetEngines(fleet(n, held...), models("a", "b", "c"))
			for _, m := range []cf.ModelName{"a", "b", "c"} {
				p.AddBatch(step(cf.BatchID(m), m, 1, n, 4), defaultTerms)
			}
			p.Place(0)
			p.SetVersion("a", 2)
			b.ResetTimer()
			for b.Loop() {
				p.Place(10)
				p.Moves(10)
				p.Swaps(10)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/engine")
		})
	}
}

// TestSingleVersionTextRestartsWhenItsVersionIsGone guards against an item that waits forever on a
// route for samples of one version: its stream breaks, and all engines of its share load the next
// version before it is resumed.
func TestSingleVersionTextRestartsWhenItsVersionIsGone(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(2, cf.ModelState{Name: "a", Version: 1}), models("a"))
	single := defaultTerms
	single.SingleVersion = true
	p.AddBatch(step("s", "a", 1, 1, 1), single)
	w := p.Place(0)[0]
	generate(t, w, 0, 100, 20)
	p.Finished(w, cfrollout.OutcomeBroken, 200)
	p.SwapDone("e00", "a", 2)
	p.SwapDone("e01", "a", 2)
	again := p.Place(5000)
	if len(again) != 1 || again[0].Text.Last != 0 || again[0].Version != 2 {
		t.Errorf("restarted items: %+v", again)
	}
}

// TestOpenBatchFollowsTheConfiguration guards against items that run on a route that the operator
// has removed, or at its previous service, when the configuration changes while their batch is
// open.
func TestOpenBatchFollowsTheConfiguration(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	held := cf.ModelState{Name: "a", Version: 1}
	targets := fleet(1, held)
	other := fleet(2, held)[1]
	other.Service = "others"
	p.SetEngines(append(targets, other), map[cf.ServiceName][]cf.ModelName{service: {"a"}, "others": {"a"}})
	p.AddBatch(step("s", "a", 1, 3, 4), defaultTerms)
	first := p.Place(0)
	if len(first) != 4 {
		t.Fatalf("%d items started", len(first))
	}
	p.SetTerms("s", cfrollout.Terms{}, false)
	p.Finished(first[0], cfrollout.OutcomeDone, 10)
	if n := len(p.Place(20)); n != 0 {
		t.Errorf("%d items started without a route", n)
	}
	moved := defaultTerms
	moved.Service = "others"
	p.SetTerms("s", moved, true)
	for _, w := range p.Place(30) {
		if w.Engine != other.ID {
			t.Errorf("item started at %s of the previous service", w.Engine)
		}
	}
}

// TestBlockedStepDoesNotWaitForAnotherStepsQueue guards against a step that is delayed for seconds
// by another one. After the loss of a coordinator, no engine has loaded the versions announced in
// the meantime. Of two open steps the engines may run only the older one, which has more items than
// slots. If engines loaded only when no waiting item could run, the newer step would wait.
func TestBlockedStepDoesNotWaitForAnotherStepsQueue(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(4, cf.ModelState{Name: "a", Version: 5}), models("a"))
	p.SetVersion("a", 7)
	p.AddBatch(step("older", "a", 5, 10, 4), defaultTerms)
	p.AddBatch(step("newer", "a", 6, 10, 4), defaultTerms)
	if n := len(p.Place(0)); n != 16 {
		t.Fatalf("%d items of the older step started, want all slots taken", n)
	}
	swaps := p.Swaps(0)
	if len(swaps) == 0 || len(swaps) == 4 {
		t.Fatalf("%d of 4 engines load, want some and not all", len(swaps))
	}
	for _, s := range swaps {
		if !s.KeepRuns {
			t.Error("the runs of a loading engine are not kept")
		}
		p.SwapDone(s.Target.ID, s.Model, s.Version)
	}
}

// TestRestartedEngineHoldsNoOldVersions guards against an engine that refuses all of its items
// forever. It restarts under its id with older weights, and the list shows that first, or still the
// previous process after a report has shown the new one. The versions of one process only increase,
// but must not be kept across a restart.
func TestRestartedEngineHoldsNoOldVersions(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	targets := fleet(2, cf.ModelState{Name: "a", Version: 4})
	targets[0].Started, targets[1].Started = 100, 100
	p.SetEngines(targets, models("a"))
	p.SetVersion("a", 4)
	p.Reported("e00", cf.TargetReport{Started: 200, Models: []cf.ModelState{{Name: "a", Version: 2}}})
	p.SetEngines(targets, models("a")) // the list is late
	again := fleet(2, cf.ModelState{Name: "a", Version: 3})
	again[0].Started, again[1].Started = 200, 300
	p.SetEngines(again, models("a"))
	p.AddBatch(step("s", "a", 4, 1, 4), defaultTerms)
	if n := len(p.Place(0)); n != 0 {
		t.Errorf("%d items start at engines with older weights", n)
	}
	if n := len(p.Swaps(0)); n == 0 {
		t.Error("no engine loads")
	}
	p.Reported("e00", cf.TargetReport{Started: 150, Models: []cf.ModelState{{Name: "a", Version: 9}}})
	if n := len(p.Place(0)); n != 0 {
		t.Errorf("%d items start because of a report of the previous process", n)
	}
}
