package cfquarantine

import (
	"fmt"
	"testing"

	cf "currantford"
)

const second cf.Millis = 1000

// anywhere is a target at which nothing is lost.
var anywhere = target(-1)

func target(n int) Incarnation { return Incarnation{ID: cf.InstanceID(fmt.Sprint("t", n))} }

func keyOf(caller, body string) Key { return KeyOf("POST", "h", "/p", caller, []byte(body)) }

// crash sends a request that passes, and loses its target.
func crash(t *testing.T, table *Table, k Key, dst Incarnation, now cf.Millis) {
	t.Helper()
	if v := table.Admit(k, dst, now); !v.Pass {
		t.Fatalf("held or waiting before its crash at %s: %+v", dst.ID, v)
	}
	table.Lost(k, dst, true, now)
	table.Checked(dst, now, LossRefused, now)
}

// passes reports whether a request may be sent, and drops the send.
func passes(table *Table, k Key, now cf.Millis) bool {
	v := table.Admit(k, anywhere, now)
	if v.Pass {
		table.Dropped(k, anywhere)
	}
	return v.Pass
}

// A request is held after its third crash and not before; other requests are not held.
func TestThirdCrashHoldsARequest(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	for n := range 3 {
		crash(t, table, k, target(n), cf.Millis(n)*100)
	}
	v := table.Admit(k, anywhere, 300)
	if v.Pass || v.RetryAt < 200+initialHold || len(v.Strikes) != 3 {
		t.Errorf("verdict after three crashes: %+v", v)
	}
	if !passes(table, keyOf("a", "y"), 300) {
		t.Error("another request of the caller is held")
	}
	if !passes(table, KeyOf("POST", "h", "/other", "a", []byte("x")), 300) {
		t.Error("the same body at another path is held")
	}
}

// TestInFlightSendsAreBoundedByRemainingCrashes guards against a service that loses all its targets
// to one request because the request is sent to each of them at once: retries and hedges of equal
// requests are in flight when the first one crashes its target. A count of past crashes alone does
// not include those to come.
func TestInFlightSendsAreBoundedByRemainingCrashes(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	crash(t, table, k, target(0), 0)
	if v := table.Admit(k, anywhere, 1); !v.Pass {
		t.Errorf("verdict on the first send after one crash: %+v, want a pass", v)
	}
	if v := table.Admit(k, anywhere, 1); !v.Pass {
		t.Errorf("verdict on the second send after one crash: %+v, want a pass", v)
	}
	if v := table.Admit(k, anywhere, 1); !v.Wait {
		t.Errorf("verdict on the third send after one crash: %+v, want a wait", v)
	}
	changed := table.Changed()
	table.Lost(k, target(1), true, 2)
	select {
	case <-changed:
	default:
		t.Error("waiting requests are not woken by a crash")
	}
	if v := table.Admit(k, anywhere, 2); !v.Wait {
		t.Errorf("verdict after two crashes, with one send in flight: %+v, want a wait", v)
	}
	table.Lost(k, target(2), true, 3)
	if v := table.Admit(k, anywhere, 3); !v.Wait {
		t.Errorf("verdict after three losses whose targets are being checked: %+v, want a wait", v)
	}
	table.Checked(target(1), 4, LossRefused, 5)
	table.Checked(target(2), 4, LossRefused, 5)
	if v := table.Admit(k, anywhere, 6); v.RetryAt == 0 {
		t.Errorf("verdict after three crashes: %+v", v)
	}
}

// TestCompletionVoidsStrikes guards against an innocent request that is refused because its targets
// were lost three times: the targets are killed, and the request completes between the losses or
// after them.
func TestCompletionVoidsStrikes(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	for n := range 9 {
		at := cf.Millis(n) * 2 * second
		crash(t, table, k, target(n), at)
		if n%2 == 1 {
			table.Admit(k, target(100), at+100)
			table.Answered(k, target(100), at+100, at+130)
		}
	}
	if !passes(table, k, 20*second) {
		t.Error("held, although it completed between its crashes")
	}
}

