package cfmember

import (
	"slices"
	"strings"

	cf "currantford"
)

// GossipPeers returns the instances to which self forwards an announcement: its predecessor and
// successor in the order of IDs, and one chosen by a hash of both IDs. Each instance forwards what
// is new to it, so an announcement reaches all instances in a number of hops that grows with the
// logarithm of their number, even while a failure domain or every tenth instance is down.
func GossipPeers(entries []Entry, self Entry) []Entry {
	all := slices.Clone(entries)
	at, found := slices.BinarySearchFunc(all, self.ID, func(e Entry, id cf.EntryID) int { return strings.Compare(string(e.ID), string(id)) })
	if !found {
		all = slices.Insert(all, at, self)
	}
	n := len(all)
	var out []Entry
	for _, i := range []int{(at + 1) % n, (at + n - 1) % n, highestHashPeer(all, self.ID)} {
		e := all[i]
		if e.ID != self.ID && !slices.ContainsFunc(out, func(o Entry) bool { return o.ID == e.ID }) {
			out = append(out, e)
		}
	}
	return out
}

// highestHashPeer returns the index of the instance for which the hash of self's ID and its ID is
// highest. The result changes only when that instance is removed or one with a higher hash is
// added.
func highestHashPeer(all []Entry, self cf.EntryID) int {
	best, maxHash := 0, uint64(0)
	for i, e := range all {
		if hash := hashPair(self, e.ID); e.ID != self && hash > maxHash {
			best, maxHash = i, hash
		}
	}
	return best
}

// mixBits mixes the bits of an FNV hash, whose high bits are nearly equal for IDs that differ only
// in their last characters.
func mixBits(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	return h
}
