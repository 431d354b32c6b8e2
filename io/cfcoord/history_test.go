package cfcoord

import (
	"fmt"
	"strings"
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

func TestHistoryForgetsTheOldest(t *testing.T) {
	h := newHistory()
	batches := map[cf.BatchID]*state{}
	end := func(i int, size int) {
		id := cf.BatchID(fmt.Sprint("b", i))
		b := cfbatch.New(cf.Submission{ID: id, Items: []cf.Item{{ID: "i", Group: cf.GroupID(fmt.Sprint("g", i))}}})
		if size > 0 {
			b.Apply(b.NextChunk(), []cf.Result{{ID: "i", State: cf.ItemDone, Output: strings.Repeat("x", size)}})
		}
		batches[id] = &state{batch: b}
		h.noteEnd(b)
	}
	for i := range knownFor + 1 {
		end(i, 0)
	}
	if h.carried("g0") || !h.carried("g1") || h.carried("") {
		t.Errorf("groups known after %d ends: g0 %v, g1 %v, none %v", knownFor+1, h.carried("g0"), h.carried("g1"), h.carried(""))
	}
	// Half of what is kept each: of three the oldest goes.
	h, batches = newHistory(), map[cf.BatchID]*state{}
	for i := range 3 {
		end(i, keepEnded/2)
	}
	batches["late"] = &state{batch: cfbatch.New(cf.Submission{ID: "late", Items: []cf.Item{{ID: "i"}}}), inherited: true}
	h.noteEnd(batches["late"].batch)
	h.trim(batches)
	if batches["b0"] != nil || batches["b1"] == nil || batches["b2"] == nil {
		t.Errorf("kept %v, want the two newest", h.order)
	}
	if batches["late"] != nil {
		t.Error("a batch is kept of which results may still arrive")
	}
	for i := range overMost + 1 {
		h.noteOver(cf.BatchID(fmt.Sprint(i)))
	}
	if len(h.over) > overMost {
		t.Errorf("%d batches remembered as over", len(h.over))
	}
}
