package cfbatch

import (
	cf "currantford"
)

const (
	// itemCost is what an item takes in bytes besides its texts: its fields, its entries in the
	// indexes, and the planner's state of it.
	itemCost = 1 << 10
	// headerCost is what a header of an item takes besides its text: its place in a map that grows
	// by doubling, and two allocations.
	headerCost = 96
)

// Admission is the coordinator's decision on a batch that is about to be accepted.
type Admission struct {
	// Refused is true if the batch must not be accepted now; its submitter should come back after
	// RetryAfter.
	Refused    bool      `cbor:"infeasible"`
	RetryAfter cf.Millis `cbor:"after"`
	Reason     string    `cbor:"reason,omitempty"`
	// InDoubt is true if another instance may be accepting the same batch. Then its submitter must
	// not be promised that it will not run.
	InDoubt bool `cbor:"in_doubt,omitempty"`
}

// Cost returns the memory in bytes that a batch takes until it ends.
func Cost(sub *cf.Submission) int64 {
	n := int64(0)
	for i := range sub.Items {
		it := &sub.Items[i]
		n += itemCost + int64(2*len(it.ID)+len(it.Group)+len(it.Path)+len(it.Body)) + headerCost*int64(len(it.Headers))
		for name, value := range it.Headers {
			n += int64(len(name) + len(value))
		}
		if r := it.Reward; r != nil {
			n += int64(len(r.ID) + len(r.Host) + len(r.Path) + len(r.Body))
		}
	}
	return n
}
