package cfcoord

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

type (
	// slowStore blocks lists of results until release is closed, and answers watches late.
	slowStore struct {
		*cfstandin.MemStore
		reading chan struct{} // receives a value for each list of results
		release chan struct{}
	}

	// countingTargets count the runs that reach them, and never answer.
	countingTargets struct {
		cf.Targets
		runs atomic.Int64
	}
)

func (s slowStore) List(ctx context.Context, kind string) (cf.Records, error) {
	out, err := s.MemStore.List(ctx, kind)
	if strings.Contains(kind, "results") {
		select {
		case s.reading <- struct{}{}:
		default:
		}
		<-s.release
	}
	return out, err
}

func (s slowStore) Watch(ctx context.Context, kind string, since cf.Revision, wait cf.Millis) (cf.Records, error) {
	cf.Sleep(ctx, 50*time.Millisecond)
	return s.MemStore.Watch(ctx, kind, since, wait)
}

func (t *countingTargets) Stream(ctx context.Context, _ cf.Target, _ cf.TargetCall, _ cf.StreamSink) (cf.TargetAnswer, error) {
	t.runs.Add(1)
	<-ctx.Done()
	return cf.TargetAnswer{}, ctx.Err()
}

func (*countingTargets) Report(context.Context, cf.Target) (cf.TargetReport, error) {
	return cf.TargetReport{}, cf.ErrUnavailable
}

// startCoordinator starts a coordinator on a store, with one engine.
func startCoordinator(t *testing.T, store cf.Store, targets cf.Targets) *Coordinator {
	t.Helper()
	return startSuccessor(t, store, targets, false)
}

// startSuccessor is like startCoordinator. With succeeds, another instance may have been the
// coordinator before.
func startSuccessor(t *testing.T, store cf.Store, targets cf.Targets, succeeds bool) *Coordinator {
	t.Helper()
	c := New(Options{
		HasPredecessor: succeeds,
		Store:          store, Targets: targets, Site: engineSite(t), Codec: cfstandin.Codec{}, Lease: heldLease{}, Policy: Policy{NoTextCopies: true},
		KeepResults: 120_000, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	c.Start(noTexts)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func noTexts(context.Context) map[cf.ItemID]cfrollout.Text { return nil }

// engineSite returns a site with one engine and a route for batches.
func engineSite(t *testing.T) *cfsite.Site {
	t.Helper()
	site := cfsite.New(cfstandin.Codec{})
	config := cfsite.Config{
		Version:  1,
		Routes:   []cfsite.Route{{Host: "h", Prefix: "/", Kind: cfsite.KindBatch, Split: []cfsite.Share{{Service: "s", Weight: 1}}}},
		Services: []cfsite.Service{{Name: "s", Models: []cf.ModelName{"m"}}},
	}
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, config)); err != nil {
		t.Fatal(err)
	}
	site.ReplaceTargets([]cf.Target{{ID: "e", Service: "s", Slots: 4, Models: []cf.ModelState{{Name: "m", Version: 1}}}}, 1, 0)
	return site
}

// TestBatchEndedDuringTakeoverIsNotRun guards against running items of a batch up to 3.6 s after
// its end was acknowledged. All machines lose power; the new coordinator lists the batches and
// reads their results for seconds, and in the meantime a trainer ends one of them. No listed batch
// may run before the changes since the list have been processed.
func TestBatchEndedDuringTakeoverIsNotRun(t *testing.T) {
	ctx := context.Background()
	store := slowStore{cfstandin.NewMemStore(), make(chan struct{}, 1), make(chan struct{})}
	sub := cf.Submission{ID: "b", Host: "h", Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1"}, {ID: "2"}}}
	if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
		t.Fatal(err)
	}
	targets := &countingTargets{}
	startCoordinator(t, store, targets)
	<-store.reading
	if err := store.SetStatus(ctx, cf.KindBatch, "b", cf.BatchStatus{Ended: true}); err != nil {
		t.Fatal(err)
	}
	close(store.release)
	time.Sleep(300 * time.Millisecond)
	if n := targets.runs.Load(); n > 0 {
		t.Errorf("%d items of an ended batch were run", n)
	}
	open := sub
	open.ID, open.Items = "c", []cf.Item{{ID: "3"}}
	if err := cfbatch.Create(ctx, store, open, 1<<20); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(20 * time.Second); targets.runs.Load() != 1; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d runs of the batch that was accepted later, want 1", targets.runs.Load())
		}
	}
}

