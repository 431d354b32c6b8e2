package cfcoord

import (
	"slices"

	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// maxEndedBytes limits the size of the texts of ended batches that stay in memory for repeated
	// reads. Results that were dropped are read from the store, which takes two calls per read.
	maxEndedBytes = 16 << 20
	// groupRetention is the number of ended batches whose groups are remembered. A trainer requests
	// a group again in its next steps or never, and a site has tens of trainers.
	groupRetention = 40
	// maxClosed limits the number of batches that are remembered as closed: those of an hour at ten
	// steps per second.
	maxClosed = 36000
)

// history holds what is remembered of closed batches. It is guarded by the lock of its owner.
type history struct {
	// closed holds batches that were seen ended or removed, so that a delayed notification of their
	// acceptance does not start them.
	closed map[cf.BatchID]bool
	// endedInMemory lists the ended batches that are in memory, oldest first.
	endedInMemory []cf.BatchID
	// ends counts the ended batches. groups maps each of their groups to the value of ends when the
	// last batch with that group had ended.
	groups map[cf.GroupID]int
	ends   int
}

func newHistory() history {
	return history{closed: map[cf.BatchID]bool{}, groups: map[cf.GroupID]int{}}
}

// markClosed records that a batch has ended or was removed.
func (h *history) markClosed(id cf.BatchID) {
	if len(h.closed) >= maxClosed {
		clear(h.closed) // batches that are forgotten here are still rejected by maxAcceptanceAge
	}
	h.closed[id] = true
}

// recordEnd records a batch that has just ended, and its groups. Any of them may be requested
// again, even one that is complete here: it may not have been complete at the trainer's last read.
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

// requestedBefore reports whether a group was requested in a batch that has ended.
func (h *history) requestedBefore(g cf.GroupID) bool { return g != "" && h.groups[g] > 0 }

// trim removes from batches the oldest ended ones beyond maxEndedBytes, or beyond itemBytes of memory
// for their items (zero for no limit), and inherited ones for which the predecessor's writes may
// still add a chunk to the store: readers of the store would see that chunk, and readers of the
// memory would not.
func (h *history) trim(batches map[cf.BatchID]*batchState, itemBytes int64) {
	size, cost := 0, int64(0)
	for _, id := range slices.Backward(h.endedInMemory) {
		st := batches[id]
		if st == nil {
			continue
		}
		size += st.batch.Size()
		cost += st.cost
		mayGrow := st.inherited && !st.batch.Complete()
		if (mayGrow || size > maxEndedBytes || itemBytes > 0 && cost > itemBytes) && st.pending.Len() == 0 {
			delete(batches, id)
		}
	}
	h.endedInMemory = slices.DeleteFunc(h.endedInMemory, func(id cf.BatchID) bool { return batches[id] == nil })
}
