package cfcoord

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfquarantine"
	"currantford/io/cfguard"
	"currantford/testbed/cfstandin"
)

// unreachableTargets fail all runs: before the request is sent, or after it if sent is set.
type unreachableTargets struct {
	countingTargets
	sent bool
	runs atomic.Int64
}

func (d *unreachableTargets) Stream(context.Context, cf.Target, cf.TargetCall, cf.StreamSink) (cf.TargetAnswer, error) {
	d.runs.Add(1)
	if d.sent {
		return cf.TargetAnswer{}, fmt.Errorf("EOF: %w", cf.ErrMaybeRan)
	}
	return cf.TargetAnswer{}, fmt.Errorf("connection refused: %w", cf.ErrNotRun)
}

func (*unreachableTargets) Reach(context.Context, cf.Target) error { return cf.ErrNoProcess }

// startWithGuard starts a coordinator with eight engines and a batch of one item. The returned
// guard decides whether the item is sent to them.
func startWithGuard(t *testing.T, targets cf.Targets, log *zap.Logger) (*cfguard.Guard, cf.Submission) {
	t.Helper()
	store, site := cfstandin.NewMemStore(), engineSite(t)
	var engines []cf.Target
	for n := range 8 {
		engines = append(engines, cf.Target{
			ID: cf.InstanceID(fmt.Sprint("e", n)), Service: "s", Slots: 4, Models: []cf.ModelState{{Name: "m", Version: 1}},
		})
	}
	site.ReplaceTargets(engines, 2, 0)
	guard := cfguard.New(cfguard.Options{
		Self: "i", Targets: targets, Site: site, Share: func([]cfquarantine.Strike) {},
		Metrics: cfguard.NewMetrics(prometheus.NewRegistry()), Log: log,
	})
	t.Cleanup(func() { _ = guard.Close() })
	c := New(Options{
		Store: store, Targets: targets, Site: site, Codec: cfstandin.Codec{}, Lease: heldLease{}, Policy: Policy{NoTextCopies: true},
		Guard: guard, KeepResults: 120_000, Metrics: NewMetrics(prometheus.NewRegistry()), Log: log,
	})
	c.Start(noTexts)
	t.Cleanup(func() { _ = c.Close() })
	sub := cf.Submission{ID: "b", Host: "h", Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1", Path: "/x", Body: []byte("p")}}}
	if err := cfbatch.Create(context.Background(), store, sub, 1<<20); err != nil {
		t.Fatal(err)
	}
	return guard, sub
}

// TestNoItemRunsBeforeQuarantineIsSynced guards against a coordinator that has just started and
// runs items before it knows which of them are quarantined.
func TestNoItemRunsBeforeQuarantineIsSynced(t *testing.T) {
	targets := &unreachableTargets{}
	guard, _ := startWithGuard(t, targets, zap.NewNop())
	time.Sleep(300 * time.Millisecond)
	if n := targets.runs.Load(); n > 0 {
		t.Errorf("%d runs before the quarantine is synced", n)
	}
	guard.Sync("store", nil)
	for deadline := time.Now().Add(20 * time.Second); targets.runs.Load() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("no run after the quarantine is synced")
		}
	}
}

// TestOnlyItemsSentToAnEngineAreQuarantined guards against quarantining items that no engine has
// run, whose step is then never complete. A third of the engines fail; they remain listed for three
// more seconds, in which items are placed there again and again and their connections are refused.
// Such an attempt must not count as the loss of a run.
func TestOnlyItemsSentToAnEngineAreQuarantined(t *testing.T) {
	for _, sent := range []bool{false, true} {
		t.Run(fmt.Sprint("sent ", sent), func(t *testing.T) {
			targets := &unreachableTargets{sent: sent}
			guard, sub := startWithGuard(t, targets, zap.NewNop())
			guard.Sync("store", nil)
			for deadline := time.Now().Add(20 * time.Second); targets.runs.Load() < 3; time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatalf("%d of 3 runs", targets.runs.Load())
				}
			}
			time.Sleep(50 * time.Millisecond) // until the end of the last run is processed
			v := guard.Table.Evaluate(cfquarantine.KeyOfItem(&sub, sub.Items[0]), cf.Uptime())
			if quarantined := v.RetryAt > 0; quarantined != sent {
				t.Errorf("quarantined %v after the loss of three targets, want %v", quarantined, sent)
			}
		})
	}
}

// crashingTargets crash during their first three runs, and then answer.
type crashingTargets struct {
	countingTargets
	runs, done atomic.Int64
}

func (u *crashingTargets) Stream(_ context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	if u.runs.Add(1) <= 3 {
		return cf.TargetAnswer{Alive: true}, fmt.Errorf("EOF: %w", cf.ErrMaybeRan)
	}
	if err := sink.Event(cf.StreamEvent{ID: 1, Data: "x", Version: 1}); err != nil {
		return cf.TargetAnswer{}, err
	}
	u.done.Add(1)
	return cf.TargetAnswer{Status: http.StatusOK, Alive: true}, nil
}

func (u *crashingTargets) Reach(context.Context, cf.Target) error {
	if u.done.Load() > 0 {
		return nil
	}
	return cf.ErrNoProcess
}

// TestItemIsRetriedAfterCrashes guards against an item that is not placed again after three of its
// engines have crashed, and against log lines from which its attempts cannot be followed.
func TestItemIsRetriedAfterCrashes(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	targets := &crashingTargets{}
	guard, sub := startWithGuard(t, targets, zap.New(core))
	guard.Sync("store", nil)
	for deadline := time.Now().Add(20 * time.Second); logs.FilterField(zap.String("outcome", "done")).Len() == 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d runs, none of them complete", targets.runs.Load())
		}
	}
	id := zap.String("request_id", string(sub.Items[0].ID.RequestID()))
	count := map[string]int{}
	lost := map[string]bool{}
	for _, line := range logs.FilterField(id).All() {
		count[line.Message]++
		if line.Message == "request_lost" {
			lost[fmt.Sprint(line.ContextMap()["target"])] = true
		}
	}
	want := map[string]int{"item_placed": 4, "item_run": 4, "request_lost": 3, "request_paused": 1}
	if fmt.Sprint(count) != fmt.Sprint(want) {
		t.Errorf("log lines about the item: %v, want %v", count, want)
	}
	for _, line := range logs.FilterMessage("request_paused").All() {
		strikes, _ := line.ContextMap()["strikes"].([]cfquarantine.Strike)
		for i := range strikes {
			if !lost[string(strikes[i].Target.ID)] {
				t.Errorf("no log line about the loss of %s, which is a strike against the item", strikes[i].Target.ID)
			}
		}
		if len(strikes) != 3 {
			t.Errorf("%d strikes in the pause's log line, want 3", len(strikes))
		}
	}
}
