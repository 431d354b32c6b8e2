package cfhold

const (
	// PoolBytes is the size of the pool shared by answers without a reservation: reports, scores
	// and incomplete events. Together with data that is copied and not garbage-collected yet they
	// take less than a tenth of the memory of the smallest instances.
	PoolBytes = 4 << 20
	// poolExemptBytes is the size up to which an answer takes nothing from a pool. Usual answers
	// have some kilobytes, and are read even if the pool is exhausted.
	poolExemptBytes = 16 << 10
)

// Pool is memory shared by answers that do not wait for memory. An answer may grow to the size of
// what is left (a dynamic threshold): answers that grow endlessly stop each other, and leave memory
// for later ones. It is not safe for concurrent use.
//
// It is designed for a target that sends endless answers to all requests in progress. Each is
// within the limit for a single answer, but their sum is not.
type Pool struct {
	size, used int64
}

// NewPool returns a pool with a size in bytes.
func NewPool(size int64) *Pool { return &Pool{size: size} }

// Grow enlarges an answer from one size to another, in bytes. It returns false if that is not
// possible; the answer then keeps its size.
func (p *Pool) Grow(from, to int64) bool {
	if to <= poolExemptBytes {
		return true
	}
	if to > p.size-p.used {
		return false
	}
	p.used += to - poolShare(from)
	return true
}

// Free returns the memory of an answer of n bytes to the pool.
func (p *Pool) Free(n int64) { p.used -= poolShare(n) }

// Used returns the number of bytes taken from the pool.
func (p *Pool) Used() int64 { return p.used }

// poolShare returns the number of bytes that an answer of n bytes takes from a pool.
func poolShare(n int64) int64 {
	if n <= poolExemptBytes {
		return 0
	}
	return n
}
