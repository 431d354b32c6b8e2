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

// TestMirrorDropsTextWithGap guards against resumed texts with missing events. A part of a copy is
// lost, and the next one begins after an event that the peer does not have; the two must not be
// joined.
func TestMirrorDropsTextWithGap(t *testing.T) {
	var m Mirror
	m.Apply(mirrorPart(1, "a", text(0, 10)))
	m.Apply(mirrorPart(1, "a", text(10, 15)))
	if got := m.Texts["a"]; got.Last != 15 || !got.FromStart() {
		t.Errorf("joined text ends at event %d with %d events", got.Last, len(got.Data))
	}
	m.Apply(mirrorPart(1, "a", text(18, 20)))
	if _, ok := m.Texts["a"]; ok {
		t.Error("a text with a gap is kept")
	}
	m.Apply(mirrorPart(1, "a", text(0, 22)))
	if got := m.Texts["a"]; got.Last != 22 {
		t.Errorf("a complete copy after the gap ends at %d, want 22", got.Last)
	}
	m.Apply(mirrorPart(2, "b", text(0, 9)))
	if _, ok := m.Texts["a"]; ok {
		t.Error("a text of an earlier term is kept")
	}
}

// TestMirrorDoesNotJoinTwoRuns guards against joining the texts of two runs. Between two copies, a
// step ends while an item of it runs, and the next step requests the item again; the old text does
// not meet that step's terms, so the item is restarted. Then the coordinator is suspended, and its
// successor uses the copies. The copy must not continue from the last event of the earlier run.
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

// heldLease is the lease of an instance that is the coordinator.
type heldLease struct{}

func (heldLease) Valid() bool                   { return true }
func (heldLease) Held() bool                    { return true }
func (heldLease) MayOrder() (cf.Revision, bool) { return 1, true }
func (heldLease) Ordered()                      {}

// TestLatePartDoesNotOverwriteResumedText guards against a resumed text that contains events of
// another run. An instance that holds a peer's copies becomes the coordinator and resumes a text;
// then its predecessor, which was suspended, sends one more part of its own run. If the resumed
// text and the mirror shared an array, that part would overwrite events of the new run.
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

// TestMirrorReceivesCompletionWithoutNewEvents guards against requesting a complete text from an
// engine again after the loss of a coordinator. A text is copied including its last event while the
// run's stream is still open; the run ends, the reward call is sent, and the coordinator fails.
// Although no event is new, the copy must learn that the text is complete.
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
		t.Errorf("the copy of a complete text: complete %v, %d events up to event %d", got.Complete, len(got.Data), got.Last)
	}
	if again := c.nextMirrorPart(copied); len(again.Texts) > 0 {
		t.Error("a complete text is copied again")
	}
}

// testBatch adds an open batch of n items to a coordinator.
func (c *Coordinator) testBatch(id cf.BatchID, n int) *batchState {
	sub := cf.Submission{ID: id}
	for i := range n {
		sub.Items = append(sub.Items, cf.Item{ID: cf.ItemID(string(rune('a' + i)))})
	}
	st := &batchState{batch: cfbatch.New(sub), changed: make(chan struct{})}
	c.batches[id] = st
	return st
}

// mirrorPeer is a peer that receives copies, and whose acknowledgements are lost while dropAcks is
// set.
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

// TestUnacknowledgedCopiesAreNotRestarted guards against copies that keep a link congested. On
// instances with a link of 60 Mbit/s, steps then take 10 s and more, and lease renewals and chunk
// writes time out: a burst of texts delays one copy, the link is busy with it, so the next copy is
// late too, and so on for the rest of the step. If all texts were copied from their beginnings
// after each unacknowledged copy, that would be 2 to 8 MB per second over a link of 7.5 MB per
// second.
func TestUnacknowledgedCopiesAreNotRestarted(t *testing.T) {
	n := &mirrorPeer{dropAcks: true}
	c := New(Options{Lease: heldLease{}, MirrorPeers: n})
	const texts, events, size = 200, 100, 240 // a step of 4 MB
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
		t.Errorf("5 unacknowledged copies sent %d bytes, want %d at most", n.bytes, 5*maxMirrorBytes)
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
		t.Errorf("%d bytes were sent for %d bytes of texts", sent, texts*events*size)
	}
	if len(n.mirror.Texts) != texts {
		t.Errorf("the peer holds %d of %d texts", len(n.mirror.Texts), texts)
	}
}

// TestMirrorAcceptsOverlapAndReportsMissingStart guards against restarting long texts that were
// copied before a coordinator's loss. Either an acknowledgement is lost and the part is sent again
// together with new events, which must not count as a gap; or the peer has restarted without the
// copies and must report the missing beginning.
func TestMirrorAcceptsOverlapAndReportsMissingStart(t *testing.T) {
	var m Mirror
	m.Apply(mirrorPart(1, "a", text(0, 10)))
	m.Apply(mirrorPart(1, "a", text(10, 15)))
	if missing := m.Apply(mirrorPart(1, "a", text(10, 20))); len(missing) > 0 {
		t.Errorf("the beginning of a repeated part is reported missing: %v", missing)
	}
	if got := m.Texts["a"]; got.Last != 20 || !got.FromStart() {
		t.Errorf("joined text ends at event %d with %d events", got.Last, len(got.Data))
	}
	var again Mirror // of the restarted peer
	if missing := again.Apply(mirrorPart(1, "a", text(20, 25))); len(missing) != 1 || missing[0] != "a" {
		t.Errorf("missing %v, want a", missing)
	}
}
