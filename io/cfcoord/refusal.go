package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/io/cflog"
)

const (
	// checkGrace is how long after a check whether a step may be accepted another one
	// of the same step is answered with yes, and how long a coordinator answers so after
	// its start: an instance that had no answer in time writes the batch, within 1.5 s.
	checkGrace cf.Millis = 2000
	// maxChecks bounds the checks that are remembered.
	maxChecks = 1000
	// selectionLogInterval is the least time between two log lines on a step's groups.
	selectionLogInterval cf.Millis = 1000
)

// selectionLog is what was logged last of a step's groups.
type selectionLog struct {
	deferring bool
	at        cf.Millis
}

// Infeasible says whether a step that is about to be accepted should be refused, and when to
// come back. It keeps nothing of the step but when it was checked.
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

// checkedRecently notes a check of a step, and says whether there was one shortly before.
// c.mu is held.
func (c *Coordinator) checkedRecently(id cf.BatchID, now cf.Millis) bool {
	if len(c.stepChecks) >= maxChecks {
		clear(c.stepChecks)
		c.checksSince = now // what was forgotten counts as checked
	}
	at, known := c.stepChecks[id]
	c.stepChecks[id] = now
	return known && now-at < checkGrace
}

// announced says whether an instance has said that it is about to accept a batch, or the
// batch is known. c.mu is held.
func (c *Coordinator) announced(id cf.BatchID) bool {
	if _, known := c.prepared.batches[id]; known {
		return true
	}
	if _, known := c.prepared.accepted[id]; known {
		return true
	}
	return c.batches[id] != nil || c.reads[id] != nil || c.history.closed[id]
}

// reportSelections logs what is decided of steps' groups when it changes, and counts them.
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
