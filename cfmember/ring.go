package cfmember

import (
	"math"
	"slices"
	"strings"

	cf "currantford"
)

// Ring returns the instances to which one hands news: of all in the order of their ids
// the next one, the one some way on and the one farther on. Each passes on what is new to
// it, so that news reach all of 1,300 instances in about 30 hops, over three connections
// each, and go round an instance that is gone.
func Ring(entries []Entry, self Entry) []Entry {
	all := slices.Clone(entries)
	at, found := slices.BinarySearchFunc(all, self.ID, func(e Entry, id cf.EntryID) int { return strings.Compare(string(e.ID), string(id)) })
	if !found {
		all = slices.Insert(all, at, self)
	}
	n := len(all)
	step := max(int(math.Cbrt(float64(n))), 2)
	var out []Entry
	for _, offset := range []int{1, step, step * step} {
		e := all[(at+offset)%n]
		if e.ID != self.ID && !slices.ContainsFunc(out, func(o Entry) bool { return o.ID == e.ID }) {
			out = append(out, e)
		}
	}
	return out
}
