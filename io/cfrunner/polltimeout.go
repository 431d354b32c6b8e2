package cfrunner

import (
	cf "currantford"
)

const (
	// PollTimeout is how long a host keeps its runs without a question for news:
	// several questions, and less than a successor of a silent coordinator waits
	// before it takes over.
	PollTimeout cf.Millis = 1200
	// pollTimeoutSlack is added to the host's patience, for its look at the clock.
	pollTimeoutSlack cf.Millis = 150
)

// effectivePollTime says as of when a question counts that arrives at a host now; clock is the
// host's own when it was sent, or some time before. One that was held up on its way must
// not hold the runs for longer: the coordinator counts from when it sent it.
func effectivePollTime(clock, now cf.Millis) cf.Millis { return min(now, clock) }

// keepsRuns says whether a host that was last asked then keeps its runs.
func keepsRuns(lastPoll, now cf.Millis) bool { return now-lastPoll <= PollTimeout }

// runsStoppedBy returns when a host whose last question was sent then has surely given its
// runs up, if it has heard nothing later.
func runsStoppedBy(lastPoll cf.Millis) cf.Millis { return lastPoll + PollTimeout + pollTimeoutSlack }
