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
	// send is one message to a target in the specification of at-most-once.
	send struct {
		pending bool // the instance still waits for its answer
		transit bool // it has not reached its target and still may
		ran     bool
		twice   bool // the connection sent it again by itself
	}

	// told is what the caller of an attempt has heard.
	told int

	// try is one attempt of a caller: an id of its own, at one instance. It
	// is driven by the decisions of this package.
	try struct {
		attempts cfbalance.Attempts
		sends    []send
		told     told
	}

	// world is a caller that asks again after each promise that nothing has
	// run, with everything that is under way.
	world struct {
		tries []try
	}

	// breach is what may be seeded into the world or the instance to see that
	// the exploration finds what breaks then.
	breach int

	// exploration plays every schedule of a kind of request.
	exploration struct {
		kind    cfsite.RouteKind
		breach  breach
		targets int
		worlds  int
		broken  string
	}
)

const (
	waiting told = iota
	answered
	refused // with the promise that nothing has run and nothing will
	failed  // without one
)

const (
	sound breach = iota
	// lostIsUnrun: a connection lost after the send is taken for none.
	lostIsUnrun
	// sentAgain: the connection sends a message a second time by itself.
	sentAgain
	// refusedLate: a request whose time is up is refused.
	refusedLate
)

const (
	exploredTries = 2 // of a caller
	exploredSends = 3 // of a try
)

func (x *exploration) newTry() try {
	route := cfsite.Route{Kind: x.kind, MaxAttempts: exploredSends, SLO: 100}
	return try{attempts: *cfbalance.NewAttempts(route, 1000)}
}

func (w world) clone() world {
	out := world{tries: slices.Clone(w.tries)}
	for i := range out.tries {
		out.tries[i].sends = slices.Clone(out.tries[i].sends)
	}
	return out
}

func (t *try) pending() int {
	n := 0
	for _, s := range t.sends {
		if s.pending {
			n++
		}
	}
	return n
}

func (t *try) runs() int {
	n := 0
	for _, s := range t.sends {
		if s.ran {
			n++
		}
		if s.twice && s.ran {
			n++
		}
	}
	return n
}

// play follows every schedule from a world.
func (x *exploration) play(w world) {
	if x.broken != "" {
		return
	}
	x.worlds++
	if x.broken = x.check(w); x.broken != "" {
		return
	}
	// A message under way arrives and is run, whatever became of its answer.
	for i := range w.tries {
		for j, s := range w.tries[i].sends {
			if s.transit && !s.pending {
				next := w.clone()
				next.tries[i].sends[j].transit, next.tries[i].sends[j].ran = false, true
				x.play(next)
			}
		}
	}
	last := len(w.tries) - 1
	if w.tries[last].told == refused && len(w.tries) < exploredTries {
		next := w.clone()
		next.tries = append(next.tries, x.newTry())
		x.play(next)
	}
	if w.tries[last].told == waiting {
		x.step(w, last)
	}
}

// step follows what the instance of a try may do or hear next.
func (x *exploration) step(w world, i int) {
	t := &w.tries[i]
	again := t.attempts.MaySend(0) && len(t.sends) < x.targets
	if t.pending() == 0 {
		if again {
			x.send(w, i)
			return
		}
		next := w.clone()
		next.tries[i].told = failed
		if !t.attempts.MayHaveRun() {
			next.tries[i].told = refused
		}
		x.play(next)
		return
	}
	if _, hedge := t.attempts.HedgeAfter(); hedge && again && t.pending() == 1 {
		x.send(w, i)
	}
	for j, s := range t.sends {
		if s.pending {
			x.end(w, i, j)
		}
	}
	// The time is up.
	next := w.clone()
	next.tries[i].told = failed
	if x.breach == refusedLate {
		next.tries[i].told = refused
	}
	for j := range next.tries[i].sends {
		next.tries[i].sends[j].pending = false
	}
	x.play(next)
}

func (x *exploration) send(w world, i int) {
	next := w.clone()
	t := &next.tries[i]
	t.attempts.Sent()
	t.sends = append(t.sends, send{pending: true, transit: true, twice: x.breach == sentAgain})
	x.play(next)
}

// end follows each way in which an attempt may end.
func (x *exploration) end(w world, i, j int) {
	lost := cf.ErrMaybeRan
	if x.breach == lostIsUnrun {
		lost = cf.ErrNotRun
	}
	ways := []struct {
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
	for _, way := range ways {
		next := w.clone()
		t := &next.tries[i]
		t.sends[j].pending, t.sends[j].transit, t.sends[j].ran = false, way.transit, way.ran
		if _, good := t.attempts.Classify(way.answer, way.err); good {
			t.told = answered
			for k := range t.sends {
				t.sends[k].pending = false // given up
			}
		}
		x.play(next)
	}
}

// check returns what is wrong with a world.
func (x *exploration) check(w world) string {
	total := 0
	for i, t := range w.tries {
		runs := t.runs()
		total += runs
		switch {
		case t.told == refused && runs > 0:
			return fmt.Sprintf("try %d was refused as not run, and ran %d times", i, runs)
		case x.kind == cfsite.KindOnce && runs > 1:
			return fmt.Sprintf("try %d ran %d times", i, runs)
		case len(t.sends) > exploredSends:
			return fmt.Sprintf("try %d was sent %d times", i, len(t.sends))
		}
	}
	if x.kind == cfsite.KindOnce && total > 1 {
		return fmt.Sprintf("the request ran %d times in all", total)
	}
	return ""
}

func explore(kind cfsite.RouteKind, b breach, targets int) *exploration {
	x := &exploration{kind: kind, breach: b, targets: targets}
	x.play(world{tries: []try{x.newTry()}})
	return x
}

// Every schedule of a caller that asks again after each refusal, of up to three
// targets, of lost, late, foreign and failed answers, and of the time running
// out: a request that may run once does, and what is refused never runs.
func TestEveryScheduleRunsAtMostOnce(t *testing.T) {
	for _, kind := range []cfsite.RouteKind{cfsite.KindOnce, cfsite.KindIdempotent} {
		for targets := 1; targets <= 2; targets++ {
			x := explore(kind, sound, targets)
			t.Logf("kind %d, %d targets: %d worlds", kind, targets, x.worlds)
			if x.broken != "" {
				t.Errorf("kind %d, %d targets: %s", kind, targets, x.broken)
			}
		}
	}
	if x := explore(cfsite.KindOnce, sound, exploredSends); x.broken != "" {
		t.Errorf("%d targets: %s", exploredSends, x.broken)
	}
}

// What is seeded into the world or the instance is found.
func TestExplorationFindsSeededFaults(t *testing.T) {
	for name, b := range map[string]breach{
		"a lost connection counts as none":     lostIsUnrun,
		"a connection sends again by itself":   sentAgain,
		"a request is refused when time is up": refusedLate,
	} {
		x := explore(cfsite.KindOnce, b, 2)
		if x.broken == "" {
			t.Errorf("%s: nothing found", name)
			continue
		}
		t.Logf("%s: %s", name, x.broken)
	}
}
