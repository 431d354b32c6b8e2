package cfcoord

import (
	"time"

	cf "currantford"
)

const (
	// stallCheckInterval is how often it is looked whether the process runs, and stallFrom how late a
	// look counts: a pause of 15 ms lets an event of 49 ms look a third slower.
	stallCheckInterval           = 10 * time.Millisecond
	minStall           cf.Millis = 15
)

// watchStalls tells the planner when the process has done nothing for a while: where an instance
// has a part of a core, it may be stopped for tens of milliseconds, and events that it reads late
// look like those of a slow engine.
func (c *Coordinator) watchStalls() {
	for c.ctx.Err() == nil {
		began, pause := cf.Uptime(), stallCheckInterval
		if !c.active.Load() {
			pause = idlePlanInterval
		}
		cf.Sleep(c.ctx, pause)
		if now := cf.Uptime(); now-began >= cf.MillisOf(pause)+minStall {
			c.Metrics.Stalls.Inc()
			c.mu.Lock()
			c.planner.ProcessStalled(now)
			c.mu.Unlock()
		}
	}
}
