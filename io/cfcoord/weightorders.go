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
	// loadFirst is when a load is first looked for: an undisturbed load
	// takes 0.9 s.
	loadFirst = 850 * time.Millisecond
	// loadPoll is the pause between looks after that.
	loadPoll = 150 * time.Millisecond
	// loadMost is when an order counts as lost. A load beside others takes
	// longer, and an order may be carried out seconds late.
	loadMost = 6 * time.Second
)

type (
	// orders carries weight orders out, and keeps what engines said of their order
	// counters. It is safe for concurrent use; what it starts ends with the contexts
	// that it is given.
	orders struct {
		targets cf.Targets
		duty    Lease
		site    *cfsite.Site
		self    cf.EntryID
		log     *zap.Logger
		// reported takes engines' accounts of themselves, in the order of their
		// starts.
		reported func(cf.InstanceID, cf.TargetReport)

		// mu is held while reported is called.
		mu     sync.Mutex
		counts map[cf.InstanceID]orderCount
	}

	// orderCount is an engine's count of the orders that it has taken since its
	// start.
	orderCount struct {
		born cf.Millis
		seq  int64
	}
)

// errNotTaken: an engine left an order unanswered and shows that it has not taken
// it, or not yet.
var errNotTaken = errors.New("order not taken")

func newOrders(o Options, reported func(cf.InstanceID, cf.TargetReport)) *orders {
	return &orders{
		targets: o.Targets, duty: o.Lease, site: o.Site, self: o.Self, log: o.Log, reported: reported,
		counts: map[cf.InstanceID]orderCount{},
	}
}

// carryOut gives an order under a term, and returns when the engine holds the version.
func (o *orders) carryOut(ctx context.Context, s cfrollout.Swap, term cf.Revision) error {
	seq, err := o.count(ctx, s.Target)
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
	if _, ok := o.duty.MayOrder(); !ok {
		return cf.ErrNotLeader
	}
	// A successor waits from the last moment at which it may have arrived.
	o.duty.Ordered()
	err = o.targets.Order(ctx, s.Target, order)
	o.duty.Ordered()
	switch {
	case errors.Is(err, cf.ErrConflict):
		// Another coordinator's orders, or one of ours without an answer,
		// have moved the engine's counter, or it carries one out now.
		r, err := o.ask(ctx, s.Target)
		if err != nil {
			return err
		}
		if holds(r, s) && !r.Busy {
			return nil
		}
		return cf.ErrConflict
	case errors.Is(err, cf.ErrUnavailable):
		return o.unanswered(ctx, s, seq)
	case err != nil:
		return err
	}
	return o.await(ctx, s)
}

// unanswered follows an order that had no answer. One that the engine has not
// taken may still be carried out, seconds later; until then the engine serves
// what it holds, and the order is given again. The counter that both name lets
// only one of them through.
func (o *orders) unanswered(ctx context.Context, s cfrollout.Swap, seq int64) error {
	r, err := o.targets.Report(ctx, s.Target)
	if err == nil && (!r.Busy && r.Seq == seq && !holds(r, s) || startedAgain(r, s.Target)) {
		o.take(s.Target.ID, r)
		return errNotTaken
	}
	return o.await(ctx, s)
}

// count reads an engine's order counter before the first order to it.
func (o *orders) count(ctx context.Context, t cf.Target) (int64, error) {
	o.mu.Lock()
	count, known := o.counts[t.ID]
	o.mu.Unlock()
	if known && count.born >= t.Started {
		return count.seq, nil
	}
	r, err := o.ask(ctx, t)
	return r.Seq, err
}

// ask asks an engine for its account of itself.
func (o *orders) ask(ctx context.Context, t cf.Target) (cf.TargetReport, error) {
	r, err := o.targets.Report(ctx, t)
	if err != nil {
		return cf.TargetReport{}, err
	}
	o.take(t.ID, r)
	return r, nil
}

// await asks an engine for its weights until it holds the version.
func (o *orders) await(ctx context.Context, s cfrollout.Swap) error {
	deadline := time.Now().Add(loadMost)
	if !cf.Sleep(ctx, loadFirst) {
		return ctx.Err()
	}
	for {
		r, err := o.ask(ctx, s.Target)
		if err == nil {
			if holds(r, s) && !r.Busy {
				return nil
			}
			if startedAgain(r, s.Target) {
				return errNotTaken // it has started again, without the order
			}
		}
		if _, up := o.site.Target(s.Target.ID); !up {
			return cf.ErrNotFound
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return context.DeadlineExceeded
		}
		if !cf.Sleep(ctx, loadPoll) {
			return ctx.Err()
		}
	}
}

// take takes an engine's account of itself.
func (o *orders) take(id cf.InstanceID, r cf.TargetReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if r.Started < o.counts[id].born {
		return // of the start before
	}
	o.counts[id] = orderCount{r.Started, r.Seq}
	o.reported(id, r)
}

// startedAgain says whether a report is of a later start than an order was meant
// for.
func startedAgain(r cf.TargetReport, t cf.Target) bool { return t.Started > 0 && r.Started > t.Started }

func holds(r cf.TargetReport, s cfrollout.Swap) bool {
	for _, m := range r.Models {
		if m.Name == s.Model {
			return m.Version >= s.Version
		}
	}
	return false
}
