package cfmember

import (
	"slices"
)

const (
	// scoutsLeast and scoutsPart say how many instances look after the store and the
	// lease at once when the coordinator can't tell: enough for some of them to
	// reach a store that turns a third away, and an eighth of many. Where there are hubs,
	// they are the scouts.
	scoutsLeast = 8
	scoutsPart  = 8
)

// IsFallbackWatcher says whether an instance looks after the store by itself as soon as the
// coordinator can't tell how things stand. The others leave it a little more time, and
// hear from the one that takes the duty over.
//
// The load it answers: an outage of the store, or the loss of the coordinator, on a
// deployment of hundreds of instances, which would all ask the store at once and go on
// asking. Where there are hubs, they are the scouts.
func IsFallbackWatcher(entries, hubs []Entry, self Entry) bool {
	scouts := FallbackWatchers(entries, hubs)
	switch {
	case Contains(scouts, self.ID):
		return true
	case len(hubs) > 0:
		return false
	case len(scouts) == len(entries):
		return true // so few that all are
	default: // it may not be listed itself
		return earlier(rankedOf(self), rankedOf(scouts[len(scouts)-1])) < 0
	}
}

// FallbackWatchers returns the instances that look after the store by themselves, the strongest first
// where they are not all.
func FallbackWatchers(entries, hubs []Entry) []Entry {
	if len(hubs) > 0 {
		return hubs
	}
	most := max(scoutsLeast, len(entries)/scoutsPart)
	if len(entries) <= most {
		return entries
	}
	order := make([]ranked, len(entries))
	for i, e := range entries {
		order[i] = rankedOf(e)
	}
	slices.SortFunc(order, earlier)
	out := make([]Entry, most)
	for i, r := range order[:most] {
		out[i] = r.Entry
	}
	return out
}