// TestLateAcceptanceDoesNotStartBatch guards against starting a batch on a notification alone. An
// instance accepts a batch, and the notification arrives before the batch, which is run and ended.
// Then both arrive once more, at once or seconds later, and the items must not run again.
func TestLateAcceptanceDoesNotStartBatch(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	targets := &countingTargets{}
	c := startCoordinator(t, store, targets)
	sub := cf.Submission{ID: "b", Host: "h", Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1"}}, Accepted: cf.Now()}
	eventually := func(what string, f func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for: %s", what)
			}
		}
	}
	locked := func(f func() bool) func() bool {
		return func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return f()
		}
	}
	eventually("end of the takeover", locked(func() bool { return c.takeover.done }))
	c.BatchAccepted(sub.ID, sub.Accepted)
	time.Sleep(50 * time.Millisecond)
	if n := targets.runs.Load(); n != 0 {
		t.Fatalf("%d runs of a batch that has not arrived", n)
	}
	c.PrepareBatch(sub)
	eventually("run of a batch that an instance has accepted", func() bool { return targets.runs.Load() == 1 })
	if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
		t.Fatal(err)
	}
	if err := store.SetStatus(ctx, cf.KindBatch, "b", cf.BatchStatus{Ended: true}); err != nil {
		t.Fatal(err)
	}
	eventually("end of the batch", locked(func() bool { return c.batches["b"] == nil || c.batches["b"].batch.Ended }))
	c.mu.Lock()
	delete(c.batches, "b") // as after its removal from memory
	c.mu.Unlock()
	c.PrepareBatch(sub)
	c.BatchAccepted(sub.ID, sub.Accepted)
	late := sub
	late.Accepted -= 5000
	c.mu.Lock()
	clear(c.history.closed)
	c.mu.Unlock()
	c.PrepareBatch(late)
	c.BatchAccepted(late.ID, late.Accepted)
	time.Sleep(200 * time.Millisecond)
	if n := targets.runs.Load(); n != 1 {
		t.Errorf("%d runs, want only the one before the end", n)
	}
}

// TestTakeoverWaitsForEverything checks, for every order in which the predecessor's state may
// arrive, that no item runs before all of it has arrived. The stored texts must be read exactly
// once if there may be any and no instance had texts, and otherwise not at all.
func TestTakeoverWaitsForEverything(t *testing.T) {
	type event int
	const (
		caughtUp event = iota
		texts
		read // of the last inherited batch
		storedRead
		events
	)
	var permute func(done []event, lost, stored bool)
	permutations := 0
	permute = func(order []event, lost, stored bool) {
		if len(order) < int(events) {
		next:
			for e := range events {
				for _, before := range order {
					if before == e {
						continue next
					}
				}
				permute(append(order[:len(order):len(order)], e), lost, stored)
			}
			return
		}
		permutations++
		var state takeover
		seen := map[event]bool{}
		reads, finished := 0, false
		for _, e := range order {
			seen[e] = true
			switch e {
			case caughtUp:
				state.caughtUp = true
			case texts:
				n := 1
				if lost {
					n = 0
				}
				state.textsGathered(n)
			}
			if seen[storedRead] && reads > 0 && !finished {
				state.storedTextsRead()
				finished = true
			}
			switch state.next(!seen[read], stored) {
			case takeoverReadStored:
				reads++
			case takeoverDone:
				if !seen[caughtUp] || !seen[texts] || !seen[read] || lost && stored && !finished {
					t.Fatalf("order %v, lost %v, stored %v: done after %v", order, lost, stored, seen)
				}
			}
		}
		if reads > 0 && !finished {
			state.storedTextsRead()
		}
		if state.next(false, stored) != takeoverDone {
			t.Fatalf("order %v, lost %v, stored %v: never done", order, lost, stored)
		}
		if want := lost && stored; (reads == 1) != want || reads > 1 {
			t.Fatalf("order %v, lost %v, stored %v: the stored texts were read %d times", order, lost, stored, reads)
		}
	}
	for _, lost := range []bool{false, true} {
		for _, stored := range []bool{false, true} {
			permute(nil, lost, stored)
		}
	}
	if permutations != 4*24 {
		t.Errorf("%d orders checked, want 4*24", permutations)
	}
}
