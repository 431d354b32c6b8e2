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
	// firstLoadPoll is when a load is first looked for: an undisturbed load
	// takes 0.9 s.
	firstLoadPoll = 850 * time.Millisecond
	// loadPollInterval is the pause between looks after that.
	loadPollInterval = 150 * time.Millisecond
	// loadTimeout is when an order counts as lost. A load beside others takes
	// longer, and an order may be carried out seconds late.
	loadTimeout = 6 * time.Second
)

type (
	// orderExecutor carries weight orders out, and keeps what engines said of their order
	// counters. It is safe for concurrent use; what it starts ends with the contexts
	// that it is given.
	orderExecutor struct {
		targets cf.Targets
		lease   Lease
		site    *cfsite.Site
		self    cf.EntryID
		log     *zap.Logger
		// onReport takes engines' accounts of themselves, in the order of their
		// starts.
		onReport func(cf.InstanceID, cf.TargetReport)

		// mu is held while reported is called.
		mu       sync.Mutex
		counters map[cf.InstanceID]orderCounter
	}

	// orderCounter is an engine's count of the orders that it has taken since its
	// start.
	orderCounter struct {
		born cf.Millis
		seq  int64
	}
)

// errNotTaken: an engine left an order unanswered and shows that it has not taken
// it, or not yet.
var errNotTaken = errors.New("order not taken")

func newOrderExecutor(o Options, reported func(cf.InstanceID, cf.TargetReport)) *orderExecutor {
	return &orderExecutor{
		targets: o.Targets, lease: o.Lease, site: o.Site, self: o.Self, log: o.Log, onReport: reported,
		counters: map[cf.InstanceID]orderCounter{},
	}
}

// execute gives an order under a term, and returns when the engine holds the version.
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
	// The lease may have lapsed since the planner decided.
	if _, ok := o.lease.MayOrder(); !ok {
		return cf.ErrNotLeader
	}
	// A successor waits from the last moment at which it may have arrived.
	o.lease.Ordered()
	err = o.targets.Order(ctx, s.Target, order)
	o.lease.Ordered()
	switch {
	case errors.Is(err, cf.ErrConflict):
		// Another coordinator's orders, or one of ours without an answer,
		// have moved the engine's counter, or it carries one out now.
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

// resolveUnanswered follows an order that had no answer. One that the engine has not
// taken may still be carried out, seconds later; until then the engine serves
// what it holds, and the order is given again. The counter that both name lets
// only one of them through.
func (o *orderExecutor) resolveUnanswered(ctx context.Context, s cfrollout.Swap, seq int64) error {
	r, err := o.targets.Report(ctx, s.Target)
	if err == nil && (!r.Busy && r.Seq == seq && !hasVersion(r, s) || hasRestarted(r, s.Target)) {
		o.applyReport(s.Target.ID, r)
		return errNotTaken
	}
	return o.awaitLoad(ctx, s)
}

// nextSeq reads an engine's order counter before the first order to it.
func (o *orderExecutor) nextSeq(ctx context.Context, t cf.Target) (int64, error) {
	o.mu.Lock()
	count, known := o.counters[t.ID]
	o.mu.Unlock()
	if known && count.born >= t.Born {
		return count.seq, nil
	}
	r, err := o.fetchReport(ctx, t)
	return r.Seq, err
}

// fetchReport asks an engine for its account of itself.
func (o *orderExecutor) fetchReport(ctx context.Context, t cf.Target) (cf.TargetReport, error) {
	r, err := o.targets.Report(ctx, t)
	if err != nil {
		return cf.TargetReport{}, err
	}
	o.applyReport(t.ID, r)
	return r, nil
}

// awaitLoad asks an engine for its weights until it holds the version.
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
				return errNotTaken // it has started again, without the order
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

// applyReport takes an engine's account of itself.
func (o *orderExecutor) applyReport(id cf.InstanceID, r cf.TargetReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Born < o.counters[id].born {
		return // of the start before
	}
	o.counters[id] = orderCounter{r.Born, r.Seq}
	o.onReport(id, r)
}

// hasRestarted says whether a report is of a later start than an order was meant
// for.
func hasRestarted(r cf.TargetReport, t cf.Target) bool { return t.Born > 0 && r.Born > t.Born }

func hasVersion(r cf.TargetReport, s cfrollout.Swap) bool {
	for _, m := range r.Models {
		if m.Name == s.Model {
			return m.Version >= s.Version
		}
	}
	return false
}
