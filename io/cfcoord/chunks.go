package cfcoord

import (
	"errors"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cflog"
)

// writeNextChunk writes the next chunk of a batch's results.
func (c *Coordinator) writeNextChunk(st *batchState) {
	results := st.pending.BeginWrite(cf.Uptime())
	name := st.batch.NextChunk()
	id := st.batch.Sub.ID
	c.wg.Go(func() {
		r, err := c.Store.Create(c.ctx, cf.KindResults(id), name, cfbatch.Chunk{Results: results})
		if err == nil {
			c.chunkWritten(st, name, results)
			return
		}
		// The chunk may have been written all the same, or another coordinator may have written it,
		// so the object in the store decides.
		c.resolveWrite(st, name, r, err)
	})
}

func (c *Coordinator) chunkWritten(st *batchState, name string, results []cf.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st.batch.Apply(name, results)
	c.Metrics.Chunks.WithLabelValues("written").Inc()
	c.Log.Info("results_listed", cflog.Batch(st.batch.Sub.ID), zap.String("chunk", name),
		zap.Int("items", len(results)), zap.Int("groups_whole", st.batch.CompleteGroups()))
	c.resultsListed(st)
}

// resultsListed updates the state of a batch after results were listed, and wakes its readers. c.mu
// is held.
func (c *Coordinator) resultsListed(st *batchState) {
	for id := range c.unlisted {
		if st.batch.Listed(id) {
			delete(c.unlisted, id)
		}
	}
	st.pending.EndWrite(st.batch, cf.Uptime())
	c.measureListed(st)
	st.notifyReaders()
	if st.batch.Ended {
		c.history.trim(c.batches, c.MemoryBytes/endedBatchDivisor)
	}
	c.Wake()
}

// resolveWrite determines the result of a chunk's write that failed or was not answered. r is the
// record that the store returned, if any. Only this chunk is read: all earlier ones are known, and
// a later one would be found by the next write. Reading all of them can occupy a link of 60 Mbit/s
// for up to two seconds, just while the store is reached through another instance.
func (c *Coordinator) resolveWrite(st *batchState, name string, r cf.Record, cause error) {
	c.Metrics.Chunks.WithLabelValues("reread").Inc()
	c.Log.Warn("chunk_in_doubt", cflog.Batch(st.batch.Sub.ID), zap.String("chunk", name), cflog.Error(cause))
	for err := cause; c.ctx.Err() == nil; r, err = c.Store.Get(c.ctx, cf.KindResults(st.batch.Sub.ID), name) {
		stored := r.Name == name && len(r.Spec) > 0
		if !stored && !errors.Is(err, cf.ErrNotFound) {
			if err != cause {
				c.sleep(chunkRetryDelay)
			}
			continue
		}
		c.mu.Lock()
		if stored {
			if err := st.batch.ApplyAll([]cf.Record{r}); err != nil {
				c.Log.Error("chunks_not_taken", cflog.Batch(st.batch.Sub.ID), cflog.Error(err))
			}
		}
		c.resultsListed(st)
		c.mu.Unlock()
		return
	}
}
