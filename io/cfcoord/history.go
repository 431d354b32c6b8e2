package cfcoord

import (
	"slices"

	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// keepEnded bounds the text of ended batches that stays in memory for
	// readers who come back; what is dropped is read from the store, at two
	// calls a read.
	keepEnded = 16 << 20
	// knownFor is for how many ends of batches their groups are remembered: a trainer
	// asks for a group again in its next steps or not at all, and a site has tens of
	// trainers.
	knownFor = 40
	// overMost bounds the batches that are remembered as over: those of an hour
	// at ten steps a second.
	overMost = 36000
)

// history is what is remembered of batches that are over. The lock of who holds it
// guards it.
type history struct {
	// over are batches that were seen ended or removed, so that a late word
	// of their acceptance does not begin them.
	over map[cf.BatchID]bool
	// order lists the ended batches in memory, oldest first.
	order []cf.BatchID
	// groups are those of ended batches, with the number of the end.
	groups map[cf.GroupID]int
	ends   int
}

func newHistory() history {
	return history{over: map[cf.BatchID]bool{}, groups: map[cf.GroupID]int{}}
}

// noteOver remembers that a batch is over.
func (h *history) noteOver(id cf.BatchID) {
	if len(h.over) >= overMost {
		clear(h.over) // acceptedFresh keeps what is forgotten from coming back
	}
	h.over[id] = true
}

// noteEnd remembers a batch that has just ended, and its groups. Any of them may come
// back: one that is whole here may not have been when the trainer looked last.
func (h *history) noteEnd(b *cfbatch.Batch) {
	h.order = append(h.order, b.Sub.ID)
	h.ends++
	for _, it := range b.Sub.Items {
		h.groups[it.Group] = h.ends
	}
	for g, end := range h.groups {
		if end <= h.ends-knownFor {
			delete(h.groups, g)
		}
	}
}

// carried says whether a group was asked for by a batch that has ended.
func (h *history) carried(g cf.GroupID) bool { return g != "" && h.groups[g] > 0 }

// trim drops the oldest ended batches beyond what is kept in memory, and those
// of which a chunk of the coordinator before may still arrive in the store: it
// would be seen by a read of the store and be missing here.
func (h *history) trim(batches map[cf.BatchID]*state) {
	size := 0
	for _, id := range slices.Backward(h.order) {
		st := batches[id]
		if st == nil {
			continue
		}
		size += st.batch.Size()
		late := st.inherited && !st.batch.Complete()
		if (late || size > keepEnded) && st.pending.Len() == 0 {
			delete(batches, id)
		}
	}
	h.order = slices.DeleteFunc(h.order, func(id cf.BatchID) bool { return batches[id] == nil })
}
