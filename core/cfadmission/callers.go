package cfadmission

import (
	"sync"

	cf "currantford"
)

type (
	// DeadlineTracker tells from the deadlines that requests bear what their callers have used of
	// their time before: one that has been refused and comes back bears what it still has.
	// The most that a route's requests bore lately is what a caller has that has just begun.
	// One that gives itself less time than others looks like one that has come back. It is
	// safe for concurrent use.
	DeadlineTracker struct {
		mu     sync.Mutex
		routes map[string]*window
	}

	// window is the longest deadline of a route's requests in a span and in the one before.
	window struct {
		current, previous cf.Millis
		startedAt         cf.Millis
	}
)

// windowSpan is how long a deadline counts, at least: at usual load an instance of fifty has
// a request of a route every few seconds.
const windowSpan cf.Millis = 15000

// NewDeadlineTracker returns one that has seen no request.
func NewDeadlineTracker() *DeadlineTracker { return &DeadlineTracker{routes: map[string]*window{}} }

// Spent returns what a caller had used before a request on a route with a deadline, zero if
// it bears none.
func (c *DeadlineTracker) Spent(route string, deadline, now cf.Millis) cf.Millis {
	if deadline <= 0 {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.routes[route]
	if b == nil {
		b = &window{startedAt: now}
		c.routes[route] = b
	}
	if now-b.startedAt >= 2*windowSpan {
		b.current = 0
	}
	if now-b.startedAt >= windowSpan {
		b.previous, b.current, b.startedAt = b.current, 0, now
	}
	b.current = max(b.current, deadline)
	return max(b.current, b.previous) - deadline
}

// ReopenTargets lets a request that may have run, and so can't be refused, go once more to the
// targets that did not run it, if it has been to all others.
func ReopenTargets(candidates []cf.Target, tried, notRun map[cf.InstanceID]bool) {
	for _, t := range candidates {
		if !tried[t.ID] {
			return
		}
	}
	for id := range notRun {
		delete(tried, id)
	}
	clear(notRun)
}
