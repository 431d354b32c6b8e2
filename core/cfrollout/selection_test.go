package cfrollout

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

// TestHintClassesDoNotDriftWithTheMean guards against hint classes that move with the mean hint:
// while it rises, texts of mean length would fill the classes that long texts use later.
func TestHintClassesDoNotDriftWithTheMean(t *testing.T) {
	p := New(DefaultLimits)
	for i := range 800 {
		w := &Work{Item: cf.Item{ID: cf.ItemID(fmt.Sprint(i)), LengthHint: 140}, Text: Text{Last: 14}}
		p.lengths.note(w)
		p.hints.note(w)
		if events := p.hints.expected(cf.Item{LengthHint: 600}, &p.lengths); events < 59 || events > 61 {
			t.Fatalf("after %d texts a text of 60 events is expected to have %.1f", i+1, events)
		}
	}
}

// TestStepWithoutTargetGroupsWaitsForAll guards against a step without target groups of which no
// group is required, so that its engines would load weights while its items wait.
func TestStepWithoutTargetGroupsWaitsForAll(t *testing.T) {
	p := New(DefaultLimits)
	sub := cf.Submission{ID: "s", Model: "m"}
	o := &openBatch{}
	for i := range 3 {
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(fmt.Sprint(i)), Group: cf.GroupID(fmt.Sprint("g", i))})
	}
	o.batch = cfbatch.New(sub)
	for _, it := range sub.Items {
		o.waiting = append(o.waiting, &Work{Batch: o.batch, Item: it})
	}
	if n := p.stepNeed(o, 40); n.required != 3 {
		t.Errorf("%d of 3 groups are required", n.required)
	}
}

// TestReplacedGroupsGoLast guards against groups without an expected end after an optional group
// has replaced them: they would start before all others of their class, and count as required.
func TestReplacedGroupsGoLast(t *testing.T) {
	n := stepNeed{slots: 1, due: 1000, usefulFor: 1500, inTimeFor: 1000, required: 3, groups: []groupNeed{
		{id: "short", work: 100, longest: 100}, {id: "long", work: 200, longest: 1800},
		{id: "carried", work: 250, longest: 2000, carried: true}, {id: "spare", work: 300, longest: 100},
		{id: "more", work: 350, longest: 100},
	}}
	s := selectGroups(n)
	if got := s.counts[groupInTime] + s.counts[groupLate]; got != 3 {
		t.Errorf("%d groups are complete in time, want 3", got)
	}
	for _, g := range n.groups {
		switch {
		case g.id == "long" && g.class != groupOptional:
			t.Errorf("replaced group has class %d", g.class)
		case g.id == "carried" && (g.class != groupTooLate || g.completeIn < 2000):
			t.Errorf("carried group has class %d and is complete in %.0f ms", g.class, g.completeIn)
		}
	}
}

// TestRankingIsDroppedWithoutDueTimeOrCapacity guards against a ranking that still delays loads
// after the due time was removed or the last engine was lost.
func TestRankingIsDroppedWithoutDueTimeOrCapacity(t *testing.T) {
	for name, end := range map[string]func(*Planner){
		"no due time": func(p *Planner) { p.SetTerms("s", Terms{Service: "x"}, true) },
		"no rate":     func(p *Planner) { p.rankGroups(p.batches["s"], 0, 5000) },
	} {
		p := New(DefaultLimits)
		sub := cf.Submission{ID: "s", Model: "m", TargetGroups: 1, Items: []cf.Item{{ID: "i", Group: "g"}}}
		p.AddBatch(cfbatch.New(sub), Terms{Service: "x", Due: 9000, Span: 8000})
		p.lengths.started = true
		o := p.batches["s"]
		o.rankedAt, o.requiredWaiting = 1000, 1
		if end(p); o.rankedAt != 0 || o.requiredWaiting != 0 {
			t.Errorf("%s: ranked at %d, %d required items waiting", name, o.rankedAt, o.requiredWaiting)
		}
	}
}

// TestRunsOfOnePassGoToDifferentSlots guards against moving all runs of one planning pass to the
// same engine with a single slot, and against destinations that are loading, full or outdated.
func TestRunsOfOnePassGoToDifferentSlots(t *testing.T) {
	p := New(DefaultLimits)
	sub := cf.Submission{ID: "s", Model: "m"}
	o := &openBatch{batch: cfbatch.New(sub), terms: Terms{Service: "x"}}
	engine := func(id cf.InstanceID, used float64) *Engine {
		e := &Engine{Target: cf.Target{ID: id, Service: "x", Slots: 1}, Model: "m", usedMemory: used, versions: map[cf.ModelName]cf.WeightVersion{"m": 1}}
		p.shares[shareKey{"x", "m"}] = append(p.shares[shareKey{"x", "m"}], e)
		return e
	}
	full, loading, behind := engine("full", 0), engine("loading", 0), engine("behind", 0)
	full.Running, loading.loading, behind.versions["m"] = 1, 2, 0
	engine("second", 20)
	engine("first", 10)
	engines := p.destinations(o, 10, 100)
	for _, want := range []cf.InstanceID{"first", "second", ""} {
		w := &Work{Batch: o.batch, Terms: o.terms}
		e := p.destination(engines, w, 100)
		if e == nil && want != "" || e != nil && e.ID != want {
			t.Fatalf("a run moves to %v, want %q", e, want)
		}
		if e != nil {
			p.reserve(w, e, 100)
		}
	}
}
