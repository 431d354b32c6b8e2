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

// Symptom: a sample's text has a gap, or is of two runs.
// Sequence: two coordinators after each other keep texts in the store; a write of
// the first is lost, another takes effect after the second has begun anew.
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
		t.Errorf("a: %d events of run %d up to %d", len(a.Data), a.Origin, a.Last)
	}
	if b := texts["b"]; b.Last != 50 || b.Origin != 7 {
		t.Errorf("b: %d events of run %d, want the 50 of the later holder's run", b.Last, b.Origin)
	}
	if d, kept := texts["d"]; kept {
		t.Errorf("d has a gap and is kept up to %d", d.Last)
	}
	if _, err := joinCheckpoints([]cf.Record{{Name: "x", Spec: json.RawMessage(`{"texts":7}`)}}); err == nil {
		t.Error("an object that can't be read is no error")
	}
}

// Each text is written once, in parts that follow each other, and only while its
// batch is open.
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
		t.Errorf("first part: %d events up to %d", len(part.Data), part.Last)
	}
	copied.acknowledge(first, nil)
	w.Text = textOf(1, 0, 66)
	if part := c.nextCheckpoints(copied)["b"].Texts["a"]; part.Last != 66 || len(part.Data) != 26 {
		t.Errorf("second part: %d events up to %d", len(part.Data), part.Last)
	}
	open.batch.Ended = true
	w.Text = textOf(1, 0, 90)
	if parts := c.nextCheckpoints(copied); len(parts) != 0 {
		t.Error("a text of an ended batch is stored")
	}
}

// blockingTextStore is a store whose texts are read only when they are released.
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

// Symptom: after all instances have lost power a step takes 11 s, though its texts of
// up to 7 s lie in the store.
// Sequence: the coordinator reads them from the store; meanwhile a watch brings a
// change of a batch.
// Cause: with the change everything from before counted as read, and the step began
// anew.
func TestTakeoverWaitsForStoredTexts(t *testing.T) {
	store := blockingTextStore{cfstandin.NewMemStore(), make(chan struct{})}
	if _, err := store.Create(context.Background(), cf.KindTexts("b"), "1", checkpoint{Texts: map[cf.ItemID]cfrollout.Text{"a": textOf(1, 0, 40)}}); err != nil {
		t.Fatal(err)
	}
	c := New(Options{Lease: heldLease{}, Store: store, Log: zap.NewNop()})
	t.Cleanup(func() { _ = c.Close() })
	c.testBatch("b", 1).inherited = true
	loaded := func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.takeover.done
	}
	c.mu.Lock()
	c.takeover.caughtUp = true
	c.mu.Unlock()
	c.adoptTexts(nil)
	c.mu.Lock()
	c.advanceTakeover() // as after a change
	c.mu.Unlock()
	if loaded() {
		t.Error("the batches begin before their texts are read")
	}
	close(store.release)
	for !loaded() {
		time.Sleep(time.Millisecond)
	}
	if got := c.UnlistedTexts()["a"]; got.Last != 40 {
		t.Errorf("the text goes on after event %d, want 40", got.Last)
	}
}
