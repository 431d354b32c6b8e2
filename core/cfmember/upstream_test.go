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
	if _, ok := u.HubToAsk(hubs, holder, false, now); ok || u.UsesHub() {
		t.Fatal("an instance that was told of no hub asks one")
	}
	first := hubs[1]
	u.AssignHub(first, now)
	if hub, ok := u.HubToAsk(hubs, holder, true, now+hubFollow-1); !ok || hub.ID != first.ID {
		t.Error("an instance that others ask does not follow the hub it was told")
	}
	if _, ok := u.HubToAsk(hubs, holder, true, now+hubFollow); ok {
		t.Error("one that others ask goes on asking a hub")
	}
	if _, ok := u.HubToAsk(hubs, first.ID, false, now); ok {
		t.Error("the coordinator is asked as a hub")
	}

	u.AvoidHub(first.ID, now)
	if u.UsesHub() || !slices.Contains(u.AvoidedHubs(now), first.ID) {
		t.Error("a hub that does not answer is kept")
	}
	u.ChooseHub(hubs, holder, now)
	second, ok := u.HubToAsk(hubs, holder, false, now)
	if !ok || second.Domain != self.Domain || second.ID == first.ID {
		t.Errorf("asks %s of %s, want the other hub of its failure domain", second.ID, second.Domain)
	}

	if !u.BypassHub(second.ID, now) {
		t.Error("the coordinator is not asked past a hub without word")
	}
	u.RestoreHub(second, now)
	if hub, ok := u.HubToAsk(hubs, holder, false, now); !ok || hub.ID != second.ID {
		t.Error("the hub is not stayed with though the coordinator does not answer either")
	}
	if u.BypassHub(second.ID, now+HubStaleTimeout-1) || !u.BypassHub(second.ID, now+HubStaleTimeout) {
		t.Error("the coordinator is asked past the hub with each call")
	}

	now += hubAvoid
	if got := u.AvoidedHubs(now); slices.Contains(got, first.ID) {
		t.Error("a hub is avoided for good")
	}
	u.AssignHub(second, now)
	if _, ok := u.HubToAsk(nil, holder, false, now+2*hubKept); ok {
		t.Error("a deployment that has shrunk has no hubs, and one is asked")
	}
	if want := []cf.EntryID{first.ID, second.ID, second.ID, second.ID}; !slices.Equal(chosen, want) {
		t.Errorf("told of the hubs %v, want %v", chosen, want)
	}
}
