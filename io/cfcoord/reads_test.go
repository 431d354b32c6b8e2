package cfcoord

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/testbed/cfstandin"
)

// storeAndLoad writes a batch to the store and adds it to the coordinator's batches.
func (c *Coordinator) storeAndLoad(t *testing.T, sub cf.Submission, inherited bool) *batchState {
	t.Helper()
	ctx := context.Background()
	if err := cfbatch.Create(ctx, c.Store, sub, 1<<20); err != nil {
		t.Fatal(err)
	}
	object, err := c.Store.Get(ctx, cf.KindBatch, string(sub.ID))
	if err != nil {
		t.Fatal(err)
	}
	st, err := c.readBatch(object, inherited, inherited)
	if err != nil {
		t.Fatal(err)
	}
	c.batches[sub.ID] = st
	return st
}

// TestEndedInheritedBatchIsReadFromStore guards against results that disappear after they have been
// read. A coordinator loses the lease while the write of a chunk is in progress; its successor
// adopts the batch, and the trainer ends the batch before it is complete. Then the chunk takes
// effect. A read of the store returns it, so a later read must not be answered from the successor's
// memory.
func TestEndedInheritedBatchIsReadFromStore(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	c := New(Options{Store: store, Lease: heldLease{}, Log: zap.NewNop()})
	two := []cf.Item{{ID: "1"}, {ID: "2"}}
	inherited := c.storeAndLoad(t, cf.Submission{ID: "of another", Items: two}, true)
	own := c.storeAndLoad(t, cf.Submission{ID: "its own", Items: two}, false)
	for _, st := range []*batchState{inherited, own} {
		c.endBatch(st)
	}
	if _, err := c.Results(ctx, "of another", 0, 0); !errors.Is(err, cf.ErrNotLeader) {
		t.Errorf("an ended inherited batch is read from memory: error %v", err)
	}
	if _, err := c.Results(ctx, "its own", 0, 0); err != nil {
		t.Errorf("a batch of this term is not read from memory: %v", err)
	}
}

// TestResultsOfPredecessorAreSeen guards against results that disappear after they have been read:
// 56 results were read, and then there was none at position 55. A suspended coordinator resumes and
// lists one more result before it learns of its successor, and a read of the store returns that
// result. The successor has finished the same item, and waits for further items before it lists
// them. It must not rely on the chunks from before its term alone.
func TestResultsOfPredecessorAreSeen(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	c := New(Options{Store: store, Lease: heldLease{}, Log: zap.NewNop()})
	sub := cf.Submission{ID: "b", Items: []cf.Item{{ID: "1"}, {ID: "2"}}}
	st := c.storeAndLoad(t, sub, true)
	st.pending.Add(cf.Result{ID: "1", State: cf.ItemDone, Output: "x"}, cf.Uptime())
	late := cfbatch.Chunk{Results: []cf.Result{{ID: "1", State: cf.ItemDone, Output: "x"}}}
	if _, err := store.Create(ctx, cf.KindResults("b"), "000000", late); err != nil {
		t.Fatal(err)
	}
	page, err := c.Results(ctx, "b", 0, 0)
	if err != nil || len(page.Results) != 1 {
		t.Errorf("%d results, error %v; the store holds one result", len(page.Results), err)
	}
	if n := st.pending.Len(); n != 0 {
		t.Errorf("%d results are to be listed a second time", n)
	}
}

// TestResultsOfBatchStartedByTwoCoordinatorsAreSeen guards against an empty answer to a reader
// although another one has read a result from the store, for a batch that the predecessor was
// notified of after this coordinator's initial list.
func TestResultsOfBatchStartedByTwoCoordinatorsAreSeen(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	c := startSuccessor(t, store, &countingTargets{}, true)
	eventually := func(what string, f func() bool) {
		t.Helper()
		for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(5 * time.Millisecond) {
			c.mu.Lock()
			ok := f()
			c.mu.Unlock()
			if ok {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("timed out waiting for: %s", what)
			}
		}
	}
	eventually("end of the takeover", func() bool { return c.takeover.done })
	sub := cf.Submission{ID: "b", Host: "h", Path: "/", Model: "m", MinVersion: 1, Items: []cf.Item{{ID: "1"}, {ID: "2"}}, Accepted: cf.Now()}
	for _, announced := range []bool{false, true} {
		if announced {
			sub.ID = "c"
			c.PrepareBatch(sub)
		}
		if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
			t.Fatal(err)
		}
		eventually("batch", func() bool { return c.batches[sub.ID] != nil })
		listed := cfbatch.Chunk{Results: []cf.Result{{ID: "1", State: cf.ItemDone, Output: "x"}}}
		if _, err := store.Create(ctx, cf.KindResults(sub.ID), "000000", listed); err != nil {
			t.Fatal(err)
		}
		time.Sleep(rereadInterval.Duration())
		page, err := c.Results(ctx, sub.ID, 0, 0)
		if err == nil && len(page.Results) == 0 {
			t.Errorf("announced=%v: no result at position 0, but the store has one", announced)
		}
	}
}
