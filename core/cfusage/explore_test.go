package cfusage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	cf "currantford"
)

// world is a store, a platform and two holders that may act at the same time, each with
// other counts of the same windows.
type world struct {
	rev     cf.Revision
	kept    *Outbox
	late    []lateWrite
	taken   map[cf.UsageWindow]string
	holders [2]Reporter
	faults  int
}

// lateWrite is a write without an answer that may take effect yet.
type lateWrite struct {
	rev  cf.Revision
	kept Outbox
}

const (
	exploreFaults = 4
	exploreSteps  = 20
)

// exploreNow is when two windows of a second are over.
const exploreNow cf.Millis = 3_500

func (w *world) clone() *world {
	c := *w
	c.late = slices.Clone(w.late)
	c.taken = maps.Clone(w.taken)
	for i := range c.holders {
		c.holders[i].sent = maps.Clone(w.holders[i].sent)
		c.holders[i].again = map[cf.UsageWindow]cf.Millis{}
	}
	return &c
}

func (w *world) key() string {
	out := fmt.Sprint(w.rev, w.late, w.taken, w.faults)
	if w.kept != nil {
		out += fmt.Sprint(*w.kept)
	}
	for _, h := range w.holders {
		out += fmt.Sprint(h.known, h.rev, h.kept, h.sent)
	}
	return out
}

// write takes effect if its condition holds.
func (w *world) write(l lateWrite) bool {
	if l.rev != w.rev {
		return false
	}
	w.rev++
	kept := l.kept
	w.kept = &kept
	return true
}

// take takes a report; it returns an error if one that differs was taken.
func (w *world) take(r cf.UsageReport) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if before, taken := w.taken[r.Window]; taken && before != string(raw) {
		return fmt.Errorf("window %d was reported as %s and as %s", r.Window, before, raw)
	}
	w.taken[r.Window] = string(raw)
	return nil
}

// next returns what may come next of a world. believes is the seeded fault: a holder takes
// a write without an answer for one that took effect.
func (w *world) next(accounts [2]*Aggregator, believes bool) (out []*world, err error) {
	add := func(f func(n *world) error) {
		n := w.clone()
		if e := f(n); e != nil {
			err = e
		}
		out = append(out, n)
	}
	fault := func(f func(n *world) error) {
		if w.faults < exploreFaults {
			add(func(n *world) error { n.faults++; return f(n) })
		}
	}
	for i := range w.late {
		add(func(n *world) error {
			l := n.late[i]
			n.late = slices.Delete(n.late, i, i+1)
			n.write(l)
			return nil
		})
	}
	for i := range w.holders {
		step := w.clone().holders[i].Next(exploreNow, accounts[i])
		fault(func(n *world) error { n.holders[i] = *NewReporter(exploreTerms); return nil }) // it is lost, another begins
		switch step.Kind {
		case Read:
			add(func(n *world) error {
				if n.kept == nil {
					n.holders[i].InitOutbox(1_200, accounts[i])
				} else {
					n.holders[i].SetOutbox(*n.kept, n.rev)
				}
				return nil
			})
		case Write:
			l := lateWrite{step.Rev, step.Outbox}
			doubt := func(n *world) {
				if believes {
					n.holders[i].SetOutbox(step.Outbox, step.Rev+1)
				} else {
					n.holders[i].InvalidateOutbox()
				}
			}
			add(func(n *world) error {
				if n.write(l) {
					n.holders[i].SetOutbox(step.Outbox, n.rev)
				} else {
					n.holders[i].InvalidateOutbox()
				}
				return nil
			})
			fault(func(n *world) error { n.write(l); doubt(n); return nil })                 // its answer is lost
			fault(func(n *world) error { n.late = append(n.late, l); doubt(n); return nil }) // it takes effect later
			fault(func(n *world) error { doubt(n); return nil })                             // it is lost
		case Send:
			add(func(n *world) error { n.holders[i].Sent(step.Report.Window); return n.take(step.Report) })
			fault(func(n *world) error { return n.take(step.Report) }) // its answer is lost
		}
	}
	return out, err
}

var exploreTerms = WindowTiming{Length: 1_000, MaxWait: 0}

func explore(believes bool) (states int, complete bool, err error) {
	var accounts [2]*Aggregator
	for i := range accounts {
		accounts[i] = NewAggregator(exploreTerms.Length)
		for w := cf.UsageWindow(1); w <= 2; w++ {
			accounts[i].Add(MeterReport{
				Source: Source{Entry: "e"}, Seq: 1, Through: exploreNow + grace,
				Windows: []cf.UsageReport{{Window: w, Counts: map[cf.Organisation]int64{"o": int64(i + 1)}}},
			})
		}
	}
	start := &world{taken: map[cf.UsageWindow]string{}}
	for i := range start.holders {
		start.holders[i] = *NewReporter(exploreTerms)
	}
	seen := map[string]bool{start.key(): true}
	level := []*world{start}
	for range exploreSteps {
		var after []*world
		for _, w := range level {
			next, err := w.next(accounts, believes)
			if err != nil {
				return len(seen), complete, err
			}
			for _, n := range next {
				if k := n.key(); !seen[k] {
					seen[k] = true
					after = append(after, n)
					complete = complete || len(n.taken) == 2
				}
			}
		}
		level = after
	}
	return len(seen), complete, nil
}

// Symptom: the platform gets two reports of a window that differ. Sequence: every order
// of reads, writes and sends of two holders at once whose counts differ, with answers that
// are lost, writes that take effect late, and holders that are lost, four faults in all.
func TestNoTwoReportsOfAWindowDiffer(t *testing.T) {
	states, complete, err := explore(false)
	if err != nil {
		t.Error(err)
	}
	if !complete {
		t.Error("no run reported both windows")
	}
	t.Logf("%d states", states)
	if _, _, err := explore(true); err == nil {
		t.Error("a holder that believes a write without an answer is not found")
	}
}
