package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/io/cflog"
)

// complete records a complete text, and requests its reward or lists it. Until it is listed, its
// copies allow a successor to continue with it.
func (c *Coordinator) complete(w *cfrollout.Work, now cf.Millis) {
	st := c.batchIfUnlisted(w)
	if st == nil {
		return
	}
	c.unlisted[w.Item.ID] = unlistedText{w.Batch.Sub.ID, w.Text}
	if w.Item.Reward == nil {
		c.list(w, "", now)
		return
	}
	c.rewards.add(w, now)
	c.Wake()
}

// list adds the result of a complete text to those that are to be written.
func (c *Coordinator) list(w *cfrollout.Work, score string, now cf.Millis) {
	if st := c.batchIfUnlisted(w); st != nil {
		st.pending.Add(cf.Result{
			ID: w.Item.ID, State: cf.ItemDone, Output: joinData(w.Text.Data), Versions: w.Text.Versions, Score: score,
		}, now)
		c.Wake()
	}
}

// giveUp adds the result of a failed item to those that are to be written.
func (c *Coordinator) giveUp(w *cfrollout.Work, reason string, now cf.Millis) {
	delete(c.unlisted, w.Item.ID)
	if st := c.batchIfUnlisted(w); st != nil {
		c.Log.Info("item_given_up", cflog.Batch(w.Batch.Sub.ID), zap.String("request_id", string(w.Item.ID.RequestID())),
			zap.String("reason", reason), zap.Int("failures", w.Failures))
		st.pending.Add(cf.Result{ID: w.Item.ID, State: cf.ItemFailed}, now)
		c.Wake()
	}
}

// batchIfUnlisted returns the batch of an item whose result is not listed yet, or nil.
func (c *Coordinator) batchIfUnlisted(w *cfrollout.Work) *batchState {
	st := c.batches[w.Batch.Sub.ID]
	if st == nil || st.batch.Listed(w.Item.ID) {
		return nil
	}
	return st
}
