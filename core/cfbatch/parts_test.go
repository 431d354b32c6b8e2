package cfbatch_test

import (
	"context"
	"errors"
	"reflect"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/testbed/cfstandin"
)

// Symptom: a batch that is larger than one object of the store is refused for
// ever.
// Sequence: a step of 4,096 samples is handed in; the store takes values of
// 1 MB. Handed in twice, it is one batch.
func TestLargeBatchIsSplitIntoParts(t *testing.T) {
	sub := submission(1024, 4)
	for i := range sub.Items {
		sub.Items[i].Body = make([]byte, 600)
	}
	store := cfstandin.NewMemStore()
	ctx := context.Background()
	if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
		t.Fatal(err)
	}
	if err := cfbatch.Create(ctx, store, sub, 1<<20); !errors.Is(err, cf.ErrConflict) {
		t.Errorf("handed in again: %v, want a conflict", err)
	}
	object, err := store.Get(ctx, cf.KindBatch, "b")
	if err != nil {
		t.Fatal(err)
	}
	parts, _ := store.List(ctx, cf.KindParts("b"))
	for _, r := range append(parts.Items, object) {
		if len(r.Spec) > 1<<20 {
			t.Errorf("object %s has %d bytes", r.Name, len(r.Spec))
		}
	}
	if _, err := store.Create(ctx, cf.KindResults("b"), "000000", cfbatch.Chunk{Results: []cf.Result{doneResult("0-0")}}); err != nil {
		t.Fatal(err)
	}
	b, err := cfbatch.Fetch(ctx, store, object, true)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(b.Sub.Items, sub.Items) || !b.Listed("0-0") {
		t.Errorf("%d items fetched of %d, first listed %v", len(b.Sub.Items), len(sub.Items), b.Listed("0-0"))
	}
	if err := store.Delete(ctx, cf.KindParts("b"), cfbatch.PartName(1)); err != nil {
		t.Fatal(err)
	}
	if _, err := cfbatch.Fetch(ctx, store, object, false); err == nil {
		t.Error("a batch without one of its parts was taken for whole")
	}
}

func TestSmallBatchIsOneObject(t *testing.T) {
	head, parts, err := cfbatch.Split(submission(4, 4), 1<<20)
	if err != nil || len(parts) != 0 || len(head.Items) != 16 {
		t.Errorf("%d parts, %d items in the head, %v", len(parts), len(head.Items), err)
	}
}
