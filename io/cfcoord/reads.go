package cfcoord

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cflog"
)

const (
	// predecessorWriteWindow is how long the predecessor may still list results: its writes may
	// take effect seconds late, and its process may have been suspended.
	predecessorWriteWindow cf.Millis = 10000
	// rereadInterval is the minimum time between reads of the chunks of a batch for which the
	// predecessor may still list results, while a reader waits at the end of the list. A result
	// that one reader has seen must be visible to others within a second.
	rereadInterval cf.Millis = 500
)

// mayMissResults reports whether the store may hold results of the predecessor that are not known
// here, when a reader is about to be told that there are none. c.mu is held.
func (c *Coordinator) mayMissResults(st *batchState, after int, now cf.Millis) bool {
	return st.predecessorMayWrite && !st.batch.Complete() && len(st.batch.Page(after).Results) == 0 &&
		now-st.loadedAt < predecessorWriteWindow && now-st.rereadAt >= rereadInterval
}

// rereadChunks reads a batch's chunks from the store again.
func (c *Coordinator) rereadChunks(ctx context.Context, st *batchState) error {
	chunks, err := c.Store.List(ctx, cf.KindResults(st.batch.Sub.ID))
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := st.batch.NextChunk()
	if err := st.batch.ApplyAll(chunks.Items); err != nil {
		return err
	}
	if st.batch.NextChunk() != before {
		c.Log.Info("results_inherited", cflog.Batch(st.batch.Sub.ID), zap.Int("groups_whole", st.batch.CompleteGroups()))
		st.pending.DropListed(st.batch, cf.Uptime())
		c.measureListed(st)
		st.notifyReaders()
	}
	return nil
}

// Results returns the results of a batch from position after on. If there are none, it waits for up
// to wait. It returns ErrNotLeader if only the store can answer.
func (c *Coordinator) Results(ctx context.Context, id cf.BatchID, after int, wait cf.Millis) (cf.ResultPage, error) {
	deadline := time.NewTimer(wait.Duration())
	defer deadline.Stop()
	for {
		c.mu.Lock()
		st := c.batches[id]
		if st == nil || !c.Lease.Valid() {
			c.mu.Unlock()
			return cf.ResultPage{}, cf.ErrNotLeader
		}
		if c.mayMissResults(st, after, cf.Uptime()) {
			st.rereadAt = cf.Uptime()
			c.mu.Unlock()
			if err := c.rereadChunks(ctx, st); err != nil {
				return cf.ResultPage{}, cf.ErrNotLeader
			}
			continue
		}
		page, changed := st.batch.Page(after), st.changed
		if len(page.Results) == 0 && st.pending.InDoubt(cf.Uptime()) {
			c.mu.Unlock()
			return cf.ResultPage{}, cf.ErrNotLeader // the store can answer
		}
		done := st.batch.Complete() || st.batch.Ended
		c.mu.Unlock()
		if len(page.Results) > 0 || done || wait <= 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-deadline.C:
			wait = 0
		case <-ctx.Done():
			return cf.ResultPage{}, eris.Wrap(cf.ErrUnavailable, "caller gone")
		case <-c.ctx.Done():
			return cf.ResultPage{}, cf.ErrNotLeader
		}
	}
}

// ReadForPeer reads a batch for another instance. It returns the page, or the results' location in
// the store if the page exceeds this instance's PageBudget. With forcePage it always returns the
// page, and deducts it from the budget unless the budget is used up.
func (c *Coordinator) ReadForPeer(ctx context.Context, id cf.BatchID, after int, wait cf.Millis, forcePage bool) (cf.ResultPage, *cfbatch.PageRef, error) {
	page, err := c.Results(ctx, id, after, wait)
	if err != nil {
		return page, nil, err
	}
	size := 0
	for _, r := range page.Results {
		size += len(r.Output)
	}
	if c.PageBudget == nil || c.PageBudget.Spend(size, cf.Uptime()) || forcePage {
		return page, nil, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.batches[id]
	if st == nil {
		return page, nil, nil // dropped from memory in the meantime
	}
	ref := st.batch.PageRef(after, page)
	return cf.ResultPage{}, &ref, nil
}

// ItemBody returns the body of an item of an open batch.
func (c *Coordinator) ItemBody(id cf.BatchID, item cf.ItemID) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.batches[id]
	if st == nil || !c.Lease.Valid() {
		return nil, cf.ErrNotLeader
	}
	it, ok := st.batch.Item(item)
	if !ok {
		return nil, cf.ErrNotFound
	}
	return it.Body, nil
}
