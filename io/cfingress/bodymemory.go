package cfingress

import (
	"sync/atomic"

	cf "currantford"
)

const (
	// bodyDivisor is the part of the process's memory that callers' bodies may
	// take, as a divisor: a body is held until its answer, in one copy, and
	// the collector needs about as much again.
	bodyDivisor = 4
	// unknownBodyBytes is reserved for a body whose length is not said.
	unknownBodyBytes = 1 << 20
	// bodyRetry is when a caller should come back whose body found no room;
	// bodies are held for a request's time, a fraction of a second.
	bodyRetry cf.Millis = 300
)

// bodyMemory bounds the memory that callers' bodies take. The load it answers: many
// large bodies at once, each within the configuration's limit, that together
// would end the process and with it every other caller's request.
type bodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

// reserve takes room for a body, or refuses it. A body that is larger than all
// the room is let in alone.
func (b *bodyMemory) reserve(n int64) (release func(), err error) {
	if n < 0 {
		n = unknownBodyBytes
	}
	if held := b.reserved.Add(n); b.limit > 0 && held > b.limit && held > n {
		b.reserved.Add(-n)
		return nil, &cf.Refusal{After: bodyRetry, Reason: "no memory for the body now"}
	}
	return func() { b.reserved.Add(-n) }, nil
}

// ReserveBody implements currantford.Ingress.
func (in *Ingress) ReserveBody(n int64) (func(), error) { return in.bodyMemory.reserve(n) }
