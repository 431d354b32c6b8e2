package cfusage

import (
	"slices"
	"sync"

	cf "currantford"
)

const (
	// minStep is the minimum difference from the reference time that counts as a step of a clock.
	// Smaller differences can be due to message delays, and the clock is trusted.
	minStep cf.Millis = 400
	// clockLifetime is how long a clock reading of an instance is used.
	clockLifetime cf.Millis = 3_000
	// minClocks is the minimum number of clocks, including the holder's own, for their median to
	// overrule the holder's clock.
	minClocks = 3
)

type (
	// Clock provides the time of day at an instance whose own clock may step. It is safe for
	// concurrent use.
	Clock struct {
		mu sync.Mutex
		// offset is the correction to add to the instance's clock. wallMinusUptime is the
		// difference between that clock and the uptime when offset was determined.
		offset, wallMinusUptime cf.Millis
		adjusted                bool
	}

	// MedianClock determines the time of day from the clocks of all instances. The result is
	// correct while fewer than half of them have stepped. It is not safe for concurrent use.
	MedianClock struct {
		// readings holds by how much each instance's clock is ahead of the holder's uptime.
		readings map[cf.EntryID]clockReading
	}

	clockReading struct{ wallMinusUptime, at cf.Millis }
)

// Adjust sets the reference time of day determined from all instances. wall is the instance's own
// clock at uptime.
func (c *Clock) Adjust(reference, wall, uptime cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.adjusted, c.wallMinusUptime = true, wall-uptime
	if c.offset = reference - wall; c.offset < minStep && c.offset > -minStep {
		c.offset = 0
	}
}

// Now returns the time of day, given the instance's clock and its uptime. A clock whose difference
// from the uptime has changed since the last call of Adjust has stepped.
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

// Record records the reading of an instance's clock at the given uptime of the holder.
func (c *MedianClock) Record(e cf.EntryID, wall, uptime cf.Millis) {
	if c.readings == nil {
		c.readings = map[cf.EntryID]clockReading{}
	}
	c.readings[e] = clockReading{wall - uptime, uptime}
}

// Now returns the time of day at the given uptime of the holder, whose own clock reads wall.
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
