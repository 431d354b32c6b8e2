package cfcoord

import (
	"context"
	"errors"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
)

// silentTargets leave orders unanswered and show a report.
type silentTargets struct {
	cf.Targets
	report  cf.TargetReport
	reports int
}

func (*silentTargets) Order(context.Context, cf.Target, cf.WeightOrder) error {
	return cf.ErrUnavailable
}

func (t *silentTargets) Report(context.Context, cf.Target) (cf.TargetReport, error) {
	t.reports++
	return t.report, nil
}

// Symptom: engines that run nothing for 7.5 s, in the midst of a step.
// Sequence: an engine leaves an order unanswered, and has not taken it: its order
// counter stands and it loads nothing.
// Cause: the coordinator waited for the load, and kept work off the engine, until
// the order counted as lost. A repeat is safe: of an order and its late copy the
// counter lets only one through.
func TestOrderThatWasNotTakenIsNotWaitedFor(t *testing.T) {
	targets := &silentTargets{report: cf.TargetReport{Models: []cf.ModelState{{Name: "m", Version: 1}}, Seq: 4}}
	c := New(Options{
		Targets: targets, Site: engineSite(t), Duty: held{}, Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	defer func() { _ = c.Close() }()
	err := c.swap(cfrollout.Swap{Target: cf.Target{ID: "e"}, Model: "m", Version: 2}, 1)
	if !errors.Is(err, errNotTaken) {
		t.Errorf("error %v, want %v", err, errNotTaken)
	}
	if targets.reports > 2 {
		t.Errorf("%d reports: the load was waited for", targets.reports)
	}
}
