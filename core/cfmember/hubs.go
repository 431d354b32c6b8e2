package cfmember

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"

	cf "currantford"
)

const (
	// DefaultHubThreshold is the default for the number of instances from which hubs are used.
	DefaultHubThreshold = 97
	// instancesPerHub is the average number of instances that poll one hub.
	instancesPerHub = 48
)

// Hubs returns the instances that relay the coordinator's updates to the other instances of their
// failure domain: those of the highest capacity in each domain. A deployment of fewer than
// threshold instances has no hubs, and its coordinator answers all instances itself.
//
// Hubs bound the load on the coordinator in large deployments, where hundreds of instances poll
// several times a second and all must learn when a target drains, and where after a simultaneous
// start each of them needs the full view. Only hubs poll the coordinator, and the other instances
// poll hubs, so the coordinator's load and the traffic between failure domains grow with the number
// of hubs.
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

// HubCandidates returns the hubs that self may poll, in order of preference: first those of its own
// failure domain, then those of other domains. The order within each of the two groups depends on
// self, so that instances spread evenly over the hubs. Hubs for which excluded returns true, such
// as the coordinator, are left out.
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

// Contains reports whether entries contain the instance with the given ID.
func Contains(entries []Entry, id cf.EntryID) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.ID == id })
}

// rankedEntry is an instance with the hash of its ID, which orders instances of equal capacity.
type rankedEntry struct {
	Entry
	hash uint64
}

func newRankedEntry(e Entry) rankedEntry { return rankedEntry{e, hashID(e.ID)} }

// compareRank orders instances for selection as hubs or fallback watchers: by descending capacity,
// because these roles add load, and by the hash of the ID among instances of equal capacity.
func compareRank(a, b rankedEntry) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.hash, b.hash), strings.Compare(string(a.ID), string(b.ID)))
}

func hashID(id cf.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Writing to a hash never fails.
	return mixBits(h.Sum64())
}

// hashPair returns a hash of an ordered pair of instance IDs.
func hashPair(a, b cf.EntryID) uint64 { return hashID(a + "\x00" + b) }
