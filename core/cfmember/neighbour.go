package cfmember

// Neighbour returns the instance to which a coordinator, self, copies its texts, and
// the one at the address avoid only if there is no other. Copies cost nothing within a
// failure domain; the strong instances take the duty over, and find them at home.
func Neighbour(entries []Entry, self Entry, avoid string) Entry {
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
		if Strong(e.Capacity, entries) {
			rank += 2
		}
		if e.Peers != avoid {
			rank += 4
		}
		if rank > bestRank {
			best, bestRank = e, rank
		}
	}
	return best
}
