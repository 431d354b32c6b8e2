package cfcoord

import (
	"go.uber.org/zap"

	cf "currantford"
	"currantford/cfbatch"
	"currantford/cflog"
)

// startChunk writes the next chunk of a batch's results.
func (c *Coordinator) startChunk(st *state) {
	results := st.pending.Take(cf.Uptime())
	name := st.batch.NextChunk()
	id := st.batch.Sub.ID
	c.wg.Go(func() {
		_, err := c.Store.Create(c.ctx, cf.KindResults(id), name, cfbatch.Chunk{Results: results})
		if err == nil {
			c.wroteChunk(st, name, results)
			return
		}
		// The chunk may be there all the same, or another's: what the store
		// holds decides.
		c.rereadChunks(st, name, err)
	})
}

func (c *Coordinator) wroteChunk(st *state, name string, results []cf.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	st.batch.Apply(name, results)
	c.Metrics.Chunks.WithLabelValues("written").Inc()
	c.Log.Info("results_listed", zap.String("batch_id", string(st.batch.Sub.ID)), zap.String("chunk", name),
		zap.Int("items", len(results)), zap.Int("groups_whole", st.batch.WholeGroups()))
	c.listed(st)
}

// listed wakes readers after a change of the listed results.
func (c *Coordinator) listed(st *state) {
	for id := range c.finished {
		if st.batch.Listed(id) {
			delete(c.finished, id)
		}
	}
	st.pending.Wrote(st.batch, cf.Uptime())
	c.served(st)
	st.wake()
	if st.batch.Ended {
		c.trim()
	}
	c.Kick()
}

func (c *Coordinator) rereadChunks(st *state, name string, cause error) {
	c.Metrics.Chunks.WithLabelValues("reread").Inc()
	c.Log.Warn("chunk_in_doubt", zap.String("batch_id", string(st.batch.Sub.ID)), zap.String("chunk", name), cflog.Error(cause))
	for c.ctx.Err() == nil {
		chunks, err := c.Store.List(c.ctx, cf.KindResults(st.batch.Sub.ID))
		if err != nil {
			c.pause(chunkRetry)
			continue
		}
		c.mu.Lock()
		if err := st.batch.ApplyAll(chunks.Items); err != nil {
			c.Log.Error("chunks_not_taken", zap.String("batch_id", string(st.batch.Sub.ID)), cflog.Error(err))
		}
		c.listed(st)
		c.mu.Unlock()
		return
	}
}
