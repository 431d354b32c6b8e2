package cfmember

import "slices"

// TextReplica returns the instance to which a coordinator, self, copies the texts generated so far
// for its unfinished items. It returns the instance at the peer address avoid only if there is no
// other. Copying within a failure domain costs nothing, and instances of high capacity are
// preferred because one of them takes over as coordinator and then has the texts locally. The
// result is zero if self is the only instance.
func TextReplica(entries []Entry, self Entry, avoid string) Entry {
	var best Entry
	bestRank := -1
	for _, e := range entries {
		if e.ID == self.ID {
			continue
		}
		rank := 0
		if e.Domain == self.Domain {
			rank++
		}
		if HighCapacity(e.Capacity, entries) {
			rank += 2
		}
		if e.PeerAddr != avoid {
			rank += 4
		}
		if rank > bestRank {
			best, bestRank = e, rank
		}
	}
	return best
}

// PossibleTextReplicas returns the instances that may hold copies of a coordinator's texts: all
// instances if there are no hubs, otherwise those of high capacity, which include its replicas and
// the instances that may have held the duty. Asking hundreds of other instances would cost a new
// coordinator a connection to each, just when all of them connect to it.
func PossibleTextReplicas(entries, hubs []Entry) []Entry {
	if len(hubs) == 0 {
		return entries
	}
	maxCapacity := MaxCapacity(entries)
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return !NearMax(e.Capacity, maxCapacity) })
}
