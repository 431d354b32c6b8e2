package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
	"currantford/io/cflog"
)

const (
	// checkGrace is the time for which a step is not refused after an earlier check of the same
	// step, and for which a coordinator refuses no step after its start. An instance that received
	// no answer in time writes the batch all the same, within 1.5 s.
	checkGrace cf.Millis = 2000
	// maxChecks limits the number of checks that are remembered.
	maxChecks = 1000
	// selectionLogInterval is the minimum time between two log lines about a step's groups.
	selectionLogInterval cf.Millis = 1000
)

// selectionLog is the last logged selection of a step's groups.
type selectionLog struct {
	deferring bool
	at        cf.Millis
}

// CheckBatch decides whether a batch that is about to be accepted should be refused: because there
// is no memory for its items, which take cost bytes, or because not one group of it could be
// complete in time. It records only the time of the check. The bodies and headers of the items are
// not needed.
func (c *Coordinator) CheckBatch(sub cf.Submission, cost int64) cfbatch.Admission {
	config := c.Site.Config()
	if config == nil {
		return cfbatch.Admission{}
	}
	terms, ok := termsOf(config, &sub)
	if !ok {
		return cfbatch.Admission{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := cf.Uptime()
	recent := c.checkedRecently(sub.ID, now)
	if c.announced(sub.ID) {
		return cfbatch.Admission{}
	}
	inDoubt := recent || !c.Lease.Valid() || !c.takeover.done || now-c.checksSince < checkGrace
	if c.lacksMemory(cost) {
		c.Log.Warn("batch_without_memory", cflog.Batch(sub.ID), zap.Int64("cost_bytes", cost), zap.Int64("open_bytes", c.openBatchCost()), zap.Bool("in_doubt", inDoubt))
		return cfbatch.Admission{Refused: true, InDoubt: inDoubt, RetryAfter: batchMemoryRetry, Reason: "no memory for the batch now"}
	}
	if inDoubt || c.Policy.NoRefusals || c.Policy.AllGroups || terms.Due == 0 {
		return cfbatch.Admission{}
	}
	est := c.planner.EstimateStep(sub, terms, now)
	if !est.Infeasible {
		return cfbatch.Admission{}
	}
	c.Log.Info("step_infeasible", cflog.Batch(sub.ID), zap.String("model", string(sub.Model)), zap.Int("items", len(sub.Items)),
		zap.Int64("quickest_group_ms", int64(est.FirstGroup)), zap.Int64("left_ms", int64(est.TimeLeft)), zap.Int64("retry_ms", int64(est.RetryAfter)))
	return cfbatch.Admission{Refused: true, RetryAfter: est.RetryAfter, Reason: "no group of the step could be whole in time"}
}

// checkedRecently records a check of a step, and reports whether there was an earlier one within
// checkGrace. c.mu is held.
func (c *Coordinator) checkedRecently(id cf.BatchID, now cf.Millis) bool {
	if len(c.stepChecks) >= maxChecks {
		clear(c.stepChecks)
		c.checksSince = now // steps whose checks were forgotten count as checked
	}
	at, known := c.stepChecks[id]
	c.stepChecks[id] = now
	return known && now-at < checkGrace
}

// announced reports whether an instance has announced the acceptance of a batch, or the batch is
// known. c.mu is held.
func (c *Coordinator) announced(id cf.BatchID) bool {
	if _, known := c.prepared.batches[id]; known {
		return true
	}
	if _, known := c.prepared.accepted[id]; known {
		return true
	}
	return c.batches[id] != nil || c.reads[id] != nil || c.history.closed[id]
}

// reportSelections logs the selection of steps' groups when it changes, and updates its metrics.
// c.mu is held.
func (c *Coordinator) reportSelections(now cf.Millis) {
	var sum cfrollout.Selection
	for _, s := range c.planner.Selections(now) {
		sum.InTime, sum.Late, sum.TooLate, sum.Optional = sum.InTime+s.InTime, sum.Late+s.Late, sum.TooLate+s.TooLate, sum.Optional+s.Optional
		st := c.batches[s.Batch]
		if st == nil || st.selection.deferring == s.Deferring || now-st.selection.at < selectionLogInterval && st.selection.at > 0 {
			continue
		}
		st.selection = selectionLog{s.Deferring, now}
		c.Log.Info("groups_selected", cflog.Batch(s.Batch), zap.Bool("beyond_capacity", s.Deferring), zap.Int64("whole_in_ms", int64(s.Duration)),
			zap.Int64("left_ms", int64(s.TimeLeft)), zap.Int("in_time", s.InTime), zap.Int("late", s.Late), zap.Int("last", s.TooLate), zap.Int("spare", s.Optional))
	}
	for class, n := range map[string]int{"in_time": sum.InTime, "late": sum.Late, "last": sum.TooLate, "spare": sum.Optional} {
		c.Metrics.StepGroups.WithLabelValues(class).Set(float64(n))
	}
}
