package cfcoord

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
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

// startSwap gives a weight order and follows it until the engine holds the
// version.
func (c *Coordinator) startSwap(s cfrollout.Swap, term cf.Revision) {
	c.wg.Go(func() {
		err := c.swap(s, term)
		c.mu.Lock()
		defer c.mu.Unlock()
		outcome, limit := "done", 0
		if err != nil {
			outcome = err.Error()
			c.planner.SwapFailed(s.Target.ID, cf.Uptime())
		} else {
			limit = c.planner.SwapTook(s.Target.ID, cf.Uptime())
			c.planner.SwapDone(s.Target.ID, s.Model, s.Version)
		}
		c.Metrics.Orders.WithLabelValues(orderLabel(err)).Inc()
		c.Log.Info("weights_swapped", zap.String("target", string(s.Target.ID)), zap.String("model", string(s.Model)),
			zap.Int64("version", int64(s.Version)), zap.Int64("term", int64(term)), zap.String("outcome", outcome),
			zap.Int("loads_allowed", limit))
		c.Kick()
	})
}

func orderLabel(err error) string {
	switch {
	case err == nil:
		return "done"
	case errors.Is(err, cf.ErrConflict):
		return "conflict"
	case errors.Is(err, cf.ErrUnavailable):
		return "no_answer"
	case errors.Is(err, errNotTaken):
		return "not_taken"
	default:
		return "refused"
	}
}

func (c *Coordinator) swap(s cfrollout.Swap, term cf.Revision) error {
	seq, err := c.countOrders(s.Target)
	if err != nil {
		return err
	}
	c.Log.Info("weights_ordered", zap.String("target", string(s.Target.ID)), zap.String("model", string(s.Model)),
		zap.Int64("version", int64(s.Version)), zap.Int64("term", int64(term)), zap.Int64("expect_seq", seq),
		zap.Bool("keep_runs", s.KeepRuns))
	order := cf.WeightOrder{
		Model: s.Model, Version: s.Version, KeepRuns: s.KeepRuns, Holder: c.Self, Fence: term, ExpectSeq: seq,
	}
	// The lease may have lapsed since the planner decided.
	if _, ok := c.Duty.MayOrder(); !ok {
		return cf.ErrNotLeader
	}
	// A successor waits from the last moment at which it may have arrived.
	c.Duty.Ordered()
	err = c.Targets.Order(c.ctx, s.Target, order)
	c.Duty.Ordered()
	if errors.Is(err, cf.ErrConflict) {
		// Another coordinator's orders, or one of ours without an answer,
		// have moved the engine's counter, or it carries one out now.
		r, err := c.Targets.Report(c.ctx, s.Target)
		if err != nil {
			return err
		}
		c.report(s.Target.ID, r)
		if holds(r, s) && !r.Busy {
			return nil
		}
		return cf.ErrConflict
	}
	if errors.Is(err, cf.ErrUnavailable) {
		return c.unanswered(s, seq)
	}
	if err != nil {
		return err
	}
	return c.await(s)
}

// errNotTaken: an engine left an order unanswered and shows that it has not taken
// it, or not yet.
var errNotTaken = errors.New("order not taken")

// unanswered follows an order that had no answer. One that the engine has not
// taken may still be carried out, seconds later; until then the engine serves
// what it holds, and the order is given again. The counter that both name lets
// only one of them through.
func (c *Coordinator) unanswered(s cfrollout.Swap, seq int64) error {
	r, err := c.Targets.Report(c.ctx, s.Target)
	if err == nil && (!r.Busy && r.Seq == seq && !holds(r, s) || startedAgain(r, s.Target)) {
		c.report(s.Target.ID, r)
		return errNotTaken
	}
	return c.await(s)
}

// countOrders reads an engine's order counter before the first order to it.
func (c *Coordinator) countOrders(t cf.Target) (int64, error) {
	c.mu.Lock()
	count, known := c.counts[t.ID]
	c.mu.Unlock()
	if known && count.born >= t.Born {
		return count.seq, nil
	}
	r, err := c.Targets.Report(c.ctx, t)
	if err != nil {
		return 0, err
	}
	c.report(t.ID, r)
	return r.Seq, nil
}

// await asks an engine for its weights until it holds the version.
func (c *Coordinator) await(s cfrollout.Swap) error {
	deadline := time.Now().Add(loadMost)
	if !c.pause(loadFirst) {
		return c.ctx.Err()
	}
	for {
		r, err := c.Targets.Report(c.ctx, s.Target)
		if err == nil {
			c.report(s.Target.ID, r)
			if holds(r, s) && !r.Busy {
				return nil
			}
			if startedAgain(r, s.Target) {
				return errNotTaken // it has started again, without the order
			}
		}
		if _, up := c.Site.Target(s.Target.ID); !up {
			return cf.ErrNotFound
		}
		if time.Now().After(deadline) {
			if err != nil {
				return err
			}
			return context.DeadlineExceeded
		}
		if !c.pause(loadPoll) {
			return c.ctx.Err()
		}
	}
}

// startedAgain says whether a report is of a later start than an order was meant
// for.
func startedAgain(r cf.TargetReport, t cf.Target) bool { return t.Born > 0 && r.Born > t.Born }

func holds(r cf.TargetReport, s cfrollout.Swap) bool {
	for _, m := range r.Models {
		if m.Name == s.Model {
			return m.Version >= s.Version
		}
	}
	return false
}

// report takes an engine's account of itself.
func (c *Coordinator) report(id cf.InstanceID, r cf.TargetReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r.Born < c.counts[id].born {
		return // of the start before
	}
	c.counts[id] = orderCount{r.Born, r.Seq}
	c.planner.Reported(id, r)
}

func (c *Coordinator) pause(d time.Duration) bool { return cf.Sleep(c.ctx, d) }

// checkReport asks an engine for its account of itself: for its memory, or for its
// weights after it refused an item, which an order of a coordinator before may have
// changed.
func (c *Coordinator) checkReport(t cf.Target) {
	c.wg.Go(func() {
		r, err := c.Targets.Report(c.ctx, t)
		if err != nil {
			return // it is asked again
		}
		c.report(t.ID, r)
	})
}
