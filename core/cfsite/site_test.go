package cfsite_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

// TestConfigurationNeverRegresses guards against removed routes that answer again: after a new
// configuration is in force, a stale list, or a relay from an instance that was cut off, delivers
// an older one.
func TestConfigurationNeverRegresses(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	apply := func(rev cf.Revision, v cfsite.ConfigVersion) bool {
		changed, err := s.ApplyConfig(cfstandin.Record("main", rev, cfsite.Config{Version: v}))
		if err != nil {
			t.Fatal(err)
		}
		return changed
	}
	if !apply(10, 7) || apply(9, 6) || apply(10, 7) || apply(11, 7) || apply(12, 3) {
		t.Error("an older configuration was applied")
	}
	if !apply(13, 12) || s.Config().Version != 12 {
		t.Error("a newer configuration was not applied")
	}
}

func TestLongestPrefixOfHostWins(t *testing.T) {
	c := cfsite.Config{Routes: []cfsite.Route{
		{Name: "short", Host: "h", Prefix: "/a/"}, {Name: "long", Host: "h", Prefix: "/a/b/"}, {Name: "other", Host: "i", Prefix: "/a/b/c/"},
	}}
	for path, want := range map[string]string{"/a/x": "short", "/a/b/c/d": "long", "/a/b": "short", "/b/": ""} {
		if r, _ := c.Match("h", path); r.Name != want {
			t.Errorf("%s goes to %q, want %q", path, r.Name, want)
		}
	}
}

func TestSplitFollowsWeights(t *testing.T) {
	r := cfsite.Route{Split: []cfsite.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	count := map[cf.ServiceName]int{}
	for i := range 1000 {
		count[r.PickService(float64(i)/1000)]++
	}
	if count["a"] != 900 || count["b"] != 100 {
		t.Errorf("split %v", count)
	}
}

// TestDrainingTargetsAreNotUsable guards against requests that are sent to a target which is
// draining or gone.
func TestDrainingTargetsAreNotUsable(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	up := cf.Target{ID: "a", Service: "x"}
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 1, up), 0)
	_, _, _ = s.ApplyTarget(cfstandin.Record("b", 2, cf.Target{ID: "b", Service: "x", Draining: true}), 0)
	if got := s.Usable("x"); len(got) != 1 || got[0].ID != "a" {
		t.Fatalf("usable targets: %v", got)
	}
	gone := cfstandin.Record("a", 3, up)
	gone.Deleted = true
	_, _, _ = s.ApplyTarget(gone, 0)
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 1, up), 0) // an older event again
	if got := s.Usable("x"); len(got) != 0 {
		t.Errorf("usable targets after the removal: %v", got)
	}
}

// TestOlderListIsIgnored guards against targets that are gone and come back: an instance lists the
// targets, and then receives an older list from another instance.
func TestOlderListIsIgnored(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	s.ReplaceTargets([]cf.Target{{ID: "a", Service: "x"}}, 10, 0)
	if _, applied := s.ReplaceTargets([]cf.Target{{ID: "b", Service: "x"}}, 9, 0); applied {
		t.Error("an older list was applied")
	}
}

// TestLapsedTargetsAreKeptForGracePeriod guards against services that have no targets for two
// seconds after each outage of the store. Entries lapse while the store is unavailable. After its
// return, live targets are listed again within two seconds; the others are gone.
func TestLapsedTargetsAreKeptForGracePeriod(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	a, b := cf.Target{ID: "a", Service: "x"}, cf.Target{ID: "b", Service: "x"}
	s.ReplaceTargets([]cf.Target{a, b}, 10, 0)
	s.StoreFailed(1000)
	if outage := s.StoreAnswered(0, 5000); outage != 4000 {
		t.Fatalf("an outage of %d ms, want 4000", outage)
	}
	s.ReplaceTargets(nil, 20, 5000)
	if n := len(s.Usable("x")); n != 2 {
		t.Fatalf("%d usable targets right after the store's return", n)
	}
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 21, a), 6000)
	if gone := s.DropLapsed(6500); len(gone) != 0 {
		t.Errorf("dropped during the grace period: %v", gone)
	}
	if gone := s.DropLapsed(7300); len(gone) != 1 || gone[0].ID != "b" {
		t.Errorf("dropped %v, want the one that was not listed again", gone)
	}
	if got := s.Usable("x"); len(got) != 1 || got[0].ID != "a" {
		t.Errorf("usable targets: %v", got)
	}
}