// TestPopularRequestSurvivesFailureDomainLoss guards against a popular request that is refused
// everywhere after a whole failure domain is lost with three targets that run it. The three crashes
// are one event, and the request was served before.
func TestPopularRequestSurvivesFailureDomainLoss(t *testing.T) {
	table := New("e")
	k := keyOf("a", "GET /popular")
	table.Admit(k, target(9), 0)
	table.Answered(k, target(9), 0, 10)
	for n := range 5 {
		table.Admit(k, anywhere, second)
		defer table.Dropped(k, anywhere)
		table.Lost(k, target(n), true, second+cf.Millis(n))
		table.Checked(target(n), second+cf.Millis(n), LossRefused, second+5)
	}
	for range 4 {
		if v := table.Admit(k, anywhere, second+10); !v.Pass {
			t.Errorf("a request that was served before is held, or waits, after the loss of one failure domain: %+v", v)
		}
		defer table.Dropped(k, anywhere)
	}
	// Crashes at other times, without a completion, do hold the request.
	crash(t, table, k, target(10), 5*second)
	crash(t, table, k, target(11), 9*second)
	if passes(table, k, 10*second) {
		t.Error("not held after crashes at three moments")
	}
}

// TestLiveTargetsAreNotEvidence guards against requests that are refused because the links to three
// targets were cut, or their connections reset: connections end without an answer, new ones fail,
// and later the targets answer.
func TestLiveTargetsAreNotEvidence(t *testing.T) {
	t.Run("reached at once", func(t *testing.T) {
		table := New("e")
		k := keyOf("a", "x")
		for n := range 5 {
			table.Admit(k, target(n), 0)
			table.Lost(k, target(n), true, cf.Millis(n))
			if strikes := table.Checked(target(n), cf.Millis(n), "", cf.Millis(n)+2); len(strikes) > 0 {
				t.Errorf("a loss at a live target is shared: %v", strikes)
			}
		}
		if !passes(table, k, 10) {
			t.Error("held, although every target was reached")
		}
	})
	t.Run("answers later", func(t *testing.T) {
		table := New("e")
		k, other := keyOf("a", "x"), keyOf("a", "y")
		for n := range 3 {
			crash(t, table, k, target(n), cf.Millis(n))
		}
		if passes(table, k, 10) {
			t.Fatal("not held while its targets seem gone")
		}
		table.Admit(other, target(1), second)
		table.Answered(other, target(1), second, second+20)
		table.Sweep(true, 2*second)
		if passes(table, k, 2*second) {
			t.Error("released before the instance list can show a restart")
		}
		if voided := table.Sweep(true, second+20+restartDetection+1); len(voided) != 1 || voided[0].Scope != Void {
			t.Errorf("strikes voided for a live target: %v, want one", voided)
		}
		if !passes(table, k, 7*second) {
			t.Error("held by strikes at three targets, one of which is alive")
		}
	})
	t.Run("restarted under its id", func(t *testing.T) {
		table := New("e")
		k, other := keyOf("a", "x"), keyOf("a", "y")
		for n := range 3 {
			crash(t, table, k, target(n), cf.Millis(n))
		}
		table.Admit(other, target(1), second)
		table.Answered(other, target(1), second, second+20) // by the successor
		table.Replaced(target(1), 2*second)
		table.Sweep(true, 9*second)
		if passes(table, k, 9*second) {
			t.Error("released by an answer of the target's successor")
		}
	})
	t.Run("unreachable before the send", func(t *testing.T) {
		// Machines stop responding while connections to them are open. The request is sent on these
		// connections and gets no answer, at one target after the other.
		table := New("e")
		k := keyOf("a", "x")
		for n := range 3 {
			table.Admit(k, target(n), 0)
			table.Lost(k, target(n), false, cf.Millis(n)*600)
			table.Checked(target(n), cf.Millis(n)*600, LossUnreachable, cf.Millis(n)*600+300)
			table.Replaced(target(n), 4*second)
		}
		if !passes(table, k, 5*second) {
			t.Error("held by losses of targets that may have been gone before the send")
		}
	})
	t.Run("gone soon after it was reached", func(t *testing.T) {
		table := New("e")
		k := keyOf("a", "x")
		for n := range 3 {
			table.Admit(k, target(n), 0)
			table.Lost(k, target(n), true, 0)
			table.Checked(target(n), 0, "", 2) // the successor already accepts connections
		}
		shared := 0
		for n := range 3 {
			shared += len(table.Replaced(target(n), second))
		}
		if shared != 3 || passes(table, k, 2*second) {
			t.Errorf("targets that restarted at once: %d strikes shared, want 3 and the request held", shared)
		}
	})
}

