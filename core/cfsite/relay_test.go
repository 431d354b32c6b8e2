package cfsite_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

// sameTargets says whether two views show the same targets, weights left out.
func sameTargets(a, b *cfsite.Site) bool {
	x, y := a.Targets(), b.Targets()
	if len(x) != len(y) || a.Sum() != b.Sum() {
		return false
	}
	for i := range x {
		if x[i].ID != y[i].ID || x[i].Draining != y[i].Draining || x[i].Addr != y[i].Addr {
			return false
		}
	}
	return true
}

// An instance that hears of changes only, at any moments, has the view of the one
// that watches the store: targets come, drain, change hands and go.
func TestNewsKeepViewsEqual(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
		count, known := int64(0), false
		hear := func() {
			news := source.AllNews(follower.Sum())
			if known {
				news = source.NewsSince(count)
			}
			if !follower.TakeNews(news, 0) {
				t.Fatalf("seed %d: the views differ after news %+v", seed, news)
			}
			count, known = news.Count, random.IntN(20) > 0 // it forgets now and then
		}
		for rev := cf.Revision(1); rev < 200; rev++ {
			name := fmt.Sprintf("t%d", random.IntN(12))
			r := cfstandin.Record(name, rev, cf.Target{
				ID: cf.InstanceID(name), Service: "s", Addr: fmt.Sprint(random.IntN(3)), Draining: random.IntN(4) == 0,
				Models: []cf.ModelState{{Name: "m", Version: cf.WeightVersion(rev)}},
			})
			r.Deleted = random.IntN(3) == 0
			if _, _, err := source.ApplyTarget(r, 0); err != nil {
				t.Fatal(err)
			}
			source.Advance(rev)
			if random.IntN(3) == 0 {
				hear()
				if !sameTargets(source, follower) {
					t.Fatalf("seed %d, revision %d: the views differ", seed, rev)
				}
			}
		}
	}
}

// Symptom: an instance that was cut off for long keeps targets that are gone.
// Sequence: more targets leave than are remembered.
func TestNewsBeyondMemoryAreTheWholeView(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	var list []cf.Target
	for i := range 6000 {
		list = append(list, cf.Target{ID: cf.InstanceID(fmt.Sprint(i)), Service: "s"})
	}
	source.ReplaceTargets(list, 1, 0)
	first := source.AllNews(follower.Sum())
	if !first.Whole || !follower.TakeNews(first, 0) {
		t.Fatal("the first news are not the whole view")
	}
	for i := range 5000 {
		r := cfstandin.Record(fmt.Sprint(i), cf.Revision(i+2), nil)
		r.Deleted = true
		if _, _, err := source.ApplyTarget(r, 0); err != nil {
			t.Fatal(err)
		}
	}
	if news := source.NewsSince(first.Count); !news.Whole || !follower.TakeNews(news, 0) || !sameTargets(source, follower) {
		t.Errorf("whole %t, %d targets left at the follower", news.Whole, len(follower.Targets()))
	}
}

// An instance with the same targets, from its own watch, is sent no list by a
// coordinator that it hears for the first time; one that differs is sent all.
func TestEqualViewsNeedNoList(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	list := []cf.Target{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	source.ReplaceTargets(list, 5, 0)
	follower.ReplaceTargets(list, 4, 0)
	if news := source.AllNews(follower.Sum()); news.Whole || len(news.Targets) > 0 || !follower.TakeNews(news, 0) {
		t.Errorf("equal views: news %+v", news)
	}
	follower.ReplaceTargets(list[:1], 6, 0)
	source.Advance(7)
	if news := source.AllNews(follower.Sum()); !news.Whole || !follower.TakeNews(news, 0) || !sameTargets(source, follower) {
		t.Errorf("differing views: news %+v", news)
	}
}

// Symptom: the coordinator spends its processor on instances that are all well.
// Load: 3,000 targets write their entries every second, unchanged.
func TestHeartbeatsAloneChangeNothing(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	target := cf.Target{ID: "a", Service: "s", Models: []cf.ModelState{{Name: "m", Version: 1}}}
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 1, target), 0)
	before := s.Changes()
	if _, changed, _ := s.ApplyTarget(cfstandin.Record("a", 2, target), 0); changed || s.Changes() != before {
		t.Error("a heartbeat counts as a change")
	}
}
