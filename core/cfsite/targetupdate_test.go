package cfsite_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

// sameTargets reports whether two views have the same targets, without their weights.
func sameTargets(a, b *cfsite.Site) bool {
	x, y := a.Targets(), b.Targets()
	if len(x) != len(y) || a.Checksum() != b.Checksum() {
		return false
	}
	for i := range x {
		if x[i].ID != y[i].ID || x[i].Draining != y[i].Draining || x[i].Addr != y[i].Addr {
			return false
		}
	}
	return true
}

// TestTargetUpdatesKeepViewsEqual checks that an instance that receives only changes, at any times,
// has the same view as the one that watches the store while targets come, drain, change their
// address and go.
func TestTargetUpdatesKeepViewsEqual(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 1))
		source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
		count, known := int64(0), false
		applyUpdate := func() {
			update := source.FullTargetUpdate(follower.Checksum())
			if known {
				update = source.TargetUpdateSince(count)
			}
			if !follower.ApplyTargetUpdate(update) {
				t.Fatalf("seed %d: the views differ after update %+v", seed, update)
			}
			count, known = update.Count, random.IntN(20) > 0 // sometimes the follower loses its count and asks for the full view
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
				applyUpdate()
				if !sameTargets(source, follower) {
					t.Fatalf("seed %d, revision %d: the views differ", seed, rev)
				}
			}
		}
	}
}

// TestUpdateBeyondChangeLogIsFull guards against an instance that keeps targets which are gone
// after it was cut off for long: more targets leave than the change log records.
func TestUpdateBeyondChangeLogIsFull(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	var list []cf.Target
	for i := range 6000 {
		list = append(list, cf.Target{ID: cf.InstanceID(fmt.Sprint(i)), Service: "s"})
	}
	source.ReplaceTargets(list, 1, 0)
	first := source.FullTargetUpdate(follower.Checksum())
	if !first.Full || !follower.ApplyTargetUpdate(first) {
		t.Fatal("the first update is not the full view")
	}
	for i := range 5000 {
		r := cfstandin.Record(fmt.Sprint(i), cf.Revision(i+2), nil)
		r.Deleted = true
		if _, _, err := source.ApplyTarget(r, 0); err != nil {
			t.Fatal(err)
		}
	}
	if update := source.TargetUpdateSince(first.Count); !update.Full || !follower.ApplyTargetUpdate(update) || !sameTargets(source, follower) {
		t.Errorf("full %t, %d targets left at the follower", update.Full, len(follower.Targets()))
	}
}

// TestEqualViewsNeedNoTargetList checks that an instance that has the same targets from its own
// watch receives no list from a coordinator that it contacts for the first time, and that an
// instance whose targets differ receives all of them.
func TestEqualViewsNeedNoTargetList(t *testing.T) {
	source, follower := cfsite.New(cfstandin.Codec{}), cfsite.New(cfstandin.Codec{})
	list := []cf.Target{{ID: "a", Service: "s", Slots: 4}, {ID: "b", Service: "s", Slots: 4}}
	source.ReplaceTargets(list, 5, 0)
	follower.ReplaceTargets(list, 4, 0)
	if update := source.FullTargetUpdate(follower.Checksum()); update.Full || len(update.Targets) > 0 || !follower.ApplyTargetUpdate(update) {
		t.Errorf("equal views: update %+v", update)
	}
	follower.ReplaceTargets(list[:1], 6, 0)
	source.Advance(7)
	if update := source.FullTargetUpdate(follower.Checksum()); !update.Full || !follower.ApplyTargetUpdate(update) || !sameTargets(source, follower) {
		t.Errorf("differing views: update %+v", update)
	}
}

// TestHeartbeatIsNotAChange guards against a coordinator that spends processor time on instances
// without changes: 3,000 targets write their entries every second, unchanged.
func TestHeartbeatIsNotAChange(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	target := cf.Target{ID: "a", Service: "s", Models: []cf.ModelState{{Name: "m", Version: 1}}}
	_, _, _ = s.ApplyTarget(cfstandin.Record("a", 1, target), 0)
	before := s.Changes()
	if _, changed, _ := s.ApplyTarget(cfstandin.Record("a", 2, target), 0); changed || s.Changes() != before {
		t.Error("a heartbeat counts as a change")
	}
}

// forwardingCodec decodes configurations that have one batch route to "engines", and routes for
// single requests to the services named in the record.
type forwardingCodec struct{ cfstandin.Codec }

func (forwardingCodec) Config(r cf.Record) (cfsite.Config, error) {
	c := cfsite.Config{Version: cfsite.ConfigVersion(r.Rev), Routes: []cfsite.Route{{Kind: cfsite.KindBatch, Split: []cfsite.Share{{Service: "engines"}}}}}
	for _, s := range strings.Fields(string(r.Spec)) {
		c.Routes = append(c.Routes, cfsite.Route{Kind: cfsite.KindIdempotent, Split: []cfsite.Share{{Service: cf.ServiceName(s)}}})
	}
	return c, nil
}

