package cfmember_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfmember"
)

// TestSuccessorIsYoungestOverMinimumAge guards against steps that are late throughout a rolling
// restart, because weight orders wait for a handover of three seconds after each stop of a
// coordinator. This occurs when the duty goes to an instance that is stopped next, for example
// while eight instances are stopped one after the other and two have restarted.
func TestSuccessorIsYoungestOverMinimumAge(t *testing.T) {
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
			t.Errorf("successor among %v: %q, want %q", c.entries, got.ID, c.want)
		}
	}
}

// TestLiveVersionCountsChanges checks that the version of the list changes only when an instance
// joins, leaves, becomes unready or falls silent.
func TestLiveVersionCountsChanges(t *testing.T) {
	var table cfmember.Table
	a, b := cfmember.Entry{ID: "a", Ready: true}, cfmember.Entry{ID: "b", Ready: true}
	expect := func(now cf.Millis, entries int, version int64) {
		t.Helper()
		if live := table.Live(now); len(live) != entries || table.Version() != version {
			t.Errorf("at %d: %d live, version %d; want %d and %d", now, len(live), table.Version(), entries, version)
		}
	}
	table.Record(a, 0)
	table.Record(b, 0)
	expect(0, 2, 1)
	a.Age = 700
	table.Record(a, 700)
	expect(700, 2, 1)
	expect(cfmember.ReportTimeout+1, 1, 2)
	table.Record(b, 1600)
	expect(1600, 2, 3)
	b.Ready = false
	table.Record(b, 1700)
	expect(1700, 1, 4)
	if fresh := table.LiveWithAges(1700); len(fresh) != 1 || fresh[0].Age != 700 {
		t.Errorf("list with ages %+v, want one instance of age 700", fresh)
	}
	expect(1700, 1, 4)
}

// TestSuccessorHasHighCapacity guards against a planned stop that moves the coordinator's duty to
// an instance of insufficient capacity. The capacities differ by a factor of about five; the
// youngest instance of sufficient age has low capacity, and the one with the highest capacity is
// below the minimum age.
func TestSuccessorHasHighCapacity(t *testing.T) {
	entries := []cfmember.Entry{
		{ID: "weak", Age: 1000, Capacity: 0.19}, {ID: "old", Age: 90000, Capacity: 0.8}, {ID: "strong", Age: 5000, Capacity: 0.7},
		{ID: "new", Age: 100, Capacity: 4},
	}
	if got, _ := cfmember.Successor(entries, "self"); got.ID != "strong" {
		t.Errorf("successor %q, want the youngest of high capacity over the minimum age", got.ID)
	}
	if got, _ := cfmember.Successor(entries[:1], "self"); got.ID != "weak" {
		t.Errorf("successor %q, want the only other instance", got.ID)
	}
	if !cfmember.HighCapacity(0, nil) || cfmember.HighCapacity(0.19, entries) {
		t.Error("no capacity must be high enough without other instances, and 0.19 too low among these")
	}
}
