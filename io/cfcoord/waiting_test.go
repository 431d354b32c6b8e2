package cfcoord

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
	"currantford/testbed/cfstandin"
)

// TestWaitingReportDoesNotRaceWithEvents guards against a data race between the report on waiting
// items and the run that appends to an item's text. The test needs the race detector.
func TestWaitingReportDoesNotRaceWithEvents(t *testing.T) {
	site := engineSite(t)
	c := New(Options{
		Store: cfstandin.NewMemStore(), Targets: &unreachableTargets{}, Site: site, Codec: cfstandin.Codec{}, Lease: heldLease{},
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshEngines(site.Config(), true)
	sub := cf.Submission{ID: "b", Host: "h", Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1", Path: "/x", Body: []byte("p")}}}
	c.planner.AddBatch(cfbatch.New(sub), cfrollout.Terms{Service: "s", MaxAttempts: 3})
	works := c.planner.Place(1000)
	if len(works) != 1 {
		t.Fatalf("%d items placed, want 1", len(works))
	}
	w, done := works[0], make(chan struct{})
	go func() {
		defer close(done)
		w.Mu.Lock()
		defer w.Mu.Unlock()
		_ = w.Text.Append(cf.StreamEvent{ID: 1, Version: 1})
	}()
	c.reportWaiting(60_000)
	<-done
}
