package cfbatch

import (
	cf "currantford"
)

// successionTimeout is the longest that a batch waits for word of the batches before it: some
// answers of a slow store, and a small part of the time that a step has.
const successionTimeout cf.Millis = 1000

// StartGate decides when a batch begins that asks for items of batches which are not known
// to have ended. Its submitter has ended them by then, as only then it asks for their items
// again, but the word of the end may come later than the batch. What was generated for them
// is handed on when they end, so a batch that began before would generate it again, beside
// runs of the same items. The zero value has seen nothing.
type StartGate struct {
	until cf.Millis // zero before the first wait
	asked map[cf.BatchID]bool
	open  map[cf.BatchID]bool
}

// Check returns whether the batch may begin, and otherwise which batches the store is to be
// asked for now. holders are the batches that are not known to have ended and hold items of it.
func (s *StartGate) Check(holders []cf.BatchID, now cf.Millis) (begin bool, ask []cf.BatchID) {
	begin = true
	for _, id := range holders {
		if s.open[id] {
			continue
		}
		begin = false
		if !s.asked[id] {
			ask = append(ask, id)
		}
	}
	switch {
	case begin:
		return true, nil
	case s.until == 0:
		s.until = now + successionTimeout
		s.asked, s.open = map[cf.BatchID]bool{}, map[cf.BatchID]bool{}
	case now >= s.until:
		return true, nil
	}
	for _, id := range ask {
		s.asked[id] = true
	}
	return false, ask
}

// MarkOpen takes the store's answer that a batch has not ended: it and its successor are asked for
// at the same time.
func (s *StartGate) MarkOpen(id cf.BatchID) { s.open[id] = true }

// SharesItems says whether b has an item of another batch.
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
