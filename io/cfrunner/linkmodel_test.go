package cfrunner

import (
	"testing"

	cf "currantford"
)

// pollDelays holds the delays that a link causes for a poll and its response.
type pollDelays struct {
	request  cf.Millis // delay on the way to the host
	response cf.Millis // delay of the response, negative if it is lost
}

// simulateLinks simulates every sequence of n polls over a link that delays and loses messages. It
// returns the number of sequences, and the first one in which a host still keeps its runs when the
// coordinator considers them lost. The clocks of host and coordinator differ by a minute.
func simulateLinks(n int, pollTime func(clock, now cf.Millis) cf.Millis) (simulated int, violation []pollDelays) {
	const offset cf.Millis = 60_000
	choices := []pollDelays{}
	for _, request := range []cf.Millis{0, 300, 640, 900, 1800, 4000} {
		for _, response := range []cf.Millis{0, 200, 600, -1} {
			choices = append(choices, pollDelays{request, response})
		}
	}
	seq := make([]pollDelays, n)
	var simulate func(at int)
	simulate = func(at int) {
		if violation != nil {
			return
		}
		if at < n {
			for _, k := range choices {
				seq[at] = k
				simulate(at + 1)
			}
			return
		}
		simulated++
		if keepsRunsWhenLost(seq, offset, pollTime) {
			violation = append([]pollDelays(nil), seq...)
		}
	}
	simulate(0)
	return simulated, violation
}

// keepsRunsWhenLost simulates one sequence, after which the link delivers nothing.
func keepsRunsWhenLost(seq []pollDelays, offset cf.Millis, pollTime func(clock, now cf.Millis) cf.Millis) bool {
	now, sent, failures := cf.Millis(0), cf.Millis(0), 0
	clock, clockAt := offset, cf.Millis(0) // from the report that began the session
	type arrival struct{ at, clock cf.Millis }
	var arrivals []arrival
	for i := 0; failures < maxFailedPolls; i++ {
		sent = now
		q := pollDelays{request: 100_000, response: -1}
		if i < len(seq) {
			q = seq[i]
			arrivals = append(arrivals, arrival{now + q.request, clock + now - clockAt})
		}
		answeredAt := now + q.request + reportInterval + q.response
		if q.response < 0 || answeredAt-now > reportInterval+responseTimeout {
			failures++
			now += reportInterval + responseTimeout + cf.MillisOf(retryDelay)
			continue
		}
		failures = 0
		clock, clockAt, now = answeredAt-q.response+offset, answeredAt, answeredAt
	}
	lostAt := max(runsStoppedBy(sent), now)
	lastPoll := offset
	for _, a := range arrivals {
		hostNow := a.at + offset
		if !keepsRuns(lastPoll, hostNow) {
			break // the session has ended; a later poll begins another one
		}
		lastPoll = max(lastPoll, pollTime(a.clock, hostNow))
	}
	return keepsRuns(lastPoll, lostAt-cf.MillisOf(pollCheckInterval)+offset)
}

// TestHostStopsRunsBeforeTheyCountAsLost guards against a sequence of delayed and lost polls and
// responses after which a host keeps runs that continue elsewhere.
func TestHostStopsRunsBeforeTheyCountAsLost(t *testing.T) {
	simulated, violation := simulateLinks(4, effectivePollTime)
	t.Logf("%d sequences simulated", simulated)
	if violation != nil {
		t.Errorf("the host keeps its runs when they count as lost, after polls with delays %+v", violation)
	}
}

// TestLinkModelDetectsPollsCountedOnArrival checks that the model detects the fault that it is
// meant to find: polls that count as of their arrival.
func TestLinkModelDetectsPollsCountedOnArrival(t *testing.T) {
	if _, violation := simulateLinks(4, func(_, now cf.Millis) cf.Millis { return now }); violation == nil {
		t.Error("no violation found for polls that count as of their arrival")
	}
}
