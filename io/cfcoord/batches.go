package cfcoord

import (
	"errors"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cflog"
	"currantford/io/cfwatch"
)

const (
	// batchWatchTimeout is the maximum duration of one watch of batches. A stalled connection is
	// noticed only after this time, and a step is due within seconds.
	batchWatchTimeout cf.Millis = 2000
	// versionWatchTimeout is the maximum duration of one watch of weight versions.
	versionWatchTimeout cf.Millis = 2000
	// retirementWatchTimeout is the maximum duration of one watch of retirements, whose
	// confirmation may take seconds.
	retirementWatchTimeout cf.Millis = 5000
	// chunkRetryDelay is the pause after a failed write of a chunk.
	chunkRetryDelay = 250 * time.Millisecond
)

func (c *Coordinator) batchWatcher() *cfwatch.Watcher {
	return &cfwatch.Watcher{
		Store: c.Store, Kind: cf.KindBatch, Wait: batchWatchTimeout, Log: c.Log, OnChange: c.applyBatch,
		OnList: func(list cf.Records) error {
			err := cfwatch.ForEach(c.applyBatch)(list)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.takeover.listed = true
			return err
		},
		OnCaughtUp: func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.takeover.caughtUp = true
			c.advanceTakeover()
		},
	}
}

// applyBatch processes the state of a batch's object in the store. A batch that is not known yet is
// read in the background: a read takes up to seconds if the store is slow, and the end of a batch
// must be processed at once.
func (c *Coordinator) applyBatch(r cf.Record) error {
	id := cf.BatchID(r.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer c.Wake()
	ended := cfbatch.Ended(r)
	if ended || r.Deleted {
		c.history.markClosed(id)
	}
	if rd := c.reads[id]; rd != nil {
		rd.ended, rd.removed = rd.ended || ended, rd.removed || r.Deleted
		return nil
	}
	st := c.batches[id]
	switch {
	case r.Deleted:
		if st != nil {
			c.endBatch(st)
		}
		delete(c.batches, id)
	case st != nil && ended:
		c.endBatch(st)
	case st == nil && !ended: // an ended batch is served from the store
		if c.takeover.listed && c.openPrepared(id, acceptanceTime(r)) {
			return nil
		}
		rd := &batchRead{inherited: !c.takeover.listed, predecessorMayWrite: !c.takeover.listed || c.predecessorMayRun()}
		c.reads[id] = rd
		c.wg.Go(func() { c.loadBatch(r, rd) })
	}
	return nil
}

// predecessorOverlap is how long a coordinator that has been replaced may continue to work.
const predecessorOverlap cf.Millis = 15_000

// predecessorMayRun reports whether the predecessor may also run a batch that arrives now: it may
// have been notified of the batch, but not have learned of its successor yet.
func (c *Coordinator) predecessorMayRun() bool {
	return c.HasPredecessor && cf.Uptime()-c.startedAt < predecessorOverlap
}

// loadBatch reads a batch from the store and adds it to the known batches.
func (c *Coordinator) loadBatch(r cf.Record, rd *batchRead) {
	select {
	case c.readSlots <- struct{}{}:
	case <-c.ctx.Done():
		return
	}
	st, err := c.readBatch(r, rd.inherited, rd.predecessorMayWrite)
	<-c.readSlots
	if c.ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reads, cf.BatchID(r.Name))
	defer c.advanceTakeover()
	if err != nil {
		c.Log.Error("change_not_taken", zap.String("kind", cf.KindBatch), zap.String("name", r.Name), cflog.Error(err))
		return
	}
	if rd.removed {
		return
	}
	c.batches[st.batch.Sub.ID] = st
	if rd.ended {
		c.endBatch(st)
	}
}

// advanceTakeover carries out the next step of the takeover, if any is due. c.mu is held.
func (c *Coordinator) advanceTakeover() {
	c.Wake()
	if c.takeover.done {
		return
	}
	reading := false
	for _, rd := range c.reads {
		reading = reading || rd.inherited
	}
	open := c.openInherited()
	switch c.takeover.next(reading, len(open) > 0) {
	case takeoverReadStored:
		c.wg.Go(func() { c.adoptStoredTexts(open) })
	case takeoverDone:
		c.logStarted()
	case takeoverWait:
	}
}

