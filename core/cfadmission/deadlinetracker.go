package cfadmission

import (
	"sync"

	cf "currantford"
	"currantford/core/cfpeak"
)

// DeadlineTracker derives from the deadlines of requests how much of their time the callers have
// already used: a caller that was refused and comes back sends its remaining time. The longest
// deadline seen recently on a route is taken as the full time of a caller, unless a caller that has
// come back could not have so little left of it. A caller that allows somewhat less time than others
// is mistaken for one that has come back. DeadlineTracker is safe for concurrent use.
type DeadlineTracker struct {
	mu        sync.Mutex
	deadlines *cfpeak.Longest[string] // by route
}

// windowSpan is how long a deadline counts, at least: at the usual load one of fifty instances
// receives a request of a route every few seconds.
const windowSpan cf.Millis = 15000

// maxSpentFactor is the largest ratio of a caller's full time to what it has left when it comes
// back: it gives up an attempt, and waits as it is told, for a third of its time each at most.
const maxSpentFactor = 3

// NewDeadlineTracker returns a tracker that has seen no requests.
func NewDeadlineTracker() *DeadlineTracker {
	return &DeadlineTracker{deadlines: cfpeak.NewLongest[string](windowSpan)}
}

// Spent returns the time that a caller had used before it sent a request with a deadline on a
// route, zero if the request has no deadline.
func (d *DeadlineTracker) Spent(route string, deadline, now cf.Millis) cf.Millis {
	if deadline <= 0 {
		return 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.deadlines.Observe(route, deadline, now)
	longest, _ := d.deadlines.Get(route, now)
	if longest > maxSpentFactor*deadline {
		return 0 // the longest deadline is that of another kind of caller
	}
	return longest - deadline
}

// ReopenTargets makes a request that may have run, and therefore can't be refused, eligible again
// for the targets that did not run it, once all candidates have been tried.
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
