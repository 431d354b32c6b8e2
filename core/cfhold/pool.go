package cfhold

const (
	// PoolBytes is what answers without a hold share: reports, scores, and events that are
	// not whole yet. With what is copied and not collected yet they take under a tenth of
	// the smallest instances.
	PoolBytes = 4 << 20
	// poolExemptBytes is up to which size an answer takes nothing of a pool. Usual ones have some
	// kilobytes, and go on whatever the others do.
	poolExemptBytes = 16 << 10
)

// Pool is memory that answers share which wait for no room. An answer may become as large
// as what is left (a dynamic threshold): those that grow without end stop each other, and
// leave room for those that come later. It is not safe for concurrent use.
//
// The load it answers: a target that sends without end in reply to as many requests as are
// under way. Each alone is within the bound for one answer; together they are not.
type Pool struct {
	size, used int64
}

// NewPool returns a pool of a size in bytes.
func NewPool(most int64) *Pool { return &Pool{size: most} }

// Grow makes an answer larger, from bytes to to; false if it may not be. It then holds what
// it held.
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

// Free gives back what an answer holds.
func (p *Pool) Free(n int64) { p.used -= poolShare(n) }

// Used returns how much of the pool is taken.
func (p *Pool) Used() int64 { return p.used }

// poolShare returns what an answer of n bytes takes of a pool.
func poolShare(n int64) int64 {
	if n <= poolExemptBytes {
		return 0
	}
	return n
}