// readBatch reads a batch from the store, with its results if predecessorMayWrite is set. Otherwise
// the batch was created in this term and has no results yet.
func (c *Coordinator) readBatch(r cf.Record, inherited, predecessorMayWrite bool) (*batchState, error) {
	for {
		b, err := cfbatch.Fetch(c.ctx, c.Store, r, predecessorMayWrite)
		if err == nil {
			st := newBatchState(b)
			st.inherited, st.predecessorMayWrite, st.measured = inherited, predecessorMayWrite, b.ListedCount()
			return st, nil
		}
		if errors.Is(err, cf.ErrInvalid) {
			return nil, err
		}
		c.Log.Warn("batch_not_read", cflog.Batch(cf.BatchID(r.Name)), cflog.Error(err))
		if !c.sleep(readRetryDelay) {
			return nil, err
		}
	}
}

// hintDelay is how long a notification about a batch waits for the watch of batches, which usually
// delivers the same change within milliseconds.
const hintDelay = 60 * time.Millisecond

// BatchChanged notifies the coordinator that an instance has accepted or ended a batch. Without
// this, a stalled connection of the watch would delay the step until the watch times out.
func (c *Coordinator) BatchChanged(id cf.BatchID, ended bool) {
	if c.ctx.Err() != nil {
		return
	}
	c.wg.Go(func() {
		if !c.sleep(hintDelay) || c.knowsBatch(id, ended) {
			return
		}
		r, err := c.Store.Get(c.ctx, cf.KindBatch, string(id))
		if err == nil {
			err = c.applyBatch(r)
		}
		c.Log.Info("batch_hint_taken", cflog.Batch(id), zap.Bool("ended", ended), cflog.Error(err))
	})
}

func (c *Coordinator) knowsBatch(id cf.BatchID, ended bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.takeover.done {
		return true // the initial list will include it
	}
	st, rd := c.batches[id], c.reads[id]
	switch {
	case !ended:
		return st != nil || rd != nil
	case rd != nil:
		return rd.ended
	default:
		return st == nil || st.batch.Ended
	}
}

// mayStart reports whether a batch may start now, or has to wait for the end of other batches that
// contain some of its items. c.mu is held.
func (c *Coordinator) mayStart(st *batchState) bool {
	var predecessors []cf.BatchID
	for id, other := range c.batches {
		if other != st && other.planned && !other.batch.Ended && other.batch.Sub.Model == st.batch.Sub.Model && st.batch.SharesItems(other.batch) {
			predecessors = append(predecessors, id)
		}
	}
	start, toCheck := st.startGate.Check(predecessors, cf.Uptime())
	for _, id := range toCheck {
		c.Log.Info("batch_waits_for_end", cflog.Batch(st.batch.Sub.ID), zap.String("of", string(id)))
		c.wg.Go(func() { c.checkEnded(st, id) })
	}
	return start
}

// checkEnded queries the store for the end of the batch id, for which st waits.
func (c *Coordinator) checkEnded(st *batchState, id cf.BatchID) {
	for {
		r, err := c.Store.Get(c.ctx, cf.KindBatch, string(id))
		if err == nil {
			err = c.applyBatch(r)
		}
		c.mu.Lock()
		done := st.planned || st.batch.Ended
		if err == nil && !cfbatch.Ended(r) {
			st.startGate.MarkOpen(id)
		}
		c.mu.Unlock()
		c.Wake()
		if err == nil || done || !c.sleep(readRetryDelay) {
			return
		}
	}
}

// endBatch stops the work in progress of a batch that has ended. c.mu is held.
func (c *Coordinator) endBatch(st *batchState) {
	if st.batch.Ended {
		return
	}
	st.batch.Ended = true
	c.dropRewards(st.batch.Sub.ID)
	stop := c.planner.EndBatch(st.batch.Sub.ID)
	for _, w := range stop {
		if cancel := c.runs[w]; cancel != nil {
			cancel()
		}
	}
	c.Log.Info("batch_ended", cflog.Batch(st.batch.Sub.ID), zap.Int("stopped", len(stop)),
		zap.Int("groups_whole", st.batch.CompleteGroups()), zap.Bool("complete", st.batch.Complete()),
		zap.Int64("took_ms", int64(cf.Now()-st.batch.Sub.Accepted)))
	c.history.recordEnd(st.batch)
	c.history.trim(c.batches, c.MemoryBytes/endedBatchDivisor)
}
