package cflease_test

import (
	"math/rand/v2"
	"testing"

	cf "currantford"
	"currantford/core/cflease"
)

var bounds = cflease.Timing{RenewInterval: 700, Validity: 1800, TakeoverDelay: 2200, HandoverDelay: 3200}

// register is the lease's object: conditional writes, one at a time.
type register struct {
	rev cf.Revision
	h   cflease.Holder
}

// write writes h on condition of rev, and returns whether it took effect.
func (r *register) write(rev cf.Revision, h cflease.Holder) bool {
	if rev != r.rev {
		return false
	}
	r.rev += 3 // other objects change too
	r.h = h
	return true
}

// take tries to take or renew the lease at now.
func take(r *register, l *cflease.Lease, now cf.Millis) bool {
	next := l.Next("addr", now)
	if !r.write(l.Rev(), next) {
		return false
	}
	l.Acquired(r.rev, next, now, now)
	return true
}

func TestFirstHolderOrdersAtOnce(t *testing.T) {
	r := &register{}
	l := cflease.New("a", bounds)
	if !take(r, l, 0) || !l.MayOrder(0) || l.Term() == 0 {
		t.Errorf("first holder: may order %v, term %d", l.MayOrder(0), l.Term())
	}
}

// Symptom: two holders' orders reach one target within the time that must lie
// between them.
// Sequence: a holder is frozen; another takes over; the first wakes up.
func TestFrozenHolderIsOverBeforeItsSuccessorOrders(t *testing.T) {
	r := &register{}
	a, b := cflease.New("a", bounds), cflease.New("b", bounds)
	take(r, a, 0)
	b.Observe(r.rev, r.h, 100)
	for now := cf.Millis(100); now < 2300; now += 100 {
		if b.MayAcquire(now) {
			t.Fatalf("taken at %d, while the holder may believe itself valid until 1800", now)
		}
	}
	if !b.MayAcquire(2300) || !take(r, b, 2300) {
		t.Fatal("not taken after the takeover's time")
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
		t.Errorf("term %d after %d", b.Term(), a.Term())
	}
}

// A holder that restarts is the same holder to targets: it goes on at once,
// with a higher number, unless it had to wait itself.
func TestRestartedHolderGoesOn(t *testing.T) {
	r := &register{}
	a := cflease.New("a", bounds)
	take(r, a, 0)
	take(r, a, 700) // from now on the object says that it orders
	again := cflease.New("a", bounds)
	again.Observe(r.rev, r.h, 900)
	if !again.MayAcquire(900) || !take(r, again, 900) || !again.MayOrder(900) {
		t.Error("a restarted holder does not go on")
	}
	if again.Term() <= a.Term() {
		t.Errorf("term %d after %d", again.Term(), a.Term())
	}
	b := cflease.New("b", bounds)
	b.Observe(r.rev, r.h, 900)
	take(r, b, 3200)
	restarted := cflease.New("b", bounds)
	restarted.Observe(r.rev, r.h, 3500)
	if take(r, restarted, 3500); restarted.MayOrder(3500) {
		t.Error("a restart cut the handover short")
	}
}

// Symptom: a holder whose renewal was written but not answered steps down, or
// acts on after its time.
// Sequence: the renewal's answer is lost; the object shows it at the next
// write.
func TestRenewalWithoutAnswer(t *testing.T) {
	r := &register{}
	a := cflease.New("a", bounds)
	take(r, a, 0)
	r.write(a.Rev(), a.Next("addr", 700)) // its answer is lost
	if a.Valid(1800) {
		t.Error("valid without an answer for longer than its validity")
	}
	a.Observe(r.rev, r.h, 1000)
	if !a.Valid(1000) || !a.RenewDue(1000) {
		t.Error("its own renewal is taken for another's")
	}
	if !take(r, a, 1000) || !a.Valid(2700) {
		t.Error("can't renew on its own renewal")
	}
}

func TestStoppedHoldersAreReplacedAtOnce(t *testing.T) {
	r := &register{}
	a, b := cflease.New("a", bounds), cflease.New("b", bounds)
	take(r, a, 0)
	b.Observe(r.rev, r.h, 10)
	b.HolderExited(r.h.Term+1, 15) // another holder's
	if b.MayAcquire(20) {
		t.Error("taken on word of another holder's end")
	}
	b.HolderExited(r.h.Term, 20)
	if !b.MayAcquire(20) || !take(r, b, 20) {
		t.Error("not taken though the holder's process has ended")
	}
	if b.MayOrder(3000) {
		t.Error("orders before the handover")
	}
	released := r.h
	released.Released = true
	r.write(r.rev, released)
	a.Observe(r.rev, r.h, 30)
	if !a.MayAcquire(30) {
		t.Error("not taken though it was released")
	}
}

