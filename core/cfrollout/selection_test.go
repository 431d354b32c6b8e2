package cfrollout

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

// Guards against classes of guesses that move with the mean guess: while it rises, texts of
// mean length fill the classes that long texts use later.
func TestLongGuessesAreNotFilledWithMeanTexts(t *testing.T) {
	p := New(DefaultLimits)
	for i := range 800 {
		w := &Work{Item: cf.Item{ID: cf.ItemID(fmt.Sprint(i)), LengthHint: 140}, Text: Text{Last: 14}}
		p.lengths.note(w)
		p.guesses.note(w)
		if events := p.guesses.of(cf.Item{LengthHint: 600}, &p.lengths); events < 59 || events > 61 {
			t.Fatalf("after %d texts a text of 60 events is expected to have %.1f", i+1, events)
		}
	}
}

// Guards against a step without target groups of which no group is waited for, so that its
// engines load weights while its items wait.
func TestStepWithoutTargetGroupsWaitsForAll(t *testing.T) {
	p := New(DefaultLimits)
	sub := cf.Submission{ID: "s", Model: "m"}
	o := &open{}
	for i := range 3 {
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(fmt.Sprint(i)), Group: cf.GroupID(fmt.Sprint("g", i))})
	}
	o.batch = cfbatch.New(sub)
	for _, it := range sub.Items {
		o.waiting = append(o.waiting, &Work{Batch: o.batch, Item: it})
	}
	if n := p.stepNeed(o, 40); n.want != 3 {
		t.Errorf("%d of 3 groups are waited for", n.want)
	}
}

// Guards against groups that keep no expected end when a spare one takes their place: they
// would start before all others of their class, and count as waited for.
func TestReplacedGroupsGoLast(t *testing.T) {
	n := stepNeed{slots: 1, due: 1000, late: 1500, most: 1000, want: 3, groups: []groupNeed{
		{id: "short", work: 100, longest: 100}, {id: "long", work: 200, longest: 1800},
		{id: "carried", work: 250, longest: 2000, carried: true}, {id: "spare", work: 300, longest: 100},
		{id: "more", work: 350, longest: 100},
	}}
	s := selectGroups(n)
	if got := s.counts[groupInTime] + s.counts[groupLate]; got != 3 {
		t.Errorf("%d groups are whole in time, want 3", got)
	}
	for _, g := range n.groups {
		switch {
		case g.id == "long" && g.class != groupSpare:
			t.Errorf("replaced group has class %d", g.class)
		case g.id == "carried" && (g.class != groupLast || g.whole < 2000):
			t.Errorf("carried group has class %d and is whole in %.0f ms", g.class, g.whole)
		}
	}
}
