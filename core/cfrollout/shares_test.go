package cfrollout_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfrollout"
)

// TestLargeStepsLeaveEachModelAnEngine guards against a trainer whose steps never start. Three
// models have three engines, and the steps of one model are a thousand times as large as the
// others'. Rounding up its part first would leave no engine for the last model.
func TestLargeStepsLeaveEachModelAnEngine(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	held := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}, {Name: "c", Version: 1}}
	targets := fleet(3, held...)
	p.SetEngines(targets, models("a", "b", "c"))
	p.AddBatch(step("large", "a", 1, 100, 10), defaultTerms)
	p.AddBatch(step("small-b", "b", 1, 1, 1), defaultTerms)
	p.AddBatch(step("small-c", "c", 1, 1, 1), defaultTerms)
	count := map[cf.ModelName]int{}
	for _, m := range shares(p, targets) {
		count[m]++
	}
	for _, m := range []cf.ModelName{"a", "b", "c"} {
		if count[m] != 1 {
			t.Errorf("model %s has %d of 3 engines, want 1", m, count[m])
		}
	}
}

// TestModelsTakeTurnsOnTooFewEngines guards against a trainer that is starved after a loss of
// engines. Each of three models has a step of twice the slots on the one remaining engine, and a
// and b submit a new step as soon as one is done. An engine that serves one model until its work
// ends would never serve the others.
func TestModelsTakeTurnsOnTooFewEngines(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	held := []cf.ModelState{{Name: "a", Version: 1}, {Name: "b", Version: 1}, {Name: "c", Version: 1}}
	p.SetEngines(fleet(1, held...), models("a", "b", "c"))
	accepted := cf.Millis(0)
	left := map[cf.ModelName]int{}
	add := func(m cf.ModelName) {
		accepted++
		b := step(cf.BatchID(string(m)+string(rune('0'+accepted))), m, 1, 2, 4)
		b.Sub.Accepted = accepted
		left[m] = len(b.Sub.Items)
		p.AddBatch(b, defaultTerms)
	}
	for _, m := range []cf.ModelName{"a", "b", "c"} {
		add(m)
	}
	done := map[cf.ModelName]int{}
	for now := cf.Millis(0); now < 12000; now += 1000 {
		for _, w := range p.Place(now) {
			m := w.Batch.Sub.Model
			p.Finished(w, cfrollout.OutcomeDone, now+500)
			if left[m]--; left[m] > 0 {
				continue
			}
			done[m]++
			p.EndBatch(w.Batch.Sub.ID)
			if m != "c" {
				add(m)
			}
		}
	}
	if done["c"] != 1 || done["a"] < 2 || done["b"] < 2 {
		t.Errorf("steps done: %v, want one of c and at least two each of a and b", done)
	}
}

// TestSharesWithoutDueTimesFollowTheLatestStep guards against shares of services without due times
// that lag behind the latest step or follow length hints. Without due times, engines are divided by
// the tokens of the latest steps.
func TestSharesWithoutDueTimesFollowTheLatestStep(t *testing.T) {
	p := cfrollout.New(cfrollout.DefaultLimits)
	targets := fleet(12, cf.ModelState{Name: "a", Version: 1}, cf.ModelState{Name: "b", Version: 1})
	p.SetEngines(targets, models("a", "b"))
	count := func() (a int) {
		for _, m := range shares(p, targets) {
			if m == "a" {
				a++
			}
		}
		return a
	}
	add := func(id cf.BatchID, m cf.ModelName, groups int, hint cf.Tokens) {
		b := step(id, m, 1, groups, 1)
		for i := range b.Sub.Items {
			b.Sub.Items[i].LengthHint = hint
		}
		p.AddBatch(b, defaultTerms)
	}
	add("a1", "a", 10, 50)
	add("b1", "b", 10, 10)
	if n := count(); n != 6 {
		t.Errorf("model a has %d of 12 engines with half of the tokens", n)
	}
	p.EndBatch("a1")
	add("a2", "a", 50, 50)
	if n := count(); n != 10 {
		t.Errorf("model a has %d of 12 engines with five sixths of the tokens", n)
	}
	p.EndBatch("a2")
	p.Place(60_000)
	p.ChangeEngines(targets[:1], nil)
	if n := count(); n != 10 {
		t.Errorf("model a has %d of 12 engines a minute after its step", n)
	}
}
