package cfquarantine

import (
	"container/heap"
	"fmt"
	"testing"

	cf "currantford"
)

const (
	// maxAttempts is the number of targets that one attempt of a caller may be sent to. hedgeDelay
	// is the time after which the request is sent to a second target while the first is still
	// working on it, in ms.
	maxAttempts = 2
	hedgeDelay  = 82
	rounds      = 4
)

type (
	// simulation runs instances that all receive, in rounds, a request which crashes its targets.
	// The times follow one schedule.
	simulation struct {
		tables []*Table
		key    Key
		events events
		seq    int
		now    cf.Millis
		target int
		// choose selects the next time from a few alternatives.
		choose      func(of ...cf.Millis) cf.Millis
		crashes     []cf.Millis
		sends       []cf.Millis
		propagation cf.Millis // time for strikes to reach another instance
	}

	// attempt is one attempt of a caller at an instance.
	attempt struct {
		instance       int
		sent, inFlight int
		retried        bool
	}

	event struct {
		at  cf.Millis
		seq int
		do  func()
	}

	events []event
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (f *simulation) after(wait cf.Millis, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + wait, f.seq, do})
}

func (f *simulation) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// send sends an attempt to one more target, if the table of its instance admits it.
func (f *simulation) send(a *attempt, hedge bool) {
	if a.sent >= maxAttempts {
		return
	}
	dst := target(f.target + 1)
	v := f.tables[a.instance].Admit(f.key, dst, f.now)
	switch {
	case v.Wait && !hedge:
		changed := f.tables[a.instance].Changed()
		f.sendOnChange(a, changed)
		return
	case !v.Pass:
		return
	}
	a.sent++
	a.inFlight++
	f.target++
	f.sends = append(f.sends, f.now)
	f.after(f.choose(40, 110), func() { f.crash(a, dst) })
	if a.inFlight == 1 {
		f.after(hedgeDelay, func() {
			if a.inFlight == 1 {
				f.send(a, true)
			}
		})
	}
}

// sendOnChange sends again once the table has changed.
func (f *simulation) sendOnChange(a *attempt, changed <-chan struct{}) {
	f.after(1, func() {
		select {
		case <-changed:
			f.send(a, false)
		default:
			f.sendOnChange(a, changed)
		}
	})
}

func (f *simulation) crash(a *attempt, dst Incarnation) {
	f.crashes = append(f.crashes, f.now)
	table := f.tables[a.instance]
	table.Lost(f.key, dst, true, f.now)
	a.inFlight--
	f.after(2, func() {
		f.share(a.instance, table.Checked(dst, f.now, LossRefused, f.now))
	})
	if a.inFlight > 0 {
		return
	}
	f.send(a, false)
	if a.inFlight == 0 && !a.retried { // the caller retries once, at another instance
		a.retried = true
		f.after(60, func() { f.send(&attempt{instance: (a.instance + 1) % len(f.tables), retried: true}, false) })
	}
}

// share sends strikes to all other instances.
func (f *simulation) share(from int, strikes []Strike) {
	if len(strikes) == 0 {
		return
	}
	for i := range f.tables {
		if i == from {
			continue
		}
		f.after(f.propagation, func() { f.tables[i].Merge(strikes, f.now) })
	}
}

// simulate runs one schedule. It returns the number of crashes, and the number of sends after all
// instances could know of the third crash.
func simulate(n int, propagation cf.Millis, choose func(of ...cf.Millis) cf.Millis) (crashes, late int) {
	f := &simulation{key: keyOf("a", "x"), choose: choose, propagation: propagation}
	for i := range n {
		f.tables = append(f.tables, New(cf.EntryID(fmt.Sprint("e", i))))
	}
	for round := range rounds {
		f.after(cf.Millis(round)*5*second, func() {
			for i := range n {
				f.send(&attempt{instance: i}, false)
			}
		})
	}
	f.run()
	if len(f.crashes) < maxCrashes {
		return len(f.crashes), 0
	}
	for _, at := range f.sends {
		if at > f.crashes[maxCrashes-1]+propagation+2 {
			late++
		}
	}
	return len(f.crashes), late
}

// Checks that a request which crashes its targets costs a bounded number of targets when many
// instances receive it at the same moment. Up to three instances run every schedule; more instances
// run 3,000 random ones. Each schedule has four rounds, 5 s apart, each with a hedge and a retry by
// the caller. Crashes take 40 or 110 ms, and strikes take 5 or 35 ms to reach the other instances.
// The sends in flight when the third crash becomes known crash too; nothing may be sent after it.
func TestCrashesAreBoundedAcrossInstances(t *testing.T) {
	for n := 1; n <= 8; n++ {
		worst, schedules := 0, 0
		for _, propagation := range []cf.Millis{5, 35} {
			forEachSchedule(n, func(choose func(of ...cf.Millis) cf.Millis) bool {
				schedules++
				crashes, late := simulate(n, propagation, choose)
				worst = max(worst, crashes)
				if late > 0 {
					t.Errorf("%d instances, propagation of %d ms: %d sends after all could know of the third crash", n, propagation, late)
				}
				return !t.Failed()
			})
		}
		t.Logf("%d instances: %d crashes at most, in %d schedules", n, worst, schedules)
		if limit := max(maxCrashes, maxAttempts*n); worst > limit {
			t.Errorf("%d instances: %d crashes, want %d at most", n, worst, limit)
		}
	}
}

// forEachSchedule calls do with every schedule if there are up to three instances, and with random
// ones otherwise.
func forEachSchedule(n int, do func(draw func(of ...cf.Millis) cf.Millis) bool) {
	if n > 3 {
		state := uint64(n)
		for range 1500 {
			ok := do(func(of ...cf.Millis) cf.Millis {
				state = state*6364136223846793005 + 1442695040888963407
				return of[(state>>33)%uint64(len(of))]
			})
			if !ok {
				return
			}
		}
		return
	}
	var choices, sizes []int
	for {
		at := 0
		ok := do(func(of ...cf.Millis) cf.Millis {
			if at == len(choices) {
				choices, sizes = append(choices, 0), append(sizes, len(of))
			}
			at++
			return of[choices[at-1]]
		})
		choices, sizes = choices[:at], sizes[:at]
		for len(choices) > 0 && choices[len(choices)-1] == sizes[len(choices)-1]-1 {
			choices, sizes = choices[:len(choices)-1], sizes[:len(choices)-1]
		}
		if !ok || len(choices) == 0 {
			return
		}
		choices[len(choices)-1]++
	}
}
