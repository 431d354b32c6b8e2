package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cflog"
)

// waitingCheckInterval is the minimum time between checks for items that wait although engines have
// room.
const waitingCheckInterval cf.Millis = 1000

// reportWaiting logs the items that have been at no engine for long although engines have room,
// each with the reason, and updates their metrics. c.mu is held.
func (c *Coordinator) reportWaiting(now cf.Millis) {
	if now-c.waitingCheckedAt < waitingCheckInterval {
		return
	}
	c.waitingCheckedAt = now
	waiting := c.planner.WaitingItems(now)
	c.Metrics.WaitingItems.Reset()
	for reason, n := range waiting.Counts {
		c.Metrics.WaitingItems.WithLabelValues(string(reason)).Set(float64(n))
	}
	for _, x := range waiting.Items {
		w := x.Work
		w.Mu.Lock() // its run may have just begun to append events
		events := w.Text.Last
		w.Mu.Unlock()
		c.Log.Warn("item_waits", zap.String("request_id", string(w.Item.ID.RequestID())), cflog.Batch(w.Batch.Sub.ID),
			zap.String("group_id", string(w.Item.Group)), zap.String("reason", string(x.Reason)), zap.Int64("waited_ms", int64(x.Waited)),
			zap.String("target", string(w.Engine)), zap.Int64("events", int64(events)), zap.Int64("min_version", int64(w.Batch.Sub.MinVersion)))
	}
}

// logStarted logs the end of the takeover and its duration. c.mu is held.
func (c *Coordinator) logStarted() {
	c.Log.Info("duty_begun", zap.Int("batches", len(c.batches)), zap.Int("inherited", len(c.openInherited())),
		zap.Int64("took_ms", int64(cf.Uptime()-c.startedAt)))
}
