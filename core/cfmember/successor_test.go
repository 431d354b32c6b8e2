package cfmember_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfmember"
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

// The list is made anew only when it changes: an instance comes, leaves, is not
// ready, or falls silent.
func TestLiveCountsItsChanges(t *testing.T) {
	var table cfmember.Table
	a, b := cfmember.Entry{ID: "a", Ready: true}, cfmember.Entry{ID: "b", Ready: true}
	expect := func(now cf.Millis, entries int, changes int64) {
		t.Helper()
		if live := table.Live(now); len(live) != entries || table.Version() != changes {
			t.Errorf("at %d: %d live, %d changes; want %d and %d", now, len(live), table.Version(), entries, changes)
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
		t.Errorf("fresh list %+v", fresh)
	}
	expect(1700, 1, 4)
}

// Symptom: the coordinator's duty moves to an instance that can't carry it.
// Load: a planned stop on a site whose instances differ fivefold; the youngest is a
// weak one, and the strongest has not settled.
func TestSuccessorIsStrong(t *testing.T) {
	entries := []cfmember.Entry{
		{ID: "weak", Age: 1000, Capacity: 0.19}, {ID: "old", Age: 90000, Capacity: 0.8}, {ID: "strong", Age: 5000, Capacity: 0.7},
		{ID: "new", Age: 100, Capacity: 4},
	}
	if got, _ := cfmember.Successor(entries, "self"); got.ID != "strong" {
		t.Errorf("successor %q, want the youngest strong one that has settled", got.ID)
	}
	if got, _ := cfmember.Successor(entries[:1], "self"); got.ID != "weak" {
		t.Errorf("successor %q where no other is left", got.ID)
	}
	if !cfmember.HighCapacity(0, nil) || cfmember.HighCapacity(0.19, entries) {
		t.Error("strong among none, or weak among strong")
	}
}
