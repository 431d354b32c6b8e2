package cfbatch

import (
	cf "currantford"
)

// startTimeout is the longest time that a batch waits to learn whether its predecessors have ended.
// It covers several responses of a slow store, and is a small part of the time that a step has.
const startTimeout cf.Millis = 1000

// StartGate decides when a batch may start that shares items with earlier batches, its
// predecessors, which are not known to have ended. A submitter requests the same items again only
// after it has ended the predecessors, but the coordinator may learn of that end later than of the
// new batch. When a predecessor ends, the texts generated for it are passed on to the new batch. A
// batch that started earlier would generate them again, while the predecessor's items are still
// running. The zero value is ready for use.
type StartGate struct {
	deadline cf.Millis // zero before the first wait
	queried  map[cf.BatchID]bool
	notEnded map[cf.BatchID]bool
}

// Check reports whether the batch may start, and if not, which batches to query in the store now.
// predecessors are the batches that share items with it and are not known to have ended.
func (s *StartGate) Check(predecessors []cf.BatchID, now cf.Millis) (begin bool, query []cf.BatchID) {
	begin = true
	for _, id := range predecessors {
		if s.notEnded[id] {
			continue
		}
		begin = false
		if !s.queried[id] {
			query = append(query, id)
		}
	}
	switch {
	case begin:
		return true, nil
	case s.deadline == 0:
		s.deadline = now + startTimeout
		s.queried, s.notEnded = map[cf.BatchID]bool{}, map[cf.BatchID]bool{}
	case now >= s.deadline:
		return true, nil
	}
	for _, id := range query {
		s.queried[id] = true
	}
	return false, query
}

// MarkOpen records the store's answer that a predecessor has not ended. The submitter then wants
// both batches at the same time, and the new one does not wait for the predecessor.
func (s *StartGate) MarkOpen(id cf.BatchID) { s.notEnded[id] = true }

// SharesItems reports whether b and other have an item in common.
func (b *Batch) SharesItems(other *Batch) bool {
	if len(other.index) < len(b.index) {
		return other.SharesItems(b)
	}
	for id := range b.index {
		if _, ok := other.index[id]; ok {
			return true
		}
	}
	return false
}
