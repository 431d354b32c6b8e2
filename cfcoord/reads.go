package cfcoord

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	cf "currantford"
)

// Results reads a batch, waiting for a result at position after. It returns
// ErrNotLeader when only the store can tell.
func (c *Coordinator) Results(ctx context.Context, id cf.BatchID, after int, wait cf.Millis) (cf.ResultPage, error) {
	deadline := time.NewTimer(wait.Duration())
	defer deadline.Stop()
	for {
		c.mu.Lock()
		st := c.batches[id]
		if st == nil || !c.Duty.Valid() {
			c.mu.Unlock()
			return cf.ResultPage{}, cf.ErrNotLeader
		}
		page, changed := st.batch.Page(after), st.changed
		if len(page.Results) == 0 && st.pending.InDoubt(cf.Uptime()) {
			c.mu.Unlock()
			return cf.ResultPage{}, cf.ErrNotLeader // the store shows it
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

// ItemBody returns the body of an item of an open batch.
func (c *Coordinator) ItemBody(id cf.BatchID, item cf.ItemID) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st := c.batches[id]
	if st == nil || !c.Duty.Valid() {
		return nil, cf.ErrNotLeader
	}
	it, ok := st.batch.Item(item)
	if !ok {
		return nil, cf.ErrNotFound
	}
	return it.Body, nil
}
