package cfquarantine

import (
	"testing"

	cf "currantford"
)

// loseDeferred sends deferred work that passes, and loses its target.
func loseDeferred(t *testing.T, table *Table, k Key, dst Incarnation, now cf.Millis) {
	t.Helper()
	if v := table.AdmitDeferred(k, dst, DeferredWork{Isolated: true, WaitingSince: now}, now); !v.Pass {
		t.Fatalf("not sent to %s at %d: %+v", dst.ID, now, v)
	}
	table.Lost(k, dst, true, now)
	table.Checked(dst, now, LossRefused, now)
}

// TestDeferredWorkIsRetriedAfterPauses guards against an item that is never sent again because
// targets crashed under it, and against one that crashes target after target without a pause.
func TestDeferredWorkIsRetriedAfterPauses(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	now := cf.Millis(0)
	for n := range maxCrashes {
		loseDeferred(t, table, k, target(n), now)
	}
	for n := maxCrashes; n < 3*maxStrikes; n++ {
		pause, maxRuns := []cf.Millis{1000, 2000, 4000}[min(n-maxCrashes, 2)], []int{4, 2, 1}[min(n-maxCrashes, 2)]
		if v := table.AdmitDeferred(k, anywhere, DeferredWork{Isolated: true, WaitingSince: now}, now+pause-1); v.Pass || v.RetryAt != now+pause || len(v.Strikes) < maxCrashes {
			t.Fatalf("verdict 1 ms before the end of the pause after %d crashes: %+v", n, v)
		}
		lastCrash := now
		now += pause
		if v := table.AdmitDeferred(k, anywhere, DeferredWork{WaitingSince: lastCrash}, now); v.Pass || v.MaxRuns != maxRuns {
			t.Fatalf("verdict at any target after %d crashes: %+v, want no pass and at most %d runs at the target", n, v, maxRuns)
		}
		if v := table.Admit(k, anywhere, now); v.Pass {
			t.Fatalf("a caller's request of the same content passes after %d crashes: %+v", n, v)
		}
		if v := table.AdmitDeferred(k, target(n), DeferredWork{Isolated: true, WaitingSince: lastCrash}, now); !v.Pass {
			t.Fatalf("not retried after %d crashes: %+v", n, v)
		}
		if v := table.AdmitDeferred(k, anywhere, DeferredWork{Isolated: true, WaitingSince: lastCrash}, now); !v.Wait {
			t.Fatalf("verdict on a second retry in parallel after %d crashes: %+v, want a wait", n, v)
		}
		table.Lost(k, target(n), true, now)
		table.Checked(target(n), now, LossRefused, now)
	}
	now += maxPause
	table.AdmitDeferred(k, target(99), DeferredWork{Isolated: true, WaitingSince: now}, now)
	table.Answered(k, target(99), now, now+30)
	if v := table.AdmitDeferred(k, anywhere, DeferredWork{WaitingSince: now}, now+40); !v.Pass || v.MaxRuns != 0 {
		t.Errorf("verdict after the work completed: %+v", v)
	}
}

