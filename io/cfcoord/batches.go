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
	// batchWatchTimeout bounds a watch of batches; a connection that went silent is
	// noticed after it, and a step is due within seconds.
	batchWatchTimeout cf.Millis = 2000
	// versionWatchTimeout bounds a watch of weight versions.
	versionWatchTimeout cf.Millis = 2000
	// retirementWatchTimeout bounds a watch of retirements, which allow seconds.
	retirementWatchTimeout cf.Millis = 5000
	// chunkRetryDelay is the pause after a chunk could not be written.
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

// applyBatch takes a batch's object as the store shows it. A batch that is not
// known yet is read beside the watch: a read takes up to seconds when the store
// is slow, and the end of a batch must be seen at once.
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
	case st == nil && !ended: // an ended batch stays in the store alone
		if c.takeover.listed && c.openPrepared(id, acceptanceTime(r)) {
			return nil
		}
		rd := &batchRead{inherited: !c.takeover.listed, predecessorMayWrite: !c.takeover.listed || c.predecessorMayRun()}
		c.reads[id] = rd
		c.wg.Go(func() { c.loadBatch(r, rd) })
	}
	return nil
}

// predecessorOverlap is how long a coordinator that was replaced may go on.
const predecessorOverlap cf.Millis = 15_000

// predecessorMayRun says whether the coordinator before may begin a batch that comes now as well: it
// may have been told of the batch, and not yet of its successor.
func (c *Coordinator) predecessorMayRun() bool {
	return c.HasPredecessor && cf.Uptime()-c.startedAt < predecessorOverlap
}

// loadBatch reads a batch and begins to keep it.
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

// advanceTakeover notes when nothing from before this duty is left to be read. c.mu
// is held.
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

// readBatch reads a batch, with its results where an earlier coordinator may have
// worked on it; a batch that was created since has none.
func (c *Coordinator) readBatch(r cf.Record, inherited, predecessorMayWrite bool) (*batchState, error) {
	for {
		b, err := cfbatch.Fetch(c.ctx, c.Store, r, predecessorMayWrite)
		if err == nil {
			return &batchState{
				batch: b, changed: make(chan struct{}), inherited: inherited, predecessorMayWrite: predecessorMayWrite, loadedAt: cf.Uptime(), measured: b.ListedCount(),
			}, nil
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

// hintDelay is how long an instance's word on a batch waits for the watch,
// which usually brings the batch within milliseconds.
const hintDelay = 60 * time.Millisecond

// BatchChanged is an instance's word that a batch was accepted or ended. Without it
// a watch whose connection has gone silent would hold a step up until it times
// out.
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
		return true // the first list will bring it
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

// mayStart says whether a batch may begin now, or waits for the end of another that holds
// items of it. c.mu is held.
func (c *Coordinator) mayStart(st *batchState) bool {
	var holders []cf.BatchID
	for id, other := range c.batches {
		if other != st && other.planned && !other.batch.Ended && other.batch.Sub.Model == st.batch.Sub.Model && st.batch.SharesItems(other.batch) {
			holders = append(holders, id)
		}
	}
	start, toCheck := st.startGate.Check(holders, cf.Uptime())
	for _, id := range toCheck {
		c.Log.Info("batch_waits_for_end", cflog.Batch(st.batch.Sub.ID), zap.String("of", string(id)))
		c.wg.Go(func() { c.checkEnded(st, id) })
	}
	return start
}

// checkEnded asks the store whether a batch has ended that another one waits for.
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

// endBatch stops what an ended batch has under way. c.mu is held.
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
	c.history.trim(c.batches)
}
