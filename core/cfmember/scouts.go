package cfmember

import (
	cf "currantford"
)

const (
	// scoutsLeast and scoutsPart say how many instances look after the store and the
	// lease at once when the coordinator can't tell: enough for some of them to
	// reach a store that turns a third away, and an eighth of many. Where there are hubs,
	// they are the scouts.
	scoutsLeast = 8
	scoutsPart  = 8
	// leaveSilent is how long an instance that is no scout leaves the store to the others
	// when the coordinator is silent: a configuration is to be in force within two
	// seconds.
	leaveSilent cf.Millis = 1500
	// leaveHubs is the same where hubs are scouts, which list the targets first.
	leaveHubs cf.Millis = 3000
	// leaveAlive is the same where the coordinator answers and only has nothing new, and
	// another instance has not either: the store is away then for both, for the two
	// instances that the coordinator asks and for the scouts, of which one would replace
	// it within 2.2 s.
	leaveAlive cf.Millis = 8000
)

// Scout says whether an instance looks after the store by itself as soon as the
// coordinator can't tell how things stand. The others leave it a little more time, and
// hear from the one that takes the duty over.
//
// The load it answers: an outage of the store, or the loss of the coordinator, on a
// deployment of hundreds of instances, which would all ask the store at once and go on
// asking. Where there are hubs, they are the scouts.
func Scout(entries, hubs []Entry, self Entry) bool {
	if len(hubs) > 0 {
		return Listed(hubs, self.ID)
	}
	most := max(scoutsLeast, len(entries)/scoutsPart)
	if len(entries) <= most {
		return true
	}
	before, own := 0, ranked{self, drawOf(self.ID)}
	for _, e := range entries {
		if e.ID != self.ID && earlier(ranked{e, drawOf(e.ID)}, own) < 0 {
			before++
		}
	}
	return before < most
}

// LeaveStore returns how long after the last current word an instance that is no scout
// leaves the store to others; hubs says that there are hubs, away that the coordinator and
// another instance answer that they know nothing new.
func LeaveStore(hubs, away bool) cf.Millis {
	switch {
	case away:
		return leaveAlive
	case hubs:
		return leaveHubs
	default:
		return leaveSilent
	}
}
