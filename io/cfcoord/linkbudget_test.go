package cfcoord

import (
	"testing"

	cf "currantford"
)

// TestLinkBudgetLimitsPageTraffic guards against result pages that delay a coordinator's lease
// renewals on a link of 60 Mbit/s. Two steps of 1.2 MB are listed within a second, and each is read
// by its trainer and by two other readers in pages of 700 KB. Without a budget, 5 MB of pages are
// sent over the coordinator's link in a second.
func TestLinkBudgetLimitsPageTraffic(t *testing.T) {
	const page, mbps = 700 << 10, 60
	b := NewLinkBudget(mbps)
	passed := 0
	for now := cf.Millis(0); now < 10000; now += 125 { // eight reads per second
		if b.Spend(page, now) {
			passed += page
		}
	}
	if limit := 11*mbps*bytesPerMsPerMbps*1000*pageShare + page; float64(passed) > limit {
		t.Errorf("%d bytes of pages were allowed in 10 s, want %.0f at most", passed, limit)
	}
	if passed < 8*page {
		t.Errorf("%d bytes of pages were allowed in 10 s, less than the budget", passed)
	}
	if !b.Spend(minBudgetedPage-1, 10000) {
		t.Error("a small page is refused")
	}
	if unused := NewLinkBudget(mbps); !unused.Spend(page, 0) {
		t.Error("a single reader's page is refused by an unused budget")
	}
	unbounded := NewLinkBudget(0)
	for range 100 {
		if !unbounded.Spend(page, 0) {
			t.Fatal("a page is refused without a limit")
		}
	}
}
