package cfhold

import (
	cf "currantford"
)

const (
	// minUnboundedBytes is the size up to which no answer counts as possibly unbounded.
	minUnboundedBytes = 128 << 10
	// unboundedFactor is the ratio to the largest complete answer of a service from which on an
	// answer counts as possibly unbounded.
	unboundedFactor = 4
)

// SizeTracker tracks the sizes of answers by service, to detect answers of possibly unlimited
// length. It is not safe for concurrent use.
type SizeTracker struct {
	largest map[cf.ServiceName]int64
}

// NewSizeTracker returns a tracker without observations.
func NewSizeTracker() *SizeTracker { return &SizeTracker{largest: map[cf.ServiceName]int64{}} }

// Observe records the size of a complete answer.
func (t *SizeTracker) Observe(s cf.ServiceName, n int64) {
	if n > t.largest[s] {
		t.largest[s] = n
	}
}

// MayBeUnbounded reports whether an answer without a declared length may be of unlimited length
// once it has n bytes.
func (t *SizeTracker) MayBeUnbounded(s cf.ServiceName, n int64) bool {
	return n > max(minUnboundedBytes, unboundedFactor*t.largest[s])
}
