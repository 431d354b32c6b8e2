package cfmember

import (
	"fmt"
	"testing"

	cf "currantford"
)

// Load: the store is away; some instances are strong. As few look after it as the
// deployment's size asks for, the strong ones before the others, in more than one failure
// domain; on a small deployment all.
func TestScouts(t *testing.T) {
	for _, c := range []struct{ n, strong, want int }{{1, 1, 1}, {7, 7, 7}, {8, 2, 8}, {20, 0, 8}, {72, 6, 9}, {72, 40, 9}, {1300, 100, 28}} {
		var entries []Entry
		for i := range c.n {
			e := Entry{ID: cf.EntryID(fmt.Sprintf("front-%d-%d", i%4, i)), Domain: cf.FailureDomain(fmt.Sprint(i % 4)), Capacity: 0.2}
			if i < c.strong {
				e.Capacity = 0.8
			}
			entries = append(entries, e)
		}
		hubs := Hubs(entries, HubsFrom)
		scouts, strong, domains := 0, 0, map[cf.FailureDomain]bool{}
		for _, e := range entries {
			if !IsFallbackWatcher(entries, hubs, e) {
				continue
			}
			if !Contains(FallbackWatchers(entries, hubs), e.ID) {
				t.Errorf("%d instances: scout %s is not listed", c.n, e.ID)
			}
			scouts++
			domains[e.Domain] = true
			if e.Capacity > 0.5 {
				strong++
			}
		}
		if listed := len(FallbackWatchers(entries, hubs)); listed != scouts {
			t.Errorf("%d instances: %d scouts are listed, of %d", c.n, listed, scouts)
		}
		if scouts != c.want || strong != min(c.strong, c.want) {
			t.Errorf("%d instances, %d strong: %d scouts, %d of them strong, want %d", c.n, c.strong, scouts, strong, c.want)
		}
		if c.n >= 20 && len(domains) < 3 {
			t.Errorf("%d instances: scouts in %d of 4 failure domains", c.n, len(domains))
		}
	}
	if !IsFallbackWatcher(nil, nil, Entry{ID: "a"}) {
		t.Error("an instance that knows no other does not look")
	}
}
