package cfcoord

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
)

// unansweringTargets leave orders unanswered and show a report.
type unansweringTargets struct {
	cf.Targets
	report  cf.TargetReport
	reports int
}

func (*unansweringTargets) Order(context.Context, cf.Target, cf.WeightOrder) error {
	return cf.ErrUnavailable
}

func (t *unansweringTargets) Report(context.Context, cf.Target) (cf.TargetReport, error) {
	t.reports++
	return t.report, nil
}

// Symptom: engines that run nothing for 7.5 s, in the midst of a step.
// Sequence: an engine leaves an order unanswered, and has not taken it: its order
// counter stands and it loads nothing.
// Cause: the coordinator waited for the load, and kept work off the engine, until
// the order counted as lost. A repeat is safe: of an order and its late copy the
// counter lets only one through.
func TestOrderNotTakenReturnsAtOnce(t *testing.T) {
	targets := &unansweringTargets{report: cf.TargetReport{Models: []cf.ModelState{{Name: "m", Version: 1}}, Seq: 4}}
	o := newOrderExecutor(Options{Targets: targets, Site: engineSite(t), Lease: heldLease{}, Log: zap.NewNop()}, func(cf.InstanceID, cf.TargetReport) {})
	err := o.execute(context.Background(), cfrollout.Swap{Target: cf.Target{ID: "e"}, Model: "m", Version: 2}, 1)
	if !errors.Is(err, errNotTaken) {
		t.Errorf("error %v, want %v", err, errNotTaken)
	}
	if targets.reports > 2 {
		t.Errorf("%d reports: the load was waited for", targets.reports)
	}
}

// reportingTargets answer orders, and show the reports in turn.
type reportingTargets struct {
	cf.Targets
	reports []cf.TargetReport
	expects []int64
}

func (t *reportingTargets) Report(context.Context, cf.Target) (cf.TargetReport, error) {
	r := t.reports[0]
	t.reports = t.reports[1:]
	return r, nil
}

func (t *reportingTargets) Order(_ context.Context, _ cf.Target, o cf.WeightOrder) error {
	t.expects = append(t.expects, o.ExpectSeq)
	return cf.ErrConflict
}

// A report of the start before must neither reach the planner nor count orders: the
// engine's counter began anew.
func TestReportsOfEarlierStartAreIgnored(t *testing.T) {
	targets := &reportingTargets{reports: []cf.TargetReport{
		{Born: 20, Seq: 3}, // before the first order
		{Born: 10, Seq: 9}, // after its conflict: late, of the start before
		{Born: 20, Seq: 4},
	}}
	var taken []int64
	o := newOrderExecutor(Options{Targets: targets, Site: engineSite(t), Lease: heldLease{}, Log: zap.NewNop()},
		func(_ cf.InstanceID, r cf.TargetReport) { taken = append(taken, r.Seq) })
	swap := cfrollout.Swap{Target: cf.Target{ID: "e", Born: 20}, Model: "m", Version: 2}
	for range 2 {
		if err := o.execute(context.Background(), swap, 1); err == nil {
			t.Error("an order in conflict succeeded")
		}
	}
	if len(targets.expects) != 2 || targets.expects[0] != 3 || targets.expects[1] != 3 {
		t.Errorf("orders expected counts %v, want 3 and 3", targets.expects)
	}
	if len(taken) != 2 || taken[0] != 3 || taken[1] != 4 {
		t.Errorf("reports taken %v, want 3 and 4", taken)
	}
}
