package cfmember

import (
	"fmt"
	"slices"
	"testing"

	cf "currantford"
)

// TestUpstreamSelection checks that an instance polls the coordinator only if no hub can provide
// updates, while hubs are lost, cut off from the coordinator, or come back.
func TestUpstreamSelection(t *testing.T) {
	var hubs []Entry
	for i := range 6 {
		hubs = append(hubs, Entry{ID: cf.EntryID(fmt.Sprint("hub-", i)), Domain: cf.FailureDomain(fmt.Sprint("d", i%3))})
	}
	const holder cf.EntryID = "hub-0"
	self := Entry{ID: "x", Domain: "d1"}
	var changes []cf.EntryID
	u := NewUpstream(self, func() float64 { return 0.5 }, func(e Entry) { changes = append(changes, e.ID) })
	now := cf.Millis(100_000)
	if _, ok := u.HubToAsk(hubs, holder, false, now); ok || u.UsesHub() {
		t.Fatal("an instance that knows no hub polls one")
	}
	first := hubs[1]
	u.AssignHub(first, now)
	if hub, ok := u.HubToAsk(hubs, holder, true, now+assignedHubHold-1); !ok || hub.ID != first.ID {
		t.Error("an instance with clients does not poll the hub assigned to it")
	}
	if _, ok := u.HubToAsk(hubs, holder, true, now+assignedHubHold); ok {
		t.Error("an instance with clients continues to poll a hub")
	}
	if _, ok := u.HubToAsk(hubs, first.ID, false, now); ok {
		t.Error("the coordinator is polled as a hub")
	}

	u.AvoidHub(first.ID, now)
	if u.UsesHub() || !slices.Contains(u.AvoidedHubs(now), first.ID) {
		t.Error("a hub that does not answer is not dropped")
	}
	u.ChooseHub(hubs, holder, now)
	second, ok := u.HubToAsk(hubs, holder, false, now)
	if !ok || second.Domain != self.Domain || second.ID == first.ID {
		t.Errorf("polls %s of %s, want the other hub of its failure domain", second.ID, second.Domain)
	}

	if !u.BypassHub(second.ID, now) {
		t.Error("the coordinator is not polled directly when the hub has no current view")
	}
	u.RestoreHub(second, now)
	if hub, ok := u.HubToAsk(hubs, holder, false, now); !ok || hub.ID != second.ID {
		t.Error("the hub is not restored although the coordinator does not answer either")
	}
	if u.BypassHub(second.ID, now+HubStaleTimeout-1) || !u.BypassHub(second.ID, now+HubStaleTimeout) {
		t.Error("the hub is bypassed too early, or not at all, after HubStaleTimeout")
	}

	now += hubAvoidPeriod
	if got := u.AvoidedHubs(now); slices.Contains(got, first.ID) {
		t.Error("a hub is still avoided after hubAvoidPeriod")
	}
	u.AssignHub(second, now)
	if _, ok := u.HubToAsk(nil, holder, false, now+2*hubReviewInterval); ok {
		t.Error("a hub is polled in a deployment that no longer has hubs")
	}
	if want := []cf.EntryID{first.ID, second.ID, second.ID, second.ID}; !slices.Equal(changes, want) {
		t.Errorf("selected hubs %v, want %v", changes, want)
	}
}
