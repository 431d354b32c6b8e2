package cfcoord

import (
	"sync"

	cf "currantford"
)

const (
	// pageShare is the part of its machine's link that a coordinator spends on
	// pages of results for other instances. The load it answers: a step of a megabyte
	// is read by its trainer and by others, from any position and some twice, just
	// when the next step is under way; on a weak link renewals and chunks wait behind
	// the pages.
	pageShare = 0.15
	// pageBurst is how long the link's part may be saved up, so that a lone reader
	// gets its page at once.
	pageBurst cf.Millis = 1000
	// minBudgetedPage is the size from which on a page is worth reading elsewhere: a
	// smaller one takes the link for less time than a call to the store.
	minBudgetedPage = 32 << 10
	// bytesPerMsPerMbps is how many bytes a link of one Mbit/s carries in a millisecond.
	bytesPerMsPerMbps = 125
)

// LinkBudget says which pages of results may pass a coordinator's link. What does
// not fit is read from the store by whoever asked, over its own link. It is safe for
// concurrent use; one without a rate lets everything pass.
type LinkBudget struct {
	mu        sync.Mutex
	rate      float64 // bytes a millisecond, zero if there is no bound
	available float64
	updatedAt cf.Millis
}

// NewLinkBudget returns the budget of a machine with a link of mbps Mbit/s, zero if
// that is not known.
func NewLinkBudget(mbps float64) *LinkBudget {
	rate := mbps * bytesPerMsPerMbps * pageShare
	return &LinkBudget{rate: rate, available: rate * float64(pageBurst)}
}

// Spend says whether a page may pass now, and counts it if so.
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
	b.available -= float64(bytes) // a page larger than what is saved is made up for by later ones
	return true
}
