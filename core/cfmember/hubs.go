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
	// perHub is how many instances ask one hub on average.
	perHub = 48
)

// Hubs returns the instances that pass the coordinator's news on to the others of their
// failure domain, the strongest of each; none on a deployment of fewer than from, whose
// coordinator answers all by itself.
//
// The load it answers: hundreds of instances that all ask one coordinator, several times a
// second, and all have to hear of a target that drains; a start of all of them, which each
// are sent the whole view. Hubs ask the coordinator, and the others ask them, so that what
// the coordinator answers, and what crosses between failure domains, grows with the hubs.
func Hubs(entries []Entry, from int) []Entry {
	if len(entries) < from {
		return nil
	}
	domains := map[cf.FailureDomain][]ranked{}
	for _, e := range entries {
		domains[e.Domain] = append(domains[e.Domain], rankedOf(e))
	}
	var out []Entry
	for _, there := range domains {
		slices.SortFunc(there, earlier)
		for _, r := range there[:(len(there)+perHub-1)/perHub] {
			out = append(out, r.Entry)
		}
	}
	return out
}

// HubCandidates returns those of the hubs that an instance may ask, best first: those of its
// failure domain in an order of its own, so that the instances spread over them, then those
// of others. Hubs that it leaves out, among them the coordinator, are not returned.
func HubCandidates(hubs []Entry, self Entry, without func(cf.EntryID) bool) []Entry {
	type choice struct {
		Entry
		far  bool
		draw uint64
	}
	var choices []choice
	for _, h := range hubs {
		if h.ID != self.ID && !without(h.ID) {
			choices = append(choices, choice{h, h.Domain != self.Domain, pairOf(self.ID, h.ID)})
		}
	}
	slices.SortFunc(choices, func(a, b choice) int {
		if a.far != b.far {
			if a.far {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(a.draw, b.draw), strings.Compare(string(a.ID), string(b.ID)))
	})
	out := make([]Entry, len(choices))
	for i, c := range choices {
		out[i] = c.Entry
	}
	return out
}

// Contains says whether an instance is among others.
func Contains(entries []Entry, id cf.EntryID) bool {
	return slices.ContainsFunc(entries, func(e Entry) bool { return e.ID == id })
}

// ranked is an instance with its place among those that are as strong.
type ranked struct {
	Entry
	draw uint64
}

func rankedOf(e Entry) ranked { return ranked{e, drawOf(e.ID)} }

// earlier orders instances by how soon they are taken as hubs or scouts: the strong come
// first, as they take the duty; of these the order is drawn by their ids.
func earlier(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.Capacity, a.Capacity), cmp.Compare(a.draw, b.draw), strings.Compare(string(a.ID), string(b.ID)))
}

func drawOf(id cf.EntryID) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash takes everything
	return mixed(h.Sum64())
}

// pairOf draws a number for two instances.
func pairOf(a, b cf.EntryID) uint64 { return drawOf(a + "\x00" + b) }
