package cflease_test

import (
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cflease"
)

var testTiming = cflease.Timing{RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 3200}

// register is the lease's object, changed by one conditional write at a time.
type register struct {
	rev    cf.Revision
	holder cflease.Holder
}

// write writes h on condition of rev and reports whether the write took effect.
func (r *register) write(rev cf.Revision, h cflease.Holder) bool {
	if rev != r.rev {
		return false
	}
	r.rev += 3 // Other objects change too.
	r.holder = h
	return true
}

// acquire tries to acquire or renew the lease at now.
func acquire(r *register, l *cflease.Lease, now cf.Millis) bool {
	next := l.Next("addr", now)
	if !r.write(l.Rev(), next) {
		return false
	}
	l.Acquired(r.rev, next, now, now)
	return true
}

func TestFirstHolderMayOrderImmediately(t *testing.T) {
	r := &register{}
	l := cflease.New("a", testTiming)
	if !acquire(r, l, 0) || !l.MayOrder(0) || l.Term() == 0 {
		t.Errorf("first holder: may order %v, term %d", l.MayOrder(0), l.Term())
	}
}

// TestSuspendedHolderExpiresBeforeSuccessorOrders guards against orders of two holders that reach
// one target within the required separation, when a holder is suspended, another one takes over,
// and the first one resumes.
func TestSuspendedHolderExpiresBeforeSuccessorOrders(t *testing.T) {
	r := &register{}
	a, b := cflease.New("a", testTiming), cflease.New("b", testTiming)
	acquire(r, a, 0)
	b.Observe(r.rev, r.holder, 100)
	for now := cf.Millis(100); now < 2300; now += 100 {
		if b.MayAcquire(now) {
			t.Fatalf("may be acquired at %d, although the holder may act until 1800", now)
		}
	}
	if !b.MayAcquire(2300) || !acquire(r, b, 2300) {
		t.Fatal("not acquired after the takeover delay")
	}
	last := cf.Millis(0)
	for now := cf.Millis(0); now < 10000; now += 50 {
		if a.MayOrder(now) {
			last = now
		}
		if b.MayOrder(now) && now-last < 3000 {
			t.Fatalf("orders of two holders at %d and %d", last, now)
		}
	}
	if b.Term() <= a.Term() {
		t.Errorf("term %d does not exceed the previous term %d", b.Term(), a.Term())
	}
}

// TestRestartedHolderContinues checks that a holder that restarts counts as the same holder to
// targets: it continues immediately with a higher term, unless it was still in its own handover
// delay.
func TestRestartedHolderContinues(t *testing.T) {
	r := &register{}
	a := cflease.New("a", testTiming)
	acquire(r, a, 0)
	acquire(r, a, 700) // From now on the object says that the holder gives orders.
	again := cflease.New("a", testTiming)
	again.Observe(r.rev, r.holder, 900)
	if !again.MayAcquire(900) || !acquire(r, again, 900) || !again.MayOrder(900) {
		t.Error("a restarted holder does not continue")
	}
	if again.Term() <= a.Term() {
		t.Errorf("term %d does not exceed the previous term %d", again.Term(), a.Term())
	}
	b := cflease.New("b", testTiming)
	b.Observe(r.rev, r.holder, 900)
	acquire(r, b, 3200)
	restarted := cflease.New("b", testTiming)
	restarted.Observe(r.rev, r.holder, 3500)
	if acquire(r, restarted, 3500); restarted.MayOrder(3500) {
		t.Error("a restart shortened the handover delay")
	}
}

// TestRenewalWithLostResponse guards against a holder that steps down, or acts beyond its validity,
// when a renewal was written but its answer was lost. The next read of the object shows the
// renewal.
func TestRenewalWithLostResponse(t *testing.T) {
	r := &register{}
	a := cflease.New("a", testTiming)
	acquire(r, a, 0)
	r.write(a.Rev(), a.Next("addr", 700)) // The answer is lost.
	if a.Valid(1800) {
		t.Error("valid beyond its validity without an answered renewal")
	}
	a.Observe(r.rev, r.holder, 1000)
	if !a.Valid(1000) || !a.RenewDue(1000) {
		t.Error("the holder mistakes its own renewal for that of another holder")
	}
	if !acquire(r, a, 1000) || !a.Valid(2700) {
		t.Error("cannot renew after its own renewal without an answer")
	}
}

func TestStoppedHolderIsReplacedImmediately(t *testing.T) {
	r := &register{}
	a, b := cflease.New("a", testTiming), cflease.New("b", testTiming)
	acquire(r, a, 0)
	b.Observe(r.rev, r.holder, 10)
	b.HolderExited(r.holder.Term+1, 15) // a different holder's term
	if b.MayAcquire(20) {
		t.Error("may be acquired although a different holder's process has ended")
	}
	b.HolderExited(r.holder.Term, 20)
	if !b.MayAcquire(20) || !acquire(r, b, 20) {
		t.Error("not acquired although the holder's process has ended")
	}
	if b.MayOrder(3000) {
		t.Error("may give orders before the end of the handover delay")
	}
	released := r.holder
	released.Released = true
	r.write(r.rev, released)
	a.Observe(r.rev, r.holder, 30)
	if !a.MayAcquire(30) {
		t.Error("may not be acquired although it was released")
	}
}

// FuzzTwoHolders runs random schedules of two candidates with lost and late writes, pauses and
// restarts, and checks that the orders of two holders are always at least 3 s apart and that terms
// never decrease.
func FuzzTwoHolders(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 200, 201, 202, 203})
	f.Add([]byte("a long schedule with many different steps in it, twice over and over"))
	f.Fuzz(func(t *testing.T, steps []byte) { runSchedule(t, steps) })
}

