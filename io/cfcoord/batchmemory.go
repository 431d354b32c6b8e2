package cfcoord

import (
	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// openBatchDivisor and endedBatchDivisor divide the memory limit of the process: the items of
	// open batches, and of ended ones that are kept for readers, may take those parts.
	openBatchDivisor  = 5
	endedBatchDivisor = 20
	// preparedDivisor divides the memory limit of the process: batches that are about to be
	// accepted may take that part. Those beyond it are read from the store.
	preparedDivisor = 16
	// batchMemoryRetry is the retry delay for a submitter if there is no memory for its batch. Steps
	// end every few seconds.
	batchMemoryRetry cf.Millis = 1000
)

// newBatchState returns the state of a batch that has just become known.
func newBatchState(b *cfbatch.Batch) *batchState {
	return &batchState{batch: b, changed: make(chan struct{}), loadedAt: cf.Uptime(), cost: cfbatch.Cost(&b.Sub)}
}

// openBatchCost returns the memory in bytes that open batches take. c.mu is held.
func (c *Coordinator) openBatchCost() int64 {
	n := c.prepared.cost
	for _, st := range c.batches {
		if st.batch != nil && !st.batch.Ended {
			n += st.cost
		}
	}
	return n
}

// lacksMemory reports whether there is no memory for another batch. A batch that is too large by
// itself is accepted while there is no other. c.mu is held.
func (c *Coordinator) lacksMemory(cost int64) bool {
	limit := c.MemoryBytes / openBatchDivisor
	if limit <= 0 {
		return false
	}
	open := c.openBatchCost()
	return open > 0 && open+cost > limit
}
