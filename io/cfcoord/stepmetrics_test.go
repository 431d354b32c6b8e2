package cfcoord

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	cf "currantford"
	"currantford/core/cfbatch"
)

// TestServedStepIsMeasuredOnce checks that a trainer's wait and the staleness of its samples are
// logged and measured once, when as many groups as it waits for are complete.
func TestServedStepIsMeasuredOnce(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	reg := prometheus.NewRegistry()
	c := New(Options{Lease: heldLease{}, Metrics: NewMetrics(reg), Log: zap.New(core)})
	c.planner.SetVersion("m", 3)
	c.versionTimes.record("m", 2, cf.Uptime()-9000)
	c.versionTimes.record("m", 3, cf.Uptime()-4000)
	sub := cf.Submission{ID: "b", Model: "m", Accepted: cf.Now() - 2000, TargetGroups: 1}
	for _, id := range []cf.ItemID{"1", "2", "3"} {
		sub.Items = append(sub.Items, cf.Item{ID: id, Group: cf.GroupID("g" + string(id))})
	}
	st := &batchState{batch: cfbatch.New(sub), changed: make(chan struct{})}
	list := func(chunk string, id cf.ItemID, versions ...cf.WeightVersion) {
		st.batch.Apply(chunk, []cf.Result{{ID: id, State: cf.ItemDone, Versions: versions}})
		c.measureListed(st)
	}
	list("000000", "1", 2, 3)
	list("000001", "2", 3)
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := map[string]uint64{}
	for _, f := range families {
		if h := f.Metric[0].GetHistogram(); h != nil {
			counts[f.GetName()] = h.GetSampleCount()
		}
	}
	if counts["currantford_step_wait_seconds"] != 1 || counts["currantford_sample_staleness_versions"] != 2 ||
		counts["currantford_sample_staleness_seconds"] != 2 {
		t.Errorf("counted %v, want 1 wait and 2 samples", counts)
	}
	served := logs.FilterMessage("step_served").All()
	if len(served) != 1 {
		t.Fatalf("%d log lines, want 1", len(served))
	}
	fields := served[0].ContextMap()
	if waited := fields["waited_ms"].(int64); waited < 2000 || fields["stalest_versions"] != int64(1) {
		t.Errorf("logged %v, want a wait of 2000 ms and one version", fields)
	}
	if st.measured != 2 {
		t.Errorf("%d results were measured, want 2", st.measured)
	}
	age, known := c.versionTimes.supersededFor("m", 2, cf.Uptime())
	if !known || age < 4000 || age > 8000 {
		t.Errorf("version 2 superseded for %d ms (known %t), want 4000 to 8000", age, known)
	}
	if _, known := c.versionTimes.supersededFor("m", 3, cf.Uptime()); known {
		t.Error("the newest version counts as superseded")
	}
}
