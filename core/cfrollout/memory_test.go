package cfrollout

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

// newMemoryPlanner returns a planner with engines of six slots and 23,000 tokens of memory, which
// has learned that an event takes 40 tokens and that a usual text has 33 events.
func newMemoryPlanner(engines int) *Planner {
	p := New(DefaultLimits)
	var ts []cf.Target
	for i := range engines {
		ts = append(ts, cf.Target{
			ID: cf.InstanceID(fmt.Sprintf("e%02d", i)), Service: "s", Slots: 6, Models: []cf.ModelState{{Name: "m", Version: 1}},
		})
	}
	p.SetEngines(ts, map[cf.ServiceName][]cf.ModelName{"s": {"m"}})
	for _, t := range ts {
		p.Reported(t.ID, cf.TargetReport{Memory: 23000})
	}
	p.memory.tokensPerEvent = 40
	p.lengths = lengths{mean: 33, meanHint: 33, meanHinted: 33, started: true}
	return p
}

func memoryBatch(long, short int) *cfbatch.Batch {
	sub := cf.Submission{ID: "b", Model: "m", MinVersion: 1}
	for i := range long + short {
		it := cf.Item{ID: cf.ItemID(fmt.Sprint(i)), Group: cf.GroupID(fmt.Sprint(i / 16)), PromptTokens: 276, MaxTokens: 276 + 240*40, LengthHint: 20}
		if i < long {
			it.LengthHint = 240
		}
		sub.Items = append(sub.Items, it)
	}
	return cfbatch.New(sub)
}

// TestLongTextsSpreadOverEngineMemory guards against runs that are interrupted for seconds, so that
// a step takes two seconds longer than its longest text. 60 items run on ten engines with memory
// for two of the longest texts each. The longest items start first; placed at the fastest engine,
// they fill its memory and it preempts them in turn.
func TestLongTextsSpreadOverEngineMemory(t *testing.T) {
	p := newMemoryPlanner(10)
	for id, e := range p.engines {
		e.pace = 24
		if id == "e03" {
			e.pace = 22.5
		}
	}
	p.AddBatch(memoryBatch(12, 48), Terms{Service: "s"})
	long := map[cf.InstanceID]int{}
	placed := p.Place(0)
	for _, w := range placed {
		if p.IsLong(w) {
			long[w.Engine]++
		}
	}
	if len(placed) != 60 {
		t.Errorf("%d of 60 items start", len(placed))
	}
	for id, n := range long {
		if n > 2 {
			t.Errorf("%d long texts at %s", n, id)
		}
	}
	if len(long) != 10 {
		t.Errorf("the long texts are at %d of 10 engines", len(long))
	}
}

// TestFullMemoryLeavesNoSlotIdle checks that an engine without enough memory for an item runs it if
// no other engine has a slot: the estimate may be wrong, and an idle slot serves nothing.
func TestFullMemoryLeavesNoSlotIdle(t *testing.T) {
	p := newMemoryPlanner(2)
	p.AddBatch(memoryBatch(12, 0), Terms{Service: "s"})
	if n := len(p.Place(0)); n != 12 {
		t.Errorf("%d of 12 items start", n)
	}
}

// TestMovesNeedMemoryAndGain guards against a text that moves every 0.8 s and takes seconds longer
// than without moves. Paces of engines differ by a fifth and are observed with noise. A move must
// not go to an engine without memory for the text, nor rely on an estimate that earlier moves have
// disproved.
func TestMovesNeedMemoryAndGain(t *testing.T) {
	p := newMemoryPlanner(2)
	p.AddBatch(memoryBatch(1, 0), Terms{Service: "s"})
	w := p.Place(0)[0]
	slow, fast := p.engines[w.Engine], p.engines["e00"]
	if slow == fast {
		fast = p.engines["e01"]
	}
	slow.pace, fast.pace = 40, 24
	for at := cf.Millis(0); at <= 2000; at += 40 {
		w.Progress.RecordEvent(at)
	}
	w.Started = 0
	fast.usedMemory = 22000
	freeSlots := func() *fastestFree {
		return &fastestFree{planner: p, engines: []*Engine{slow, fast}, assumed: 24, taken: map[cf.InstanceID]int{}}
	}
	if e := p.betterEngine(freeSlots(), w, 2001); e != nil {
		t.Error("a text moves to an engine without enough memory")
	}
	fast.usedMemory = 0
	if e := p.betterEngine(freeSlots(), w, 2001); e != fast {
		t.Error("a text stays at an engine although another needs little more than half the time per event")
	}
	w.moves = maxDoublings
	if e := p.betterEngine(freeSlots(), w, 2001); e != nil {
		t.Error("a text that has moved five times without gain moves again")
	}
}

// TestTokensPerEventAreLearned checks that reports of runs are used, and that useless ones are
// ignored.
func TestTokensPerEventAreLearned(t *testing.T) {
	p := newMemoryPlanner(1)
	p.memory.tokensPerEvent = 0
	p.AddBatch(memoryBatch(0, 2), Terms{Service: "s"})
	works := p.Place(0)
	const now = 10 * queryInterval
	if len(p.EnginesToQuery(now)) != 1 || len(p.EnginesToQuery(now+queryInterval-1)) != 0 {
		t.Error("an engine is not queried while nothing is known, or queried too often")
	}
	p.Reported("e00", cf.TargetReport{Memory: 23000, Runs: []cf.TargetRun{
		{ID: cf.RequestID(works[0].Item.ID), Tokens: 276 + 10*41, Events: 10},
		{ID: cf.RequestID(works[1].Item.ID), Tokens: 290, Events: 1},
		{ID: "of nobody", Tokens: 1, Events: 100},
	}})
	if got := p.memory.tokensPerEvent; got != 41 {
		t.Errorf("%.1f tokens per event, want 41", got)
	}
	if n := len(p.EnginesToQuery(2 * now)); n != 0 {
		t.Errorf("%d engines are queried although their memory is known", n)
	}
}

// TestMemoryIsInferredFromEqualReports checks a fleet of similar engines: only a few are queried
// for their memory, and the others are assumed to have the same. Once one differs, each is queried.
func TestMemoryIsInferredFromEqualReports(t *testing.T) {
	p := newMemoryPlanner(20)
	for _, e := range p.engines {
		e.memoryReported, e.Memory = false, 0
	}
	p.memory.reports = map[cf.ServiceName]*reportedMemory{}
	p.AddBatch(memoryBatch(0, 120), Terms{Service: "s"})
	p.Place(0)
	query := func(now cf.Millis, memory cf.Tokens) int {
		n := 0
		for _, target := range p.EnginesToQuery(now) {
			if n++; n <= minEqualReports {
				p.Reported(target.ID, cf.TargetReport{Memory: memory})
			}
		}
		return n
	}
	if n := query(queryInterval, 23000); n != maxQueries {
		t.Errorf("%d engines are queried at first", n)
	}
	if n := query(3*queryInterval, 23000); n != 0 {
		t.Errorf("%d engines are queried although %d have reported the same memory", n, minEqualReports)
	}
	for id := range p.engines {
		if got := p.memory.capacity(p.engines[id]); got != 23000 {
			t.Errorf("%s is assumed to have %d tokens of memory", id, got)
		}
	}
	p.Reported("e00", cf.TargetReport{Memory: 11000})
	if n := query(5*queryInterval, 23000); n < 20-minEqualReports-1 {
		t.Errorf("%d engines are queried although one reports a different memory", n)
	}
}
