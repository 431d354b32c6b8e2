package cfmember_test

import (
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfmember"
)

// Symptom: copies of texts go to an instance that does not answer, or to a weak one
// while a strong one is there; the list of instances loses an entry.
// Sequence: the neighbour falls silent and another is chosen from the list that all
// others are told.
func TestNeighbourIsStrongNearAndAnother(t *testing.T) {
	entry := func(id string, domain cf.FailureDomain, capacity float64) cfmember.Entry {
		return cfmember.Entry{ID: cf.EntryID("id-" + id), PeerAddr: id, Domain: domain, Capacity: capacity}
	}
	self := entry("self", "d1", 0.8)
	weakNear, strongFar, strongNear := entry("weak", "d1", 0.2), entry("far", "d2", 0.8), entry("near", "d1", 0.8)
	cases := []struct {
		entries []cfmember.Entry
		avoid   string
		want    string
	}{
		{[]cfmember.Entry{self, weakNear, strongFar, strongNear}, "", "near"},
		{[]cfmember.Entry{self, weakNear, strongFar, strongNear}, "near", "far"},
		{[]cfmember.Entry{self, weakNear}, "", "weak"},
		{[]cfmember.Entry{self, weakNear}, "weak", "weak"},
		{[]cfmember.Entry{self}, "", ""},
	}
	for _, c := range cases {
		before := slices.Clone(c.entries)
		if got := cfmember.TextReplica(c.entries, self, c.avoid); got.PeerAddr != c.want {
			t.Errorf("of %d avoiding %q: %q, want %q", len(c.entries), c.avoid, got.PeerAddr, c.want)
		}
		if !slices.Equal(before, c.entries) {
			t.Error("the list has changed")
		}
	}
}
