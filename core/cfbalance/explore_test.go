package cfbalance_test

import (
	"fmt"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfbalance"
	"currantford/core/cfsite"
)

type (
	// attemptSend is one message to a target in the specification of at-most-once.
	attemptSend struct {
		pending   bool // the instance still waits for its answer
		inTransit bool // it has not reached its target and still may
		ran       bool
		resent    bool // the connection sent it again by itself
	}

	// result is what the caller of an attempt has heard.
	result int

	// callerAttempt is one attempt of a caller: an id of its own, at one instance. It
	// is driven by the decisions of this package.
	callerAttempt struct {
		decisions cfbalance.Attempts
		sends     []attemptSend
		result    result
	}

	// systemState is a caller that asks again after each promise that nothing has
	// run, with everything that is under way.
	systemState struct {
		attempts []callerAttempt
	}

	// fault is what may be seeded into the world or the instance to see that
	// the exploration finds what breaks then.
	fault int

	// explorer plays every schedule of a kind of request.
	explorer struct {
		kind      cfsite.RouteKind
		fault     fault
		targets   int
		states    int
		violation string
	}
)

const (
	waiting result = iota
	answered
	refused // with the promise that nothing has run and nothing will
	failed  // without one
)

const (
	noFault fault = iota
	// lostCountsAsNotRun: a connection lost after the send is taken for none.
	lostCountsAsNotRun
	// connectionResends: the connection sends a message a second time by itself.
	connectionResends
	// refusedAfterTimeout: a request whose time is up is refused.
	refusedAfterTimeout
)

const (
	maxAttempts = 2 // of a caller
	maxSends    = 3 // of a try
)

func (x *explorer) newAttempt() callerAttempt {
	route := cfsite.Route{Kind: x.kind, MaxAttempts: maxSends, SLO: 100}
	return callerAttempt{decisions: *cfbalance.NewAttempts(route, 1000)}
}

func (w systemState) clone() systemState {
	out := systemState{attempts: slices.Clone(w.attempts)}
	for i := range out.attempts {
		out.attempts[i].sends = slices.Clone(out.attempts[i].sends)
	}
	return out
}

func (t *callerAttempt) pending() int {
	n := 0
	for _, s := range t.sends {
		if s.pending {
			n++
		}
	}
	return n
}

func (t *callerAttempt) runs() int {
	n := 0
	for _, s := range t.sends {
		if s.ran {
			n++
		}
		if s.resent && s.ran {
			n++
		}
	}
	return n
}

// visit follows every schedule from a world.
func (x *explorer) visit(w systemState) {
	if x.violation != "" {
		return
	}
	x.states++
	if x.violation = x.check(w); x.violation != "" {
		return
	}
	// A message under way arrives and is run, whatever became of its answer.
	for i := range w.attempts {
		for j, s := range w.attempts[i].sends {
			if s.inTransit && !s.pending {
				next := w.clone()
				next.attempts[i].sends[j].inTransit, next.attempts[i].sends[j].ran = false, true
				x.visit(next)
			}
		}
	}
	last := len(w.attempts) - 1
	if w.attempts[last].result == refused && len(w.attempts) < maxAttempts {
		next := w.clone()
		next.attempts = append(next.attempts, x.newAttempt())
		x.visit(next)
	}
	if w.attempts[last].result == waiting {
		x.step(w, last)
	}
}

// step follows what the instance of a try may do or hear next.
func (x *explorer) step(w systemState, i int) {
	t := &w.attempts[i]
	maySend := t.decisions.MaySend(0) && len(t.sends) < x.targets
	if t.pending() == 0 {
		if maySend {
			x.send(w, i)
			return
		}
		next := w.clone()
		next.attempts[i].result = failed
		if !t.decisions.MayHaveRun() {
			next.attempts[i].result = refused
		}
		x.visit(next)
		return
	}
	if _, hedge := t.decisions.HedgeAfter(); hedge && maySend && t.pending() == 1 {
		x.send(w, i)
	}
	for j, s := range t.sends {
		if s.pending {
			x.receive(w, i, j)
		}
	}
	// The time is up.
	next := w.clone()
	next.attempts[i].result = failed
	if x.fault == refusedAfterTimeout {
		next.attempts[i].result = refused
	}
	for j := range next.attempts[i].sends {
		next.attempts[i].sends[j].pending = false
	}
	x.visit(next)
}

