package cfmember

import (
	"fmt"
	"testing"

	cf "currantford"
)

// TestFallbackWatchers checks that during a store outage only as many instances watch the store as
// the size of the deployment requires: instances of high capacity first, and in more than one
// failure domain. In a small deployment all instances are fallback watchers.
func TestFallbackWatchers(t *testing.T) {
	for _, c := range []struct{ n, strong, want int }{{1, 1, 1}, {7, 7, 7}, {8, 2, 8}, {20, 0, 8}, {72, 6, 9}, {72, 40, 9}, {1300, 100, 28}} {
		var entries []Entry
		for i := range c.n {
			e := Entry{ID: cf.EntryID(fmt.Sprintf("front-%d-%d", i%4, i)), Domain: cf.FailureDomain(fmt.Sprint(i % 4)), Capacity: 0.2}
			if i < c.strong {
				e.Capacity = 0.8
			}
			entries = append(entries, e)
		}
		hubs := Hubs(entries, DefaultHubThreshold)
		watchers, strong, domains := 0, 0, map[cf.FailureDomain]bool{}
		for _, e := range entries {
			if !IsFallbackWatcher(entries, hubs, e) {
				continue
			}
			if !Contains(FallbackWatchers(entries, hubs), e.ID) {
				t.Errorf("%d instances: fallback watcher %s is not listed", c.n, e.ID)
			}
			watchers++
			domains[e.Domain] = true
			if e.Capacity > 0.5 {
				strong++
			}
		}
		if listed := len(FallbackWatchers(entries, hubs)); listed != watchers {
			t.Errorf("%d instances: %d fallback watchers are listed, want %d", c.n, listed, watchers)
		}
		if watchers != c.want || strong != min(c.strong, c.want) {
			t.Errorf("%d instances, %d of high capacity: %d fallback watchers, %d of them of high capacity, want %d watchers", c.n, c.strong, watchers, strong, c.want)
		}
		if c.n >= 20 && len(domains) < 3 {
			t.Errorf("%d instances: fallback watchers in %d of 4 failure domains", c.n, len(domains))
		}
	}
	if !IsFallbackWatcher(nil, nil, Entry{ID: "a"}) {
		t.Error("an instance that knows no other is not a fallback watcher")
	}
}
