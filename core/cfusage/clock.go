package cfusage

import (
	"slices"
	"sync"

	cf "currantford"
)

const (
	// stepLeast is the least difference from the others' clocks that counts as a step.
	// Below it lies what messages take on their way, and a clock is believed.
	stepLeast cf.Millis = 400
	// spoken is how long an instance's clock counts.
	spoken cf.Millis = 3_000
	// voters is the least number of clocks that outvote another.
	voters = 3
)

type (
	// Clock gives the time of day at an instance whose clock may step. It is safe for
	// concurrent use.
	Clock struct {
		mu sync.Mutex
		// off is what is to be added to the instance's clock, which was as far from
		// its uptime as base when that was told.
		off, base cf.Millis
		told      bool
	}

	// MedianClock finds the time of day by the clocks of all instances: as long as fewer than
	// half have stepped it is right. It is not safe for concurrent use.
	MedianClock struct {
		// ahead is how far the instances' clocks are ahead of the holder's uptime.
		ahead map[cf.EntryID]sighting
	}

	sighting struct{ ahead, at cf.Millis }
)

// Adjust takes the time of day as others have it. wall is the instance's own, at uptime.
func (c *Clock) Adjust(others, wall, uptime cf.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told, c.base = true, wall-uptime
	if c.off = others - wall; c.off < stepLeast && c.off > -stepLeast {
		c.off = 0
	}
}

// Now returns the time of day, by the instance's clock and its uptime. A clock that has
// moved against the uptime since it was compared has stepped.
func (c *Clock) Now(wall, uptime cf.Millis) cf.Millis {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.told {
		return wall
	}
	if moved := wall - uptime - c.base; moved >= stepLeast || moved <= -stepLeast {
		return uptime + c.base + c.off
	}
	return wall + c.off
}

// Record takes an instance's clock, as of the holder's uptime.
func (c *MedianClock) Record(e cf.EntryID, wall, uptime cf.Millis) {
	if c.ahead == nil {
		c.ahead = map[cf.EntryID]sighting{}
	}
	c.ahead[e] = sighting{wall - uptime, uptime}
}

// Now returns the time of day at an uptime of the holder, whose own clock is wall.
func (c *MedianClock) Now(wall, uptime cf.Millis) cf.Millis {
	all := []cf.Millis{wall - uptime}
	for e, s := range c.ahead {
		if uptime-s.at > spoken {
			delete(c.ahead, e)
			continue
		}
		all = append(all, s.ahead)
	}
	slices.Sort(all)
	median := all[len(all)/2]
	if off := uptime + median - wall; len(all) < voters || off < stepLeast && off > -stepLeast {
		return wall
	}
	return uptime + median
}