// TestSuspectsWithSameLossesAreSeparated guards against holding all items of a step while the one
// item that crashes its targets continues. Many items of equal content fill each target beside that
// item, and three targets crash before any item completes. Both contents have then lost the same
// targets, and the one that is held first would account for the losses of the other.
func TestSuspectsWithSameLossesAreSeparated(t *testing.T) {
	table := New("e")
	culprit, bystanders := keyOf("a", "x"), keyOf("a", "y")
	for n := range 3 {
		table.Admit(bystanders, target(n), 0)
	}
	for n := range 2 {
		at := cf.Millis(n) * 100
		table.Admit(culprit, target(n), at)
		table.Lost(culprit, target(n), true, at+40)
		table.Lost(bystanders, target(n), true, at+40)
		table.Checked(target(n), at+41, LossRefused, at+42)
	}
	// The bystanders keep running at target 2.
	if v := table.Admit(culprit, target(2), 200); !v.OtherTarget {
		t.Errorf("verdict on a third target that runs a suspect with the same losses: %+v, want another target", v)
	}
	if v := table.Admit(culprit, target(3), 200); !v.Pass {
		t.Errorf("verdict on a target without other suspects: %+v, want a pass", v)
	}
	if v := table.Admit(bystanders, target(3), 200); v.Pass {
		t.Error("the bystanders are sent to the target that runs the culprit")
	}
	table.Lost(culprit, target(3), true, 240)
	table.Checked(target(3), 241, LossRefused, 242)
	if v := table.Evaluate(culprit, 300); v.RetryAt == 0 {
		t.Errorf("the culprit is not held: %+v", v)
	}
	table.Sweep(true, 242+attributionDelay)
	if v := table.Evaluate(bystanders, 1000); !v.Pass {
		t.Errorf("the bystanders are not released: %+v", v)
	}
}

// TestCrashesAreAttributedToHeldRequest guards against holding a request that ran beside one that
// crashes targets: both lose two targets together, and the third target is lost under the other one
// alone.
func TestCrashesAreAttributedToHeldRequest(t *testing.T) {
	table := New("e")
	culprit, bystander := keyOf("a", "x"), keyOf("b", "y")
	for n := range 2 {
		at := cf.Millis(n) * second
		table.Admit(bystander, target(n), at)
		table.Lost(bystander, target(n), true, at)
		crash(t, table, culprit, target(n), at)
	}
	crash(t, table, culprit, target(2), 2*second)
	table.Sweep(true, 3*second)
	crash(t, table, bystander, target(3), 3*second)
	if !passes(table, bystander, 4*second) {
		t.Error("held by crashes that a held request accounts for")
	}
	if passes(table, culprit, 4*second) {
		t.Error("the culprit is not held")
	}
}

// TestStrikesOfOtherCallers guards against refusing a caller's request because of another caller's:
// the same content crashes targets for one caller and completes for another.
func TestStrikesOfOtherCallers(t *testing.T) {
	table := New("e")
	a, b, c := keyOf("a", "x"), keyOf("b", "x"), keyOf("c", "x")
	for n := range 3 {
		crash(t, table, a, target(n), cf.Millis(n))
	}
	if passes(table, a, 10) {
		t.Error("the request of the crashing caller is not held")
	}
	if !passes(table, b, 10) {
		t.Error("held although only another caller's requests crashed targets")
	}
	crash(t, table, b, target(3), 20)
	if passes(table, c, 30) {
		t.Error("a third caller's request passes although two callers' requests crashed targets")
	}
	table = New("e")
	for n := range 3 {
		crash(t, table, a, target(n), cf.Millis(n))
	}
	table.Admit(b, target(9), 10)
	table.Answered(b, target(9), 10, 20)
	if passes(table, a, 30) {
		t.Error("released by a completion of another caller's request")
	}
	crash(t, table, b, target(4), 40)
	if !passes(table, c, 50) {
		t.Error("held for all callers although it completed for one")
	}
}

// Requests with the same content from different callers are held after the third crash as well.
func TestThirdCrashHoldsAcrossCallers(t *testing.T) {
	table := New("e")
	for n := range 3 {
		crash(t, table, keyOf(fmt.Sprint("caller ", n), "x"), target(n), cf.Millis(n))
	}
	if passes(table, keyOf("caller 9", "x"), 10) {
		t.Error("not held")
	}
}

