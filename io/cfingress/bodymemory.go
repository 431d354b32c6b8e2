package cfingress

import (
	"sync/atomic"

	cf "currantford"
)

const (
	// bodyPart is the part of the process's memory that callers' bodies may
	// take, as a divisor: a body is held until its answer, in one copy, and
	// the collector needs about as much again.
	bodyPart = 4
	// unsaidBody is reserved for a body whose length is not said.
	unsaidBody = 1 << 20
	// bodyRetry is when a caller should come back whose body found no room;
	// bodies are held for a request's time, a fraction of a second.
	bodyRetry cf.Millis = 300
)

// bodies bounds the memory that callers' bodies take. The load it answers: many
// large bodies at once, each within the configuration's limit, that together
// would end the process and with it every other caller's request.
type bodies struct {
	most int64
	held atomic.Int64
}

// reserve takes room for a body, or refuses it. A body that is larger than all
// the room is let in alone.
func (b *bodies) reserve(n int64) (release func(), err error) {
	if n < 0 {
		n = unsaidBody
	}
	if held := b.held.Add(n); b.most > 0 && held > b.most && held > n {
		b.held.Add(-n)
		return nil, &cf.Refusal{RetryAfter: bodyRetry, Reason: "no memory for the body now"}
	}
	return func() { b.held.Add(-n) }, nil
}

// ReserveBody implements currantford.Ingress.
func (in *Ingress) ReserveBody(n int64) (func(), error) { return in.bodies.reserve(n) }