// TestTwoHoldersRandomSchedules runs random schedules from a fixed seed.
func TestTwoHoldersRandomSchedules(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 5000 {
		steps := make([]byte, 200)
		for i := range steps {
			steps[i] = byte(random.Uint32())
		}
		runSchedule(t, steps)
	}
}

type lateWrite struct {
	rev    cf.Revision
	holder cflease.Holder
	at     cf.Millis
}

type order struct {
	by   cf.EntryID
	term cf.Revision
	at   cf.Millis
}

// runSchedule runs one schedule. Each byte makes one candidate act after a delay; the high bits
// select the action or fault.
func runSchedule(t *testing.T, steps []byte) {
	r := &register{}
	ids := []cf.EntryID{"a", "b"}
	candidates := []*cflease.Lease{cflease.New("a", testTiming), cflease.New("b", testTiming)}
	var writes []lateWrite
	last := map[cf.EntryID]order{}
	now := cf.Millis(0)
	for _, s := range steps {
		now += cf.Millis(s%16) * 90
		for len(writes) > 0 && writes[0].at <= now {
			r.write(writes[0].rev, writes[0].holder)
			writes = writes[1:]
		}
		i := int(s>>4) & 1
		l := candidates[i]
		switch s >> 5 {
		case 0: // a restart
			candidates[i] = cflease.New(ids[i], testTiming)
			continue
		case 1: // a read
			l.Observe(r.rev, r.holder, now)
		case 2: // a write whose answer is lost
			if l.MayAcquire(now) || l.RenewDue(now) {
				r.write(l.Rev(), l.Next("x", now))
			}
		case 3: // a write that takes effect late
			if l.MayAcquire(now) || l.RenewDue(now) {
				writes = append(writes, lateWrite{l.Rev(), l.Next("x", now), now + 2000})
			}
		case 4: // a planned stop, for one value in four, so that stops are no more frequent than other writes
			if l.Held() && s%4 == 0 {
				h, own := l.Release(ids[1-i], now)
				if !own {
					t.Fatalf("the lease is held, and is that of %s", h.Entry)
				}
				l.Lost()
				r.write(l.Rev(), h)
			}
		default:
			if r.rev > 0 && l.Rev() == 0 {
				l.Observe(r.rev, r.holder, now)
			}
			if l.MayAcquire(now) || l.RenewDue(now) {
				if !acquire(r, l, now) {
					l.Observe(r.rev, r.holder, now)
				}
			}
		}
		for j, c := range candidates {
			if !c.MayOrder(now) {
				continue
			}
			c.RecordOrder(now)
			o := order{ids[j], c.Term(), now}
			for other, p := range last {
				if other != o.by && (o.at-p.at < 3000 || o.term <= p.term) {
					t.Fatalf("orders too close together or with decreasing terms: %+v and %+v", p, o)
				}
			}
			if o.term < last[o.by].term {
				t.Fatalf("term decreases: %+v after %+v", o, last[o.by])
			}
			last[o.by] = o
		}
	}
}

// TestStoreOutageExtendsLeaseOnlyOfAnsweringHolder guards against two faults. If an outage of the
// store extended the lease of a coordinator that was lost long before the outage ended, no instance
// would coordinate for two more seconds. If it extended no lease, each outage would change the
// coordinator, and its runs would be lost. Here the store is unreachable for 5 s while the holder
// answers its peers or is silent.
func TestStoreOutageExtendsLeaseOnlyOfAnsweringHolder(t *testing.T) {
	for name, c := range map[string]struct {
		answers, taken bool
	}{
		"answers": {true, false}, "silent": {false, true},
	} {
		r := &register{}
		a, b := cflease.New("a", testTiming), cflease.New("b", testTiming)
		acquire(r, a, 0)
		b.Observe(r.rev, r.holder, 100)
		answeredAt := cf.Millis(100)
		for now := cf.Millis(200); now <= 5000; now += 600 {
			if c.answers {
				answeredAt = now
			}
			b.StoreUnreachable(now, answeredAt)
		}
		if got := b.MayAcquire(5100); got != c.taken {
			t.Errorf("holder %s: may be acquired right after the outage: %v", name, got)
		}
		if !b.MayAcquire(5000 + testTiming.TakeoverDelay + 100) {
			t.Errorf("holder %s: may not be acquired after the full takeover delay", name)
		}
	}
}

// TestNamedSuccessorHasPriority checks that a released lease goes to the successor that it names,
// and that any other candidate may acquire it if the successor does not.
func TestNamedSuccessorHasPriority(t *testing.T) {
	l, successor := cflease.New("b", cflease.DefaultTiming), cflease.New("c", cflease.DefaultTiming)
	released := cflease.Holder{Entry: "a", Term: 1, Released: true, Successor: "c"}
	l.Observe(5, released, 1000)
	successor.Observe(5, released, 1000)
	if !successor.MayAcquire(1000) {
		t.Error("the named successor may not acquire the lease")
	}
	if l.MayAcquire(1500) {
		t.Error("another candidate may acquire it immediately")
	}
	if !l.MayAcquire(1800) {
		t.Error("no other candidate may acquire it after successorPriority")
	}
	if next := successor.Next("addr", 1100); next.Successor != "" || next.Released {
		t.Errorf("the new holder's lease still has the fields of a release: %+v", next)
	}
}
