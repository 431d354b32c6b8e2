package cfmember

import (
	"slices"
)

const (
	// minWatchers and instancesPerWatcher determine how many instances watch the store and the
	// lease at once while the coordinator has no current view: one in eight in a large deployment,
	// and at least enough for some of them to reach a store that rejects a third of all calls.
	// Where there are hubs, the hubs are the fallback watchers.
	minWatchers         = 8
	instancesPerWatcher = 8
)

// IsFallbackWatcher reports whether self is a fallback watcher: an instance that watches the store
// itself as soon as the coordinator has no current view. The other instances wait a little longer,
// and are updated by the instance that takes over as coordinator.
//
// This limits the load on the store during a store outage or after the loss of the coordinator,
// when hundreds of instances would otherwise all start to call the store and continue to do so.
// Where there are hubs, the hubs are the fallback watchers.
func IsFallbackWatcher(entries, hubs []Entry, self Entry) bool {
	watchers := FallbackWatchers(entries, hubs)
	switch {
	case Contains(watchers, self.ID):
		return true
	case len(hubs) > 0:
		return false
	case len(watchers) == len(entries):
		return true // All instances of a small deployment are fallback watchers.
	default: // self may be missing from entries
		return compareRank(newRankedEntry(self), newRankedEntry(watchers[len(watchers)-1])) < 0
	}
}

// FallbackWatchers returns the fallback watchers among entries. They are sorted by descending
// capacity if they are a subset of a deployment without hubs.
func FallbackWatchers(entries, hubs []Entry) []Entry {
	if len(hubs) > 0 {
		return hubs
	}
	limit := max(minWatchers, len(entries)/instancesPerWatcher)
	if len(entries) <= limit {
		return entries
	}
	order := make([]rankedEntry, len(entries))
	for i, e := range entries {
		order[i] = newRankedEntry(e)
	}
	slices.SortFunc(order, compareRank)
	out := make([]Entry, limit)
	for i, r := range order[:limit] {
		out[i] = r.Entry
	}
	return out
}
