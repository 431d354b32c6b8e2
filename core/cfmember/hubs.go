package cfmember

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	cf "currantford"
)

const (
	// HubsFrom is from how many instances on there are hubs, where nothing else is set.
	HubsFrom = 97
	// instancesPerHub is how many instances ask one hub on average.
	instancesPerHub = 48
)

// Hubs returns the instances that pass the coordinator's news on to the others of their
// failure domain, the strongest of each; none on a deployment of fewer than from, whose
// coordinator answers all by itself.
//
// The load it answers: hundreds of instances that all ask one coordinator, several times a
// second, and all have to hear of a target that drains; a start of all of them, which each
// are sent the whole view. Hubs ask the coordinator, and the others ask them, so that what
// the coordinator answers, and what crosses between failure domains, grows with the hubs.
func Hubs(entries []Entry, threshold int) []Entry {
	if len(entries) < threshold {
		return nil
	}
	domains := map[cf.FailureDomain][]rankedEntry{}
	for _, e := range entries {
		domains[e.Domain] = append(domains[e.Domain], newRankedEntry(e))
	}
	var out []Entry
	for _, inDomain := range domains {
		slices.SortFunc(inDomain, compareRank)
		for _, r := range inDomain[:(len(inDomain)+instancesPerHub-1)/instancesPerHub] {
			out = append(out, r.Entry)
		}
	}
	return out
}

// HubCandidates returns those of the hubs that an instance may ask, best first: those of its
// failure domain in an order of its own, so that the instances spread over them, then those
// of others. Hubs that it leaves out, among them the coordinator, are not returned.
func HubCandidates(hubs []Entry, self Entry, excluded func(cf.EntryID) bool) []Entry {
	type candidate struct {
		Entry
		otherDomain bool
		hash        uint64
	}
	var candidates []candidate
	for _, h := range hubs {
		if h.ID != self.ID && !excluded(h.ID) {
			candidates = append(candidates, candidate{h, h.Domain != self.Domain, hashPair(self.ID, h.ID)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.otherDomain != b.otherDomain {
			if a.otherDomain {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.hash, b.hash), strings.Compare(string(a.ID), string(b.ID)))
	})
	out := make([]Entry, len(candidates))
	for i, c := range candidates {
		out[i] = c.Entry
	}
	return out
}

// Contains says whether an instance is among others.
func Contains(entries []Entry, id cf.EntryID) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.ID == id })
}

// rankedEntry is an instance with its place among those that are as strong.
type rankedEntry struct {
	Entry
	hash uint64
}

func newRankedEntry(e Entry) rankedEntry { return rankedEntry{e, hashID(e.ID)} }

// compareRank orders instances by how soon they are taken as hubs or scouts: the strong come
// first, as they take the duty; of these the order is drawn by their ids.
func compareRank(a, b rankedEntry) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.hash, b.hash), strings.Compare(string(a.ID), string(b.ID)))
}

func hashID(id cf.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return mixBits(h.Sum64())
}

// hashPair draws a number for two instances.
func hashPair(a, b cf.EntryID) uint64 { return hashID(a + "\x00" + b) }