// FuzzTwoHolders runs random schedules of two candidates with lost and late
// writes, pauses and restarts, and checks that two holders' orders always lie
// 3 s apart and that terms never fall.
func FuzzTwoHolders(f *testing.F) {
	f.Add([]byte{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 200, 201, 202, 203})
	f.Add([]byte("a long schedule with many different steps in it, twice over and over"))
	f.Fuzz(func(t *testing.T, steps []byte) { runSchedule(t, steps) })
}

// Random schedules, always the same ones.
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

type late struct {
	rev cf.Revision
	h   cflease.Holder
	at  cf.Millis
}

type order struct {
	by   cf.EntryID
	term cf.Revision
	at   cf.Millis
}

// runSchedule plays one schedule. Each byte makes one candidate act after some
// time; its high bits choose what goes wrong.
func runSchedule(t *testing.T, steps []byte) {
	r := &register{}
	ids := []cf.EntryID{"a", "b"}
	candidates := []*cflease.Lease{cflease.New("a", bounds), cflease.New("b", bounds)}
	var writes []late
	last := map[cf.EntryID]order{}
	now := cf.Millis(0)
	for _, s := range steps {
		now += cf.Millis(s%16) * 90
		for len(writes) > 0 && writes[0].at <= now {
			r.write(writes[0].rev, writes[0].h)
			writes = writes[1:]
		}
		i := int(s>>4) & 1
		l := candidates[i]
		switch s >> 5 {
		case 0: // a restart
			candidates[i] = cflease.New(ids[i], bounds)
			continue
		case 1: // reads
			l.Observe(r.rev, r.h, now)
		case 2: // a write whose answer is lost
			if l.MayAcquire(now) || l.RenewDue(now) {
				r.write(l.Rev(), l.Next("x", now))
			}
		case 3: // a write that takes effect late
			if l.MayAcquire(now) || l.RenewDue(now) {
				writes = append(writes, late{l.Rev(), l.Next("x", now), now + 2000})
			}
		case 4: // a planned stop, as often as a write would do
			if l.Held() && s%4 == 0 {
				h := l.Release(ids[1-i], now)
				l.Lost()
				r.write(l.Rev(), h)
			}
		default:
			if r.rev > 0 && l.Rev() == 0 {
				l.Observe(r.rev, r.h, now)
			}
			if l.MayAcquire(now) || l.RenewDue(now) {
				if !take(r, l, now) {
					l.Observe(r.rev, r.h, now)
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
					t.Fatalf("orders %+v and %+v", p, o)
				}
			}
			if o.term < last[o.by].term {
				t.Fatalf("term falls: %+v after %+v", o, last[o.by])
			}
			last[o.by] = o
		}
	}
}

// Symptom: after an outage of the store nobody coordinates for two seconds more,
// though the coordinator was lost long before its end; or each outage changes the
// coordinator, and its runs are lost.
// Sequence: the store goes away for 5 s; the holder answers its peers all the
// while, or is silent.
func TestOutageExcusesOnlyAHolderThatAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		answers, taken bool
	}{
		"answers": {true, false}, "silent": {false, true},
	} {
		r := &register{}
		a, b := cflease.New("a", bounds), cflease.New("b", bounds)
		take(r, a, 0)
		b.Observe(r.rev, r.h, 100)
		heard := cf.Millis(100)
		for now := cf.Millis(200); now <= 5000; now += 600 {
			if c.answers {
				heard = now
			}
			b.StoreUnreachable(now, heard)
		}
		if got := b.MayAcquire(5100); got != c.taken {
			t.Errorf("%s: may be taken right after the outage: %v", name, got)
		}
		if !b.MayAcquire(5000 + bounds.TakeoverDelay + 100) {
			t.Errorf("%s: not taken after the whole time", name)
		}
	}
}

// A released lease goes to the successor that it names; if that one does not take
// it, any other may.
func TestNamedSuccessorIsWaitedFor(t *testing.T) {
	l, named := cflease.New("b", cflease.DefaultTiming), cflease.New("c", cflease.DefaultTiming)
	released := cflease.Holder{Entry: "a", Term: 1, Released: true, Successor: "c"}
	l.Observe(5, released, 1000)
	named.Observe(5, released, 1000)
	if !named.MayAcquire(1000) {
		t.Error("the named successor may not take the lease")
	}
	if l.MayAcquire(1500) {
		t.Error("another may take it at once")
	}
	if !l.MayAcquire(1800) {
		t.Error("nobody else may take it once the successor had its time")
	}
	if next := named.Next("addr", 1100); next.Successor != "" || next.Released {
		t.Errorf("the new holder's lease says %+v", next)
	}
}
