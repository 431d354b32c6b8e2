package cfcoord

import (
	"slices"

	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// maxEndedBytes bounds the text of ended batches that stays in memory for
	// readers who come back; what is dropped is read from the store, at two
	// calls a read.
	maxEndedBytes = 16 << 20
	// groupRetention is for how many ends of batches their groups are remembered: a trainer
	// asks for a group again in its next steps or not at all, and a site has tens of
	// trainers.
	groupRetention = 40
	// maxClosed bounds the batches that are remembered as over: those of an hour
	// at ten steps a second.
	maxClosed = 36000
)

// history is what is remembered of batches that are over. The lock of who holds it
// guards it.
type history struct {
	// closed are batches that were seen ended or removed, so that a late word
	// of their acceptance does not begin them.
	closed map[cf.BatchID]bool
	// endedInMemory lists the ended batches in memory, oldest first.
	endedInMemory []cf.BatchID
	// groups are those of ended batches, with the number of the end.
	groups map[cf.GroupID]int
	ends   int
}

func newHistory() history {
	return history{closed: map[cf.BatchID]bool{}, groups: map[cf.GroupID]int{}}
}

// markClosed remembers that a batch is over.
func (h *history) markClosed(id cf.BatchID) {
	if len(h.closed) >= maxClosed {
		clear(h.closed) // acceptedFresh keeps what is forgotten from coming back
	}
	h.closed[id] = true
}

// recordEnd remembers a batch that has just ended, and its groups. Any of them may come
// back: one that is whole here may not have been when the trainer looked last.
func (h *history) recordEnd(b *cfbatch.Batch) {
	h.endedInMemory = append(h.endedInMemory, b.Sub.ID)
	h.ends++
	for _, it := range b.Sub.Items {
		h.groups[it.Group] = h.ends
	}
	for g, end := range h.groups {
		if end <= h.ends-groupRetention {
			delete(h.groups, g)
		}
	}
}

// requestedBefore says whether a group was asked for by a batch that has ended.
func (h *history) requestedBefore(g cf.GroupID) bool { return g != "" && h.groups[g] > 0 }

// trim drops the oldest ended batches beyond what is kept in memory, and those
// of which a chunk of the coordinator before may still arrive in the store: it
// would be seen by a read of the store and be missing here.
func (h *history) trim(batches map[cf.BatchID]*batchState) {
	size := 0
	for _, id := range slices.Backward(h.endedInMemory) {
		st := batches[id]
		if st == nil {
			continue
		}
		size += st.batch.Size()
		mayGrow := st.inherited && !st.batch.Complete()
		if (mayGrow || size > maxEndedBytes) && st.pending.Len() == 0 {
			delete(batches, id)
		}
	}
	h.endedInMemory = slices.DeleteFunc(h.endedInMemory, func(id cf.BatchID) bool { return batches[id] == nil })
}
