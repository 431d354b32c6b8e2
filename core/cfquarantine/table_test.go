package cfquarantine

import (
	"fmt"
	"testing"

	cf "currantford"
)

const second cf.Millis = 1000

// anywhere is a target that nothing is lost at.
var anywhere = target(-1)

func target(n int) Incarnation { return Incarnation{ID: cf.InstanceID(fmt.Sprint("t", n))} }

func keyOf(caller, body string) Key { return KeyOf("POST", "h", "/p", caller, []byte(body)) }

// crash sends a request that passes, and loses its target.
func crash(t *testing.T, table *Table, k Key, at Incarnation, now cf.Millis) {
	t.Helper()
	if v := table.Admit(k, at, now); !v.Pass {
		t.Fatalf("held or waiting before its crash at %s: %+v", at.ID, v)
	}
	table.Lost(k, at, true, now)
	table.Checked(at, now, LossRefused, now)
}

// passes sends a request that is dropped.
func passes(table *Table, k Key, now cf.Millis) bool {
	v := table.Admit(k, anywhere, now)
	if v.Pass {
		table.Dropped(k, anywhere)
	}
	return v.Pass
}

// A request is held after its third crash and no sooner; others are not.
func TestThirdCrashHoldsARequest(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	for n := range 3 {
		crash(t, table, k, target(n), cf.Millis(n)*100)
	}
	v := table.Admit(k, anywhere, 300)
	if v.Pass || v.RetryAt < 200+holdFirst || len(v.Strikes) != 3 {
		t.Errorf("after three crashes: %+v", v)
	}
	if !passes(table, keyOf("a", "y"), 300) {
		t.Error("another request of the caller is held")
	}
	if !passes(table, KeyOf("POST", "h", "/other", "a", []byte("x")), 300) {
		t.Error("the same body at another path is held")
	}
}

// Symptom: a service loses all its targets to one request that is sent to each of them
// at once.
// Sequence: retries and hedges of equal requests are under way when the first crashes.
// Cause guarded against: a count of crashes alone says nothing of those to come.
func TestNoMoreAreUnderWayThanMayCrash(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	crash(t, table, k, target(0), 0)
	if v := table.Admit(k, anywhere, 1); !v.Pass {
		t.Errorf("after one crash one may run: %+v", v)
	}
	if v := table.Admit(k, anywhere, 1); !v.Pass {
		t.Errorf("after one crash two may run: %+v", v)
	}
	if v := table.Admit(k, anywhere, 1); !v.Wait {
		t.Errorf("after one crash a third waits: %+v", v)
	}
	changed := table.Changed()
	table.Lost(k, target(1), true, 2)
	select {
	case <-changed:
	default:
		t.Error("who waits is not woken by a crash")
	}
	if v := table.Admit(k, anywhere, 2); !v.Wait {
		t.Errorf("after two crashes, with one under way, the next waits: %+v", v)
	}
	table.Lost(k, target(2), true, 3)
	if v := table.Admit(k, anywhere, 3); !v.Wait {
		t.Errorf("after three losses whose targets are being checked: %+v", v)
	}
	table.Checked(target(1), 4, LossRefused, 5)
	table.Checked(target(2), 4, LossRefused, 5)
	if v := table.Admit(k, anywhere, 6); v.RetryAt == 0 {
		t.Errorf("after three crashes: %+v", v)
	}
}

// Symptom: an innocent request is refused because its targets were lost three times.
// Sequence: its targets are killed; it is run to its end between or after.
func TestARunToItsEndVoidsTheStrikes(t *testing.T) {
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
		t.Error("held, though it was run to its end between its crashes")
	}
}

// Symptom: a popular request is refused everywhere.
// Sequence: a whole failure domain is lost, with three targets that run it.
// Cause guarded against: the three crashes are one event, and the request was served
// before.
func TestPopularRequestOutlivesTheLossOfAFailureDomain(t *testing.T) {
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
	// Crashes at other moments, without a run to its end, do hold it.
	crash(t, table, k, target(10), 5*second)
	crash(t, table, k, target(11), 9*second)
	if passes(table, k, 10*second) {
		t.Error("not held after crashes at three moments")
	}
}

