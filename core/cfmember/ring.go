package cfmember

import (
	"slices"
	"strings"

	cf "currantford"
)

// GossipPeers returns the instances to which one hands news: those before and after it in the
// order of the ids, and one that is drawn by both ids. Each passes on what is new to it, so
// that news reach all in a number of hops that grows with the logarithm of theirs, also
// while a failure domain, or every tenth instance, is gone.
func GossipPeers(entries []Entry, self Entry) []Entry {
	all := slices.Clone(entries)
	at, found := slices.BinarySearchFunc(all, self.ID, func(e Entry, id cf.EntryID) int { return strings.Compare(string(e.ID), string(id)) })
	if !found {
		all = slices.Insert(all, at, self)
	}
	n := len(all)
	var out []Entry
	for _, i := range []int{(at + 1) % n, (at + n - 1) % n, drawn(all, self.ID)} {
		e := all[i]
		if e.ID != self.ID && !slices.ContainsFunc(out, func(o Entry) bool { return o.ID == e.ID }) {
			out = append(out, e)
		}
	}
	return out
}

// drawn returns the place of the instance whose id and self have the highest hash: it
// changes only when that instance goes, or a higher one comes.
func drawn(all []Entry, self cf.EntryID) int {
	best, most := 0, uint64(0)
	for i, e := range all {
		if sum := pairOf(self, e.ID); e.ID != self && sum > most {
			best, most = i, sum
		}
	}
	return best
}

// mixed spreads a hash whose high bits hardly differ for ids that end alike.
func mixed(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
