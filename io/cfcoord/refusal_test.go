package cfcoord

import (
	"fmt"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
	"currantford/testbed/cfstandin"
)

// TestStepIsRefusedOnlyWithFullKnowledge guards against unjustified refusals: of a step that an
// instance may already be writing, or by a coordinator that does not know what was announced to its
// predecessor.
func TestStepIsRefusedOnlyWithFullKnowledge(t *testing.T) {
	site := engineSite(t)
	config := *site.Config()
	config.Routes[0].ResultsSLO = 100
	if _, err := site.ApplyConfig(cfstandin.Record("main", 2, config)); err != nil {
		t.Fatal(err)
	}
	c := New(Options{Store: cfstandin.NewMemStore(), Targets: &countingTargets{}, Site: site, Codec: cfstandin.Codec{}, Lease: heldLease{}, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop()})
	c.refreshEngines(&config, true)
	long := func(id cf.BatchID) cf.Submission {
		return cf.Submission{ID: id, Host: "h", Path: "/", Model: "m", MinVersion: 1, TargetGroups: 1, Accepted: cf.Now(), Items: []cf.Item{{ID: cf.ItemID(id), LengthHint: 100}}}
	}
	c.planner.AddBatch(cfbatch.New(long("before")), cfrollout.Terms{Service: "s"})
	for _, w := range c.planner.Place(0) {
		for n := range cf.EventID(100) {
			w.Progress.RecordEvent(cf.Millis(40 * n))
			if err := w.Text.Append(cf.StreamEvent{ID: n + 1}); err != nil {
				t.Fatal(err)
			}
		}
		c.planner.Moves(4000)
		c.planner.Finished(w, cfrollout.OutcomeDone, 4000)
	}
	n := 0
	check := func(name string, want bool, prepare func(id cf.BatchID)) {
		t.Helper()
		n++
		id := cf.BatchID(fmt.Sprint("s", n))
		prepare(id)
		if a := c.CheckBatch(long(id), 0); a.Refused != want {
			t.Errorf("%s: refused %v", name, a.Refused)
		}
	}
	nothing := func(cf.BatchID) {}
	c.checksSince = cf.Uptime() - checkGrace
	check("before the takeover is done", false, nothing)
	c.takeover.done = true
	check("an infeasible step", true, nothing)
	check("checked shortly before", false, func(id cf.BatchID) { c.CheckBatch(long(id), 0) })
	check("announced", false, func(id cf.BatchID) { c.PrepareBatch(long(id)) })
	check("known", false, func(id cf.BatchID) { c.batches[id] = &batchState{} })
	check("ended", false, func(id cf.BatchID) { c.history.markClosed(id) })
	c.checksSince = cf.Uptime()
	check("just after the start", false, nothing)
}
