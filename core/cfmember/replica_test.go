package cfmember_test

import (
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfmember"
)

// TestTextReplicaPrefersCapacityAndSameDomain guards against copies of texts that go to an instance
// that does not answer, or to one of low capacity although one of high capacity is available. It
// also guards against a change to the shared list of instances while a replica is chosen from it.
func TestTextReplicaPrefersCapacityAndSameDomain(t *testing.T) {
	entry := func(id string, domain cf.FailureDomain, capacity float64) cfmember.Entry {
		return cfmember.Entry{ID: cf.EntryID("id-" + id), PeerAddr: id, Domain: domain, Capacity: capacity}
	}
	self := entry("self", "d1", 0.8)
	lowLocal, highRemote, highLocal := entry("weak", "d1", 0.2), entry("far", "d2", 0.8), entry("near", "d1", 0.8)
	cases := []struct {
		entries []cfmember.Entry
		avoid   string
		want    string
	}{
		{[]cfmember.Entry{self, lowLocal, highRemote, highLocal}, "", "near"},
		{[]cfmember.Entry{self, lowLocal, highRemote, highLocal}, "near", "far"},
		{[]cfmember.Entry{self, lowLocal}, "", "weak"},
		{[]cfmember.Entry{self, lowLocal}, "weak", "weak"},
		{[]cfmember.Entry{self}, "", ""},
	}
	for _, c := range cases {
		before := slices.Clone(c.entries)
		if got := cfmember.TextReplica(c.entries, self, c.avoid); got.PeerAddr != c.want {
			t.Errorf("replica among %d instances, avoiding %q: %q, want %q", len(c.entries), c.avoid, got.PeerAddr, c.want)
		}
		if !slices.Equal(before, c.entries) {
			t.Error("TextReplica modified the list of instances")
		}
	}
}
