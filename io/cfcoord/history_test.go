package cfcoord

import (
	"fmt"
	"strings"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

func TestHistoryEvictsOldest(t *testing.T) {
	h := newHistory()
	batches := map[cf.BatchID]*batchState{}
	end := func(i int, size int) {
		id := cf.BatchID(fmt.Sprint("b", i))
		b := cfbatch.New(cf.Submission{ID: id, Items: []cf.Item{{ID: "i", Group: cf.GroupID(fmt.Sprint("g", i))}}})
		if size > 0 {
			b.Apply(b.NextChunk(), []cf.Result{{ID: "i", State: cf.ItemDone, Output: strings.Repeat("x", size)}})
		}
		batches[id] = &batchState{batch: b}
		h.recordEnd(b)
	}
	for i := range groupRetention + 1 {
		end(i, 0)
	}
	if h.requestedBefore("g0") || !h.requestedBefore("g1") || h.requestedBefore("") {
		t.Errorf("groups known after %d ends: g0 %v, g1 %v, none %v", groupRetention+1, h.requestedBefore("g0"), h.requestedBefore("g1"), h.requestedBefore(""))
	}
	// Each batch takes half of the limit, so the oldest of three is removed.
	h, batches = newHistory(), map[cf.BatchID]*batchState{}
	for i := range 3 {
		end(i, maxEndedBytes/2)
	}
	batches["late"] = &batchState{batch: cfbatch.New(cf.Submission{ID: "late", Items: []cf.Item{{ID: "i"}}}), inherited: true}
	h.recordEnd(batches["late"].batch)
	h.trim(batches, 0)
	if batches["b0"] != nil || batches["b1"] == nil || batches["b2"] == nil {
		t.Errorf("batches in memory: %v, want the two newest", h.endedInMemory)
	}
	if batches["late"] != nil {
		t.Error("a batch is kept for which results may still arrive")
	}
	for i := range maxClosed + 1 {
		h.markClosed(cf.BatchID(fmt.Sprint(i)))
	}
	if len(h.closed) > maxClosed {
		t.Errorf("%d batches are remembered as closed", len(h.closed))
	}
}
