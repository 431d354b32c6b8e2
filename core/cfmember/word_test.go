package cfmember

import (
	"testing"

	cf "currantford"
)

// Load: an outage of the store, the loss of the coordinator, and a start of all on machines
// that are busy, where the first calls take longer than an instance's grace, and the next
// ones after a first word, when it knows few others. Those that list all targets for
// themselves are the ones that must.
func TestWhoListsTheTargets(t *testing.T) {
	const now, longAgo cf.Millis = 1_000_000, 900_000
	for _, c := range []struct {
		name string
		word Word
		want bool
	}{
		{"a scout of a small deployment, without word for a moment", Word{Started: longAgo, Heard: now - 800, Named: true, Scout: true}, false},
		{"a scout, without word", Word{Started: longAgo, Heard: now - 900, Named: true, Scout: true}, true},
		{"no scout, without word", Word{Started: longAgo, Heard: now - 1400, Named: true}, false},
		{"no scout, for long", Word{Started: longAgo, Heard: now - 1500, Named: true}, true},
		{"no scout, the store is away", Word{Started: longAgo, Heard: now - 5000, Unsure: now - 300, Away: now - 600, Named: true}, false},
		{"no scout, the store is away for long", Word{Started: longAgo, Heard: now - 8000, Unsure: now - 300, Away: now - 600, Named: true}, true},
		{"no scout, another has news that the coordinator has not", Word{Started: longAgo, Heard: now - 900, Unsure: now - 300, Denied: now - 100, Named: true}, true},
		{"no scout, another had news for a moment", Word{Started: longAgo, Heard: now - 900, Unsure: now - 300, Denied: now - 1000, Named: true}, false},
		{"no scout, another has news, and the coordinator too by now", Word{Started: longAgo, Heard: now - 900, Unsure: now - 1000, Denied: now - 100, Named: true}, false},
		{"no scout, the coordinator has no news", Word{Started: longAgo, Heard: now - 1500, Unsure: now - 300, Named: true}, true},
		{"a scout, the coordinator has no news", Word{Started: longAgo, Heard: now - 100, Unsure: now - 10, Named: true, Scout: true}, true},
		{"a scout, the coordinator has news again", Word{Started: longAgo, Heard: now - 10, Unsure: now - 300, Named: true, Scout: true}, false},
		{"a scout that just started, the coordinator has no news", Word{Started: now - 2000, Heard: now - 1000, Unsure: now - 10, Named: true, Scout: true}, false},
		{"a hub leaves it to a new coordinator", Word{Started: longAgo, Heard: now - 1400, Named: true, Hubs: true, Scout: true}, false},
		{"a hub, for longer", Word{Started: longAgo, Heard: now - 1500, Named: true, Hubs: true, Scout: true}, true},
		{"behind a hub", Word{Started: longAgo, Heard: now - 2900, Named: true, Hubs: true, Behind: true}, false},
		{"behind a hub, for long", Word{Started: longAgo, Heard: now - 3000, Named: true, Hubs: true, Behind: true}, true},
		{"behind a hub that it takes itself for", Word{Started: longAgo, Heard: now - 2900, Named: true, Hubs: true, Behind: true, Scout: true}, false},
		{"behind a hub that lists the targets", Word{Started: longAgo, Heard: now - 7900, Listing: now - 2200, Named: true, Hubs: true, Behind: true}, false},
		{"behind a hub that lists them for long", Word{Started: longAgo, Heard: now - 8000, Listing: now - 100, Named: true, Hubs: true, Behind: true}, true},
		{"behind a hub that listed them when it last answered", Word{Started: longAgo, Heard: now - 4000, Listing: now - 2250, Named: true, Hubs: true, Behind: true}, true},
		{"a hub, beside a new coordinator that lists the targets", Word{Started: longAgo, Heard: now - 1500, Listing: now - 100, Named: true, Hubs: true, Scout: true}, true},
		{"no scout, no hubs, beside a new coordinator that lists the targets", Word{Started: longAgo, Heard: now - 1500, Listing: now - 100, Named: true}, true},
		{"just started", Word{Started: now - 200, Scout: true}, false},
		{"started, no coordinator is found", Word{Started: now - 300}, true},
		{"started, the first call is late", Word{Started: now - 1000, Named: true, Scout: true}, false},
		{"started, no call gets through", Word{Started: now - 1050, Named: true, Scout: true}, true},
		{"started, the coordinator has no view yet", Word{Started: now - 2900, Unsure: now - 500, Named: true, Scout: true}, false},
		{"started, it has none for long", Word{Started: now - 3000, Unsure: now - 500, Named: true, Scout: true}, true},
		{"started, the coordinator reads its first list", Word{Started: now - 7900, Unsure: now - 300, Listing: now - 300, Named: true, Scout: true}, false},
		{"started, it reads it for long", Word{Started: now - 8000, Unsure: now - 300, Listing: now - 300, Named: true, Scout: true}, true},
		{"started, told to ask a hub", Word{Started: now - 2900, Named: true, Behind: true}, false},
		{"started, the second call is late", Word{Started: now - 2900, Heard: now - 1400, Named: true, Scout: true}, false},
		{"started, the second and the third call are late", Word{Started: now - 2200, Heard: now - 2100, Named: true, Scout: true}, false},
		{"started, three calls do not get through", Word{Started: now - 2250, Heard: now - 2100, Named: true, Scout: true}, true},
		{"started, the second call does not get through", Word{Started: now - 2900, Heard: now - 1500, Named: true, Scout: true}, true},
		{"started, the lease is not read yet", Word{Started: now - 1400, Unread: true, Scout: true}, false},
		{"started, the lease is not read for long", Word{Started: now - 1500, Unread: true, Scout: true}, true},
		{"started, the lease was read late", Word{Started: now - 1400, Seen: now - 800, Named: true, Scout: true}, false},
		{"started, the lease was read late, no call gets through", Word{Started: now - 1500, Seen: now - 800, Named: true, Scout: true}, true},
		{"started, the lease was read late and names nobody", Word{Started: now - 800, Seen: now - 100, Scout: true}, true},
	} {
		if got := c.word.Alone(now); got != c.want {
			t.Errorf("%s: lists all targets %v, want %v", c.name, got, c.want)
		}
	}
}
