package cfmember

import "slices"

// TextReplica returns the instance to which a coordinator, self, copies its texts, and
// the one at the address avoid only if there is no other. Copies cost nothing within a
// failure domain; the strong instances take the duty over, and find them at home.
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

// PossibleTextReplicas returns the instances that may hold texts of a coordinator: all where there are no
// hubs, else the strong ones, of which its neighbours and its hosts are. To ask hundreds of
// others costs a successor a connection to each, in the moment in which all turn to it.
func PossibleTextReplicas(entries, hubs []Entry) []Entry {
	if len(hubs) == 0 {
		return entries
	}
	strongest := MaxCapacity(entries)
	return slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return !NearMax(e.Capacity, strongest) })
}
