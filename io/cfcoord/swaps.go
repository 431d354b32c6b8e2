package cfcoord

import (
	"errors"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
)

// startSwap gives a weight order and waits until the engine has the version.
func (c *Coordinator) startSwap(s cfrollout.Swap, term cf.Revision) {
	c.wg.Go(func() {
		err := c.orders.execute(c.ctx, s, term)
		c.mu.Lock()
		defer c.mu.Unlock()
		outcome, limit := "done", 0
		if err != nil {
			outcome = err.Error()
		}
		switch {
		case !c.planner.IsCurrent(s.Target):
			outcome += ", of an earlier start" // the order says nothing about the engine's present start
		case err != nil:
			c.planner.SwapFailed(s.Target.ID, cf.Uptime())
		default:
			limit = c.planner.LoadEnded(s.Target.ID, cf.Uptime())
			c.planner.SwapDone(s.Target.ID, s.Model, s.Version)
		}
		c.Metrics.Orders.WithLabelValues(orderOutcome(err)).Inc()
		c.Log.Info("weights_swapped", zap.String("target", string(s.Target.ID)), zap.String("model", string(s.Model)),
			zap.Int64("version", int64(s.Version)), zap.Int64("term", int64(term)), zap.String("outcome", outcome),
			zap.Int("loads_allowed", limit))
		c.Wake()
	})
}

func orderOutcome(err error) string {
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

// engineReported passes an engine's report to the planner.
func (c *Coordinator) engineReported(id cf.InstanceID, r cf.TargetReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.Reported(id, r)
}

func (c *Coordinator) sleep(d time.Duration) bool { return cf.Sleep(c.ctx, d) }

// queryEngine queries an engine for its report: for its memory, or, after it has refused an item,
// for its weights, which an order of an earlier coordinator may have changed.
func (c *Coordinator) queryEngine(t cf.Target) {
	c.wg.Go(func() {
		if _, err := c.orders.fetchReport(c.ctx, t); err != nil {
			return // the planner repeats the query
		}
	})
}