// TestLapsedTargetsAreKeptInNextOutage guards against services that have no targets, because the store is
// away again before live targets have been listed again.
func TestLapsedTargetsAreKeptInNextOutage(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	a, b := cf.Target{ID: "a", Service: "x"}, cf.Target{ID: "b", Service: "x"}
	s.ReplaceTargets([]cf.Target{a, b}, 10, 0)
	s.StoreFailed(1000)
	s.StoreAnswered(20, 5000)
	s.ReplaceTargets(nil, 20, 5000)
	s.StoreFailed(5300)
	if gone := s.DropLapsed(8000); len(gone) != 0 {
		t.Errorf("dropped while the store is away: %v", gone)
	}
	s.StoreAnswered(30, 9000)
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 31, a), 10_000)
	if gone := s.DropLapsed(11_000); len(gone) != 0 {
		t.Errorf("dropped during the grace period: %v", gone)
	}
	if gone := s.DropLapsed(11_300); len(gone) != 1 || gone[0].ID != "b" {
		t.Errorf("dropped %v, want the one that was not listed again", gone)
	}
}

// TestFailedCallsAreNoOutage guards against targets that have left and are kept, because calls to the
// store failed while it served others.
func TestFailedCallsAreNoOutage(t *testing.T) {
	type call struct {
		answered bool
		at       cf.Millis // when it was answered, or since when it had no answer
	}
	const failed, answered = false, true
	for _, c := range []struct {
		name  string
		calls []call
		want  bool
	}{
		{"one call failed", []call{{failed, 10_000}, {answered, 10_200}}, false},
		{"calls fail for seconds, others are answered", []call{
			{failed, 10_000}, {answered, 10_900}, {failed, 11_000}, {answered, 11_900},
			{failed, 12_000}, {answered, 12_900}, {failed, 13_000}, {answered, 13_900},
		}, false},
		{"no call is answered for seconds", []call{{failed, 10_000}, {failed, 11_000}, {failed, 12_000}, {failed, 13_000}, {answered, 13_900}}, true},
		{"the first call after the outage is answered", []call{{failed, 10_000}, {failed, 13_000}, {answered, 13_800}, {answered, 13_900}}, true},
		{"a call that began before another was answered", []call{{answered, 12_800}, {failed, 12_900}, {failed, 10_000}, {answered, 13_000}}, false},
	} {
		s := cfsite.New(cfstandin.Codec{})
		s.ReplaceTargets([]cf.Target{{ID: "a", Service: "x"}}, 10, 0)
		for _, call := range c.calls {
			if call.answered {
				s.StoreAnswered(0, call.at)
			} else {
				s.StoreFailed(call.at)
			}
		}
		removal := cfstandin.Record("a", 20, cf.Target{})
		removal.Deleted = true
		if _, _, err := s.ApplyTarget(removal, 14_000); err != nil {
			t.Fatal(err)
		}
		if kept := len(s.Usable("x")) == 1; kept != c.want {
			t.Errorf("%s: kept %t, want %t", c.name, kept, c.want)
		}
	}
}

// TestUpdateKeepsNoTargetThatItsSenderDropped guards against an instance that uses a target which has
// left, because its own calls to the store failed for a while: it receives updates from an instance
// that the store served.
func TestUpdateKeepsNoTargetThatItsSenderDropped(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	a, b := cf.Target{ID: "a", Service: "x"}, cf.Target{ID: "b", Service: "x"}
	source.ReplaceTargets([]cf.Target{a, b}, 10, 0)
	follower.ReplaceTargets([]cf.Target{a, b}, 10, 0)
	follower.StoreFailed(1000)
	follower.StoreAnswered(0, 9000)
	source.ReplaceTargets([]cf.Target{a}, 20, 9000)
	if same := follower.ApplyTargetUpdate(source.FullTargetUpdate(follower.Checksum())); !same || len(follower.Usable("x")) != 1 {
		t.Errorf("usable targets %v, equal views %t; want those of the sender", follower.Usable("x"), same)
	}
}

// TestWeightVersionsOnlyRise checks that the weight versions that trainers name only rise.
func TestWeightVersionsOnlyRise(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	for i, v := range []cf.WeightVersion{2, 4, 3} {
		_, _ = s.ApplyWeightVersion(cfstandin.Record("m", cf.Revision(i+1), cf.ModelState{Name: "m", Version: v}))
	}
	if v := s.WeightVersion("m"); v != 4 {
		t.Errorf("version %d, want 4", v)
	}
	if v := s.WeightVersion("other"); v != 1 {
		t.Errorf("version %d of a model without a named version, want 1", v)
	}
}

// TestWeightChangesAreNotRelayed checks that a change of weights alone is not sent to the other
// instances: it would wake all of them several times a second for no use.
func TestWeightChangesAreNotRelayed(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	target := cf.Target{ID: "a", Service: "x", Models: []cf.ModelState{{Name: "m", Version: 1}}}
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 1, target), 0)
	before, _ := s.TargetUpdates()
	target.Models = []cf.ModelState{{Name: "m", Version: 2}}
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 2, target), 0)
	if after, _ := s.TargetUpdates(); after != before {
		t.Error("a change of weights is relayed")
	}
	target.Draining = true
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 3, target), 0)
	if after, _ := s.TargetUpdates(); after == before {
		t.Error("a drain is not relayed")
	}
}
