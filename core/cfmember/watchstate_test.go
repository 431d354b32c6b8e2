package cfmember

import (
	"testing"

	cf "currantford"
)

// TestWhenInstanceWatchesStore checks that only the instances that must watch the store list all
// targets during a store outage, after the loss of the coordinator, and when all instances start at
// once on busy machines. In the last case the first polls take longer than startupGrace, and later
// polls may be slow after a first update, when the instance knows few other instances.
func TestWhenInstanceWatchesStore(t *testing.T) {
	const now, longAgo cf.Millis = 1_000_000, 900_000
	for _, c := range []struct {
		name  string
		state WatchState
		want  bool
	}{
		{"fallback watcher, no update for 800 ms", WatchState{StartedAt: longAgo, UpdatedAt: now - 800, HolderNamed: true, FallbackWatcher: true}, false},
		{"fallback watcher, no update for 900 ms", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, HolderNamed: true, FallbackWatcher: true}, true},
		{"other instance, no update for 1400 ms", WatchState{StartedAt: longAgo, UpdatedAt: now - 1400, HolderNamed: true}, false},
		{"other instance, no update for 1500 ms", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, HolderNamed: true}, true},
		{"other instance, store outage confirmed, no update for 5 s", WatchState{StartedAt: longAgo, UpdatedAt: now - 5000, UncertainAt: now - 300, OutageConfirmedAt: now - 600, HolderNamed: true}, false},
		{"other instance, store outage confirmed, no update for 8 s", WatchState{StartedAt: longAgo, UpdatedAt: now - 8000, UncertainAt: now - 300, OutageConfirmedAt: now - 600, HolderNamed: true}, true},
		{"other instance, outage denied by an instance with a current view", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, UncertainAt: now - 300, OutageDeniedAt: now - 100, HolderNamed: true}, true},
		{"other instance, outage denied too long ago", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, UncertainAt: now - 300, OutageDeniedAt: now - 1000, HolderNamed: true}, false},
		{"other instance, outage denied, but the coordinator has a current view again", WatchState{StartedAt: longAgo, UpdatedAt: now - 900, UncertainAt: now - 1000, OutageDeniedAt: now - 100, HolderNamed: true}, false},
		{"other instance, coordinator without a current view", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, UncertainAt: now - 300, HolderNamed: true}, true},
		{"fallback watcher, coordinator without a current view", WatchState{StartedAt: longAgo, UpdatedAt: now - 100, UncertainAt: now - 10, HolderNamed: true, FallbackWatcher: true}, true},
		{"fallback watcher, coordinator with a current view again", WatchState{StartedAt: longAgo, UpdatedAt: now - 10, UncertainAt: now - 300, HolderNamed: true, FallbackWatcher: true}, false},
		{"fallback watcher just started, coordinator without a current view", WatchState{StartedAt: now - 2000, UpdatedAt: now - 1000, UncertainAt: now - 10, HolderNamed: true, FallbackWatcher: true}, false},
		{"hub, no update for 1400 ms, left to a new coordinator", WatchState{StartedAt: longAgo, UpdatedAt: now - 1400, HolderNamed: true, HubsExist: true, FallbackWatcher: true}, false},
		{"hub, no update for 1500 ms", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, HolderNamed: true, HubsExist: true, FallbackWatcher: true}, true},
		{"client of a hub, no update for 2900 ms", WatchState{StartedAt: longAgo, UpdatedAt: now - 2900, HolderNamed: true, HubsExist: true, BehindHub: true}, false},
		{"client of a hub, no update for 3 s", WatchState{StartedAt: longAgo, UpdatedAt: now - 3000, HolderNamed: true, HubsExist: true, BehindHub: true}, true},
		{"client of a hub that is a hub by its own roster", WatchState{StartedAt: longAgo, UpdatedAt: now - 2900, HolderNamed: true, HubsExist: true, BehindHub: true, FallbackWatcher: true}, false},
		{"client of a hub that is listing the targets", WatchState{StartedAt: longAgo, UpdatedAt: now - 7900, ListingAt: now - 2200, HolderNamed: true, HubsExist: true, BehindHub: true}, false},
		{"client of a hub that is listing the targets, no update for 8 s", WatchState{StartedAt: longAgo, UpdatedAt: now - 8000, ListingAt: now - 100, HolderNamed: true, HubsExist: true, BehindHub: true}, true},
		{"client of a hub whose last listing answer is too old", WatchState{StartedAt: longAgo, UpdatedAt: now - 4000, ListingAt: now - 2250, HolderNamed: true, HubsExist: true, BehindHub: true}, true},
		{"hub, new coordinator is listing the targets", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, ListingAt: now - 100, HolderNamed: true, HubsExist: true, FallbackWatcher: true}, true},
		{"other instance without hubs, new coordinator is listing the targets", WatchState{StartedAt: longAgo, UpdatedAt: now - 1500, ListingAt: now - 100, HolderNamed: true}, true},
		{"just started", WatchState{StartedAt: now - 200, FallbackWatcher: true}, false},
		{"starting, no coordinator found", WatchState{StartedAt: now - 300}, true},
		{"starting, first poll is late", WatchState{StartedAt: now - 1000, HolderNamed: true, FallbackWatcher: true}, false},
		{"starting, no poll answered", WatchState{StartedAt: now - 1050, HolderNamed: true, FallbackWatcher: true}, true},
		{"starting, coordinator has no view yet", WatchState{StartedAt: now - 2900, UncertainAt: now - 500, HolderNamed: true, FallbackWatcher: true}, false},
		{"starting, coordinator still has no view after 3 s", WatchState{StartedAt: now - 3000, UncertainAt: now - 500, HolderNamed: true, FallbackWatcher: true}, true},
		{"starting, coordinator is listing the store", WatchState{StartedAt: now - 7900, UncertainAt: now - 300, ListingAt: now - 300, HolderNamed: true, FallbackWatcher: true}, false},
		{"starting, coordinator is still listing the store after 8 s", WatchState{StartedAt: now - 8000, UncertainAt: now - 300, ListingAt: now - 300, HolderNamed: true, FallbackWatcher: true}, true},
		{"starting, told to poll a hub", WatchState{StartedAt: now - 2900, HolderNamed: true, BehindHub: true}, false},
		{"starting, second poll is late", WatchState{StartedAt: now - 2900, UpdatedAt: now - 1400, HolderNamed: true, FallbackWatcher: true}, false},
		{"starting, second and third poll are late", WatchState{StartedAt: now - 2200, UpdatedAt: now - 2100, HolderNamed: true, FallbackWatcher: true}, false},
		{"starting, three polls not answered", WatchState{StartedAt: now - 2250, UpdatedAt: now - 2100, HolderNamed: true, FallbackWatcher: true}, true},
		{"starting, second poll not answered", WatchState{StartedAt: now - 2900, UpdatedAt: now - 1500, HolderNamed: true, FallbackWatcher: true}, true},
		{"starting, lease not read yet", WatchState{StartedAt: now - 1400, LeaseUnread: true, FallbackWatcher: true}, false},
		{"starting, lease still not read after 1.5 s", WatchState{StartedAt: now - 1500, LeaseUnread: true, FallbackWatcher: true}, true},
		{"starting, lease read late", WatchState{StartedAt: now - 1400, LeaseSeenAt: now - 800, HolderNamed: true, FallbackWatcher: true}, false},
		{"starting, lease read late, no poll answered", WatchState{StartedAt: now - 1500, LeaseSeenAt: now - 800, HolderNamed: true, FallbackWatcher: true}, true},
		{"starting, lease read late and names no coordinator", WatchState{StartedAt: now - 800, LeaseSeenAt: now - 100, FallbackWatcher: true}, true},
	} {
		if got := c.state.IsDue(now); got != c.want {
			t.Errorf("%s: watches the store %v, want %v", c.name, got, c.want)
		}
	}
}