// Symptom: requests are refused because the links to three targets were cut, or their
// connections reset.
// Sequence: connections end without an answer; new ones fail, later the targets answer.
func TestTargetsThatLiveAreNoEvidence(t *testing.T) {
	t.Run("reached at once", func(t *testing.T) {
		table := New("e")
		k := keyOf("a", "x")
		for n := range 5 {
			table.Admit(k, target(n), 0)
			table.Lost(k, target(n), true, cf.Millis(n))
			if news := table.Checked(target(n), cf.Millis(n), "", cf.Millis(n)+2); len(news) > 0 {
				t.Errorf("a loss at a target that lives is shared: %v", news)
			}
		}
		if !passes(table, k, 10) {
			t.Error("held, though every target was reached")
		}
	})
	t.Run("heard of later", func(t *testing.T) {
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
			t.Error("freed before the instance list can show a new start")
		}
		if void := table.Sweep(true, second+20+heardFor+1); len(void) != 1 || void[0].Scope != Void {
			t.Errorf("a target that lives: %v", void)
		}
		if !passes(table, k, 7*second) {
			t.Error("held by strikes of targets of which one lives")
		}
	})
	t.Run("started again under its id", func(t *testing.T) {
		table := New("e")
		k, other := keyOf("a", "x"), keyOf("a", "y")
		for n := range 3 {
			crash(t, table, k, target(n), cf.Millis(n))
		}
		table.Admit(other, target(1), second)
		table.Answered(other, target(1), second, second+20) // by its successor
		table.Replaced(target(1), 2*second)
		table.Sweep(true, 9*second)
		if passes(table, k, 9*second) {
			t.Error("freed by an answer of the target's successor")
		}
	})
	t.Run("silent before the send", func(t *testing.T) {
		// Machines go dark with connections open; requests are sent on these and wait
		// in vain, at one target after the other.
		table := New("e")
		k := keyOf("a", "x")
		for n := range 3 {
			table.Admit(k, target(n), 0)
			table.Lost(k, target(n), false, cf.Millis(n)*600)
			table.Checked(target(n), cf.Millis(n)*600, LossUnreachable, cf.Millis(n)*600+300)
			table.Replaced(target(n), 4*second)
		}
		if !passes(table, k, 5*second) {
			t.Error("held by targets that may have been gone before")
		}
	})
	t.Run("gone soon after it was reached", func(t *testing.T) {
		table := New("e")
		k := keyOf("a", "x")
		for n := range 3 {
			table.Admit(k, target(n), 0)
			table.Lost(k, target(n), true, 0)
			table.Checked(target(n), 0, "", 2) // the successor takes connections already
		}
		news := 0
		for n := range 3 {
			news += len(table.Replaced(target(n), second))
		}
		if news != 3 || passes(table, k, 2*second) {
			t.Errorf("targets that started again at once: %d strikes shared", news)
		}
	})
}

// Symptom: all items of a step are held, and the one that crashes its engines goes on.
// Sequence: many items of equal content fill each engine beside the one; three engines
// crash before any item is done.
// Cause: both had lost the same engines, and which was held first explained the other.
func TestEqualSuspectsDoNotMeet(t *testing.T) {
	table := New("e")
	guilty, many := keyOf("a", "x"), keyOf("a", "y")
	for n := range 3 {
		table.Admit(many, target(n), 0)
	}
	for n := range 2 {
		at := cf.Millis(n) * 100
		table.Admit(guilty, target(n), at)
		table.Lost(guilty, target(n), true, at+40)
		table.Lost(many, target(n), true, at+40)
		table.Checked(target(n), at+41, LossRefused, at+42)
	}
	// The many run on at target 2.
	if v := table.Admit(guilty, target(2), 200); !v.OtherTarget {
		t.Errorf("two that have lost the same targets meet at a third: %+v", v)
	}
	if v := table.Admit(guilty, target(3), 200); !v.Pass {
		t.Errorf("not even alone: %+v", v)
	}
	if v := table.Admit(many, target(3), 200); v.Pass {
		t.Error("they meet at a third after all")
	}
	table.Lost(guilty, target(3), true, 240)
	table.Checked(target(3), 241, LossRefused, 242)
	if v := table.Evaluate(guilty, 300); v.RetryAt == 0 {
		t.Errorf("the guilty one is not held: %+v", v)
	}
	table.Sweep(true, 242+explainAfter)
	if v := table.Evaluate(many, 1000); !v.Pass {
		t.Errorf("the others are not freed: %+v", v)
	}
}

