package cflease_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cflease"
)

// modelState is the complete state of two candidates and the lease's object. It is comparable, so
// that each state is explored only once.
type modelState struct {
	reg     register
	leases  [2]cflease.Lease
	pending lateWrite // at most one pending write; its at is zero if there is none
	last    [2]order
	now     cf.Millis
	exited  [2]bool // the process has ended, and has not acted since its restart
}

// action is what one candidate does in one tick.
type action int

const (
	idle             action = iota
	read                    // reads the object
	write                   // acquires or renews the lease
	writeLost               // same as write, but the answer is lost
	writeLate               // same as write, but it takes effect at any later tick
	restart                 // its process ends and starts again
	release                 // stops as planned
	observesExit            // finds that the process of the other candidate has ended
	lateWriteApplied        // the late write is applied, if its condition still holds
	actionCount
)

// exploreTick is about half of a lease's validity, so that the explored ticks cover each duration
// of the protocol with some to spare.
const exploreTick cf.Millis = 800

// forgetsOrders is a timing for which step lets a released lease claim that no order was given
// lately.
var forgetsOrders = cflease.Timing{RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 3201}

// explore runs every schedule of the given number of ticks, with one candidate acting in each tick,
// and returns the first pair of orders that violates the rules.
func explore(timing cflease.Timing, ticks int) (states int, broken *[2]order) {
	ids := []cf.EntryID{"a", "b"}
	seen := map[modelState]int{}
	var visit func(w modelState, left int)
	visit = func(w modelState, left int) {
		if broken != nil || left == 0 {
			return
		}
		if l, ok := seen[w]; ok && l >= left {
			return
		}
		seen[w] = left
		for who := range 2 {
			for a := range actionCount {
				next, ok := step(w, timing, ids, who, a)
				if !ok {
					continue
				}
				if o := next.orders(ids); o != nil {
					broken = o
					return
				}
				if visit(next, left-1); broken != nil {
					return
				}
			}
		}
	}
	visit(modelState{leases: [2]cflease.Lease{*cflease.New("a", timing), *cflease.New("b", timing)}}, ticks)
	return len(seen), broken
}

// step returns the state after one action, and false if the action need not be explored: it is
// impossible in this state or the same for either candidate.
func step(w modelState, timing cflease.Timing, ids []cf.EntryID, who int, a action) (modelState, bool) {
	l := &w.leases[who]
	w.now += exploreTick
	mayWrite := l.MayAcquire(w.now) || l.RenewDue(w.now)
	w.exited[who] = a == restart
	switch a {
	case idle:
		return w, who == 0
	case read:
		l.Observe(w.reg.rev, w.reg.holder, w.now)
	case write:
		if !mayWrite {
			return w, false
		}
		if !acquire(&w.reg, l, w.now) {
			l.Observe(w.reg.rev, w.reg.holder, w.now)
		}
	case writeLost:
		if !mayWrite || !w.reg.write(l.Rev(), l.Next("x", w.now)) {
			return w, false
		}
	case writeLate:
		if !mayWrite || w.pending.at > 0 {
			return w, false
		}
		w.pending = lateWrite{l.Rev(), l.Next("x", w.now), w.now}
	case restart:
		if l.Rev() == 0 {
			return w, false
		}
		*l = *cflease.New(ids[who], timing)
	case observesExit:
		if !w.exited[1-who] || l.Holder().Entry != ids[1-who] {
			return w, false
		}
		l.HolderExited(l.Holder().Term, w.now)
	case release:
		if !l.Held() {
			return w, false
		}
		h, _ := l.Release("", w.now)
		if timing == forgetsOrders {
			h.SinceLastOrder = timing.HandoverDelay
		}
		l.Lost()
		w.reg.write(l.Rev(), h)
	case lateWriteApplied:
		if w.pending.at == 0 || who == 1 {
			return w, false
		}
		w.reg.write(w.pending.rev, w.pending.holder)
		w.pending = lateWrite{}
	}
	return w, true
}

// orders lets every candidate that may give an order do so, and returns a pair of orders that
// violates the rules, or nil.
func (w *modelState) orders(ids []cf.EntryID) *[2]order {
	for i := range w.leases {
		if !w.leases[i].MayOrder(w.now) {
			continue
		}
		w.leases[i].RecordOrder(w.now)
		o := order{ids[i], w.leases[i].Term(), w.now}
		if other := w.last[1-i]; other.at > 0 && (o.at-other.at < 3000 || o.term <= other.term) {
			return &[2]order{other, o}
		}
		if own := w.last[i]; o.term < own.term {
			return &[2]order{own, o}
		}
		w.last[i] = o
	}
	return nil
}

// TestEveryScheduleSeparatesOrders checks that in every schedule of two candidates over ten ticks,
// with lost and late writes and restarts, the orders of two holders are at least 3 s apart and
// their terms increase.
func TestEveryScheduleSeparatesOrders(t *testing.T) {
	states, broken := explore(testTiming, 10)
	t.Logf("explored %d states", states)
	if broken != nil {
		t.Errorf("orders too close together or with decreasing terms: %+v", *broken)
	}
}

// TestExplorationFindsFaults checks that the exploration detects timings, and a release, that
// violate the rules.
func TestExplorationFindsFaults(t *testing.T) {
	for name, timing := range map[string]cflease.Timing{
		"handover too short":  {RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 100},
		"takeover too early":  {RenewInterval: 700, Validity: 5000, TakeoverDelay: 500, HandoverDelay: 3200},
		"orders not recorded": forgetsOrders,
	} {
		if _, broken := explore(timing, 10); broken == nil {
			t.Errorf("%s: the exploration does not find the fault", name)
		}
	}
}
