package cfcoord

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/core/cfsite"
)

const (
	// firstLoadPoll is the time from an order to the first check for its result: a load that
	// competes with no other takes 0.9 s.
	firstLoadPoll = 850 * time.Millisecond
	// loadPollInterval is the pause between further checks.
	loadPollInterval = 150 * time.Millisecond
	// loadTimeout is the time after which an order counts as lost. Loads take longer while other
	// engines load, and an engine may carry an order out seconds after receiving it.
	loadTimeout = 6 * time.Second
)

type (
	// orderExecutor sends weight orders to engines and waits for their results, and records the
	// order counters that engines report. It is safe for concurrent use. Its calls end with the
	// contexts that are passed to them.
	orderExecutor struct {
		targets cf.Targets
		lease   Lease
		site    *cfsite.Site
		self    cf.EntryID
		log     *zap.Logger
		// onReport receives the engines' reports, in the order of the engines' starts.
		onReport func(cf.InstanceID, cf.TargetReport)

		// mu is held during calls of onReport.
		mu       sync.Mutex
		counters map[cf.InstanceID]orderCounter
	}

	// orderCounter is the number of orders that an engine has accepted since it started at born.
	orderCounter struct {
		born cf.Millis
		seq  int64
	}
)

// errNotTaken is returned for an order that an engine left unanswered and has not accepted so far,
// according to its report.
var errNotTaken = errors.New("order not taken")

func newOrderExecutor(o Options, onReport func(cf.InstanceID, cf.TargetReport)) *orderExecutor {
	return &orderExecutor{
		targets: o.Targets, lease: o.Lease, site: o.Site, self: o.Self, log: o.Log, onReport: onReport,
		counters: map[cf.InstanceID]orderCounter{},
	}
}

// execute gives an order with term as its fencing token, and returns when the engine has the
// version.
func (o *orderExecutor) execute(ctx context.Context, s cfrollout.Swap, term cf.Revision) error {
	seq, err := o.nextSeq(ctx, s.Target)
	if err != nil {
		return err
	}
	o.log.Info("weights_ordered", zap.String("target", string(s.Target.ID)), zap.String("model", string(s.Model)),
		zap.Int64("version", int64(s.Version)), zap.Int64("term", int64(term)), zap.Int64("expect_seq", seq),
		zap.Bool("keep_runs", s.KeepRuns))
	order := cf.WeightOrder{
		Model: s.Model, Version: s.Version, KeepRuns: s.KeepRuns, Holder: o.self, Fence: term, ExpectSeq: seq,
	}
	// The lease may have expired since the planner's decision.
	if _, ok := o.lease.MayOrder(); !ok {
		return cf.ErrNotLeader
	}
	// A successor counts its handover delay from the last moment at which this order may have
	// arrived, so the order is recorded both before and after the call.
	o.lease.Ordered()
	err = o.targets.Order(ctx, s.Target, order)
	o.lease.Ordered()
	switch {
	case errors.Is(err, cf.ErrConflict):
		// Another coordinator's order or an unanswered one of this coordinator has changed the
		// engine's counter, or the engine is carrying out an order now.
		r, err := o.fetchReport(ctx, s.Target)
		if err != nil {
			return err
		}
		if hasVersion(r, s) && !r.Busy {
			return nil
		}
		return cf.ErrConflict
	case errors.Is(err, cf.ErrUnavailable):
		return o.resolveUnanswered(ctx, s, seq)
	case err != nil:
		return err
	}
	return o.awaitLoad(ctx, s)
}

// resolveUnanswered determines the result of an order that was not answered. If the engine has not
// accepted the order, it may still do so seconds later. Until then it serves its present weights,
// and the order is repeated. Both copies name the same counter value, so the engine accepts only
// one of them.
func (o *orderExecutor) resolveUnanswered(ctx context.Context, s cfrollout.Swap, seq int64) error {
	r, err := o.targets.Report(ctx, s.Target)
	if err == nil && (!r.Busy && r.Seq == seq && !hasVersion(r, s) || hasRestarted(r, s.Target)) {
		o.applyReport(s.Target.ID, r)
		return errNotTaken
	}
	return o.awaitLoad(ctx, s)
}

// nextSeq returns the engine's order counter, which it queries before the first order to the
// engine.
func (o *orderExecutor) nextSeq(ctx context.Context, t cf.Target) (int64, error) {
	o.mu.Lock()
	count, known := o.counters[t.ID]
	o.mu.Unlock()
	if known && count.born >= t.Started {
		return count.seq, nil
	}
	r, err := o.fetchReport(ctx, t)
	return r.Seq, err
}

// fetchReport queries an engine for its report.
func (o *orderExecutor) fetchReport(ctx context.Context, t cf.Target) (cf.TargetReport, error) {
	r, err := o.targets.Report(ctx, t)
	if err != nil {
		return cf.TargetReport{}, err
	}
	o.applyReport(t.ID, r)
	return r, nil
}

// awaitLoad polls an engine until it has the version.
func (o *orderExecutor) awaitLoad(ctx context.Context, s cfrollout.Swap) error {
	deadline := time.Now().Add(loadTimeout)
	if !cf.Sleep(ctx, firstLoadPoll) {
		return ctx.Err()
	}
	for {
		r, err := o.fetchReport(ctx, s.Target)
		if err == nil {
			if hasVersion(r, s) && !r.Busy {
				return nil
			}
			if hasRestarted(r, s.Target) {
				return errNotTaken // it has restarted without the order
			}
		}
		if _, listed := o.site.Target(s.Target.ID); !listed {
			return cf.ErrNotFound
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return context.DeadlineExceeded
		}
		if !cf.Sleep(ctx, loadPollInterval) {
			return ctx.Err()
		}
	}
}

// applyReport records an engine's report and passes it on.
func (o *orderExecutor) applyReport(id cf.InstanceID, r cf.TargetReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Started < o.counters[id].born {
		return // report of an earlier start
	}
	o.counters[id] = orderCounter{r.Started, r.Seq}
	o.onReport(id, r)
}

// hasRestarted reports whether r is from a later start of the engine than t.
func hasRestarted(r cf.TargetReport, t cf.Target) bool { return t.Started > 0 && r.Started > t.Started }

func hasVersion(r cf.TargetReport, s cfrollout.Swap) bool {
	for _, m := range r.Models {
		if m.Name == s.Model {
			return m.Version >= s.Version
		}
	}
	return false
}
