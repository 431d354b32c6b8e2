package cfquarantine

import (
	"testing"

	cf "currantford"
)

// loseOwed sends owed work that passes, and loses its target.
func loseOwed(t *testing.T, table *Table, k Key, at Incarnation, now cf.Millis) {
	t.Helper()
	if v := table.AdmitDeferred(k, at, DeferredWork{Isolated: true, WaitingSince: now}, now); !v.Pass {
		t.Fatalf("not sent to %s at %d: %+v", at.ID, now, v)
	}
	table.Lost(k, at, true, now)
	table.Checked(at, now, LossRefused, now)
}

// Guards against: an item that is never sent again because targets crashed under it, and one that
// crashes target after target without a pause.
func TestOwedWorkIsTriedAgainAfterPauses(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	now := cf.Millis(0)
	for n := range crashesMost {
		loseOwed(t, table, k, target(n), now)
	}
	for n := crashesMost; n < 3*strikesMost; n++ {
		pause, most := []cf.Millis{1000, 2000, 4000}[min(n-crashesMost, 2)], []int{4, 2, 1}[min(n-crashesMost, 2)]
		if v := table.AdmitDeferred(k, anywhere, DeferredWork{Isolated: true, WaitingSince: now}, now+pause-1); v.Pass || v.RetryAt != now+pause || len(v.Strikes) < crashesMost {
			t.Fatalf("before its pause after %d crashes is over: %+v", n, v)
		}
		began := now
		now += pause
		if v := table.AdmitDeferred(k, anywhere, DeferredWork{WaitingSince: began}, now); v.Pass || v.MaxRuns != most {
			t.Fatalf("after %d crashes, at any target: %+v, want to be set apart with %d at most", n, v, most)
		}
		if v := table.Admit(k, anywhere, now); v.Pass {
			t.Fatalf("a caller's request of the same content passes after %d crashes: %+v", n, v)
		}
		if v := table.AdmitDeferred(k, target(n), DeferredWork{Isolated: true, WaitingSince: began}, now); !v.Pass {
			t.Fatalf("not tried after %d crashes: %+v", n, v)
		}
		if v := table.AdmitDeferred(k, anywhere, DeferredWork{Isolated: true, WaitingSince: began}, now); !v.Wait {
			t.Fatalf("two tries at once after %d crashes: %+v", n, v)
		}
		table.Lost(k, target(n), true, now)
		table.Checked(target(n), now, LossRefused, now)
	}
	now += pauseMost
	table.AdmitDeferred(k, target(99), DeferredWork{Isolated: true, WaitingSince: now}, now)
	table.Answered(k, target(99), now, now+30)
	if v := table.AdmitDeferred(k, anywhere, DeferredWork{WaitingSince: now}, now+40); !v.Pass || v.MaxRuns != 0 {
		t.Errorf("after it was run to its end: %+v", v)
	}
}

// Guards against: pauses that begin anew, or are forgotten, when another instance goes on with
// the work. An item that crashes each target is sent to it at once whenever it may be.
func TestPausesOfOwedWorkOutliveItsInstance(t *testing.T) {
	const took, news = 100, 20
	tables := []*Table{New("a"), New("b"), New("c")}
	k := keyOf("x", "1")
	within := map[cf.Millis]int{}
	n, ended := 0, cf.Millis(0)
	for now := cf.Millis(0); now < 60*second; now += 10 {
		at := n % len(tables)
		if v := tables[at].AdmitDeferred(k, target(n), DeferredWork{Isolated: true, WaitingSince: ended}, now); !v.Pass {
			continue
		}
		now += took
		ended = now
		tables[at].Lost(k, target(n), true, now)
		strikes := tables[at].Checked(target(n), now, LossRefused, now)
		now += news
		for i, table := range tables {
			if i != at {
				for j := range strikes {
					strikes[j].Age = news
				}
				table.Merge(strikes, now)
			}
		}
		n++
		for _, span := range []cf.Millis{5 * second, 12 * second, 60 * second} {
			if now < span {
				within[span]++
			}
		}
	}
	t.Logf("crashes: %d within 5 s, %d within 12 s, %d within a minute", within[5*second], within[12*second], within[60*second])
	for span, want := range map[cf.Millis][2]int{5 * second: {5, 5}, 12 * second: {6, 7}, 60 * second: {17, 19}} {
		if got := within[span]; got < want[0] || got > want[1] {
			t.Errorf("%d crashes within %d ms, want %d to %d", got, span, want[0], want[1])
		}
	}
}

