package cfrunner

import (
	cf "currantford"
)

const (
	// PollTimeout is how long a host keeps its runs without a poll. It spans several polls and is
	// shorter than the delay after which a successor takes over from an unresponsive coordinator.
	PollTimeout cf.Millis = 1200
	// pollTimeoutSlack is added to PollTimeout because a host checks for the timeout periodically.
	pollTimeoutSlack cf.Millis = 150
)

// effectivePollTime returns the time as of which a host counts a poll that arrives at now; clock is
// a lower bound of the host's clock when the poll was sent. A poll that was delayed on its way must
// not extend the runs beyond the time that the coordinator expects, which counts from the sending
// of the poll.
func effectivePollTime(clock, now cf.Millis) cf.Millis { return min(now, clock) }

// keepsRuns reports whether a host with the given time of the latest poll still keeps its runs.
func keepsRuns(lastPoll, now cf.Millis) bool { return now-lastPoll <= PollTimeout }

// runsStoppedBy returns the time by which a host has certainly stopped its runs, if it received no
// poll that was sent after lastPoll.
func runsStoppedBy(lastPoll cf.Millis) cf.Millis { return lastPoll + PollTimeout + pollTimeoutSlack }
