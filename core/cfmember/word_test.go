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
		word WatchState
		want bool
	}{
		{"a scout of a small deployment, without word for a moment", WatchState{StartedAt: longAgo, UpdatedAt: now - 800, HolderNamed: true, FallbackWatcher: true}, false},
		{"a scout, without word", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, HolderNamed: true, FallbackWatcher: true}, true},
		{"no scout, without word", WatchState{StartedAt: longAgo, UpdatedAt: now - 1400, HolderNamed: true}, false},
		{"no scout, for long", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, HolderNamed: true}, true},
		{"no scout, the store is away", WatchState{StartedAt: longAgo, UpdatedAt: now - 5000, UncertainAt: now - 300, OutageConfirmedAt: now - 600, HolderNamed: true}, false},
		{"no scout, the store is away for long", WatchState{StartedAt: longAgo, UpdatedAt: now - 8000, UncertainAt: now - 300, OutageConfirmedAt: now - 600, HolderNamed: true}, true},
		{"no scout, another has news that the coordinator has not", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, UncertainAt: now - 300, OutageDeniedAt: now - 100, HolderNamed: true}, true},
		{"no scout, another had news for a moment", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, UncertainAt: now - 300, OutageDeniedAt: now - 1000, HolderNamed: true}, false},
		{"no scout, another has news, and the coordinator too by now", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, UncertainAt: now - 1000, OutageDeniedAt: now - 100, HolderNamed: true}, false},
		{"no scout, the coordinator has no news", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, UncertainAt: now - 300, HolderNamed: true}, true},
		{"a scout, the coordinator has no news", WatchState{StartedAt: longAgo, UpdatedAt: now - 100, UncertainAt: now - 10, HolderNamed: true, FallbackWatcher: true}, true},
		{"a scout, the coordinator has news again", WatchState{StartedAt: longAgo, UpdatedAt: now - 10, UncertainAt: now - 300, HolderNamed: true, FallbackWatcher: true}, false},
		{"a scout that just started, the coordinator has no news", WatchState{StartedAt: now - 2000, UpdatedAt: now - 1000, UncertainAt: now - 10, HolderNamed: true, FallbackWatcher: true}, false},
		{"a hub leaves it to a new coordinator", WatchState{StartedAt: longAgo, UpdatedAt: now - 1400, HolderNamed: true, HubsExist: true, FallbackWatcher: true}, false},
		{"a hub, for longer", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, HolderNamed: true, HubsExist: true, FallbackWatcher: true}, true},
		{"behind a hub", WatchState{StartedAt: longAgo, UpdatedAt: now - 2900, HolderNamed: true, HubsExist: true, BehindHub: true}, false},
		{"behind a hub, for long", WatchState{StartedAt: longAgo, UpdatedAt: now - 3000, HolderNamed: true, HubsExist: true, BehindHub: true}, true},
		{"behind a hub that it takes itself for", WatchState{StartedAt: longAgo, UpdatedAt: now - 2900, HolderNamed: true, HubsExist: true, BehindHub: true, FallbackWatcher: true}, false},
		{"behind a hub that lists the targets", WatchState{StartedAt: longAgo, UpdatedAt: now - 7900, ListingAt: now - 2200, HolderNamed: true, HubsExist: true, BehindHub: true}, false},
		{"behind a hub that lists them for long", WatchState{StartedAt: longAgo, UpdatedAt: now - 8000, ListingAt: now - 100, HolderNamed: true, HubsExist: true, BehindHub: true}, true},
		{"behind a hub that listed them when it last answered", WatchState{StartedAt: longAgo, UpdatedAt: now - 4000, ListingAt: now - 2250, HolderNamed: true, HubsExist: true, BehindHub: true}, true},
		{"a hub, beside a new coordinator that lists the targets", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, ListingAt: now - 100, HolderNamed: true, HubsExist: true, FallbackWatcher: true}, true},
		{"no scout, no hubs, beside a new coordinator that lists the targets", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, ListingAt: now - 100, HolderNamed: true}, true},
		{"just started", WatchState{StartedAt: now - 200, FallbackWatcher: true}, false},
		{"started, no coordinator is found", WatchState{StartedAt: now - 300}, true},
		{"started, the first call is late", WatchState{StartedAt: now - 1000, HolderNamed: true, FallbackWatcher: true}, false},
		{"started, no call gets through", WatchState{StartedAt: now - 1050, HolderNamed: true, FallbackWatcher: true}, true},
		{"started, the coordinator has no view yet", WatchState{StartedAt: now - 2900, UncertainAt: now - 500, HolderNamed: true, FallbackWatcher: true}, false},
		{"started, it has none for long", WatchState{StartedAt: now - 3000, UncertainAt: now - 500, HolderNamed: true, FallbackWatcher: true}, true},
		{"started, the coordinator reads its first list", WatchState{StartedAt: now - 7900, UncertainAt: now - 300, ListingAt: now - 300, HolderNamed: true, FallbackWatcher: true}, false},
		{"started, it reads it for long", WatchState{StartedAt: now - 8000, UncertainAt: now - 300, ListingAt: now - 300, HolderNamed: true, FallbackWatcher: true}, true},
		{"started, told to ask a hub", WatchState{StartedAt: now - 2900, HolderNamed: true, BehindHub: true}, false},
		{"started, the second call is late", WatchState{StartedAt: now - 2900, UpdatedAt: now - 1400, HolderNamed: true, FallbackWatcher: true}, false},
		{"started, the second and the third call are late", WatchState{StartedAt: now - 2200, UpdatedAt: now - 2100, HolderNamed: true, FallbackWatcher: true}, false},
		{"started, three calls do not get through", WatchState{StartedAt: now - 2250, UpdatedAt: now - 2100, HolderNamed: true, FallbackWatcher: true}, true},
		{"started, the second call does not get through", WatchState{StartedAt: now - 2900, UpdatedAt: now - 1500, HolderNamed: true, FallbackWatcher: true}, true},
		{"started, the lease is not read yet", WatchState{StartedAt: now - 1400, LeaseUnread: true, FallbackWatcher: true}, false},
		{"started, the lease is not read for long", WatchState{StartedAt: now - 1500, LeaseUnread: true, FallbackWatcher: true}, true},
		{"started, the lease was read late", WatchState{StartedAt: now - 1400, LeaseSeenAt: now - 800, HolderNamed: true, FallbackWatcher: true}, false},
		{"started, the lease was read late, no call gets through", WatchState{StartedAt: now - 1500, LeaseSeenAt: now - 800, HolderNamed: true, FallbackWatcher: true}, true},
		{"started, the lease was read late and names nobody", WatchState{StartedAt: now - 800, LeaseSeenAt: now - 100, FallbackWatcher: true}, true},
	} {
		if got := c.word.IsDue(now); got != c.want {
			t.Errorf("%s: lists all targets %v, want %v", c.name, got, c.want)
		}
	}
}
