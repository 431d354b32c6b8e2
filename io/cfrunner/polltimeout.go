package cfrunner

import (
	cf "currantford"
)

const (
	// PollTimeout is how long a host keeps its runs without a question for news:
	// several questions, and less than a successor of a silent coordinator waits
	// before it takes over.
	PollTimeout cf.Millis = 1200
	// lostSlack is added to the host's patience, for its look at the clock.
	lostSlack cf.Millis = 150
)

// askedAt says as of when a question counts that arrives at a host now; clock is the
// host's own when it was sent, or some time before. One that was held up on its way must
// not hold the runs for longer: the coordinator counts from when it sent it.
func askedAt(clock, now cf.Millis) cf.Millis { return min(now, clock) }

// holds says whether a host that was last asked then keeps its runs.
func holds(asked, now cf.Millis) bool { return now-asked <= PollTimeout }

// givenUpBy returns when a host whose last question was sent then has surely given its
// runs up, if it has heard nothing later.
func givenUpBy(asked cf.Millis) cf.Millis { return asked + PollTimeout + lostSlack }
