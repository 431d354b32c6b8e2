package cfcoord

import (
	"testing"

	cf "currantford"
)

// Symptom: a coordinator on a link of 60 Mbit/s loses its lease's renewals while
// steps are read.
// Sequence: two steps of 1.2 MB are listed within a second; each is read by its
// trainer and by two others, in pages of 700 KB.
// Cause guarded against: all pages pass the coordinator's link, 5 MB in a second.
func TestLinkBudgetLimitsPageTraffic(t *testing.T) {
	const page, mbps = 700 << 10, 60
	b := NewLinkBudget(mbps)
	passed := 0
	for now := cf.Millis(0); now < 10000; now += 125 { // eight reads a second
		if b.Spend(page, now) {
			passed += page
		}
	}
	if limit := 11*mbps*bytesPerMsPerMbps*1000*pageShare + page; float64(passed) > limit {
		t.Errorf("%d bytes of pages passed in 10 s, want %.0f at most", passed, limit)
	}
	if passed < 8*page {
		t.Errorf("%d bytes of pages passed in 10 s: less than the link has room for", passed)
	}
	if !b.Spend(minBudgetedPage-1, 10000) {
		t.Error("a small page is turned away")
	}
	if unused := NewLinkBudget(mbps); !unused.Spend(page, 0) {
		t.Error("a lone reader's page is turned away")
	}
	unbounded := NewLinkBudget(0)
	for range 100 {
		if !unbounded.Spend(page, 0) {
			t.Fatal("a link without a bound turns a page away")
		}
	}
}