// Guards against: equal items of a step that wait for one another though one of them runs on.
func TestEqualOwedWorkDoesNotWaitForAnEnd(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	for n := range crashesMost - 1 {
		loseOwed(t, table, k, target(n), 0)
	}
	if v := table.AdmitDeferred(k, target(5), DeferredWork{}, 10); !v.Pass {
		t.Fatalf("none is sent: %+v", v)
	}
	if v := table.AdmitDeferred(k, target(6), DeferredWork{}, 20); !v.Wait {
		t.Errorf("a second one at once: %+v", v)
	}
	for n := range 8 {
		if v := table.AdmitDeferred(k, target(6+n), DeferredWork{}, 10+outlives); !v.Pass {
			t.Errorf("others wait though one has lasted: %+v", v)
		}
	}
}

// Guards against: an item that is never tried as short requests of another caller with its
// content are always under way.
func TestOwedWorkDoesNotWaitForOtherCallers(t *testing.T) {
	const took, every = 300, 100
	table := New("e")
	item, other := keyOf("a", "x"), keyOf("b", "x")
	for n := range crashesMost {
		loseOwed(t, table, item, target(n), 0)
	}
	for now := cf.Millis(every); now < 5*second; now += every {
		at := target(100 + int(now/every))
		if now > took {
			table.Answered(other, target(100+int((now-took)/every)), now-took, now)
		}
		if v := table.Admit(other, at, now); !v.Pass {
			t.Fatalf("the other caller's request at %d: %+v", now, v)
		}
		if table.AdmitDeferred(item, target(90), DeferredWork{Isolated: true, WaitingSince: 0}, now).Pass {
			return
		}
	}
	t.Error("the item was not tried for 5 s")
}

// Guards against: equal items that are at no target for 5 s, though all of them are sound. They
// lose their targets one after the other; what was lost before the last seconds of the crashes
// counts from there on.
func TestEqualOwedWorkIsBackWithinFiveSeconds(t *testing.T) {
	const look, items, burst = 50, 16, 3 * second
	for crashes := crashesMost; crashes <= items; crashes++ {
		for _, spacing := range []cf.Millis{0, 100, 400} {
			table := New("e")
			k := keyOf("a", "x")
			for n := range crashes {
				table.Lost(k, target(n), true, spacing*cf.Millis(n))
				table.Checked(target(n), spacing*cf.Millis(n), LossRefused, spacing*cf.Millis(n))
			}
			calm := spacing * cf.Millis(crashes-1)
			waiting := map[int]cf.Millis{}
			for n := range crashes {
				waiting[n] = spacing * cf.Millis(n)
			}
			for now := calm; len(waiting) > 0 && now < calm+60*second; now += look {
				for n, since := range waiting {
					if !table.AdmitDeferred(k, target(100+n), DeferredWork{Isolated: true, WaitingSince: since}, now).Pass {
						continue
					}
					delete(waiting, n)
					if waited := now - max(since, calm-burst); waited >= 5*second-look {
						t.Errorf("%d crashes %d ms apart: an item waits for %d ms", crashes, spacing, waited)
					}
				}
			}
			if len(waiting) > 0 {
				t.Errorf("%d crashes %d ms apart: %d items are not sent again", crashes, spacing, len(waiting))
			}
		}
	}
}

// Guards against: items that wait for an engine at which no other item runs that has lost two.
func TestOwedWorkDoesNotWaitForOtherSuspects(t *testing.T) {
	table := New("e")
	a, b := keyOf("a", "x"), keyOf("a", "y")
	for n := range crashesMost - 1 {
		loseOwed(t, table, a, target(n), 0)
		loseOwed(t, table, b, target(n), 0)
	}
	table.AdmitDeferred(a, target(5), DeferredWork{}, 10)
	if v := table.AdmitDeferred(b, target(5), DeferredWork{}, 20); !v.OtherTarget {
		t.Errorf("two suspects meet at once: %+v", v)
	}
	if v := table.AdmitDeferred(b, target(5), DeferredWork{}, apartFor); !v.Pass {
		t.Errorf("still waits for the other one's end: %+v", v)
	}
}
