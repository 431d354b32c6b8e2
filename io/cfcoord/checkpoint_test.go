package cfcoord

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/testbed/cfstandin"
)

// TestJoinCheckpointsDropsTextsWithGaps guards against texts that have a gap or are joined from two
// runs. Two successive coordinators store texts; one write of the first is lost, and another takes
// effect after the second coordinator has restarted the text.
func TestJoinCheckpointsDropsTextsWithGaps(t *testing.T) {
	record := func(name string, texts map[cf.ItemID]cfrollout.Text) cf.Record {
		raw, err := json.Marshal(checkpoint{Texts: texts})
		if err != nil {
			t.Fatal(err)
		}
		return cf.Record{Name: name, Spec: raw}
	}
	texts, err := joinCheckpoints([]cf.Record{
		record("0000000000000009-000001", map[cf.ItemID]cfrollout.Text{"b": textOf(7, 0, 50), "c": textOf(8, 0, 31)}),
		record("0000000000000005-000001", map[cf.ItemID]cfrollout.Text{"a": textOf(1, 0, 40), "b": textOf(2, 0, 60), "d": textOf(3, 0, 30)}),
		record("0000000000000005-000003", map[cf.ItemID]cfrollout.Text{"a": textOf(1, 40, 66), "b": textOf(2, 60, 80), "d": textOf(3, 55, 70)}),
	})
	if err != nil {
		t.Fatal(err)
	}
	if a := texts["a"]; a.Last != 66 || !a.FromStart() || a.Origin != 1 {
		t.Errorf("a: %d events of run %d up to event %d, want 66 of run 1", len(a.Data), a.Origin, a.Last)
	}
	if b := texts["b"]; b.Last != 50 || b.Origin != 7 {
		t.Errorf("b: %d events of run %d, want the 50 of the later term's run", b.Last, b.Origin)
	}
	if d, kept := texts["d"]; kept {
		t.Errorf("d has a gap but is kept up to event %d", d.Last)
	}
	if _, err := joinCheckpoints([]cf.Record{{Name: "x", Spec: json.RawMessage(`{"texts":7}`)}}); err == nil {
		t.Error("no error for an object that cannot be decoded")
	}
}

// TestCheckpointsHoldOnlyNewEventsOfLongTexts checks that each text is stored once, in consecutive
// parts, and only while its batch is open.
func TestCheckpointsHoldOnlyNewEventsOfLongTexts(t *testing.T) {
	c := New(Options{Lease: heldLease{}})
	open := c.testBatch("b", 1)
	w := &cfrollout.Work{Batch: open.batch, Item: cf.Item{ID: "a"}, Text: textOf(1, 0, minCheckpointEvents-1)}
	c.runs[w] = func() {}
	copied := newCopyProgress(minCheckpointEvents)
	if parts := c.nextCheckpoints(copied); len(parts) != 0 {
		t.Error("a short text is stored")
	}
	w.Text = textOf(1, 0, 40)
	first := c.nextCheckpoints(copied)["b"].Texts
	if part := first["a"]; part.Last != 40 || !part.FromStart() {
		t.Errorf("first part: %d events up to event %d, want 40 from the start", len(part.Data), part.Last)
	}
	copied.acknowledge(first, nil)
	w.Text = textOf(1, 0, 66)
	if part := c.nextCheckpoints(copied)["b"].Texts["a"]; part.Last != 66 || len(part.Data) != 26 {
		t.Errorf("second part: %d events up to event %d, want the 26 up to 66", len(part.Data), part.Last)
	}
	open.batch.Ended = true
	w.Text = textOf(1, 0, 90)
	if parts := c.nextCheckpoints(copied); len(parts) != 0 {
		t.Error("a text of an ended batch is stored")
	}
}

// blockingTextStore is a store whose lists of texts block until release is closed.
type blockingTextStore struct {
	*cfstandin.MemStore
	release chan struct{}
}

func (s blockingTextStore) List(ctx context.Context, kind string) (cf.Records, error) {
	if strings.Contains(kind, "texts") {
		<-s.release
	}
	return s.MemStore.List(ctx, kind)
}

// TestTakeoverWaitsForStoredTexts guards against generating stored texts again from the start after
// all instances have lost power, which makes a step take 11 s although its texts of up to 7 s are
// in the store. While the coordinator reads these texts, the watch delivers a change of a batch,
// which must not end the takeover.
func TestTakeoverWaitsForStoredTexts(t *testing.T) {
	store := blockingTextStore{cfstandin.NewMemStore(), make(chan struct{})}
	if _, err := store.Create(context.Background(), cf.KindTexts("b"), "1", checkpoint{Texts: map[cf.ItemID]cfrollout.Text{"a": textOf(1, 0, 40)}}); err != nil {
		t.Fatal(err)
	}
	c := New(Options{Lease: heldLease{}, Store: store, Log: zap.NewNop()})
	t.Cleanup(func() { _ = c.Close() })
	c.testBatch("b", 1).inherited = true
	takenOver := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.takeover.done
	}
	c.mu.Lock()
	c.takeover.caughtUp = true
	c.mu.Unlock()
	c.adoptTexts(nil)
	c.mu.Lock()
	c.advanceTakeover() // as after a change of a batch
	c.mu.Unlock()
	if takenOver() {
		t.Error("the takeover ends before the stored texts are read")
	}
	close(store.release)
	for !takenOver() {
		time.Sleep(time.Millisecond)
	}
	if got := c.UnlistedTexts()["a"]; got.Last != 40 {
		t.Errorf("the text continues after event %d, want 40", got.Last)
	}
}
