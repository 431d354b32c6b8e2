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
	// attemptSend is one message to a target in the model of at-most-once execution.
	attemptSend struct {
		pending   bool // the instance still waits for the answer
		inTransit bool // it has not reached its target and still may
		ran       bool
		resent    bool // the connection sent it again by itself
	}

	// result is what the caller of an attempt has been answered.
	result int

	// callerAttempt is one attempt of a caller, with its own request ID, at one instance. It is
	// driven by the decisions of cfbalance.
	callerAttempt struct {
		decisions cfbalance.Attempts
		sends     []attemptSend
		result    result
	}

	// systemState is the state of a caller that sends its request again after each refusal, and of
	// all its messages.
	systemState struct {
		attempts []callerAttempt
	}

	// fault is a fault that is seeded into the model to check that the exploration detects its
	// effect.
	fault int

	// explorer visits every schedule of one kind of request.
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
	refused // with the promise that nothing has run or will run
	failed  // without such a promise
)

const (
	noFault fault = iota
	// lostCountsAsNotRun: a connection lost after the send counts as never opened.
	lostCountsAsNotRun
	// connectionResends: the connection sends a message a second time by itself.
	connectionResends
	// refusedAfterTimeout: a request whose deadline has passed is refused.
	refusedAfterTimeout
)

const (
	maxAttempts = 2 // attempts of a caller
	maxSends    = 3 // sends of an attempt
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

// visit explores every schedule that starts from a state.
func (x *explorer) visit(w systemState) {
	if x.violation != "" {
		return
	}
	x.states++
	if x.violation = x.check(w); x.violation != "" {
		return
	}
	// A message in transit may arrive and run, even if its answer is no longer awaited.
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

// step explores what the instance of an attempt may do or receive next.
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
	// The deadline passes.
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

// receive explores every way in which a send may end.
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
		{transit: true, err: lost},                           // connection lost, and the message may still arrive
		{ran: true, err: lost},                               // run, and its answer lost
		{ran: true, err: cf.ErrBadAnswer},                    // run, and the answer to another request arrived
		{answer: cf.TargetAnswer{Status: 503, NotRun: true}}, // target full
		{ran: true, answer: cf.TargetAnswer{Status: 500}},    // target failed
		{ran: true, answer: cf.TargetAnswer{Status: 200}},    // success
		{ran: true, answer: cf.TargetAnswer{Status: 404}},    // error response of the target, for instance an unknown path
	}
	for _, o := range outcomes {
		next := w.clone()
		t := &next.attempts[i]
		t.sends[j].pending, t.sends[j].inTransit, t.sends[j].ran = false, o.transit, o.ran
		if _, good := t.decisions.Classify(o.answer, o.err); good {
			t.result = answered
			for k := range t.sends {
				t.sends[k].pending = false // abandoned
			}
		}
		x.visit(next)
	}
}

// check returns the violation in a state, empty if there is none.
func (x *explorer) check(w systemState) string {
	total := 0
	for i, t := range w.attempts {
		runs := t.runs()
		total += runs
		switch {
		case t.result == refused && runs > 0:
			return fmt.Sprintf("attempt %d was refused as not run, and ran %d times", i, runs)
		case x.kind == cfsite.KindOnce && runs > 1:
			return fmt.Sprintf("attempt %d ran %d times", i, runs)
		case len(t.sends) > maxSends:
			return fmt.Sprintf("attempt %d was sent %d times", i, len(t.sends))
		}
	}
	if x.kind == cfsite.KindOnce && total > 1 {
		return fmt.Sprintf("the request ran %d times in total", total)
	}
	return ""
}

func explore(kind cfsite.RouteKind, b fault, targets int) *explorer {
	x := &explorer{kind: kind, fault: b, targets: targets}
	x.visit(systemState{attempts: []callerAttempt{x.newAttempt()}})
	return x
}

// Explores every schedule of a caller that sends its request again after each refusal, with up to
// three targets, with lost, late, mismatched and failed answers, and with deadlines that pass: a
// request of kind once runs at most once, and a refused request never runs.
func TestEveryScheduleRunsAtMostOnce(t *testing.T) {
	for _, kind := range []cfsite.RouteKind{cfsite.KindOnce, cfsite.KindIdempotent} {
		for targets := 1; targets <= 2; targets++ {
			x := explore(kind, noFault, targets)
			t.Logf("kind %d, %d targets: %d states", kind, targets, x.states)
			if x.violation != "" {
				t.Errorf("kind %d, %d targets: %s", kind, targets, x.violation)
			}
		}
	}
	if x := explore(cfsite.KindOnce, noFault, maxSends); x.violation != "" {
		t.Errorf("%d targets: %s", maxSends, x.violation)
	}
}

// The exploration must detect each seeded fault.
func TestExplorationFindsSeededFaults(t *testing.T) {
	for name, b := range map[string]fault{
		"a lost connection counts as not run":  lostCountsAsNotRun,
		"a connection resends a message":       connectionResends,
		"a request is refused after a timeout": refusedAfterTimeout,
	} {
		x := explore(cfsite.KindOnce, b, 2)
		if x.violation == "" {
			t.Errorf("%s: no violation found", name)
			continue
		}
		t.Logf("%s: %s", name, x.violation)
	}
}
