package cfrollout_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

// hintedBatch returns a batch of single items with the given length hints, in events of ten tokens.
func hintedBatch(id cf.BatchID, events ...int) *cfbatch.Batch {
	sub := cf.Submission{ID: id, Model: "a", MinVersion: 1, TargetGroups: len(events)}
	for i, n := range events {
		name := fmt.Sprintf("%s-%02d", id, i)
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(name), Group: cf.GroupID(name), LengthHint: cf.Tokens(10 * n)})
	}
	return cfbatch.New(sub)
}

// newSlowEnginePlanner returns a planner with four engines of four slots, which has learned from an
// earlier step that e03 is four times slower than the others.
func newSlowEnginePlanner(t *testing.T) *cfrollout.Planner {
	t.Helper()
	p := cfrollout.New(cfrollout.DefaultLimits)
	p.SetEngines(fleet(4, cf.ModelState{Name: "a", Version: 1}), models("a"))
	lengths := make([]int, 16)
	for i := range lengths {
		lengths[i] = 20
	}
	p.AddBatch(hintedBatch("before", lengths...), defaultTerms)
	works := p.Place(0)
	for _, w := range works {
		pace := cf.Millis(40)
		if w.Engine == "e03" {
			pace = 160
		}
		generate(t, w, 10, 10+19*pace, pace)
	}
	for range 20 {
		p.Moves(800) // let the smoothed paces converge
	}
	for _, w := range works {
		p.Finished(w, cfrollout.OutcomeDone, 3200)
	}
	return p
}

// TestLongTextsDoNotStartAtASlowEngine guards against a step that waits for a long text at a slow
// engine, although other engines had free slots a moment later. The step has twice as many items as
// slots, long texts first, and one of four engines is four times slower. It may only get short
// texts, which end there before they would have started elsewhere.
func TestLongTextsDoNotStartAtASlowEngine(t *testing.T) {
	p := newSlowEnginePlanner(t)
	lengths := make([]int, 32)
	for i := range lengths {
		lengths[i] = 2
		if i < 14 {
			lengths[i] = 100
		}
	}
	p.AddBatch(hintedBatch("s", lengths...), defaultTerms)
	startedAtSlow := 0
	for _, w := range p.Place(5000) {
		if w.Engine != "e03" {
			continue
		}
		startedAtSlow++
		if w.Item.LengthHint > 20 {
			t.Errorf("a text of %d tokens starts at the slow engine", w.Item.LengthHint)
		}
	}
	if startedAtSlow == 0 {
		t.Error("the slow engine gets no item")
	}
}

// TestLongRunLeavesASlowEngineBeforeOthersStart guards against the longest text of a step running
// four times slower than the others until no item waits. The engine becomes slow while its runs are
// long and half of the step waits. The long run goes to the front of the queue for the next slot,
// and short runs stay.
func TestLongRunLeavesASlowEngineBeforeOthersStart(t *testing.T) {
	p := newSlowEnginePlanner(t)
	lengths := make([]int, 40)
	for i := range lengths {
		lengths[i] = 8
	}
	lengths[0] = 150
	p.AddBatch(hintedBatch("s", lengths...), defaultTerms)
	works := p.Place(5000)
	var long *cfrollout.Work
	for _, w := range works {
		if w.Item.LengthHint == 1500 {
			long = w
		}
	}
	slow := long.Engine
	for _, w := range works {
		pace := cf.Millis(40)
		if w.Engine == slow {
			pace = 160
		}
		generate(t, w, 5010, 6200, pace)
	}
	var moves []*cfrollout.Work
	for range 20 {
		moves = append(moves, p.Moves(6200)...)
	}
	found := false
	for _, w := range moves {
		found = found || w == long
		if w.Engine != slow {
			t.Errorf("a run leaves engine %s, which is not slow", w.Engine)
		}
	}
	if !found || len(moves) > 4 {
		t.Fatalf("%d runs leave the slow engine, including the long one: %v", len(moves), found)
	}
	last := long.Text.Last
	p.Finished(long, cfrollout.OutcomeStopped, 6210)
	for _, w := range works {
		if w.Engine != slow && w.Engine != "" {
			p.Finished(w, cfrollout.OutcomeDone, 6220)
			break
		}
	}
	again := p.Place(6230)
	if len(again) == 0 || again[0] != long || again[0].Text.Last != last {
		t.Errorf("the long run does not start first: %d items start", len(again))
	}
}
