package cfcoord

import (
	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// maxPrepared limits the number of batches that wait for their acceptance. Each one takes half
	// a megabyte of memory, and a tenth of a second to write to the store.
	maxPrepared = 16
	// maxAcceptanceAge is the maximum age of an acceptance at which its batch is opened without
	// being read from the store. An older notification was delayed, and its batch may have ended
	// since.
	maxAcceptanceAge cf.Millis = 1500
)

// preparedBatches holds batches that instances are about to accept, and acceptances whose batches
// have not arrived yet, as either may arrive first. It is guarded by the lock of its owner.
type preparedBatches struct {
	batches  map[cf.BatchID]cf.Submission
	accepted map[cf.BatchID]cf.Millis
	// cost is the memory in bytes that the batches take, maxCost its limit, zero for none.
	cost, maxCost int64
}

func newPreparedBatches(maxCost int64) preparedBatches {
	return preparedBatches{batches: map[cf.BatchID]cf.Submission{}, accepted: map[cf.BatchID]cf.Millis{}, maxCost: maxCost}
}

// add adds a batch that is about to be accepted. It returns the time of its acceptance if that is
// already known.
func (p *preparedBatches) add(sub cf.Submission) (cf.Millis, bool) {
	p.remove(sub.ID)
	cost := cfbatch.Cost(&sub)
	if len(p.batches) >= maxPrepared || p.maxCost > 0 && p.cost+cost > p.maxCost {
		clear(p.batches) // those that are accepted arrive through the store
		p.cost = 0
	}
	if p.maxCost > 0 && cost > p.maxCost {
		return 0, false
	}
	p.batches[sub.ID] = sub
	p.cost += cost
	at, known := p.accepted[sub.ID]
	return at, known
}

// recordAcceptance records the time at which a batch was accepted.
func (p *preparedBatches) recordAcceptance(id cf.BatchID, at cf.Millis) {
	if len(p.accepted) >= maxPrepared {
		clear(p.accepted)
	}
	p.accepted[id] = at
}

// take removes and returns the batch that was accepted at the given time. It returns false if the
// batch has not arrived, or if the prepared one has another acceptance time, which means that it
// comes from another instance that received the same batch.
func (p *preparedBatches) take(id cf.BatchID, at cf.Millis) (cf.Submission, bool) {
	sub, known := p.batches[id]
	if !known || sub.Accepted != at {
		return cf.Submission{}, false
	}
	p.remove(id)
	delete(p.accepted, id)
	return sub, true
}

// remove removes a prepared batch, if there is one.
func (p *preparedBatches) remove(id cf.BatchID) {
	if sub, known := p.batches[id]; known {
		p.cost -= cfbatch.Cost(&sub)
		delete(p.batches, id)
	}
}

// PrepareBatch receives a batch that an instance is about to accept. Through the store the batch
// arrives later, after a watch and a read of its items: some tens of ms if the store works, seconds
// while this instance cannot reach it. The batch is not started before its acceptance is known, as
// a batch that is refused must never run.
func (c *Coordinator) PrepareBatch(sub cf.Submission) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at, known := c.prepared.add(sub); known {
		c.openAccepted(sub.ID, at)
	}
}

// BatchAccepted notifies the coordinator that an instance has accepted a batch.
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

// openAccepted opens a batch on the instances' notifications alone, without the store. c.mu is
// held.
func (c *Coordinator) openAccepted(id cf.BatchID, at cf.Millis) {
	if c.ctx.Err() != nil || !c.takeover.done || c.history.closed[id] || c.batches[id] != nil || c.reads[id] != nil {
		return
	}
	if cf.Now()-at <= maxAcceptanceAge {
		c.openPrepared(id, at)
	}
}

// openPrepared opens the prepared batch that was accepted at the given time. It returns false if
// there is none. c.mu is held.
func (c *Coordinator) openPrepared(id cf.BatchID, at cf.Millis) bool {
	sub, ok := c.prepared.take(id, at)
	if !ok {
		return false
	}
	st := newBatchState(cfbatch.New(sub))
	st.predecessorMayWrite = c.predecessorMayRun()
	c.batches[id] = st
	c.Wake()
	return true
}

// acceptanceTime returns the time at which the batch of an object was accepted, or zero if the
// object cannot be decoded; the read of the batch then reports the error.
func acceptanceTime(r cf.Record) cf.Millis {
	head, err := cfbatch.DecodeHead(r)
	if err != nil {
		return 0
	}
	return head.Accepted
}
