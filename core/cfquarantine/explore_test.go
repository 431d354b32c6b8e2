package cfquarantine

import (
	"container/heap"
	"fmt"
	"testing"

	cf "currantford"
)

const (
	// attemptsMost is how many targets one try of a caller may be sent to, hedgeAt when
	// a second one is asked beside the first, in ms.
	attemptsMost    = 2
	hedgeAt         = 82
	roundsOfCallers = 4
)

type (
	// fleet plays instances that all receive a request which crashes its targets, in
	// rounds, with the times of one schedule.
	fleet struct {
		tables []*Table
		key    Key
		events events
		seq    int
		now    cf.Millis
		target int
		// schedule draws the next time from a few.
		schedule func(of ...cf.Millis) cf.Millis
		crashes  []cf.Millis
		sends    []cf.Millis
		news     cf.Millis // how long news take from one instance to another
	}

	// try is one try of a caller at an instance.
	try struct {
		at          int
		sent, under int
		again       bool
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

func (f *fleet) after(wait cf.Millis, do func()) {
	f.seq++
	heap.Push(&f.events, event{f.now + wait, f.seq, do})
}

func (f *fleet) run() {
	for len(f.events) > 0 {
		e := heap.Pop(&f.events).(event)
		f.now = e.at
		e.do()
	}
}

// send sends a try to one more target, if its instance's table lets it.
func (f *fleet) send(tr *try, hedge bool) {
	if tr.sent >= attemptsMost {
		return
	}
	at := target(f.target + 1)
	v := f.tables[tr.at].Admit(f.key, at, f.now)
	switch {
	case v.Wait && !hedge:
		changed := f.tables[tr.at].Changed()
		f.await(tr, changed)
		return
	case !v.Pass:
		return
	}
	tr.sent++
	tr.under++
	f.target++
	f.sends = append(f.sends, f.now)
	f.after(f.schedule(40, 110), func() { f.crash(tr, at) })
	if tr.under == 1 {
		f.after(hedgeAt, func() {
			if tr.under == 1 {
				f.send(tr, true)
			}
		})
	}
}

// await sends again once the table has changed.
func (f *fleet) await(tr *try, changed <-chan struct{}) {
	f.after(1, func() {
		select {
		case <-changed:
			f.send(tr, false)
		default:
			f.await(tr, changed)
		}
	})
}

func (f *fleet) crash(tr *try, at Incarnation) {
	f.crashes = append(f.crashes, f.now)
	table := f.tables[tr.at]
	table.Lost(f.key, at, true, f.now)
	tr.under--
	f.after(2, func() {
		f.tell(tr.at, table.Checked(at, f.now, LossRefused, f.now))
	})
	if tr.under > 0 {
		return
	}
	f.send(tr, false)
	if tr.under == 0 && !tr.again { // its caller tries once more, at another instance
		tr.again = true
		f.after(60, func() { f.send(&try{at: (tr.at + 1) % len(f.tables), again: true}, false) })
	}
}

// tell hands news to all others, and they what is news to them.
func (f *fleet) tell(from int, news []Strike) {
	if len(news) == 0 {
		return
	}
	for i := range f.tables {
		if i == from {
			continue
		}
		f.after(f.news, func() { f.tables[i].Merge(news, f.now) })
	}
}

// play returns the crashes of one schedule, and how many were sent later than all could
// know of the third.
func play(n int, news cf.Millis, draw func(of ...cf.Millis) cf.Millis) (crashes, late int) {
	f := &fleet{key: keyOf("a", "x"), schedule: draw, news: news}
	for i := range n {
		f.tables = append(f.tables, New(cf.EntryID(fmt.Sprint("e", i))))
	}
	for round := range roundsOfCallers {
		f.after(cf.Millis(round)*5*second, func() {
			for i := range n {
				f.send(&try{at: i}, false)
			}
		})
	}
	f.run()
	if len(f.crashes) < maxCrashes {
		return len(f.crashes), 0
	}
	for _, at := range f.sends {
		if at > f.crashes[maxCrashes-1]+news+2 {
			late++
		}
	}
	return len(f.crashes), late
}

// Every schedule of up to three instances that receive a request at the same moment, in
// four rounds 5 s apart, each with a hedge and its caller's retry; times of a crash of 40
// or 110 ms, news of 5 or 35 ms. Beyond three instances, 3,000 drawn schedules. What is
// under way when the third crash becomes known crashes too; nothing is sent after it.
func TestCrashesOfAWholeFleet(t *testing.T) {
	for n := 1; n <= 8; n++ {
		worst, schedules := 0, 0
		for _, news := range []cf.Millis{5, 35} {
			each(n, func(draw func(of ...cf.Millis) cf.Millis) bool {
				schedules++
				crashes, late := play(n, news, draw)
				worst = max(worst, crashes)
				if late > 0 {
					t.Errorf("%d instances, news of %d ms: %d sends after all could know of the third crash", n, news, late)
				}
				return !t.Failed()
			})
		}
		t.Logf("%d instances: %d crashes at most, in %d schedules", n, worst, schedules)
		if most := max(maxCrashes, attemptsMost*n); worst > most {
			t.Errorf("%d instances: %d crashes, want %d at most", n, worst, most)
		}
	}
}

// each calls do with every schedule for a few instances, with drawn ones for many.
func each(n int, do func(draw func(of ...cf.Millis) cf.Millis) bool) {
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