// TestUpdatesCoverForwardedServicesOnly checks that an instance receives only the targets to which
// it forwards requests: with 10,000 engines in the view, it receives none of them and no change of
// one.
func TestUpdatesCoverForwardedServicesOnly(t *testing.T) {
	source, follower := cfsite.New(forwardingCodec{}), cfsite.New(forwardingCodec{})
	list := []cf.Target{{ID: "log-1", Service: "log"}, {ID: "log-2", Service: "log"}, {ID: "mail-1", Service: "mail"}}
	for i := range 10_000 {
		list = append(list, cf.Target{ID: cf.InstanceID(fmt.Sprintf("e%05d", i)), Service: "engines"})
	}
	configure := func(rev cf.Revision, services string) {
		for _, s := range []*cfsite.Site{source, follower} {
			if _, err := s.ApplyConfig(cf.Record{Name: "main", Rev: rev, Spec: []byte(services)}); err != nil {
				t.Fatal(err)
			}
		}
	}
	configure(1, "log")
	source.ReplaceTargets(list, 5, 0)
	update := source.FullTargetUpdate(follower.Checksum())
	if !follower.ApplyTargetUpdate(update) || len(follower.Targets()) != 2 {
		t.Fatalf("the follower has %d targets, want 2", len(follower.Targets()))
	}
	count := update.Count
	change := func(rev cf.Revision, target cf.Target) {
		if _, _, err := source.ApplyTarget(cfstandin.Record(string(target.ID), rev, target), 0); err != nil {
			t.Fatal(err)
		}
	}
	change(6, cf.Target{ID: "e00007", Service: "engines", Draining: true})
	if current, _ := source.TargetUpdates(); current != count {
		t.Error("the change of an engine is counted as an update")
	}
	change(7, cf.Target{ID: "log-1", Service: "log", Draining: true})
	update = source.TargetUpdateSince(count)
	if !follower.ApplyTargetUpdate(update) || len(update.Targets) != 1 || len(follower.Usable("log")) != 1 {
		t.Errorf("update %+v", update)
	}
	// The targets of a service that a new route leads to are sent with the configuration.
	configure(8, "log mail")
	update = source.TargetUpdateSince(update.Count)
	if !follower.ApplyTargetUpdate(update) || update.Full || len(follower.Usable("mail")) != 1 {
		t.Errorf("update %+v after a route to another service", update)
	}
	configure(9, "")
	update = source.TargetUpdateSince(update.Count)
	if !follower.ApplyTargetUpdate(update) || update.Full {
		t.Errorf("update %+v without any route for single requests", update)
	}
	// The id of an engine is reused by a forwarded service, and then by the engines again.
	configure(10, "log")
	for i, service := range []cf.ServiceName{"log", "engines"} {
		change(cf.Revision(11+i), cf.Target{ID: "e00009", Service: service})
		update = source.TargetUpdateSince(update.Count)
		if !follower.ApplyTargetUpdate(update) || update.Full {
			t.Errorf("update %+v of a target that now belongs to %s", update, service)
		}
	}
	if n := len(follower.Usable("log")); n != 1 {
		t.Errorf("%d usable targets", n)
	}
}

// TestTargetsSinceReturnsChanges checks that the cost of a change does not depend on the number of
// targets: readers receive only what has changed.
func TestTargetsSinceReturnsChanges(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	var list []cf.Target
	for i := range 10_000 {
		list = append(list, cf.Target{ID: cf.InstanceID(fmt.Sprintf("e%05d", i)), Service: "engines"})
	}
	s.ReplaceTargets(list, 5, 0)
	first := s.TargetsSince(0)
	if !first.Full || len(first.Targets) != len(list) {
		t.Fatalf("%d targets at first", len(first.Targets))
	}
	_, _, _ = s.ApplyTarget(cfstandin.Record("e00003", 6, cf.Target{ID: "e00003", Service: "engines", Models: []cf.ModelState{{Name: "m", Version: 2}}}), 0)
	gone := cfstandin.Record("e00004", 7, nil)
	gone.Deleted = true
	_, _, _ = s.ApplyTarget(gone, 0)
	if d := s.TargetsSince(first.Count); d.Full || len(d.Targets) != 1 || d.Targets[0].Models[0].Version != 2 || len(d.Removed) != 1 {
		t.Errorf("changes %+v", d)
	}
	list = list[:4]
	s.ReplaceTargets(list, 8, 0)
	if d := s.TargetsSince(first.Count); !d.Full || len(d.Targets) != 4 {
		t.Errorf("after more changes than the log records: full %t, %d targets", d.Full, len(d.Targets))
	}
}

// TestUnrelayedTargetsAreDropped guards against targets that nothing keeps current after an
// instance has stopped watching the store.
func TestUnrelayedTargetsAreDropped(t *testing.T) {
	s := cfsite.New(cfstandin.Codec{})
	config := cfsite.Config{Version: 1, Routes: []cfsite.Route{
		{Host: "h", Prefix: "/log/", Kind: cfsite.KindIdempotent, Split: []cfsite.Share{{Service: "log", Weight: 1}}},
		{Host: "h", Prefix: "/step/", Kind: cfsite.KindBatch, Split: []cfsite.Share{{Service: "engines", Weight: 1}}},
	}}
	if _, err := s.ApplyConfig(cfstandin.Record("main", 1, config)); err != nil {
		t.Fatal(err)
	}
	s.ReplaceTargets([]cf.Target{{ID: "l", Service: "log"}, {ID: "e1", Service: "engines"}, {ID: "e2", Service: "engines"}}, 5, 0)
	sum := s.Checksum()
	if n := s.DropUnrelayed(); n != 2 || len(s.Targets()) != 1 || s.Checksum() != sum {
		t.Errorf("%d dropped, %d left, sum %x, before %x", n, len(s.Targets()), s.Checksum(), sum)
	}
	s.ReplaceTargets([]cf.Target{{ID: "l", Service: "log"}, {ID: "e1", Service: "engines"}}, 5, 0)
	if len(s.Targets()) != 2 {
		t.Errorf("%d targets after they were listed again", len(s.Targets()))
	}
}
