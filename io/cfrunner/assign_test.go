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

// TestWeakCoordinatorAssignsStreamsToHosts guards against a coordinator on a weak machine that runs
// all streams itself. With two steps of 160 items at 33 engines of six slots and 80 instances with
// a fifth of a core each, such a coordinator handled events a second late.
func TestWeakCoordinatorAssignsStreamsToHosts(t *testing.T) {
	members, engines := newDeployment(6, 13, 6, 6, 0.192)
	plan := Assign(engines, totalSlots(engines), members, members[0], nil)
	runs := map[cf.EntryID]int{}
	for _, e := range engines {
		m, ok := plan[e.ID]
		if !ok || m.ID == members[0].ID {
			t.Fatalf("engine %s is assigned to %q, want a host other than the coordinator", e.ID, m.ID)
		}
		if m.Domain != e.Domain {
			t.Errorf("engine %s in failure domain %s is assigned to a host in %s", e.ID, e.Domain, m.Domain)
		}
		runs[m.ID] += e.Slots
	}
	for id, n := range runs {
		if float64(n) > 0.192*hostRunsPerCore {
			t.Errorf("host %s has %d runs, more than its capacity", id, n)
		}
	}
	if len(runs) > 6 {
		t.Errorf("%d hosts, want at most 6: each is polled several times a second", len(runs))
	}
}

// TestStrongCoordinatorKeepsItsStreams guards against assigning streams to hosts, which costs
// messages, if the coordinator can run them all itself.
func TestStrongCoordinatorKeepsItsStreams(t *testing.T) {
	members, engines := newDeployment(4, 2, 3, 12, 0.4)
	if plan := Assign(engines, totalSlots(engines), members, members[0], nil); len(plan) > 0 {
		t.Errorf("%d engines are assigned to hosts, want none", len(plan))
	}
	if plan := Assign(engines, totalSlots(engines), members[:1], cfmember.Entry{ID: members[0].ID}, nil); len(plan) > 0 {
		t.Error("the only instance assigns engines to hosts")
	}
}

// TestAssignmentIsStable guards against an assignment that moves other engines when an instance
// leaves or becomes unreachable. It also checks that instances of high capacity are preferred and
// that engines in a failure domain without instances get a host.
func TestAssignmentIsStable(t *testing.T) {
	members, engines := newDeployment(6, 13, 6, 6, 0.192)
	self := members[0]
	before := Assign(engines, totalSlots(engines), members, self, nil)
	removed := before[engines[0].ID]
	var remaining []cfmember.Entry
	for _, m := range members {
		if m.ID != removed.ID {
			remaining = append(remaining, m)
		}
	}
	after := Assign(engines, totalSlots(engines), remaining, self, nil)
	for _, e := range engines {
		if before[e.ID].ID != removed.ID && after[e.ID].ID != before[e.ID].ID {
			t.Errorf("engine %s moved from %s to %s, although its host is still a member", e.ID, before[e.ID].ID, after[e.ID].ID)
		}
	}
	members[5].Capacity = 0.8
	for _, e := range engines[:6] {
		if m := Assign(engines, totalSlots(engines), members, self, nil)[e.ID]; m.ID != members[5].ID {
			t.Errorf("engine %s is assigned to %s, want the host of high capacity", e.ID, m.ID)
		}
	}
	isolated := []cf.Target{{ID: "far", Domain: "elsewhere", Slots: 200}}
	if _, ok := Assign(isolated, 200, members, self, nil)["far"]; !ok {
		t.Error("an engine in a failure domain without instances has no host")
	}
}

// TestAssignmentDependsOnRunsInProgress guards against an assignment by slots rather than by runs:
// at 300 engines of six slots, a step of 320 runs fits on a coordinator of high capacity.
func TestAssignmentDependsOnRunsInProgress(t *testing.T) {
	members, engines := newDeployment(6, 5, 50, 6, 0.8)
	if plan := Assign(engines, 320, members, members[0], nil); len(plan) > 0 {
		t.Errorf("%d engines are assigned to hosts for 320 runs, want none", len(plan))
	}
	hosts := map[cf.EntryID]bool{}
	for _, m := range Assign(engines, 480, members, members[0], nil) {
		hosts[m.ID] = true
	}
	if len(hosts) == 0 || len(hosts) > 6 {
		t.Errorf("480 runs are assigned to %d hosts, want 1 to 6", len(hosts))
	}
}

// TestAssignedEnginesStayWhenEnginesAreAdded guards against moving assigned engines when more
// engines come into use, since their hosts have open connections to them.
func TestAssignedEnginesStayWhenEnginesAreAdded(t *testing.T) {
	members, engines := newDeployment(6, 13, 12, 6, 0.192)
	self := members[0]
	initial := engines[:len(engines)/2]
	before := Assign(initial, 300, members, self, nil)
	after := Assign(engines, 500, members, self, before)
	moved := 0
	for _, e := range initial {
		if after[e.ID].ID != before[e.ID].ID {
			moved++
		}
	}
	if len(before) == 0 || moved > len(initial)/10 {
		t.Errorf("%d of %d engines moved to another host", moved, len(initial))
	}
}

// TestSlowEventsCostLess checks that six steps of 224 items at engines with an event each 80 ms fit
// on a coordinator with 1.6 cores, and not on one with 0.8.
func TestSlowEventsCostLess(t *testing.T) {
	runs := typicalRuns(6*224, 80)
	if !canRunAll(runs, cfmember.Entry{Capacity: 1.6}) || canRunAll(runs, cfmember.Entry{Capacity: 0.8}) {
		t.Errorf("slow events count as %d typical runs", runs)
	}
	if typicalRuns(100, 0) != 100 {
		t.Error("an unknown event interval changes the number of runs")
	}
}