func (x *explorer) send(w systemState, i int) {
	next := w.clone()
	t := &next.attempts[i]
	t.decisions.Sent()
	t.sends = append(t.sends, attemptSend{pending: true, inTransit: true, resent: x.fault == connectionResends})
	x.visit(next)
}

// receive follows each way in which an attempt may end.
func (x *explorer) receive(w systemState, i, j int) {
	lost := cf.ErrMaybeRan
	if x.fault == lostCountsAsNotRun {
		lost = cf.ErrNotRun
	}
	outcomes := []struct {
		transit, ran bool
		answer       cf.TargetAnswer
		err          error
	}{
		{err: cf.ErrNotRun},                                  // no connection
		{transit: true, err: lost},                           // lost, and it may arrive yet
		{ran: true, err: lost},                               // run, and its answer lost
		{ran: true, err: cf.ErrBadAnswer},                    // run, and another's answer came
		{answer: cf.TargetAnswer{Status: 503, NotRun: true}}, // full
		{ran: true, answer: cf.TargetAnswer{Status: 500}},    // failed
		{ran: true, answer: cf.TargetAnswer{Status: 200}},    // done
		{ran: true, answer: cf.TargetAnswer{Status: 404}},    // the target's own refusal
	}
	for _, o := range outcomes {
		next := w.clone()
		t := &next.attempts[i]
		t.sends[j].pending, t.sends[j].inTransit, t.sends[j].ran = false, o.transit, o.ran
		if _, good := t.decisions.Classify(o.answer, o.err); good {
			t.result = answered
			for k := range t.sends {
				t.sends[k].pending = false // given up
			}
		}
		x.visit(next)
	}
}

// check returns what is wrong with a world.
func (x *explorer) check(w systemState) string {
	total := 0
	for i, t := range w.attempts {
		runs := t.runs()
		total += runs
		switch {
		case t.result == refused && runs > 0:
			return fmt.Sprintf("try %d was refused as not run, and ran %d times", i, runs)
		case x.kind == cfsite.KindOnce && runs > 1:
			return fmt.Sprintf("try %d ran %d times", i, runs)
		case len(t.sends) > maxSends:
			return fmt.Sprintf("try %d was sent %d times", i, len(t.sends))
		}
	}
	if x.kind == cfsite.KindOnce && total > 1 {
		return fmt.Sprintf("the request ran %d times in all", total)
	}
	return ""
}

func explore(kind cfsite.RouteKind, b fault, targets int) *explorer {
	x := &explorer{kind: kind, fault: b, targets: targets}
	x.visit(systemState{attempts: []callerAttempt{x.newAttempt()}})
	return x
}

// Every schedule of a caller that asks again after each refusal, of up to three
// targets, of lost, late, foreign and failed answers, and of the time running
// out: a request that may run once does, and what is refused never runs.
func TestEveryScheduleRunsAtMostOnce(t *testing.T) {
	for _, kind := range []cfsite.RouteKind{cfsite.KindOnce, cfsite.KindIdempotent} {
		for targets := 1; targets <= 2; targets++ {
			x := explore(kind, noFault, targets)
			t.Logf("kind %d, %d targets: %d worlds", kind, targets, x.states)
			if x.violation != "" {
				t.Errorf("kind %d, %d targets: %s", kind, targets, x.violation)
			}
		}
	}
	if x := explore(cfsite.KindOnce, noFault, maxSends); x.violation != "" {
		t.Errorf("%d targets: %s", maxSends, x.violation)
	}
}

// What is seeded into the world or the instance is found.
func TestExplorationFindsSeededFaults(t *testing.T) {
	for name, b := range map[string]fault{
		"a lost connection counts as none":     lostCountsAsNotRun,
		"a connection sends again by itself":   connectionResends,
		"a request is refused when time is up": refusedAfterTimeout,
	} {
		x := explore(cfsite.KindOnce, b, 2)
		if x.violation == "" {
			t.Errorf("%s: nothing found", name)
			continue
		}
		t.Logf("%s: %s", name, x.violation)
	}
}
