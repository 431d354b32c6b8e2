package cfcoord

import (
	"fmt"
	"strings"
	"sync"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/core/cfrollout"
)

func text(from, to int) cfrollout.Text { return textOf(1, from, to) }

func textOf(origin uint64, from, to int) cfrollout.Text {
	t := cfrollout.Text{Origin: origin, Last: cf.EventID(to)}
	for range to - from {
		t.Data = append(t.Data, "x")
	}
	return t
}

func mirrorPart(term cf.Revision, id cf.ItemID, t cfrollout.Text) Mirror {
	return Mirror{Term: term, Texts: map[cf.ItemID]cfrollout.Text{id: t}}
}

// Symptom: a resumed text misses events.
// Sequence: a part of a copy is lost; the next one follows an event that the
// neighbour does not hold.
// Cause guarded against: joining parts that do not follow each other.
func TestMirrorDropsTextWithGap(t *testing.T) {
	var m Mirror
	m.Apply(mirrorPart(1, "a", text(0, 10)))
	m.Apply(mirrorPart(1, "a", text(10, 15)))
	if got := m.Texts["a"]; got.Last != 15 || !got.FromStart() {
		t.Errorf("joined text ends at %d with %d events", got.Last, len(got.Data))
	}
	m.Apply(mirrorPart(1, "a", text(18, 20)))
	if _, ok := m.Texts["a"]; ok {
		t.Error("a text with a gap is kept")
	}
	m.Apply(mirrorPart(1, "a", text(0, 22)))
	if got := m.Texts["a"]; got.Last != 22 {
		t.Errorf("a whole text after the gap ends at %d, want 22", got.Last)
	}
	m.Apply(mirrorPart(2, "b", text(0, 9)))
	if _, ok := m.Texts["a"]; ok {
		t.Error("a text of an earlier term is kept")
	}
}

