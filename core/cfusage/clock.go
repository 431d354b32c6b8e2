package cfusage

import (
	"slices"
	"sync"

	cf "currantford"
)

const (
	// minStep is the least difference from the others' clocks that counts as a step.
	// Below it lies what messages take on their way, and a clock is believed.
	minStep cf.Millis = 400
	// clockLifetime is how long an instance's clock counts.
	clockLifetime cf.Millis = 3_000
	// minClocks is the least number of clocks that outvote another.
	minClocks = 3
)

type (
	// Clock gives the time of day at an instance whose clock may step. It is safe for
	// concurrent use.
	Clock struct {
		mu sync.Mutex
		// offset is what is to be added to the instance's clock, which was as far from
		// its uptime as base when that was told.
		offset, wallMinusUptime cf.Millis
		adjusted                bool
	}

	// MedianClock finds the time of day by the clocks of all instances: as long as fewer than
	// half have stepped it is right. It is not safe for concurrent use.
	MedianClock struct {
		// readings is how far the instances' clocks are ahead of the holder's uptime.
		readings map[cf.EntryID]clockReading
	}

	clockReading struct{ wallMinusUptime, at cf.Millis }
)

// Adjust takes the time of day as others have it. wall is the instance's own, at uptime.
func (c *Clock) Adjust(reference, wall, uptime cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adjusted, c.wallMinusUptime = true, wall-uptime
	if c.offset = reference - wall; c.offset < minStep && c.offset > -minStep {
		c.offset = 0
	}
}

// Now returns the time of day, by the instance's clock and its uptime. A clock that has
// moved against the uptime since it was compared has stepped.
func (c *Clock) Now(wall, uptime cf.Millis) cf.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.adjusted {
		return wall
	}
	if moved := wall - uptime - c.wallMinusUptime; moved >= minStep || moved <= -minStep {
		return uptime + c.wallMinusUptime + c.offset
	}
	return wall + c.offset
}

// Record takes an instance's clock, as of the holder's uptime.
func (c *MedianClock) Record(e cf.EntryID, wall, uptime cf.Millis) {
	if c.readings == nil {
		c.readings = map[cf.EntryID]clockReading{}
	}
	c.readings[e] = clockReading{wall - uptime, uptime}
}

// Now returns the time of day at an uptime of the holder, whose own clock is wall.
func (c *MedianClock) Now(wall, uptime cf.Millis) cf.Millis {
	all := []cf.Millis{wall - uptime}
	for e, s := range c.readings {
		if uptime-s.at > clockLifetime {
			delete(c.readings, e)
			continue
		}
		all = append(all, s.wallMinusUptime)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if offset := uptime + median - wall; len(all) < minClocks || offset < minStep && offset > -minStep {
		return wall
	}
	return uptime + median
}
