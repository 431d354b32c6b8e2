package cfhold

import (
	cf "currantford"
)

const (
	// unsureFrom is up to which size no answer counts as one that may have no end.
	unsureFrom = 128 << 10
	// unsureFactor is how many times the largest answer of a service an answer has that
	// counts so.
	unsureFactor = 4
)

// Usual tells how large a service's answers may become before they count as ones that may have
// no end. It is not safe for concurrent use.
type Usual struct {
	largest map[cf.ServiceName]int64
}

// NewUsual returns one that has seen no answer.
func NewUsual() *Usual { return &Usual{largest: map[cf.ServiceName]int64{}} }

// Note takes the size of an answer that was whole.
func (u *Usual) Note(s cf.ServiceName, n int64) {
	if n > u.largest[s] {
		u.largest[s] = n
	}
}

// Unsure says whether an answer that has not told its length may have no end once it has n bytes.
func (u *Usual) Unsure(s cf.ServiceName, n int64) bool {
	return n > max(unsureFrom, unsureFactor*u.largest[s])
}