// TestDeferredPausesSurviveInstanceChange guards against pauses that restart, or are forgotten,
// when another instance continues the work. The item crashes every target and is sent again as soon
// as it is admitted.
func TestDeferredPausesSurviveInstanceChange(t *testing.T) {
	const runTime, propagation = 100, 20
	tables := []*Table{New("a"), New("b"), New("c")}
	k := keyOf("x", "1")
	within := map[cf.Millis]int{}
	n, ended := 0, cf.Millis(0)
	for now := cf.Millis(0); now < 60*second; now += 10 {
		current := n % len(tables)
		if v := tables[current].AdmitDeferred(k, target(n), DeferredWork{Isolated: true, WaitingSince: ended}, now); !v.Pass {
			continue
		}
		now += runTime
		ended = now
		tables[current].Lost(k, target(n), true, now)
		strikes := tables[current].Checked(target(n), now, LossRefused, now)
		now += propagation
		for i, table := range tables {
			if i != current {
				for j := range strikes {
					strikes[j].Age = propagation
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

// TestEqualDeferredWorkDoesNotWaitForCompletion guards against equal items of a step that wait for
// one another although one of them keeps running.
func TestEqualDeferredWorkDoesNotWaitForCompletion(t *testing.T) {
	table := New("e")
	k := keyOf("a", "x")
	for n := range maxCrashes - 1 {
		loseDeferred(t, table, k, target(n), 0)
	}
	if v := table.AdmitDeferred(k, target(5), DeferredWork{}, 10); !v.Pass {
		t.Fatalf("the first item is not sent: %+v", v)
	}
	if v := table.AdmitDeferred(k, target(6), DeferredWork{}, 20); !v.Wait {
		t.Errorf("verdict on a second item at once: %+v, want a wait", v)
	}
	for n := range 8 {
		if v := table.AdmitDeferred(k, target(6+n), DeferredWork{}, 10+survivalTime); !v.Pass {
			t.Errorf("other items wait although one has run for survivalTime: %+v", v)
		}
	}
}

// TestDeferredWorkDoesNotWaitForOtherCallers guards against an item that is never retried because
// short requests of another caller with the same content are always in flight.
func TestDeferredWorkDoesNotWaitForOtherCallers(t *testing.T) {
	const runTime, interval = 300, 100
	table := New("e")
	item, other := keyOf("a", "x"), keyOf("b", "x")
	for n := range maxCrashes {
		loseDeferred(t, table, item, target(n), 0)
	}
	for now := cf.Millis(interval); now < 5*second; now += interval {
		dst := target(100 + int(now/interval))
		if now > runTime {
			table.Answered(other, target(100+int((now-runTime)/interval)), now-runTime, now)
		}
		if v := table.Admit(other, dst, now); !v.Pass {
			t.Fatalf("the other caller's request does not pass at %d: %+v", now, v)
		}
		if table.AdmitDeferred(item, target(90), DeferredWork{Isolated: true, WaitingSince: 0}, now).Pass {
			return
		}
	}
	t.Error("the item was not retried within 5 s")
}

// TestEqualDeferredWorkIsResentWithinFiveSeconds guards against equal, innocent items that are at
// no target for 5 s. They lose their targets one after the other; the wait of items that were lost
// earlier than burstWindow before the last crash is counted from burstWindow before it.
func TestEqualDeferredWorkIsResentWithinFiveSeconds(t *testing.T) {
	const interval, items, burstWindow = 50, 16, 3 * second
	for crashes := maxCrashes; crashes <= items; crashes++ {
		for _, spacing := range []cf.Millis{0, 100, 400} {
			table := New("e")
			k := keyOf("a", "x")
			for n := range crashes {
				table.Lost(k, target(n), true, spacing*cf.Millis(n))
				table.Checked(target(n), spacing*cf.Millis(n), LossRefused, spacing*cf.Millis(n))
			}
			lastCrash := spacing * cf.Millis(crashes-1)
			waiting := map[int]cf.Millis{}
			for n := range crashes {
				waiting[n] = spacing * cf.Millis(n)
			}
			for now := lastCrash; len(waiting) > 0 && now < lastCrash+60*second; now += interval {
				for n, since := range waiting {
					if !table.AdmitDeferred(k, target(100+n), DeferredWork{Isolated: true, WaitingSince: since}, now).Pass {
						continue
					}
					delete(waiting, n)
					if waited := now - max(since, lastCrash-burstWindow); waited >= 5*second-interval {
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

// TestDeferredWorkDoesNotWaitForOtherSuspects guards against an item that keeps waiting for a
// target which runs no other item that has lost two targets.
func TestDeferredWorkDoesNotWaitForOtherSuspects(t *testing.T) {
	table := New("e")
	a, b := keyOf("a", "x"), keyOf("a", "y")
	for n := range maxCrashes - 1 {
		loseDeferred(t, table, a, target(n), 0)
		loseDeferred(t, table, b, target(n), 0)
	}
	table.AdmitDeferred(a, target(5), DeferredWork{}, 10)
	if v := table.AdmitDeferred(b, target(5), DeferredWork{}, 20); !v.OtherTarget {
		t.Errorf("verdict on a second suspect at the same target: %+v, want another target", v)
	}
	if v := table.AdmitDeferred(b, target(5), DeferredWork{}, separationPeriod); !v.Pass {
		t.Errorf("still kept apart from the other suspect after separationPeriod: %+v", v)
	}
}
