package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
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

// Infeasible reports whether a step that is about to be accepted should be refused, and when the
// submitter should retry. It records only the time of the check.
func (c *Coordinator) Infeasible(sub cf.Submission) (retryAfter cf.Millis, infeasible bool) {
	config := c.Site.Config()
	if config == nil || c.Policy.NoRefusals {
		return 0, false
	}
	terms, ok := termsOf(config, &sub)
	if !ok {
		return 0, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := cf.Uptime()
	if c.checkedRecently(sub.ID, now) || !c.Lease.Valid() || !c.takeover.done || now-c.checksSince < checkGrace || c.announced(sub.ID) {
		return 0, false
	}
	est := c.planner.EstimateStep(sub, terms, now)
	if !est.Infeasible {
		return 0, false
	}
	c.Log.Info("step_infeasible", cflog.Batch(sub.ID), zap.String("model", string(sub.Model)), zap.Int("items", len(sub.Items)),
		zap.Int64("quickest_group_ms", int64(est.FirstGroup)), zap.Int64("left_ms", int64(est.TimeLeft)), zap.Int64("retry_ms", int64(est.RetryAfter)))
	return est.RetryAfter, true
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
