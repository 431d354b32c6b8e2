package cfhold_test

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfhold"
)

const (
	memory       = 184 << 20
	tick         = 50 // ms
	kernelBuffer = 256 << 10
	// ackStep is the granularity at which acknowledged bytes become visible.
	ackStep = 128 << 10
)

type (
	// answer is an answer in transit to a caller.
	answer struct {
		reservation *cfhold.Reservation
		size        int64
		rate        int64 // bytes a second
		read        int64
		since       cf.Millis
		granted     bool
		slow        bool
	}

	outcome struct {
		served, failed, slowCut, slowLeft int
		most                              int64
	}
)

// simulate runs an instance with some callers that read a kilobyte a second, each with one answer,
// and others that read 4 MB a second.
func simulate(p cfhold.Policy, slowEvery cf.Millis, until cf.Millis) outcome {
	l := cfhold.New(cfhold.BoundsFor(memory), p)
	var inProgress []*answer
	var out outcome
	for now := cf.Millis(0); now < until; now += tick {
		if now%slowEvery == 0 {
			r := l.Open(cfhold.Caller(fmt.Sprint("slow", now%7)), cfhold.Answer)
			inProgress = append(inProgress, &answer{reservation: r, size: 900 << 10, rate: 1 << 10, since: now, slow: true})
		}
		if now%100 == 0 {
			inProgress = append(inProgress, &answer{reservation: l.Open("other", cfhold.Answer), size: 300 << 10, rate: 4 << 20, since: now})
		}
		kept := inProgress[:0]
		for _, a := range inProgress {
			if a.step(l, now, &out) {
				kept = append(kept, a)
			}
		}
		inProgress = kept
		if now%cfhold.CheckInterval == 0 {
			inProgress = checkAll(l, inProgress, now, &out)
		}
		out.most = max(out.most, l.Held())
	}
	out.slowLeft = len(inProgress)
	return out
}

// step advances an answer by one tick; it returns false when the answer has ended.
func (a *answer) step(l *cfhold.Ledger, now cf.Millis, out *outcome) bool {
	if !a.granted {
		if a.granted = l.Take(a.reservation, a.size) == cfhold.Granted; !a.granted && now-a.since > cfhold.MaxWait {
			l.Close(a.reservation)
			if !a.slow {
				out.failed++
			}
			return false
		}
		return true
	}
	a.read += a.rate * tick / 1000
	if a.read+kernelBuffer < a.size {
		return true
	}
	l.Close(a.reservation)
	if !a.slow {
		out.served++
	}
	return false
}

// checkAll does what an instance does at each CheckInterval.
func checkAll(l *cfhold.Ledger, inProgress []*answer, now cf.Millis, out *outcome) []*answer {
	byReservation := map[*cfhold.Reservation]*answer{}
	for _, a := range inProgress {
		byReservation[a.reservation] = a
		if a.granted {
			l.ObserveWrite(a.reservation, 1, a.read/ackStep*ackStep, now)
		}
	}
	for _, c := range l.Cuts(now) {
		if byReservation[c.Reservation].slow {
			out.slowCut++
		} else {
			out.failed++
		}
		l.Close(c.Reservation)
		delete(byReservation, c.Reservation)
	}
	kept := inProgress[:0]
	for _, a := range inProgress {
		if byReservation[a.reservation] != nil {
			kept = append(kept, a)
		}
	}
	return kept
}

// TestSlowReadersLeaveRoomForOthers guards against an instance being killed for its memory while
// callers read a kilobyte a second. Five such callers arrive per second for a minute, along with
// others. Without the limits the bound is exceeded.
func TestSlowReadersLeaveRoomForOthers(t *testing.T) {
	bounds := cfhold.BoundsFor(memory)
	got := simulate(cfhold.Policy{}, 200, 60000)
	t.Logf("%+v", got)
	if got.failed > 0 || got.served < 590 || got.most > bounds.Total || got.slowCut == 0 {
		t.Errorf("%+v; want all others served and at most %d bytes reserved", got, bounds.Total)
	}
	if off := simulate(cfhold.Policy{Disabled: true}, 200, 60000); off.most <= bounds.Total {
		t.Errorf("without limits %+v: the load does not exceed the bound", off)
	}
}

// TestSteadyReadersAreServedWhileThereIsRoom guards against callers being cut off for their read
// rate alone, while memory is left.
func TestSteadyReadersAreServedWhileThereIsRoom(t *testing.T) {
	if got := simulate(cfhold.Policy{}, 30000, 300000); got.slowCut > 0 || got.failed > 0 || got.slowLeft < 10 {
		t.Errorf("%+v; want no caller cut off", got)
	}
}

// Tests single decisions: which callers are cut off, and what is granted.
func TestCutsAndGrants(t *testing.T) {
	const mb = 1 << 20
	open := func(l *cfhold.Ledger, c cfhold.Caller, k cfhold.Kind, n int64) *cfhold.Reservation {
		r := l.Open(c, k)
		if v := l.Take(r, n); v != cfhold.Granted {
			t.Errorf("reservation of %d bytes: %v", n, v)
		}
		return r
	}
	// A caller that reads nothing is cut off once, even without a bound.
	l := cfhold.New(cfhold.Bounds{}, cfhold.Policy{})
	r := open(l, "a", cfhold.Answer, 999*mb)
	cuts := 0
	for now := cf.Millis(0); now <= 2*cfhold.StallTimeout; now += cfhold.CheckInterval {
		l.ObserveWrite(r, 1, 5000, now)
		cuts += len(l.Cuts(now))
	}
	if cuts != 1 {
		t.Errorf("a caller that reads nothing was cut off %d times", cuts)
	}
	// The timeout starts again with each write.
	r = open(l, "a", cfhold.Stream, 0)
	for now := cf.Millis(0); now < 5000; now += cfhold.CheckInterval {
		l.ObserveWrite(r, uint64(now), 5000, now)
		if len(l.Cuts(now)) > 0 {
			t.Error("a stream whose writes complete was cut off")
		}
	}
	// One caller leaves a part for others.
	l = cfhold.New(cfhold.Bounds{Total: 16 * mb, PerCaller: 4 * mb, PageReserve: 2 * mb}, cfhold.Policy{})
	open(l, "a", cfhold.Answer, 12*mb)
	waiting := l.Open("a", cfhold.Answer)
	if l.Refuses("a") || l.Take(waiting, 2*mb) != cfhold.Wait || !l.Refuses("a") || l.Refuses("b") {
		t.Errorf("caller over its part refused %t, other caller refused %t", l.Refuses("a"), l.Refuses("b"))
	}
	l.StopWaiting(waiting)
	l.Close(open(l, "a", cfhold.Page, 2*mb)) // the caller can still read its results
	open(l, "b", cfhold.Answer, 2*mb)
	open(l, "c", cfhold.Answer, 2*mb)
	// Pages have a reserve, and are shortened to fit into it.
	if n, v := l.TakeUpTo(l.Open("d", cfhold.Page), 1*mb, 3*mb); v != cfhold.Granted || n != 2*mb {
		t.Errorf("a page got %d bytes, %v", n, v)
	}
	open(l, "d", cfhold.Answer, 4000) // small answers such as refusals always get through
	if v := l.Take(l.Open("d", cfhold.Answer), 17*mb); v != cfhold.TooLarge {
		t.Errorf("an answer over the bound: %v", v)
	}
}