// Symptom: a request that ran beside one that crashes targets is held as well.
// Sequence: both lose two targets together; the third goes under one of them.
func TestHeldRequestExplainsTheCrashes(t *testing.T) {
	table := New("e")
	guilty, beside := keyOf("a", "x"), keyOf("b", "y")
	for n := range 2 {
		at := cf.Millis(n) * second
		table.Admit(beside, target(n), at)
		table.Lost(beside, target(n), true, at)
		crash(t, table, guilty, target(n), at)
	}
	crash(t, table, guilty, target(2), 2*second)
	table.Sweep(true, 3*second)
	crash(t, table, beside, target(3), 3*second)
	if !passes(table, beside, 4*second) {
		t.Error("held by crashes that another request explains")
	}
	if passes(table, guilty, 4*second) {
		t.Error("the other is not held")
	}
}

// Symptom: a caller's request is refused because of another caller's.
// Sequence: the same content crashes targets for one caller, and runs for another.
func TestAnotherCallersRequest(t *testing.T) {
	table := New("e")
	a, b, c := keyOf("a", "x"), keyOf("b", "x"), keyOf("c", "x")
	for n := range 3 {
		crash(t, table, a, target(n), cf.Millis(n))
	}
	if passes(table, a, 10) {
		t.Error("its own caller's is not held")
	}
	if !passes(table, b, 10) {
		t.Error("held though only one caller's requests crashed targets")
	}
	crash(t, table, b, target(3), 20)
	if passes(table, c, 30) {
		t.Error("a third caller may crash a target more, though two callers' requests did")
	}
	table = New("e")
	for n := range 3 {
		crash(t, table, a, target(n), cf.Millis(n))
	}
	table.Admit(b, target(9), 10)
	table.Answered(b, target(9), 10, 20)
	if passes(table, a, 30) {
		t.Error("freed by a run of another caller's")
	}
	crash(t, table, b, target(4), 40)
	if !passes(table, c, 50) {
		t.Error("held for all, though it ran for one")
	}
}

// A request that moves from caller to caller is held after its third crash as well.
func TestCallersThatChange(t *testing.T) {
	table := New("e")
	for n := range 3 {
		crash(t, table, keyOf(fmt.Sprint("caller ", n), "x"), target(n), cf.Millis(n))
	}
	if passes(table, keyOf("caller 9", "x"), 10) {
		t.Error("not held")
	}
}

// Symptom: one that was wrongly held is refused for ever, or one that is rightly held
// costs a target a minute.
func TestTheTimeOfAHeldRequest(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	now := cf.Millis(0)
	for n := range 3 {
		crash(t, table, k, target(n), now)
	}
	for n := 3; n < 7; n++ {
		v := table.Admit(k, anywhere, now+1)
		if v.RetryAt < now+holdFor(n) || v.RetryAt > now+holdFor(n)*5/4 {
			t.Fatalf("after %d crashes held for %d ms, want %d and a quarter more at most", n, v.RetryAt-now, holdFor(n))
		}
		now = v.RetryAt
		if v := table.Admit(k, target(n), now); !v.Pass {
			t.Fatalf("no trial: %+v", v)
		}
		if v := table.Admit(k, anywhere, now); !v.Wait {
			t.Fatalf("two trials at once: %+v", v)
		}
		table.Lost(k, target(n), true, now)
		table.Checked(target(n), now, LossRefused, now)
	}
	now += holdFor(7) * 2
	table.Admit(k, target(99), now)
	table.Answered(k, target(99), now, now+30)
	if !passes(table, k, now+40) {
		t.Error("still held after it was run to its end")
	}
	table.Release(k.Content, now)
	if !passes(table, k, now+50) {
		t.Error("held after it was freed")
	}
}

