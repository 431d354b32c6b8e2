package cfcoord

import (
	"errors"
	"slices"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/cfbatch"
	"currantford/cflog"
	"currantford/cfwatch"
)

const (
	// batchWait bounds a watch of batches; a connection that went silent is
	// noticed after it, and a step is due within seconds.
	batchWait cf.Millis = 2000
	// versionWait bounds a watch of weight versions.
	versionWait cf.Millis = 2000
	// retirementWait bounds a watch of retirements, which allow seconds.
	retirementWait cf.Millis = 5000
	// chunkRetry is the pause after a chunk could not be written.
	chunkRetry = 250 * time.Millisecond
	// keepEnded bounds the text of ended batches that stays in memory for
	// readers who come back; what is dropped is read from the store, at two
	// calls a read.
	keepEnded = 16 << 20
)

func (c *Coordinator) batchWatcher() *cfwatch.Watcher {
	return &cfwatch.Watcher{
		Store: c.Store, Kind: cf.KindBatch, Wait: batchWait, Log: c.Log,
		List: func(list cf.Records) error {
			for _, r := range list.Items {
				if err := c.takeBatch(r); err != nil {
					return err
				}
			}
			c.mu.Lock()
			c.loaded = true
			c.mu.Unlock()
			c.Kick()
			return nil
		},
		Change: c.takeBatch,
	}
}

// takeBatch takes a batch's object as the store shows it.
func (c *Coordinator) takeBatch(r cf.Record) error {
	id := cf.BatchID(r.Name)
	c.mu.Lock()
	st := c.batches[id]
	c.mu.Unlock()
	if r.Deleted {
		c.mu.Lock()
		delete(c.batches, id)
		c.mu.Unlock()
		return nil
	}
	if st == nil {
		var err error
		if st, err = c.loadBatch(r); err != nil || st == nil {
			return err
		}
	}
	if cfbatch.Ended(r) {
		c.endBatch(st)
	}
	c.Kick()
	return nil
}

// loadBatch reads a batch's results and begins to keep it. An ended batch
// stays in the store alone.
func (c *Coordinator) loadBatch(r cf.Record) (*state, error) {
	if cfbatch.Ended(r) {
		return nil, nil
	}
	// A batch that the store has just created has no results; only one that
	// an earlier coordinator may have worked on is worth a call.
	results := !c.isLoaded()
	var b *cfbatch.Batch
	for {
		var err error
		if b, err = cfbatch.Fetch(c.ctx, c.Store, r, results); err == nil {
			break
		}
		if errors.Is(err, cf.ErrInvalid) {
			return nil, err
		}
		c.Log.Warn("batch_not_read", zap.String("batch_id", r.Name), cflog.Error(err))
		if !c.pause(loadRetry) {
			return nil, err
		}
	}
	st := &state{batch: b, changed: make(chan struct{}), inherited: results, loadedAt: cf.Uptime(), measured: b.ListedCount()}
	c.mu.Lock()
	defer c.mu.Unlock()
	// The watch and an instance's word may bring the same batch.
	if known := c.batches[b.Sub.ID]; known != nil {
		return known, nil
	}
	c.batches[b.Sub.ID] = st
	return st, nil
}

// hintPause is how long an instance's word on a batch waits for the watch,
// which usually brings the batch within milliseconds.
const hintPause = 60 * time.Millisecond

// Changed is an instance's word that a batch was accepted or ended. Without it
// a watch whose connection has gone silent would hold a step up until it times
// out: 2 s were seen after an outage of the store.
func (c *Coordinator) Changed(id cf.BatchID, ended bool) {
	if c.ctx.Err() != nil {
		return
	}
	c.wg.Go(func() {
		if !c.pause(hintPause) || c.knows(id, ended) {
			return
		}
		r, err := c.Store.Get(c.ctx, cf.KindBatch, string(id))
		if err == nil {
			err = c.takeBatch(r)
		}
		c.Log.Info("batch_hint_taken", zap.String("batch_id", string(id)), zap.Bool("ended", ended), cflog.Error(err))
	})
}

func (c *Coordinator) knows(id cf.BatchID, ended bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.loaded {
		return true // the first list will bring it
	}
	st := c.batches[id]
	if ended {
		return st == nil || st.batch.Ended
	}
	return st != nil
}

func (c *Coordinator) isLoaded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loaded
}

// endBatch stops what an ended batch has under way.
func (c *Coordinator) endBatch(st *state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if st.batch.Ended {
		return
	}
	st.batch.Ended = true
	stop := c.planner.EndBatch(st.batch.Sub.ID)
	for _, w := range stop {
		if cancel := c.runs[w]; cancel != nil {
			cancel()
		}
	}
	c.Log.Info("batch_ended", zap.String("batch_id", string(st.batch.Sub.ID)), zap.Int("stopped", len(stop)),
		zap.Int("groups_whole", st.batch.WholeGroups()), zap.Bool("complete", st.batch.Complete()),
		zap.Int64("took_ms", int64(cf.Now()-st.batch.Sub.Accepted)))
	c.endedOrder = append(c.endedOrder, st.batch.Sub.ID)
	c.trim()
}

// trim drops the oldest ended batches beyond what is kept in memory, and those
// of which a chunk of the coordinator before may still arrive in the store: it
// would be seen by a read of the store and be missing here.
func (c *Coordinator) trim() {
	size := 0
	for _, id := range slices.Backward(c.endedOrder) {
		st := c.batches[id]
		if st == nil {
			continue
		}
		size += st.batch.Size()
		late := st.inherited && !st.batch.Complete()
		if (late || size > keepEnded) && st.pending.Len() == 0 {
			delete(c.batches, id)
		}
	}
	c.endedOrder = slices.DeleteFunc(c.endedOrder, func(id cf.BatchID) bool { return c.batches[id] == nil })
}
