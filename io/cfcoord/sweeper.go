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
	// sweepInterval is the time between searches for batches that can be removed.
	sweepInterval = time.Minute
	// clockSkewAllowance is added to the retention time of ended batches, for differences between
	// the wall clocks of the instances.
	clockSkewAllowance cf.Millis = 60_000
	// abandonedAfter is the age at which a batch is removed that was never ended: its trainer has
	// given it up hours before.
	abandonedAfter cf.Millis = 6 * 3600 * 1000
)

// sweeper removes batches that need not be kept any longer. Objects in the store do not expire by
// themselves: without the sweeper the store would grow without limit, and with it the list that
// each new coordinator reads.
type sweeper struct {
	store cf.Store
	// retention is how long an ended batch remains readable, counted from its acceptance.
	retention cf.Millis
	log       *zap.Logger
}

func (s *sweeper) run(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if err := s.sweep(ctx, cf.Now()); err != nil {
			s.log.Warn("sweep_failed", cflog.Error(err))
		}
	}
}

func (s *sweeper) sweep(ctx context.Context, now cf.Millis) error {
	list, err := s.store.List(ctx, cf.KindBatch)
	if err != nil {
		return err
	}
	for _, r := range list.Items {
		head, err := cfbatch.DecodeHead(r)
		if err != nil {
			s.log.Error("batch_not_read", cflog.Batch(cf.BatchID(r.Name)), cflog.Error(err))
			continue
		}
		age := now - head.Accepted
		if age < abandonedAfter && (!cfbatch.Ended(r) || age < s.retention+clockSkewAllowance) {
			continue
		}
		if err := s.remove(ctx, head.ID); err != nil {
			return err
		}
		s.log.Info("batch_removed", cflog.Batch(cf.BatchID(r.Name)), zap.Bool("ended", cfbatch.Ended(r)), zap.Int64("age_ms", int64(age)))
	}
	return nil
}

// remove deletes a batch. The batch's own object is deleted last, as the others are found through
// it.
func (s *sweeper) remove(ctx context.Context, id cf.BatchID) error {
	for _, kind := range []string{cf.KindResults(id), cf.KindTexts(id), cf.KindParts(id)} {
		list, err := s.store.List(ctx, kind)
		if err != nil {
			return err
		}
		for _, r := range list.Items {
			if err := ignoreNotFound(s.store.Delete(ctx, kind, r.Name)); err != nil {
				return err
			}
		}
	}
	return ignoreNotFound(s.store.Delete(ctx, cf.KindBatch, string(id)))
}

func ignoreNotFound(err error) error {
	if errors.Is(err, cf.ErrNotFound) {
		return nil
	}
	return err
}
