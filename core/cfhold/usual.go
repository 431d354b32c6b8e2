package cfhold

import (
	cf "currantford"
)

const (
	// minUnboundedBytes is up to which size no answer counts as one that may have no end.
	minUnboundedBytes = 128 << 10
	// unboundedFactor is how many times the largest answer of a service an answer has that
	// counts so.
	unboundedFactor = 4
)

// SizeTracker tells how large a service's answers may become before they count as ones that may have
// no end. It is not safe for concurrent use.
type SizeTracker struct {
	largest map[cf.ServiceName]int64
}

// NewSizeTracker returns one that has seen no answer.
func NewSizeTracker() *SizeTracker { return &SizeTracker{largest: map[cf.ServiceName]int64{}} }

// Observe takes the size of an answer that was whole.
func (u *SizeTracker) Observe(s cf.ServiceName, n int64) {
	if n > u.largest[s] {
		u.largest[s] = n
	}
}

// MayBeUnbounded says whether an answer that has not told its length may have no end once it has n bytes.
func (u *SizeTracker) MayBeUnbounded(s cf.ServiceName, n int64) bool {
	return n > max(minUnboundedBytes, unboundedFactor*u.largest[s])
}
