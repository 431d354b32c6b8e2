package cfcoord

import (
	"context"
	"errors"
	"testing"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
)

// unansweringTargets do not answer orders, and return a fixed report.
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

// TestOrderNotTakenReturnsAtOnce guards against engines that run nothing for 7.5 s in the middle of
// a step. An engine neither answers nor accepts an order: its order counter does not change and it
// loads nothing. The coordinator must not wait for the load until the order counts as lost.
// Repeating the order is safe: the engine's counter accepts only one of the order and its delayed
// copy.
func TestOrderNotTakenReturnsAtOnce(t *testing.T) {
	targets := &unansweringTargets{report: cf.TargetReport{Models: []cf.ModelState{{Name: "m", Version: 1}}, Seq: 4}}
	o := newOrderExecutor(Options{Targets: targets, Site: engineSite(t), Lease: heldLease{}, Log: zap.NewNop()}, func(cf.InstanceID, cf.TargetReport) {})
	err := o.execute(context.Background(), cfrollout.Swap{Target: cf.Target{ID: "e"}, Model: "m", Version: 2}, 1)
	if !errors.Is(err, errNotTaken) {
		t.Errorf("error %v, want %v", err, errNotTaken)
	}
	if targets.reports > 2 {
		t.Errorf("%d reports were requested, want 2 at most: the load was awaited", targets.reports)
	}
}

// reportingTargets refuse orders with a conflict, and return the given reports one after the other.
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

// TestReportsOfEarlierStartAreIgnored checks that a report of an earlier start neither reaches the
// planner nor sets the expected order counter: the counter starts again with the engine.
func TestReportsOfEarlierStartAreIgnored(t *testing.T) {
	targets := &reportingTargets{reports: []cf.TargetReport{
		{Started: 20, Seq: 3}, // before the first order
		{Started: 10, Seq: 9}, // after its conflict; delayed, of the earlier start
		{Started: 20, Seq: 4},
	}}
	var taken []int64
	o := newOrderExecutor(Options{Targets: targets, Site: engineSite(t), Lease: heldLease{}, Log: zap.NewNop()},
		func(_ cf.InstanceID, r cf.TargetReport) { taken = append(taken, r.Seq) })
	swap := cfrollout.Swap{Target: cf.Target{ID: "e", Started: 20}, Model: "m", Version: 2}
	for range 2 {
		if err := o.execute(context.Background(), swap, 1); err == nil {
			t.Error("an order with a conflict succeeded")
		}
	}
	if len(targets.expects) != 2 || targets.expects[0] != 3 || targets.expects[1] != 3 {
		t.Errorf("orders with counters %v, want 3 and 3", targets.expects)
	}
	if len(taken) != 2 || taken[0] != 3 || taken[1] != 4 {
		t.Errorf("reports passed on: %v, want 3 and 4", taken)
	}
}