// Symptom: memory or links fill up, or a held request is forgotten.
// Sequence: a caller crashes targets with bodies that differ in a byte each.
func TestManyBodiesFillNothing(t *testing.T) {
	table := New("e")
	held := keyOf("a", "held")
	for n := range 3 {
		crash(t, table, held, target(n), 0)
	}
	for n := range 6_000 {
		crash(t, table, keyOf("a", fmt.Sprint(n)), target(n+10), cf.Millis(n))
	}
	if n := len(table.suspects); n > suspectsMost {
		t.Errorf("%d suspects, want %d at most", n, suspectsMost)
	}
	if n := len(table.struck); n > suspectsMost*strikesMost {
		t.Errorf("%d targets noted", n)
	}
	if passes(table, held, 30*second) {
		t.Error("the one that is held was pushed out")
	}
	for n := range 100 {
		table.Admit(held, target(100_000+n), 0)
		table.Lost(held, target(100_000+n), true, cf.Millis(n))
	}
	if n := len(table.suspects[held.Content].strikes); n > strikesMost {
		t.Errorf("%d strikes of one request", n)
	}
	table.Sweep(true, 30*second+3*holdMost)
	if len(table.suspects)+len(table.struck)+len(table.underWay) != 0 || table.sums != (Checksums{}) {
		t.Errorf("left after all is over: %d suspects, %d targets, %d under way, sums %v",
			len(table.suspects), len(table.struck), len(table.underWay), table.sums)
	}
}

// Guards against: a request that others hold, sent on by an instance that has just started.
func TestStartingInstanceLetsNothingPass(t *testing.T) {
	a, b := New("a"), NewUnsynced("b")
	held, sound := keyOf("x", "1"), keyOf("y", "1")
	for n := range crashesMost {
		a.Admit(held, target(n), 0)
		a.Lost(held, target(n), true, cf.Millis(n))
		a.Checked(target(n), cf.Millis(n), LossRefused, 10)
	}
	for _, k := range []Key{held, sound} {
		if v := b.Admit(k, target(9), 100); v.Pass || !v.Unsynced || v.Wait {
			t.Errorf("before it knows what is held: %+v", v)
		}
	}
	news, _ := a.HeldStrikes(1, 200)
	b.Merge(news, 200)
	if v := b.Evaluate(sound, 200); v.Pass {
		t.Error("sends before it knows that it has heard all")
	}
	if !b.MarkSynced() || b.MarkSynced() {
		t.Error("it is informed once")
	}
	if passes(b, held, 300) || !passes(b, sound, 300) {
		t.Error("informed, it holds what the others hold, and nothing else")
	}
}

// Guards against: a popular request that is refused where nobody has served it since the start,
// as several targets are lost at once.
func TestStartedInstanceKnowsWhatOthersHaveServed(t *testing.T) {
	const at = second
	for _, c := range []struct {
		name string
		// served and sees are the instances that have served the request, and that see the
		// losses of the three targets.
		served []int
		sees   [crashesMost]int
		passes bool
	}{
		{"served where the losses are seen", []int{0}, [crashesMost]int{0, 0, 1}, true},
		{"served where one of them is seen", []int{0}, [crashesMost]int{1, 0, 2}, true},
		{"served where none is seen", []int{0}, [crashesMost]int{1, 2, 1}, true},
		{"served nowhere", nil, [crashesMost]int{0, 1, 2}, false},
	} {
		tables := []*Table{New("a"), New("b"), New("c")}
		k := keyOf("x", "popular")
		for _, i := range c.served {
			tables[i].Admit(k, target(9), 0)
			tables[i].Answered(k, target(9), 0, 10)
		}
		var news []Strike
		for n, i := range c.sees {
			seen := at + cf.Millis(30*n)
			tables[i].Admit(k, target(n), at-10)
			tables[i].Lost(k, target(n), true, seen)
			news = append(news, tables[i].Checked(target(n), seen, LossRefused, seen+2)...)
		}
		for len(news) > 0 { // as they are handed on
			var next []Strike
			for _, table := range tables {
				next = append(next, table.Merge(news, at+100)...)
			}
			news = next
		}
		for i, table := range tables {
			if got := passes(table, k, at+200); got != c.passes {
				t.Errorf("%s: passes %v at instance %d", c.name, got, i)
			}
			if table.Checksums() != tables[0].Checksums() {
				t.Errorf("%s: instance %d does not agree: %v and %v", c.name, i, table.Checksums(), tables[0].Checksums())
			}
		}
	}
}

