package cfingress

import (
	"sync/atomic"

	cf "currantford"
)

const (
	// bodyDivisor divides the memory limit of the process: request bodies may take that part. One
	// copy of a body is held until the request is answered, and the garbage collector needs about
	// as much again.
	bodyDivisor = 4
	// unknownBodyBytes is reserved for a body of unknown length.
	unknownBodyBytes = 1 << 20
	// bodyRetry is the retry delay for a caller if there is no memory for the body. Bodies are held
	// for the duration of a request, a fraction of a second.
	bodyRetry cf.Millis = 300
)

// bodyMemory limits the memory taken by request bodies. It is designed for many large bodies at
// once, each within the configured limit, which together would exceed the memory of the process and
// so end the requests of all other callers.
type bodyMemory struct {
	limit    int64
	reserved atomic.Int64
}

// reserve reserves memory for a body, or returns a Refusal. A body larger than the limit is
// accepted while no other is held.
func (b *bodyMemory) reserve(n int64) (release func(), err error) {
	if n < 0 {
		n = unknownBodyBytes
	}
	if held := b.reserved.Add(n); b.limit > 0 && held > b.limit && held > n {
		b.reserved.Add(-n)
		return nil, &cf.Refusal{RetryAfter: bodyRetry, Reason: "no memory for the body now"}
	}
	return func() { b.reserved.Add(-n) }, nil
}

// ReserveBody implements currantford.Ingress.
func (in *Ingress) ReserveBody(n int64) (func(), error) { return in.bodyMemory.reserve(n) }