// TestHoldDuration guards against a wrongly held request that is refused for ever, and against a
// rightly held one that costs a target every minute.
func TestHoldDuration(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	now := cf.Millis(0)
	for n := range 3 {
		crash(t, table, k, target(n), now)
	}
	for n := 3; n < 7; n++ {
		v := table.Admit(k, anywhere, now+1)
		if v.RetryAt < now+holdDuration(n) || v.RetryAt > now+holdDuration(n)*5/4 {
			t.Fatalf("after %d crashes held for %d ms, want at least %d and at most a quarter more", n, v.RetryAt-now, holdDuration(n))
		}
		now = v.RetryAt
		if v := table.Admit(k, target(n), now); !v.Pass {
			t.Fatalf("no send on trial: %+v", v)
		}
		if v := table.Admit(k, anywhere, now); !v.Wait {
			t.Fatalf("verdict on a second trial in parallel: %+v, want a wait", v)
		}
		table.Lost(k, target(n), true, now)
		table.Checked(target(n), now, LossRefused, now)
	}
	now += holdDuration(7) * 2
	table.Admit(k, target(99), now)
	table.Answered(k, target(99), now, now+30)
	if !passes(table, k, now+40) {
		t.Error("still held after it completed")
	}
	table.Release(k.Content, now)
	if !passes(table, k, now+50) {
		t.Error("held after its release")
	}
}

// TestTableStaysBounded guards against memory or links that fill up, and against a held request
// that is dropped, when a caller crashes targets with bodies that differ in one byte each.
func TestTableStaysBounded(t *testing.T) {
	table := New("e")
	held := keyOf("a", "held")
	for n := range 3 {
		crash(t, table, held, target(n), 0)
	}
	for n := range 6_000 {
		crash(t, table, keyOf("a", fmt.Sprint(n)), target(n+10), cf.Millis(n))
	}
	if n := len(table.suspects); n > maxSuspects {
		t.Errorf("%d suspects, want %d at most", n, maxSuspects)
	}
	if n := len(table.strikesAt); n > maxSuspects*maxStrikes {
		t.Errorf("strikes counted at %d targets", n)
	}
	if passes(table, held, 30*second) {
		t.Error("the held request was evicted")
	}
	for n := range 100 {
		table.Admit(held, target(100_000+n), 0)
		table.Lost(held, target(100_000+n), true, cf.Millis(n))
	}
	if n := len(table.suspects[held.Content].strikes); n > maxStrikes {
		t.Errorf("%d strikes of one request", n)
	}
	table.Sweep(true, 30*second+3*maxHold)
	if len(table.suspects)+len(table.strikesAt)+len(table.inFlight) != 0 || table.checksums != (Checksums{}) {
		t.Errorf("left after everything expired: %d suspects, %d targets, %d contents in flight, checksums %v",
			len(table.suspects), len(table.strikesAt), len(table.inFlight), table.checksums)
	}
}

// TestUnsyncedInstanceSendsNothing guards against an instance that has just started and sends a
// request that other instances hold.
func TestUnsyncedInstanceSendsNothing(t *testing.T) {
	a, b := New("a"), NewUnsynced("b")
	held, healthy := keyOf("x", "1"), keyOf("y", "1")
	for n := range maxCrashes {
		a.Admit(held, target(n), 0)
		a.Lost(held, target(n), true, cf.Millis(n))
		a.Checked(target(n), cf.Millis(n), LossRefused, 10)
	}
	for _, k := range []Key{held, healthy} {
		if v := b.Admit(k, target(9), 100); v.Pass || !v.Unsynced || v.Wait {
			t.Errorf("verdict before the strikes of others are merged: %+v, want unsynced", v)
		}
	}
	strikes, _ := a.HeldStrikes(1, 200)
	b.Merge(strikes, 200)
	if v := b.Evaluate(healthy, 200); v.Pass {
		t.Error("sends before it is marked as synced")
	}
	if !b.MarkSynced() || b.MarkSynced() {
		t.Error("MarkSynced does not return true exactly once")
	}
	if passes(b, held, 300) || !passes(b, healthy, 300) {
		t.Error("a synced instance does not hold exactly what the others hold")
	}
}

