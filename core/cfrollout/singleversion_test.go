package cfrollout_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

var singleTerms = cfrollout.Terms{Service: service, MaxAttempts: 3, MaxWait: 40000, SingleVersion: true}

// TestMixedVersionTextIsNotCompleted guards against a sample of two versions on a route for single
// versions. The engine's weights change during the run, by an order that was carried out late or
// given between two steps, and the run continues to its end without being resumed.
func TestMixedVersionTextIsNotCompleted(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(1, cf.ModelState{Name: "a", Version: 4}), models("a"))
	p.AddBatch(step("b", "a", 4, 1, 1), singleTerms)
	w := p.Place(0)[0]
	for i, v := range []cf.WeightVersion{4, 5} {
		if err := w.Text.Append(cf.StreamEvent{ID: cf.EventID(i + 1), Data: "x", Version: v}); err != nil {
			t.Fatal(err)
		}
	}
	if p.Finished(w, cfrollout.OutcomeDone, 10) {
		t.Fatal("a text of two versions is listed")
	}
	again := p.Place(20)
	if len(again) != 1 || again[0].Text.Last != 0 {
		t.Fatalf("%d items are placed again, want one that starts from the beginning", len(again))
	}
	if again[0].Failures != 0 {
		t.Error("the restart counts as a failure of the item")
	}
}

// TestOrdersBetweenStepsWaitForSingleVersionRuns guards against a sample of two versions if no
// batch is open: a run continues for the next step, which may ask for its item again, and a weight
// order given between the two steps must not let the run continue on the new weights.
func TestOrdersBetweenStepsWaitForSingleVersionRuns(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(2, cf.ModelState{Name: "a", Version: 4}), models("a"))
	p.AddBatch(step("b", "a", 3, 1, 1), singleTerms)
	p.Place(0)
	p.EndBatch("b")
	p.SetVersion("a", 5)
	swaps := p.Swaps(10)
	if len(swaps) == 0 {
		t.Fatal("no orders")
	}
	for _, s := range swaps {
		if s.KeepRuns {
			t.Errorf("the order to %s keeps runs", s.Target.ID)
		}
	}
}

// TestSingleVersionTextResumesAtASlowEngine guards against an item that waits forever: the only
// engine with the weights of its text is slow, and the other engines, which may not continue the
// text, are counted in its queue.
func TestSingleVersionTextResumesAtASlowEngine(t *testing.T) {
	p := newSlowEnginePlanner(t)
	p.AddBatch(hintedBatch("s", 100), singleTerms)
	w := p.Place(5000)[0]
	if w.Engine == "e03" {
		t.Fatal("the item starts at the slow engine")
	}
	generate(t, w, 5010, 5400, 40)
	p.Finished(w, cfrollout.OutcomeBroken, 5450)
	p.SetVersion("a", 2)
	for _, id := range []cf.InstanceID{"e00", "e01", "e02"} {
		p.SwapDone(id, "a", 2)
	}
	for now := cf.Millis(5500); now < 15_500; now += 50 {
		if placed := p.Place(now); len(placed) == 1 {
			t.Logf("resumed at %s after %d ms", placed[0].Engine, now-5450)
			return
		}
		for _, s := range p.Swaps(now) {
			p.SwapDone(s.Target.ID, s.Model, s.Version)
		}
	}
	t.Errorf("no engine for 10 s: %v", p.WaitingItems(15_500).Counts)
}
