package cfcoord

import (
	"context"
	"testing"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/testbed/cfstandin"
)

// TestSweepRemovesOnlyExpiredBatches guards against a store that grows without limit, and against
// removing batches that must still be readable. Batches of different ages, some of them ended, are
// swept.
func TestSweepRemovesOnlyExpiredBatches(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	s := sweeper{store, 120_000, zap.NewNop()}
	now := cf.Millis(100_000_000)
	cases := map[cf.BatchID]struct {
		age   cf.Millis
		ended bool
		kept  bool
	}{
		"ended-just-now": {1_000, true, true},
		"ended-readable": {150_000, true, true}, // within the clock skew allowance
		"ended-long-ago": {181_000, true, false},
		"open-long-ago":  {181_000, false, true},
		"open-abandoned": {abandonedAfter, false, false},
	}
	for id, b := range cases {
		sub := cf.Submission{ID: id, Accepted: now - b.age, Items: []cf.Item{{ID: "i", Body: make([]byte, 100)}}}
		if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
			t.Fatal(err)
		}
		if _, err := store.Create(ctx, cf.KindResults(id), "000000", cfbatch.Chunk{}); err != nil {
			t.Fatal(err)
		}
		if b.ended {
			if err := store.SetStatus(ctx, cf.KindBatch, string(id), cf.BatchStatus{Ended: true}); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := s.sweep(ctx, now); err != nil {
		t.Fatal(err)
	}
	for id, b := range cases {
		_, err := store.Get(ctx, cf.KindBatch, string(id))
		results, _ := store.List(ctx, cf.KindResults(id))
		if kept := err == nil; kept != b.kept || (len(results.Items) > 0) != b.kept {
			t.Errorf("%s: kept %v with %d chunks, want kept %v", id, kept, len(results.Items), b.kept)
		}
	}
}
