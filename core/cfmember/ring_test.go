package cfmember

import (
	"fmt"
	"testing"

	cf "currantford"
)

// News that each instance passes on once reach every one that is alive, in 20 hops at the
// most, also before the list of instances shows that a tenth of them, or a failure domain,
// are gone.
func TestNewsReachAll(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 7, 9, 30, 95, 300, 1300} {
		for name, alive := range map[string]func(i int) bool{
			"all alive":        func(int) bool { return true },
			"a tenth gone":     func(i int) bool { return i%10 != 3 },
			"a fifth in a row": func(i int) bool { return i == 0 || i < n/2 || i >= n/2+n/5 },
		} {
			var entries []Entry
			at := map[cf.EntryID]int{}
			for i := range n {
				e := Entry{ID: cf.EntryID(fmt.Sprintf("e-%04d", i))}
				at[e.ID] = i
				entries = append(entries, e)
			}
			heard := map[int]int{0: 0}
			for queue := []int{0}; len(queue) > 0; queue = queue[1:] {
				from := queue[0]
				ring := GossipPeers(entries, entries[from])
				if len(ring) > 3 {
					t.Fatalf("%d neighbours", len(ring))
				}
				for _, e := range ring {
					to := at[e.ID]
					if _, known := heard[to]; !known && alive(to) {
						heard[to] = heard[from] + 1
						queue = append(queue, to)
					}
				}
			}
			want, hops := 0, 0
			for i := range n {
				if alive(i) {
					want++
					hops = max(hops, heard[i])
				}
			}
			if len(heard) != want || hops > 20 {
				t.Errorf("%d instances, %s: %d of %d heard, in %d hops", n, name, len(heard), want, hops)
			}
		}
	}
	// One that is not in the list, as it is not ready, hands news on all the same.
	if got := GossipPeers([]Entry{{ID: "a"}, {ID: "c"}}, Entry{ID: "b"}); len(got) != 2 {
		t.Errorf("neighbours of an instance that is not listed: %v", got)
	}
}
