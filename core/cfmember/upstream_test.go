package cfmember

import (
	"fmt"
	"slices"
	"testing"

	cf "currantford"
)

// Load: a fleet whose hubs are lost, cut off from the coordinator, or come back. An instance
// asks the coordinator only where no hub can tell it anything.
func TestWhomAnInstanceAsks(t *testing.T) {
	var hubs []Entry
	for i := range 6 {
		hubs = append(hubs, Entry{ID: cf.EntryID(fmt.Sprint("hub-", i)), Domain: cf.FailureDomain(fmt.Sprint("d", i%3))})
	}
	const holder cf.EntryID = "hub-0"
	self := Entry{ID: "x", Domain: "d1"}
	var chosen []cf.EntryID
	u := NewUpstream(self, func() float64 { return 0.5 }, func(e Entry) { chosen = append(chosen, e.ID) })
	now := cf.Millis(100_000)
	if _, ok := u.Ask(hubs, holder, false, now); ok || u.Behind() {
		t.Fatal("an instance that was told of no hub asks one")
	}
	first := hubs[1]
	u.Named(first, now)
	if hub, ok := u.Ask(hubs, holder, true, now+hubFollow-1); !ok || hub.ID != first.ID {
		t.Error("an instance that others ask does not follow the hub it was told")
	}
	if _, ok := u.Ask(hubs, holder, true, now+hubFollow); ok {
		t.Error("one that others ask goes on asking a hub")
	}
	if _, ok := u.Ask(hubs, first.ID, false, now); ok {
		t.Error("the coordinator is asked as a hub")
	}

	u.Lost(first.ID, now)
	if u.Behind() || !slices.Contains(u.Without(now), first.ID) {
		t.Error("a hub that does not answer is kept")
	}
	u.Find(hubs, holder, now)
	second, ok := u.Ask(hubs, holder, false, now)
	if !ok || second.Domain != self.Domain || second.ID == first.ID {
		t.Errorf("asks %s of %s, want the other hub of its failure domain", second.ID, second.Domain)
	}

	if !u.Past(second.ID, now) {
		t.Error("the coordinator is not asked past a hub without word")
	}
	u.Stay(second, now)
	if hub, ok := u.Ask(hubs, holder, false, now); !ok || hub.ID != second.ID {
		t.Error("the hub is not stayed with though the coordinator does not answer either")
	}
	if u.Past(second.ID, now+HubDoubt-1) || !u.Past(second.ID, now+HubDoubt) {
		t.Error("the coordinator is asked past the hub with each call")
	}

	now += hubAvoid
	if got := u.Without(now); slices.Contains(got, first.ID) {
		t.Error("a hub is avoided for good")
	}
	u.Named(second, now)
	if _, ok := u.Ask(nil, holder, false, now+2*hubKept); ok {
		t.Error("a deployment that has shrunk has no hubs, and one is asked")
	}
	if want := []cf.EntryID{first.ID, second.ID, second.ID, second.ID}; !slices.Equal(chosen, want) {
		t.Errorf("told of the hubs %v, want %v", chosen, want)
	}
}
