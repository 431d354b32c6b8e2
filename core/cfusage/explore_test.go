package cfusage

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	cf "currantford"
)

// modelState is the state of a store, a platform and two holders that may act at the same time,
// each with different counts for the same windows.
type modelState struct {
	rev        cf.Revision
	outbox     *Outbox
	lateWrites []lateWrite
	accepted   map[cf.UsageWindow]string
	holders    [2]Reporter
	faults     int
}

// lateWrite is an unanswered write that may still take effect.
type lateWrite struct {
	rev    cf.Revision
	outbox Outbox
}

const (
	exploreFaults = 4
	exploreSteps  = 20
)

// exploreNow is a time at which two windows of one second have ended.
const exploreNow cf.Millis = 3_500

func (w *modelState) clone() *modelState {
	c := *w
	c.lateWrites = slices.Clone(w.lateWrites)
	c.accepted = maps.Clone(w.accepted)
	for i := range c.holders {
		c.holders[i].sent = maps.Clone(w.holders[i].sent)
		c.holders[i].retryAt = map[cf.UsageWindow]cf.Millis{}
	}
	return &c
}

func (w *modelState) key() string {
	out := fmt.Sprint(w.rev, w.lateWrites, w.accepted, w.faults)
	if w.outbox != nil {
		out += fmt.Sprint(*w.outbox)
	}
	for _, h := range w.holders {
		out += fmt.Sprint(h.loaded, h.rev, h.outbox, h.sent)
	}
	return out
}

// write applies a write if its condition holds, and reports whether it did.
func (w *modelState) write(l lateWrite) bool {
	if l.rev != w.rev {
		return false
	}
	w.rev++
	outbox := l.outbox
	w.outbox = &outbox
	return true
}

// accept records a report at the platform. It returns an error if a different report of the same
// window was accepted before.
func (w *modelState) accept(r cf.UsageReport) error {
	raw, err := json.Marshal(r)
	if err != nil {
		return err
	}
	if before, accepted := w.accepted[r.Window]; accepted && before != string(raw) {
		return fmt.Errorf("window %d was reported as %s and as %s", r.Window, before, raw)
	}
	w.accepted[r.Window] = string(raw)
	return nil
}

// next returns the possible successors of a state. trustsUnanswered injects a fault: a holder
// assumes that an unanswered write took effect.
func (w *modelState) next(aggregators [2]*Aggregator, trustsUnanswered bool) (out []*modelState, err error) {
	add := func(f func(n *modelState) error) {
		n := w.clone()
		if e := f(n); e != nil {
			err = e
		}
		out = append(out, n)
	}
	fault := func(f func(n *modelState) error) {
		if w.faults < exploreFaults {
			add(func(n *modelState) error { n.faults++; return f(n) })
		}
	}
	for i := range w.lateWrites {
		add(func(n *modelState) error {
			l := n.lateWrites[i]
			n.lateWrites = slices.Delete(n.lateWrites, i, i+1)
			n.write(l)
			return nil
		})
	}
	for i := range w.holders {
		step := w.clone().holders[i].Next(exploreNow, aggregators[i])
		fault(func(n *modelState) error { n.holders[i] = *NewReporter(exploreTiming); return nil }) // A holder is lost, and another one begins.
		switch step.Kind {
		case Read:
			add(func(n *modelState) error {
				if n.outbox == nil {
					n.holders[i].InitOutbox(1_200, aggregators[i])
				} else {
					n.holders[i].SetOutbox(*n.outbox, n.rev)
				}
				return nil
			})
		case Write:
			l := lateWrite{step.Rev, step.Outbox}
			unanswered := func(n *modelState) {
				if trustsUnanswered {
					n.holders[i].SetOutbox(step.Outbox, step.Rev+1)
				} else {
					n.holders[i].InvalidateOutbox()
				}
			}
			add(func(n *modelState) error {
				if n.write(l) {
					n.holders[i].SetOutbox(step.Outbox, n.rev)
				} else {
					n.holders[i].InvalidateOutbox()
				}
				return nil
			})
			fault(func(n *modelState) error { n.write(l); unanswered(n); return nil })                             // The answer is lost.
			fault(func(n *modelState) error { n.lateWrites = append(n.lateWrites, l); unanswered(n); return nil }) // The write takes effect later.
			fault(func(n *modelState) error { unanswered(n); return nil })                                         // The write is lost.
		case Send:
			add(func(n *modelState) error { n.holders[i].Sent(step.Report.Window); return n.accept(step.Report) })
			fault(func(n *modelState) error { return n.accept(step.Report) }) // The answer is lost.
		}
	}
	return out, err
}

var exploreTiming = WindowTiming{Length: 1_000, MaxWait: 0}

func explore(trustsUnanswered bool) (states int, complete bool, err error) {
	var aggregators [2]*Aggregator
	for i := range aggregators {
		aggregators[i] = NewAggregator(exploreTiming.Length)
		for w := cf.UsageWindow(1); w <= 2; w++ {
			aggregators[i].Add(MeterReport{
				Source: Source{Entry: "e"}, Seq: 1, Through: exploreNow + grace,
				Windows: []cf.UsageReport{{Window: w, Counts: map[cf.Organisation]int64{"o": int64(i + 1)}}},
			})
		}
	}
	start := &modelState{accepted: map[cf.UsageWindow]string{}}
	for i := range start.holders {
		start.holders[i] = *NewReporter(exploreTiming)
	}
	seen := map[string]bool{start.key(): true}
	level := []*modelState{start}
	for range exploreSteps {
		var after []*modelState
		for _, w := range level {
			next, err := w.next(aggregators, trustsUnanswered)
			if err != nil {
				return len(seen), complete, err
			}
			for _, n := range next {
				if k := n.key(); !seen[k] {
					seen[k] = true
					after = append(after, n)
					complete = complete || len(n.accepted) == 2
				}
			}
		}
		level = after
	}
	return len(seen), complete, nil
}

// TestNoTwoReportsOfAWindowDiffer guards against the platform receiving two different reports of
// one window. It explores every order of reads, writes and sends of two concurrent holders with
// different counts, with lost answers, writes that take effect late, and lost holders, up to four
// faults in all.
func TestNoTwoReportsOfAWindowDiffer(t *testing.T) {
	states, complete, err := explore(false)
	if err != nil {
		t.Error(err)
	}
	if !complete {
		t.Error("no explored run reported both windows")
	}
	t.Logf("explored %d states", states)
	if _, _, err := explore(true); err == nil {
		t.Error("the exploration does not find a holder that trusts an unanswered write")
	}
}
