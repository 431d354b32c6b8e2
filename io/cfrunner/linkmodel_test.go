package cfrunner

import (
	"testing"

	cf "currantford"
)

// question is what a link does to one question and its answer.
type question struct {
	up   cf.Millis // on its way to the host
	down cf.Millis // the answer's, lost if under 0
}

// exploreLink plays every sequence of so many questions over a link that delays and loses
// them, and returns the first in which a host still holds its runs when the coordinator
// takes them for lost. Clocks of host and coordinator differ by a minute.
func exploreLink(n int, asked func(clock, now cf.Millis) cf.Millis) (played int, broken []question) {
	const offset cf.Millis = 60_000
	kinds := []question{}
	for _, up := range []cf.Millis{0, 300, 640, 900, 1800, 4000} {
		for _, down := range []cf.Millis{0, 200, 600, -1} {
			kinds = append(kinds, question{up, down})
		}
	}
	seq := make([]question, n)
	var play func(at int)
	play = func(at int) {
		if broken != nil {
			return
		}
		if at < n {
			for _, k := range kinds {
				seq[at] = k
				play(at + 1)
			}
			return
		}
		played++
		if holdsWhenLost(seq, offset, asked) {
			broken = append([]question(nil), seq...)
		}
	}
	play(0)
	return played, broken
}

// holdsWhenLost plays one sequence, after which the link is silent.
func holdsWhenLost(seq []question, offset cf.Millis, asked func(clock, now cf.Millis) cf.Millis) bool {
	now, sent, failures := cf.Millis(0), cf.Millis(0), 0
	clock, clockAt := offset, cf.Millis(0) // of the report that began the session
	type arrival struct{ at, clock cf.Millis }
	var arrivals []arrival
	for i := 0; failures < lostAfter; i++ {
		sent = now
		q := question{up: 100_000, down: -1}
		if i < len(seq) {
			q = seq[i]
			arrivals = append(arrivals, arrival{now + q.up, clock + now - clockAt})
		}
		back := now + q.up + reportEvery + q.down
		if q.down < 0 || back-now > reportEvery+answerTime {
			failures++
			now += reportEvery + answerTime + cf.MillisOf(orderRetry)
			continue
		}
		failures = 0
		clock, clockAt, now = back-q.down+offset, back, back
	}
	lost := max(givenUpBy(sent), now)
	last := offset
	for _, a := range arrivals {
		hostNow := a.at + offset
		if !holds(last, hostNow) {
			break // the session is over; what comes later begins another
		}
		last = max(last, asked(a.clock, hostNow))
	}
	return holds(last, lost-cf.MillisOf(watchEvery)+offset)
}

// No sequence of late and lost questions and answers lets a host hold runs that go on
// elsewhere.
func TestEveryLinkGivesUpFirst(t *testing.T) {
	played, broken := exploreLink(4, askedAt)
	t.Logf("%d sequences", played)
	if broken != nil {
		t.Errorf("held when taken for lost: %+v", broken)
	}
}

// The exploration finds what it is there to find: a question that counts as of its arrival.
func TestExplorationOfLinksFindsFaults(t *testing.T) {
	if _, broken := exploreLink(4, func(_, now cf.Millis) cf.Millis { return now }); broken == nil {
		t.Error("not found")
	}
}