// Instances that hear of the same strikes in any order, some twice, hold the same.
func TestInstancesComeToAgree(t *testing.T) {
	a, b, c := New("a"), New("b"), New("c")
	k, other := keyOf("x", "1"), keyOf("y", "1")
	var news []Strike
	for n := range 3 {
		a.Admit(k, target(n), 0)
		a.Lost(k, target(n), true, cf.Millis(n))
		news = append(news, a.Checked(target(n), cf.Millis(n), LossRefused, 10)...)
	}
	for i := range news {
		b.Merge(news[len(news)-1-i:len(news)-i], 500)
	}
	if a.Checksums().Held == 0 || a.Checksums() != b.Checksums() {
		t.Errorf("sums %v and %v of the same strikes", a.Checksums(), b.Checksums())
	}
	if again := b.Merge(news, 600); len(again) > 0 {
		t.Errorf("news that were known are passed on: %v", again)
	}
	if passes(b, k, 600) {
		t.Error("not held at another instance")
	}
	// The third has seen the request run for another caller, and hears of it late.
	c.Merge(news[:1], 100)
	c.Admit(other, target(9), 200)
	news = append(news, c.Answered(other, target(9), 200, 230)...)
	for _, table := range []*Table{a, b, c} {
		table.Merge(news, 700)
	}
	if a.Checksums() != b.Checksums() || a.Checksums() != c.Checksums() {
		t.Errorf("sums %v, %v and %v after all heard all", a.Checksums(), b.Checksums(), c.Checksums())
	}
	// One that holds nothing asks, and is answered with what is held, and with what is
	// known of what it holds itself.
	d := New("d")
	held, n := a.HeldStrikes(10, 800)
	if n != 1 {
		t.Errorf("%d held, want 1", n)
	}
	d.Merge(a.ExchangeReply(nil, 0, 10, 800), 800)
	if d.Checksums() != a.Checksums() {
		t.Error("an exchange does not bring the two to agree")
	}
	a.Release(k.Content, 900)
	d.Merge(a.ExchangeReply(held, 0, 10, 900), 900)
	if !passes(d, k, 900) {
		t.Error("held where the exchange shows that it was freed")
	}
}

// Guards against: instances that go on holding different requests, as each exchange shows the
// same few.
func TestExchangesInPartsBringInstancesToAgree(t *testing.T) {
	const held, part = 40, 16
	a, b := New("a"), New("b")
	for n := range 2 * held {
		table, k := a, keyOf("caller", fmt.Sprint(n))
		if n%2 == 0 {
			table = b
		}
		for i := range crashesMost {
			table.Admit(k, target(10*n+i), 0)
			table.Lost(k, target(10*n+i), true, cf.Millis(n))
			table.Checked(target(10*n+i), cf.Millis(n), LossRefused, cf.Millis(n))
		}
	}
	exchanges := 0
	for after := 0; a.Checksums() != b.Checksums(); after += part {
		if exchanges++; exchanges > 2*held/part {
			t.Fatalf("no agreement after %d exchanges", exchanges)
		}
		ours := a.StrikesByPriority(after, part, 1000)
		b.Merge(ours, 1000)
		a.Merge(b.ExchangeReply(ours, after, part, 1000), 1000)
	}
}
