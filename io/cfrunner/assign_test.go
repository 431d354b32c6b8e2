package cfrunner

import (
	"fmt"
	"testing"

	cf "currantford"
	"currantford/core/cfmember"
)

func newDeployment(domains, instances, engines, slots int, capacity float64) (members []cfmember.Entry, targets []cf.Target) {
	for d := range domains {
		domain := cf.FailureDomain(fmt.Sprint("d", d))
		for i := range instances {
			members = append(members, cfmember.Entry{ID: cf.EntryID(fmt.Sprintf("%s-%d", domain, i)), Domain: domain, Capacity: capacity})
		}
		for i := range engines {
			targets = append(targets, cf.Target{ID: cf.InstanceID(fmt.Sprintf("e-%s-%d", domain, i)), Domain: domain, Slots: slots})
		}
	}
	return members, targets
}

// Load: two steps of 160 items at 33 engines of six slots, before 80 instances of a
// fifth of a core; the coordinator alone was a second behind its streams' events.
func TestWeakCoordinatorAssignsStreamsToHosts(t *testing.T) {
	members, engines := newDeployment(6, 13, 6, 6, 0.192)
	plan := Assign(engines, totalSlots(engines), members, members[0], nil)
	held := map[cf.EntryID]int{}
	for _, e := range engines {
		m, ok := plan[e.ID]
		if !ok || m.ID == members[0].ID {
			t.Fatalf("%s is held by %q", e.ID, m.ID)
		}
		if m.Domain != e.Domain {
			t.Errorf("%s of %s is held in %s", e.ID, e.Domain, m.Domain)
		}
		held[m.ID] += e.Slots
	}
	for id, n := range held {
		if float64(n) > 0.192*hostRunsPerCore {
			t.Errorf("%s holds %d runs", id, n)
		}
	}
	if len(held) > 6 {
		t.Errorf("%d instances hold streams: each is asked for news several times a second", len(held))
	}
}

// What one instance can carry stays with the coordinator: nothing is paid for a
// division that nobody needs.
func TestStrongCoordinatorKeepsItsStreams(t *testing.T) {
	members, engines := newDeployment(4, 2, 3, 12, 0.4)
	if plan := Assign(engines, totalSlots(engines), members, members[0], nil); len(plan) > 0 {
		t.Errorf("%d engines are divided", len(plan))
	}
	if plan := Assign(engines, totalSlots(engines), members[:1], cfmember.Entry{ID: members[0].ID}, nil); len(plan) > 0 {
		t.Error("an instance without others divides its streams")
	}
}

// An instance that goes, or is not reached, changes little but its own part; strong
// instances go first, and engines without an instance near them have one all the same.
func TestAssignmentIsStable(t *testing.T) {
	members, engines := newDeployment(6, 13, 6, 6, 0.192)
	self := members[0]
	before := Assign(engines, totalSlots(engines), members, self, nil)
	gone := before[engines[0].ID]
	var rest []cfmember.Entry
	for _, m := range members {
		if m.ID != gone.ID {
			rest = append(rest, m)
		}
	}
	after := Assign(engines, totalSlots(engines), rest, self, nil)
	for _, e := range engines {
		if before[e.ID].ID != gone.ID && after[e.ID].ID != before[e.ID].ID {
			t.Errorf("%s moved from %s to %s", e.ID, before[e.ID].ID, after[e.ID].ID)
		}
	}
	members[5].Capacity = 0.8
	for _, e := range engines[:6] {
		if m := Assign(engines, totalSlots(engines), members, self, nil)[e.ID]; m.ID != members[5].ID {
			t.Errorf("%s is held by %s, a weak one", e.ID, m.ID)
		}
	}
	far := []cf.Target{{ID: "far", Domain: "elsewhere", Slots: 200}}
	if _, ok := Assign(far, 200, members, self, nil)["far"]; !ok {
		t.Error("an engine without an instance near it is held by nobody")
	}
}

// Load: a step of 320 runs before 300 engines of six slots: what may run is not what
// does, and a strong coordinator holds it.
func TestAssignmentDependsOnRunsInProgress(t *testing.T) {
	members, engines := newDeployment(6, 5, 50, 6, 0.8)
	if plan := Assign(engines, 320, members, members[0], nil); len(plan) > 0 {
		t.Errorf("%d engines are divided for 320 runs", len(plan))
	}
	hosts := map[cf.EntryID]bool{}
	for _, m := range Assign(engines, 480, members, members[0], nil) {
		hosts[m.ID] = true
	}
	if len(hosts) == 0 || len(hosts) > 6 {
		t.Errorf("480 runs are divided among %d instances", len(hosts))
	}
}

// Load: more engines come into use while streams are divided. Those that were divided stay
// where connections to them are kept.
func TestAssignedEnginesStayWhenEnginesAreAdded(t *testing.T) {
	members, engines := newDeployment(6, 13, 12, 6, 0.192)
	self := members[0]
	few := engines[:len(engines)/2]
	before := Assign(few, 300, members, self, nil)
	after := Assign(engines, 500, members, self, before)
	moved := 0
	for _, e := range few {
		if after[e.ID].ID != before[e.ID].ID {
			moved++
		}
	}
	if len(before) == 0 || moved > len(few)/10 {
		t.Errorf("%d of %d engines moved", moved, len(few))
	}
}

// Load: six steps of 224 items at engines whose events come each 80 ms. A coordinator of 1.6
// cores holds them by itself, and one of 0.8 does not.
func TestSlowEventsCostLess(t *testing.T) {
	runs := typicalRuns(6*224, 80)
	if !canRunAll(runs, cfmember.Entry{Capacity: 1.6}) || canRunAll(runs, cfmember.Entry{Capacity: 0.8}) {
		t.Errorf("%d usual runs", runs)
	}
	if typicalRuns(100, 0) != 100 {
		t.Error("a pace that is not known counts")
	}
}