// TestServedStateIsSharedWithStrikes guards against a popular request that is refused by instances
// that have not served it since their start, when several targets are lost at once.
func TestServedStateIsSharedWithStrikes(t *testing.T) {
	const lossTime = second
	for _, c := range []struct {
		name string
		// served lists the instances that have served the request; sees lists those that see the
		// losses of the three targets.
		served []int
		sees   [maxCrashes]int
		passes bool
	}{
		{"served where the losses are seen", []int{0}, [maxCrashes]int{0, 0, 1}, true},
		{"served where one of them is seen", []int{0}, [maxCrashes]int{1, 0, 2}, true},
		{"served where none is seen", []int{0}, [maxCrashes]int{1, 2, 1}, true},
		{"served nowhere", nil, [maxCrashes]int{0, 1, 2}, false},
	} {
		tables := []*Table{New("a"), New("b"), New("c")}
		k := keyOf("x", "popular")
		for _, i := range c.served {
			tables[i].Admit(k, target(9), 0)
			tables[i].Answered(k, target(9), 0, 10)
		}
		var strikes []Strike
		for n, i := range c.sees {
			seen := lossTime + cf.Millis(30*n)
			tables[i].Admit(k, target(n), lossTime-10)
			tables[i].Lost(k, target(n), true, seen)
			strikes = append(strikes, tables[i].Checked(target(n), seen, LossRefused, seen+2)...)
		}
		for len(strikes) > 0 { // until no instance passes strikes on
			var next []Strike
			for _, table := range tables {
				next = append(next, table.Merge(strikes, lossTime+100)...)
			}
			strikes = next
		}
		for i, table := range tables {
			if got := passes(table, k, lossTime+200); got != c.passes {
				t.Errorf("%s: passes %v at instance %d", c.name, got, i)
			}
			if table.Checksums() != tables[0].Checksums() {
				t.Errorf("%s: instance %d has not converged: %v and %v", c.name, i, table.Checksums(), tables[0].Checksums())
			}
		}
	}
}

// Instances that receive the same strikes in any order, some of them twice, converge.
func TestInstancesConverge(t *testing.T) {
	a, b, c := New("a"), New("b"), New("c")
	k, other := keyOf("x", "1"), keyOf("y", "1")
	var strikes []Strike
	for n := range 3 {
		a.Admit(k, target(n), 0)
		a.Lost(k, target(n), true, cf.Millis(n))
		strikes = append(strikes, a.Checked(target(n), cf.Millis(n), LossRefused, 10)...)
	}
	for i := range strikes {
		b.Merge(strikes[len(strikes)-1-i:len(strikes)-i], 500)
	}
	if a.Checksums().Held == 0 || a.Checksums() != b.Checksums() {
		t.Errorf("checksums %v and %v of the same strikes", a.Checksums(), b.Checksums())
	}
	if again := b.Merge(strikes, 600); len(again) > 0 {
		t.Errorf("known strikes are passed on: %v", again)
	}
	if passes(b, k, 600) {
		t.Error("not held at another instance")
	}
	// The third instance has seen the request complete for another caller, and receives the strikes
	// late.
	c.Merge(strikes[:1], 100)
	c.Admit(other, target(9), 200)
	strikes = append(strikes, c.Answered(other, target(9), 200, 230)...)
	for _, table := range []*Table{a, b, c} {
		table.Merge(strikes, 700)
	}
	if a.Checksums() != b.Checksums() || a.Checksums() != c.Checksums() {
		t.Errorf("checksums %v, %v and %v after all instances received all strikes", a.Checksums(), b.Checksums(), c.Checksums())
	}
	// An instance without strikes asks for an exchange. The reply contains the strikes of held
	// contents, and those of the contents that the asking instance names.
	d := New("d")
	held, n := a.HeldStrikes(10, 800)
	if n != 1 {
		t.Errorf("%d held, want 1", n)
	}
	d.Merge(a.ExchangeReply(nil, 0, 10, 800), 800)
	if d.Checksums() != a.Checksums() {
		t.Error("two instances differ after an exchange")
	}
	a.Release(k.Content, 900)
	d.Merge(a.ExchangeReply(held, 0, 10, 900), 900)
	if !passes(d, k, 900) {
		t.Error("held although the exchange shows that it was released")
	}
}

// TestPartialExchangesConverge guards against instances that never converge because each exchange
// contains the same few requests.
func TestPartialExchangesConverge(t *testing.T) {
	const held, limit = 40, 16
	a, b := New("a"), New("b")
	for n := range 2 * held {
		table, k := a, keyOf("caller", fmt.Sprint(n))
		if n%2 == 0 {
			table = b
		}
		for i := range maxCrashes {
			table.Admit(k, target(10*n+i), 0)
			table.Lost(k, target(10*n+i), true, cf.Millis(n))
			table.Checked(target(10*n+i), cf.Millis(n), LossRefused, cf.Millis(n))
		}
	}
	exchanges := 0
	for offset := 0; a.Checksums() != b.Checksums(); offset += limit {
		if exchanges++; exchanges > 2*held/limit {
			t.Fatalf("instances differ after %d exchanges", exchanges)
		}
		ours := a.StrikesByPriority(offset, limit, 1000)
		b.Merge(ours, 1000)
		a.Merge(b.ExchangeReply(ours, offset, limit, 1000), 1000)
	}
}
