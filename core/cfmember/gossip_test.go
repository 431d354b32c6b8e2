package cfmember

import (
	"fmt"
	"testing"

	cf "currantford"
)

// TestUpdatesReachAllInstances checks that an announcement that each instance forwards once reaches
// every live instance in at most 20 hops, even before the list of instances shows that a tenth of
// them or a failure domain is down.
func TestUpdatesReachAllInstances(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 7, 9, 30, 95, 300, 1300} {
		for name, alive := range map[string]func(i int) bool{
			"all alive":               func(int) bool { return true },
			"a tenth down":            func(i int) bool { return i%10 != 3 },
			"a contiguous fifth down": func(i int) bool { return i == 0 || i < n/2 || i >= n/2+n/5 },
		} {
			var entries []Entry
			at := map[cf.EntryID]int{}
			for i := range n {
				e := Entry{ID: cf.EntryID(fmt.Sprintf("e-%04d", i))}
				at[e.ID] = i
				entries = append(entries, e)
			}
			hops := map[int]int{0: 0}
			for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
				from := queue[0]
				peers := GossipPeers(entries, entries[from])
				if len(peers) > 3 {
					t.Fatalf("%d gossip peers, want at most 3", len(peers))
				}
				for _, e := range peers {
					to := at[e.ID]
					if _, reached := hops[to]; !reached && alive(to) {
						hops[to] = hops[from] + 1
						queue = append(queue, to)
					}
				}
			}
			want, maxHops := 0, 0
			for i := range n {
				if alive(i) {
					want++
					maxHops = max(maxHops, hops[i])
				}
			}
			if len(hops) != want || maxHops > 20 {
				t.Errorf("%d instances, %s: %d of %d instances reached, in %d hops", n, name, len(hops), want, maxHops)
			}
		}
	}
	// An instance that is not listed because it is not ready forwards announcements too.
	if got := GossipPeers([]Entry{{ID: "a"}, {ID: "c"}}, Entry{ID: "b"}); len(got) != 2 {
		t.Errorf("gossip peers of an instance that is not listed: %v, want 2", got)
	}
}
