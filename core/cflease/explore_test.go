package cflease_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cflease"
)

// world is a whole state of two candidates and the lease's object. All of it
// is comparable, so that a state is explored once.
type world struct {
	reg    register
	leases [2]cflease.Lease
	late   late // one write under way, at is zero if none
	last   [2]order
	now    cf.Millis
	ended  [2]bool // its process has ended and not begun to act again
}

// action is what one candidate does in a tick.
type action int

const (
	rest        action = iota
	read               // reads the object
	write              // takes or renews
	writeLost          // the same, its answer is lost
	writeLate          // the same, it takes effect at any later tick
	restart            // its process ends and starts again
	release            // stops as planned
	seesDead           // finds that the other's process has ended
	lateArrives        // the late write takes effect, if it still may
	actions
)

// exploreTick is about half of a lease's validity, so that each span of the
// protocol is crossed with some steps to spare.
const exploreTick cf.Millis = 800

// forgetful bounds let a released lease say that no order was given lately.
var forgetful = cflease.Timing{RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 3201}

// explore plays every schedule of so many ticks, one candidate acting in each,
// and returns the first pair of orders that breaks the rule.
func explore(b cflease.Timing, ticks int) (states int, broken *[2]order) {
	ids := []cf.EntryID{"a", "b"}
	seen := map[world]int{}
	var play func(w world, left int)
	play = func(w world, left int) {
		if broken != nil || left == 0 {
			return
		}
		if l, ok := seen[w]; ok && l >= left {
			return
		}
		seen[w] = left
		for who := range 2 {
			for a := range actions {
				next, ok := step(w, b, ids, who, a)
				if !ok {
					continue
				}
				if o := next.orders(ids); o != nil {
					broken = o
					return
				}
				if play(next, left-1); broken != nil {
					return
				}
			}
		}
	}
	play(world{leases: [2]cflease.Lease{*cflease.New("a", b), *cflease.New("b", b)}}, ticks)
	return len(seen), broken
}

// step returns the state after one action, false where it makes no difference.
func step(w world, b cflease.Timing, ids []cf.EntryID, who int, a action) (world, bool) {
	l := &w.leases[who]
	w.now += exploreTick
	may := l.MayAcquire(w.now) || l.RenewDue(w.now)
	w.ended[who] = a == restart
	switch a {
	case rest:
		return w, who == 0
	case read:
		l.Observe(w.reg.rev, w.reg.h, w.now)
	case write:
		if !may {
			return w, false
		}
		if !take(&w.reg, l, w.now) {
			l.Observe(w.reg.rev, w.reg.h, w.now)
		}
	case writeLost:
		if !may || !w.reg.write(l.Rev(), l.Next("x", w.now)) {
			return w, false
		}
	case writeLate:
		if !may || w.late.at > 0 {
			return w, false
		}
		w.late = late{l.Rev(), l.Next("x", w.now), w.now}
	case restart:
		if l.Rev() == 0 {
			return w, false
		}
		*l = *cflease.New(ids[who], b)
	case seesDead:
		if !w.ended[1-who] || l.Holder().Entry != ids[1-who] {
			return w, false
		}
		l.HolderExited(l.Holder().Term, w.now)
	case release:
		if !l.Held() {
			return w, false
		}
		h := l.Release("", w.now)
		if b == forgetful {
			h.SinceLastOrder = b.HandoverDelay
		}
		l.Lost()
		w.reg.write(l.Rev(), h)
	case lateArrives:
		if w.late.at == 0 || who == 1 {
			return w, false
		}
		w.reg.write(w.late.rev, w.late.h)
		w.late = late{}
	}
	return w, true
}

// orders lets every candidate that may order do so, and returns the pair of
// orders that breaks the rule.
func (w *world) orders(ids []cf.EntryID) *[2]order {
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

// Every schedule of two candidates over ten ticks, with lost and late
// writes and restarts, keeps two holders' orders 3 s apart and their numbers
// rising.
func TestEveryScheduleKeepsOrdersApart(t *testing.T) {
	states, broken := explore(bounds, 10)
	t.Logf("%d states", states)
	if broken != nil {
		t.Errorf("orders %+v", *broken)
	}
}

// The exploration finds what it is there to find.
func TestExplorationFindsFaults(t *testing.T) {
	for name, b := range map[string]cflease.Timing{
		"handover too short": {RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 100},
		"taken too soon":     {RenewInterval: 700, Validity: 5000, TakeoverDelay: 500, HandoverDelay: 3200},
		"orders forgotten":   forgetful,
	} {
		if _, broken := explore(b, 10); broken == nil {
			t.Errorf("%s: not found", name)
		}
	}
}
