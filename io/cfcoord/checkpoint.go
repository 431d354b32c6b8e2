package cfcoord

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfrollout"
	"currantford/io/cflog"
)

const (
	// checkpointInterval is the time between copies of long texts to the store. A text may take all
	// of the time that its step has, so if it starts again after the loss of all instances, it
	// cannot be in time. One write per second and batch costs less than the reads of one trainer.
	checkpointInterval = time.Second
	// minCheckpointEvents is the minimum number of events of a text that is stored. A shorter text
	// is generated again while the longer ones are continued.
	minCheckpointEvents = 30
	// maxCheckpointBytes is the maximum size of one checkpoint. It keeps each part well below the
	// store's value limit. The store returns what it is sent, so this is a seventh of a link of 60
	// Mbit/s in each direction.
	maxCheckpointBytes = 512 << 10
	// storedTextsTimeout limits the read of the stored texts during a takeover, which waits for it.
	storedTextsTimeout = 1500 * time.Millisecond
)

// checkpoint is an object of the store with the new events of a batch's long texts.
type checkpoint struct {
	Texts map[cf.ItemID]cfrollout.Text `json:"texts"`
}

// checkpointTexts copies the new events of long texts to the store at each checkpointInterval. The
// copies are a cache like those at a peer, for the case that all instances are lost at once.
func (c *Coordinator) checkpointTexts() {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	copied := newCopyProgress(minCheckpointEvents)
	for n := 0; ; n++ {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		}
		if !c.Lease.Valid() {
			continue // another instance may be the coordinator, with copies of its own
		}
		term, _ := c.Lease.MayOrder()
		for id, part := range c.nextCheckpoints(copied) {
			// Names of later terms' parts sort after those of this one.
			name := fmt.Sprintf("%016d-%06d", term, n)
			if _, err := c.Store.Create(c.ctx, cf.KindTexts(id), name, part); err != nil {
				c.Log.Warn("texts_not_kept", cflog.Batch(id), zap.Int("items", len(part.Texts)), cflog.Error(err))
				continue // retried as a portion of the next part
			}
			copied.acknowledge(part.Texts, nil)
		}
	}
}

// nextCheckpoints returns the new events of the long texts of open batches.
func (c *Coordinator) nextCheckpoints(copied *copyProgress) map[cf.BatchID]checkpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[cf.BatchID]checkpoint{}
	open := func(id cf.BatchID) bool {
		st := c.batches[id]
		return st != nil && !st.batch.Ended
	}
	parts, ended := c.uncopiedTexts(copied, maxCheckpointBytes, open)
	copied.forget(ended)
	for _, p := range parts {
		if _, known := out[p.batch]; !known {
			out[p.batch] = checkpoint{Texts: map[cf.ItemID]cfrollout.Text{}}
		}
		out[p.batch].Texts[p.id] = p.text
	}
	return out
}

// openInherited returns the open batches from before this term. c.mu is held.
func (c *Coordinator) openInherited() []cf.BatchID {
	var out []cf.BatchID
	for id, st := range c.batches {
		if st.inherited && !st.batch.Ended {
			out = append(out, id)
		}
	}
	return out
}

// adoptStoredTexts passes the stored texts of batches to the planner, and then lets the takeover
// continue.
func (c *Coordinator) adoptStoredTexts(batches []cf.BatchID) {
	started := cf.Uptime()
	texts := c.readStoredTexts(batches)
	c.Log.Info("stored_texts_read", zap.Int("batches", len(batches)), zap.Int("items", len(texts)), zap.Int64("took_ms", int64(cf.Uptime()-started)))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.AdoptTexts(texts)
	c.takeover.storedTextsRead()
	c.advanceTakeover()
}

// readStoredTexts reads the stored texts of batches, as many as arrive within storedTextsTimeout.
func (c *Coordinator) readStoredTexts(batches []cf.BatchID) map[cf.ItemID]cfrollout.Text {
	ctx, cancel := context.WithTimeout(c.ctx, storedTextsTimeout)
	defer cancel()
	texts := map[cf.ItemID]cfrollout.Text{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, id := range batches {
		wg.Go(func() {
			found := c.readBatchTexts(ctx, id)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(texts, found)
		})
	}
	wg.Wait()
	return texts
}

// readBatchTexts reads the stored texts of one batch.
func (c *Coordinator) readBatchTexts(ctx context.Context, id cf.BatchID) map[cf.ItemID]cfrollout.Text {
	parts, err := c.Store.List(ctx, cf.KindTexts(id))
	if err != nil {
		c.Log.Warn("stored_texts_not_read", cflog.Batch(id), cflog.Error(err))
		return nil // treated as a cache miss
	}
	texts, err := joinCheckpoints(parts.Items)
	if err != nil {
		c.Log.Error("stored_texts_not_read", cflog.Batch(id), cflog.Error(err))
	}
	return texts
}

// joinCheckpoints joins the parts of a batch's texts. A text with a missing part is left out unless
// it starts again in a later one.
func joinCheckpoints(parts []cf.Record) (map[cf.ItemID]cfrollout.Text, error) {
	sort.Slice(parts, func(i, j int) bool { return parts[i].Name < parts[j].Name })
	var m Mirror
	for _, r := range parts {
		var part checkpoint
		if err := json.Unmarshal(r.Spec, &part); err != nil {
			return m.Texts, fmt.Errorf("%w: texts %s: %w", cf.ErrInvalid, r.Name, err)
		}
		m.Apply(Mirror{Texts: part.Texts})
	}
	return m.Texts, nil
}
