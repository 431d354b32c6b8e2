package cfcoord

import (
	"sync"

	cf "currantford"
)

const (
	// pageShare is the share of its machine's link that a coordinator uses for result pages
	// requested by other instances. A step of a megabyte is read by its trainer and by others, from
	// any position and sometimes twice, just while the next step is running; on a slow link, lease
	// renewals and chunk writes queue behind these pages.
	pageShare = 0.15
	// pageBurst is the time over which an unused budget accumulates, so that a single reader gets
	// its page at once.
	pageBurst cf.Millis = 1000
	// minBudgetedPage is the size below which pages are always sent: they occupy the link for a
	// shorter time than a call to the store.
	minBudgetedPage = 32 << 10
	// bytesPerMsPerMbps is the number of bytes that a link of one Mbit/s transfers in a
	// millisecond.
	bytesPerMsPerMbps = 125
)

// LinkBudget limits the result pages sent over a coordinator's link, as a token bucket. A page that
// exceeds the budget is read from the store by the instance that requested it, over that instance's
// own link. LinkBudget is safe for concurrent use. Without a rate it allows everything.
type LinkBudget struct {
	mu        sync.Mutex
	rate      float64 // bytes per millisecond; zero means no limit
	available float64
	updatedAt cf.Millis
}

// NewLinkBudget returns the budget of a machine with a link of mbps Mbit/s. Zero means that the
// speed of the link is not known, and that there is no limit.
func NewLinkBudget(mbps float64) *LinkBudget {
	rate := mbps * bytesPerMsPerMbps * pageShare
	return &LinkBudget{rate: rate, available: rate * float64(pageBurst)}
}

// Spend reports whether a page may be sent now, and if so, deducts it from the budget.
func (b *LinkBudget) Spend(bytes int, now cf.Millis) bool {
	if b.rate == 0 || bytes < minBudgetedPage {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.rate * float64(pageBurst)
	b.available = min(limit, b.available+b.rate*float64(now-b.updatedAt))
	b.updatedAt = now
	if b.available <= 0 {
		return false
	}
	b.available -= float64(bytes) // may become negative; later pages then wait until it is positive again
	return true
}
