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

// TestLargeBatchIsSplitIntoParts guards against a batch that is refused for good because it is
// larger than an object in the store may be: a step of 4,096 samples, while the store accepts
// values of up to 1 MB. Submitted twice, it is still one batch.
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
		t.Errorf("second submission: got error %v, want a conflict", err)
	}
	object, err := store.Get(ctx, cf.KindBatch, "b")
	if err != nil {
		t.Fatal(err)
	}
	parts, _ := store.List(ctx, cf.KindParts("b"))
	for _, r := range append(parts.Items, object) {
		if len(r.Spec) > 1<<20 {
			t.Errorf("object %s has %d bytes, over the limit of 1 MB", r.Name, len(r.Spec))
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
		t.Errorf("fetched %d of %d items, item 0-0 listed: %v", len(b.Sub.Items), len(sub.Items), b.Listed("0-0"))
	}
	if err := store.Delete(ctx, cf.KindParts("b"), cfbatch.PartName(1)); err != nil {
		t.Fatal(err)
	}
	if _, err := cfbatch.Fetch(ctx, store, object, false); err == nil {
		t.Error("a batch that lacks one of its parts was fetched without an error")
	}
}

func TestSmallBatchIsOneObject(t *testing.T) {
	head, parts, err := cfbatch.Split(submission(4, 4), 1<<20)
	if err != nil || len(parts) != 0 || len(head.Items) != 16 {
		t.Errorf("%d parts, %d items in the head, %v", len(parts), len(head.Items), err)
	}
}
