package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/io/cflog"
)

// moveRun stops a run. The planner then resumes the item at another engine, after the last event of
// this run.
func (c *Coordinator) moveRun(w *cfrollout.Work) {
	last := w.LastMove()
	reason := "slower"
	if last.FromSlowPeriod {
		reason = "slow_period"
	}
	c.Metrics.Moves.WithLabelValues(reason).Inc()
	c.Log.Info("item_moved", zap.String("request_id", string(w.Item.ID.RequestID())), cflog.Batch(w.Batch.Sub.ID),
		zap.String("target", string(w.Engine)), zap.Int64("ran_ms", int64(cf.Uptime()-w.Started)), zap.String("reason", reason), zap.String("to", string(last.To)),
		zap.Float64("saves_ms", last.Saving), zap.Float64("cost_ms", last.Cost), zap.Float64("slow_left_ms", last.SlowTimeLeft))
	if cancel := c.runs[w]; cancel != nil {
		cancel()
	}
}

// reportSlowPeriods updates the metrics of slow periods, and logs when the planner begins and
// ceases to use them. c.mu is held.
func (c *Coordinator) reportSlowPeriods(now cf.Millis) {
	s := c.planner.SlowPeriods(now)
	c.Metrics.SlowPeriod.Set(s.Mean / 1000)
	c.Metrics.SlowShare.Set(s.Share)
	if s.Known == c.slowPeriodsKnown {
		return
	}
	c.slowPeriodsKnown = s.Known
	c.Log.Info("slow_periods", zap.Bool("known", s.Known), zap.Float64("mean_ms", s.Mean), zap.Float64("share", s.Share),
		zap.Float64("slowdown", s.Slowdown), zap.Float64("move_cost_ms", s.MoveCost))
}

// resetSlowPeriodMetrics clears the metrics of slow periods at the end of a term, as this instance
// does not observe engines any longer.
func (c *Coordinator) resetSlowPeriodMetrics() {
	c.Metrics.SlowPeriod.Set(0)
	c.Metrics.SlowShare.Set(0)
}