// Symptom: a sample's text goes on with a run that was not asked to take it up
// there.
// Sequence: a step ends while an item of it runs; the next step asks for the
// item again, and its old text does not fit, so it begins anew, all between two
// copies; then the coordinator is frozen and its successor takes the copies.
// Cause: the copy went on from the last event that had been copied, which was
// the earlier run's.
func TestMirrorDoesNotJoinTwoRuns(t *testing.T) {
	var m Mirror
	m.Apply(mirrorPart(1, "a", textOf(1, 0, 40)))
	m.Apply(mirrorPart(1, "a", textOf(2, 40, 45)))
	if got, ok := m.Texts["a"]; ok {
		t.Errorf("a text of two runs is kept: %d events", got.Last)
	}
	c := New(Options{Lease: heldLease{}})
	w := &cfrollout.Work{Batch: cfbatch.New(cf.Submission{ID: "b"}), Item: cf.Item{ID: "a"}}
	c.runs[w] = func() {}
	write := func(n int) {
		for range n {
			if err := w.Text.Append(cf.StreamEvent{ID: w.Text.Last + 1, Data: "x", Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
	}
	copied := newCopyProgress(minMirrorEvents)
	write(40)
	copied.acknowledge(c.nextMirrorPart(copied).Texts, nil)
	w.Text = cfrollout.Text{}
	write(45)
	if got := c.nextMirrorPart(copied).Texts["a"]; !got.FromStart() {
		t.Errorf("the copy of a new run begins after event %d", int(got.Last)-len(got.Data))
	}
}

// heldLease is the duty of a coordinator that has it.
type heldLease struct{}

func (heldLease) Valid() bool                   { return true }
func (heldLease) Held() bool                    { return true }
func (heldLease) MayOrder() (cf.Revision, bool) { return 1, true }
func (heldLease) Ordered()                      {}

// Symptom: a sample's text goes on with events of a run that was not asked to
// take it up there.
// Sequence: an entry that holds a neighbour's copies takes the duty over and
// resumes a text; the coordinator before, which was frozen, wakes up and sends
// one more part of its own run.
// Cause: the resumed text and the mirror shared one array, so the late part was
// written over the events of the new run.
func TestLatePartDoesNotOverwriteResumedText(t *testing.T) {
	var m Mirror
	m.Apply(mirrorPart(1, "a", text(0, 10)))
	m.Apply(mirrorPart(1, "a", text(10, 14)))
	p := cfrollout.New(cfrollout.DefaultLimits)
	resumed := m.Snapshot()["a"]
	p.AdoptTexts(map[cf.ItemID]cfrollout.Text{"a": resumed})
	if err := resumed.Append(cf.StreamEvent{ID: 15, Data: "new run", Version: 1}); err != nil {
		t.Fatal(err)
	}
	m.Apply(mirrorPart(1, "a", text(14, 15)))
	if got := resumed.Data[14]; got != "new run" {
		t.Errorf("event 15 of the resumed text is %q", got)
	}
}

// Symptom: after the loss of a coordinator a complete text is asked for again at
// an engine.
// Sequence: a text is copied with its last event while its run still holds the
// stream open; the run ends, its reward is asked for, and the coordinator dies.
// Cause: no event was new, so the copy never learned that the text is complete.
func TestMirrorReceivesCompletionWithoutNewEvents(t *testing.T) {
	c := New(Options{Lease: heldLease{}})
	w := &cfrollout.Work{Batch: cfbatch.New(cf.Submission{ID: "b"}), Item: cf.Item{ID: "a"}, Text: text(0, 10)}
	c.runs[w] = func() {}
	copied := newCopyProgress(minMirrorEvents)
	var m Mirror
	first := c.nextMirrorPart(copied)
	m.Apply(first)
	copied.acknowledge(first.Texts, nil)
	delete(c.runs, w)
	w.Text.Complete = true
	c.unlisted["a"] = unlistedText{"b", w.Text}
	second := c.nextMirrorPart(copied)
	m.Apply(second)
	copied.acknowledge(second.Texts, nil)
	if got := m.Texts["a"]; !got.Complete || got.Last != 10 || !got.FromStart() {
		t.Errorf("the copy of a complete text: complete %v, %d events up to %d", got.Complete, len(got.Data), got.Last)
	}
	if again := c.nextMirrorPart(copied); len(again.Texts) > 0 {
		t.Error("a complete text is copied over and over")
	}
}

// testBatch gives a coordinator an open batch of n items.
func (c *Coordinator) testBatch(id cf.BatchID, n int) *batchState {
	sub := cf.Submission{ID: id}
	for i := range n {
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(string(rune('a' + i)))})
	}
	st := &batchState{batch: cfbatch.New(sub), changed: make(chan struct{})}
	c.batches[id] = st
	return st
}

// mirrorPeer takes copies whose acknowledgements are lost while lost is set.
type mirrorPeer struct {
	mu       sync.Mutex
	mirror   Mirror
	dropAcks bool
	copies   int
	bytes    int
}

func (n *mirrorPeer) Choose(string) string { return "neighbour" }

func (n *mirrorPeer) Copy(_ string, part Mirror) ([]cf.ItemID, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.copies++
	for _, t := range part.Texts {
		n.bytes += t.Size()
	}
	missing := n.mirror.Apply(part)
	if n.dropAcks {
		return nil, cf.ErrUnavailable
	}
	return missing, nil
}

// Symptom: on instances with a link of 60 Mbit/s, steps take 10 s and more, and
// renewals of the lease and chunks of results have no answer in time.
// Sequence: a burst of texts makes one copy to the neighbour late; the link is busy
// with it, so the next one is late as well, and so on for the rest of the step.
// Cause: after each copy without an answer all texts were copied from their
// beginnings, 2 to 8 MB a second over a link of 7.5.
func TestUnacknowledgedCopiesAreNotRestarted(t *testing.T) {
	n := &mirrorPeer{dropAcks: true}
	c := New(Options{Lease: heldLease{}, MirrorPeers: n})
	const texts, events, size = 200, 100, 240 // a step of four MB
	for i := range texts {
		w := &cfrollout.Work{Batch: cfbatch.New(cf.Submission{ID: "b"}), Item: cf.Item{ID: cf.ItemID(fmt.Sprint(i))}}
		for e := range events {
			if err := w.Text.Append(cf.StreamEvent{ID: cf.EventID(e + 1), Data: strings.Repeat("x", size), Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
		c.runs[w] = func() {}
	}
	copied := newCopyProgress(minMirrorEvents)
	for range 5 {
		part := c.nextMirrorPart(copied)
		if _, err := n.Copy("neighbour", part); err == nil {
			copied.acknowledge(part.Texts, part.Ended)
		}
	}
	if n.bytes > 5*maxMirrorBytes {
		t.Errorf("5 copies without an answer sent %d bytes, want %d at most", n.bytes, 5*maxMirrorBytes)
	}
	n.dropAcks = false
	before := n.bytes
	for range texts * events * size / (maxMirrorBytes / 2) {
		part := c.nextMirrorPart(copied)
		missing, err := n.Copy("neighbour", part)
		if err != nil {
			t.Fatal(err)
		}
		copied.acknowledge(part.Texts, part.Ended)
		copied.forget(missing)
	}
	if sent := n.bytes - before; sent > texts*events*size {
		t.Errorf("%d bytes were sent of %d", sent, texts*events*size)
	}
	if len(n.mirror.Texts) != texts {
		t.Errorf("the neighbour holds %d of %d texts", len(n.mirror.Texts), texts)
	}
}

// Symptom: after the loss of a coordinator long texts begin anew though they were
// copied.
// Sequence: an acknowledgement is lost and the part is sent again with what is new;
// or the neighbour has started again and holds nothing.
// Cause guarded against: a part that overlaps what is held is dropped as one with a
// gap; a neighbour that lacks a beginning does not say so.
func TestMirrorAcceptsOverlapAndReportsMissingStart(t *testing.T) {
	var m Mirror
	m.Apply(mirrorPart(1, "a", text(0, 10)))
	m.Apply(mirrorPart(1, "a", text(10, 15)))
	if missing := m.Apply(mirrorPart(1, "a", text(10, 20))); len(missing) > 0 {
		t.Errorf("a part that was sent again is said to be missing: %v", missing)
	}
	if got := m.Texts["a"]; got.Last != 20 || !got.FromStart() {
		t.Errorf("joined text ends at %d with %d events", got.Last, len(got.Data))
	}
	var again Mirror // after a start
	if missing := again.Apply(mirrorPart(1, "a", text(20, 25))); len(missing) != 1 || missing[0] != "a" {
		t.Errorf("missing %v, want a", missing)
	}
}
