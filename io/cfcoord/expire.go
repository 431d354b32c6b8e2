package cfcoord

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cflog"
)

const (
	// sweepEvery is how often batches that need not be kept any more are
	// looked for.
	sweepEvery = time.Minute
	// sweepSlack is added to the time that an ended batch is kept, for the
	// differences between the instances' wall clocks.
	sweepSlack cf.Millis = 60_000
	// abandonedAfter is when a batch that nobody ended is removed: its
	// trainer has given it up hours before.
	abandonedAfter cf.Millis = 6 * 3600 * 1000
)

// sweep removes the batches that need not be kept any more. Nothing expires
// in the store by itself: without it the store, and the list that each new
// coordinator reads, would grow for ever.
func (c *Coordinator) sweep() {
	ticker := time.NewTicker(sweepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		if err := c.sweepOnce(c.ctx, cf.Now()); err != nil {
			c.Log.Warn("sweep_failed", cflog.Error(err))
		}
	}
}

func (c *Coordinator) sweepOnce(ctx context.Context, now cf.Millis) error {
	list, err := c.Store.List(ctx, cf.KindBatch)
	if err != nil {
		return err
	}
	for _, r := range list.Items {
		head, err := cfbatch.DecodeHead(r)
		if err != nil {
			c.Log.Error("batch_not_read", zap.String("batch_id", r.Name), cflog.Error(err))
			continue
		}
		age := now - head.Accepted
		if age < abandonedAfter && (!cfbatch.Ended(r) || age < c.KeepResults+sweepSlack) {
			continue
		}
		if err := c.remove(ctx, head.ID); err != nil {
			return err
		}
		c.Log.Info("batch_removed", zap.String("batch_id", r.Name), zap.Bool("ended", cfbatch.Ended(r)), zap.Int64("age_ms", int64(age)))
	}
	return nil
}

// remove deletes a batch: its own object last, by which the others are found.
func (c *Coordinator) remove(ctx context.Context, id cf.BatchID) error {
	for _, kind := range []string{cf.KindResults(id), cf.KindTexts(id), cf.KindParts(id)} {
		list, err := c.Store.List(ctx, kind)
		if err != nil {
			return err
		}
		for _, r := range list.Items {
			if err := gone(c.Store.Delete(ctx, kind, r.Name)); err != nil {
				return err
			}
		}
	}
	return gone(c.Store.Delete(ctx, cf.KindBatch, string(id)))
}

func gone(err error) error {
	if errors.Is(err, cf.ErrNotFound) {
		return nil
	}
	return err
}
