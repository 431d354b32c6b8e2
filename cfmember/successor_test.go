package cfmember_test

import (
	"testing"

	cf "currantford"
	"currantford/cfmember"
)

// Symptom: steps are late all through a rolling restart, because weight orders
// wait out a handover of three seconds after each stop of a coordinator.
// Load: eight instances are stopped one after the other; two have restarted.
// Cause: the duty went to any instance, and so to those that were stopped next.
func TestSuccessorIsTheYoungestThatHasSettled(t *testing.T) {
	entry := func(id cf.EntryID, age cf.Millis) cfmember.Entry { return cfmember.Entry{ID: id, Age: age} }
	old, young, youngest := entry("a", 60000), entry("b", 5000), entry("c", 300)
	cases := []struct {
		entries []cfmember.Entry
		want    cf.EntryID
	}{
		{[]cfmember.Entry{old, young, youngest}, "b"},
		{[]cfmember.Entry{old, youngest}, "a"},
		{[]cfmember.Entry{entry("self", 2000), old}, "a"},
		{[]cfmember.Entry{youngest}, ""},
	}
	for _, c := range cases {
		got, ok := cfmember.Successor(c.entries, "self")
		if got.ID != c.want || ok != (c.want != "") {
			t.Errorf("of %v: %q, want %q", c.entries, got.ID, c.want)
		}
	}
}
