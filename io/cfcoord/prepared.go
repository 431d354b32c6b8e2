package cfcoord

import (
	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// maxPrepared bounds the batches that wait for their acceptance; each has
	// half a megabyte, and the write of it takes a tenth of a second.
	maxPrepared = 16
	// maxAcceptanceAge is how old an instance's word of an acceptance may be to be
	// enough by itself. An older one was held up on its way, and its batch may
	// have been ended since.
	maxAcceptanceAge cf.Millis = 1500
)

// preparedBatches are batches that instances are about to accept, by their id, and the
// acceptances whose batches have not arrived yet. Each way may be the faster one. The
// lock of who holds it guards it.
type preparedBatches struct {
	batches  map[cf.BatchID]cf.Submission
	accepted map[cf.BatchID]cf.Millis
}

func newPreparedBatches() preparedBatches {
	return preparedBatches{batches: map[cf.BatchID]cf.Submission{}, accepted: map[cf.BatchID]cf.Millis{}}
}

// add takes a batch that is about to be accepted; it returns when it was, if that is
// known.
func (p *preparedBatches) add(sub cf.Submission) (cf.Millis, bool) {
	if len(p.batches) >= maxPrepared {
		clear(p.batches) // the store brings those that are accepted
	}
	p.batches[sub.ID] = sub
	at, known := p.accepted[sub.ID]
	return at, known
}

// recordAcceptance notes that a batch was accepted at a time.
func (p *preparedBatches) recordAcceptance(id cf.BatchID, at cf.Millis) {
	if len(p.accepted) >= maxPrepared {
		clear(p.accepted)
	}
	p.accepted[id] = at
}

// take hands out a batch that was accepted at a time; false if it is not there, or is
// another instance's, which was handed the batch too.
func (p *preparedBatches) take(id cf.BatchID, at cf.Millis) (cf.Submission, bool) {
	sub, known := p.batches[id]
	if !known || sub.Accepted != at {
		return cf.Submission{}, false
	}
	delete(p.batches, id)
	delete(p.accepted, id)
	return sub, true
}

// PrepareBatch takes a batch that an instance is about to accept. Through the store it
// comes later, by the time of a watch and of a read of its items: some tens of
// ms where the store is sound, seconds while this instance does not reach it. It is begun when it
// is known to be accepted, and not before: one that is refused must never run.
func (c *Coordinator) PrepareBatch(sub cf.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, known := c.prepared.add(sub); known {
		c.openAccepted(sub.ID, at)
	}
}

// BatchAccepted takes an instance's word that it has accepted a batch.
func (c *Coordinator) BatchAccepted(id cf.BatchID, at cf.Millis) {
	if age := cf.Now() - at; age < -maxAcceptanceAge || age > maxAcceptanceAge {
		c.BatchChanged(id, false)
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.prepared.recordAcceptance(id, at)
	c.openAccepted(id, at)
}

// openAccepted opens a batch by instances' words alone. c.mu is held.
func (c *Coordinator) openAccepted(id cf.BatchID, at cf.Millis) {
	if c.ctx.Err() != nil || !c.takeover.done || c.history.closed[id] || c.batches[id] != nil || c.reads[id] != nil {
		return
	}
	if cf.Now()-at <= maxAcceptanceAge {
		c.openPrepared(id, at)
	}
}

// openPrepared opens a prepared batch that was accepted at a time; false if there
// is none. c.mu is held.
func (c *Coordinator) openPrepared(id cf.BatchID, at cf.Millis) bool {
	sub, ok := c.prepared.take(id, at)
	if !ok {
		return false
	}
	c.batches[id] = &batchState{batch: cfbatch.New(sub), changed: make(chan struct{}), loadedAt: cf.Uptime(), predecessorMayWrite: c.predecessorMayRun()}
	c.Wake()
	return true
}

// acceptanceTime returns when the batch of an object was accepted, zero if the object
// can't be read; whoever reads the batch then says so.
func acceptanceTime(r cf.Record) cf.Millis {
	head, err := cfbatch.DecodeHead(r)
	if err != nil {
		return 0
	}
	return head.Accepted
}
