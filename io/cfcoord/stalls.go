package cfcoord

import (
	"time"

	cf "currantford"
)

const (
	// stallCheckInterval is the time between checks for stalls of the process. minStall is the
	// delay from which a late check counts as a stall: with a pause of 15 ms, an event of 49 ms
	// seems a third slower.
	stallCheckInterval           = 10 * time.Millisecond
	minStall           cf.Millis = 15
)

// watchStalls tells the planner when the process has not run for a while. An instance that has only
// a part of a core may be suspended for tens of milliseconds, and the events that it then reads
// late look like those of a slow engine.
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
