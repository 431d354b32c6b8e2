package cfcoord

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/testbed/cfstandin"
)

type (
	// delayedWatch is a store whose watches of batches do not return while silent is set.
	delayedWatch struct {
		*cfstandin.MemStore
		silent *atomic.Bool
	}

	// noRewardTargets generate texts of one event and refuse reward calls.
	noRewardTargets struct {
		countingTargets
	}
)

func (s delayedWatch) Watch(ctx context.Context, kind string, since cf.Revision, wait cf.Millis) (cf.Records, error) {
	cf.Sleep(ctx, 5*time.Millisecond)
	out, err := s.MemStore.Watch(ctx, kind, since, wait)
	for kind == cf.KindBatch && s.silent.Load() {
		if !cf.Sleep(ctx, 5*time.Millisecond) {
			return cf.Records{}, cf.ErrUnavailable
		}
	}
	return out, err
}

func (t *noRewardTargets) Stream(_ context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	t.runs.Add(1)
	return cf.TargetAnswer{Status: 200}, sink.Event(cf.StreamEvent{ID: 1, Data: "x", Version: 1})
}

func (t *noRewardTargets) Send(context.Context, cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
	return cf.TargetAnswer{Status: 503, NotRun: true}, nil
}

// TestStepOpenedBeforePreviousEndIsKnown guards against generating items twice because a step is
// opened before the coordinator learns of the previous step's end, which is already in the store.
func TestStepOpenedBeforePreviousEndIsKnown(t *testing.T) {
	ctx := context.Background()
	store := delayedWatch{cfstandin.NewMemStore(), &atomic.Bool{}}
	targets := &noRewardTargets{}
	c := startCoordinator(t, store, targets)
	eventually := func(what string, f func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			c.mu.Lock()
			ok := f()
			c.mu.Unlock()
			if ok {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for: %s", what)
			}
		}
	}
	accept := func(id cf.BatchID) {
		sub := cf.Submission{ID: id, Host: "h", Path: "/", Model: "m", MinVersion: 1, Accepted: cf.Now(), Items: []cf.Item{
			{ID: "1", Reward: &cf.RewardCall{ID: "r1", Host: "h", Path: "/"}}, {ID: "2", Reward: &cf.RewardCall{ID: "r2", Host: "h", Path: "/"}},
		}}
		c.PrepareBatch(sub)
		if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
			t.Fatal(err)
		}
		c.BatchAccepted(sub.ID, sub.Accepted)
	}
	eventually("end of the takeover", func() bool { return c.takeover.done })
	accept("a")
	eventually("complete texts", func() bool { return len(c.unlisted) == 2 })
	store.silent.Store(true)
	if err := store.SetStatus(ctx, cf.KindBatch, "a", cf.BatchStatus{Ended: true}); err != nil {
		t.Fatal(err)
	}
	accept("b")
	eventually("next step", func() bool { return c.batches["b"] != nil && c.batches["b"].planned })
	eventually("texts of the next step", func() bool { return len(c.unlisted) == 2 && !c.planner.HasWork() })
	if n := targets.runs.Load(); n != 2 {
		t.Errorf("%d runs of 2 items, want 2", n)
	}
}
