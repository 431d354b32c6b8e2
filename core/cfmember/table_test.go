package cfmember_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfmember"
)

// TestSilentAndUnreadyInstancesAreRemoved guards against callers that are sent to an instance that
// has ended, is not ready or is stopping.
func TestSilentAndUnreadyInstancesAreRemoved(t *testing.T) {
	var table cfmember.Table
	table.Record(cfmember.Entry{ID: "a", Ready: true}, 0)
	table.Record(cfmember.Entry{ID: "b", Ready: true}, 0)
	table.Record(cfmember.Entry{ID: "c", Ready: false}, 0)
	if n := len(table.Live(100)); n != 2 {
		t.Errorf("%d live, want the two ready ones", n)
	}
	table.Record(cfmember.Entry{ID: "a", Ready: true}, cfmember.ReportTimeout)
	table.Record(cfmember.Entry{ID: "b", Ready: false}, cfmember.ReportTimeout)
	if live := table.Live(cfmember.ReportTimeout + 1); len(live) != 1 || live[0].ID != "a" {
		t.Errorf("live: %v, want only a", live)
	}
}

// TestSuccessorAdoptsTheTable guards against all callers being sent to one instance after a change
// of coordinator, while the new coordinator has not received any reports yet.
func TestSuccessorAdoptsTheTable(t *testing.T) {
	var table cfmember.Table
	table.Adopt([]cfmember.Entry{{ID: "a", Ready: true}, {ID: "b", Ready: true}}, 1000)
	if n := len(table.Live(1100)); n != 2 {
		t.Errorf("%d live right after the change of coordinator, want 2", n)
	}
	if n := len(table.Live(1001 + cfmember.ReportTimeout)); n != 0 {
		t.Errorf("%d live that have never reported, want 0", n)
	}
}

// TestAdoptedInstanceThatRefusesConnectionsIsRemoved guards against callers that are sent to an
// instance that has ended but that the coordinator adopted from the list of its predecessor.
func TestAdoptedInstanceThatRefusesConnectionsIsRemoved(t *testing.T) {
	var table cfmember.Table
	table.Record(cfmember.Entry{ID: "a", PeerAddr: "1", Ready: true}, 0)
	table.Adopt([]cfmember.Entry{{ID: "a", PeerAddr: "1", Ready: true}, {ID: "b", PeerAddr: "2", Ready: true}, {ID: "c", PeerAddr: "3", Ready: true}}, 1000)
	table.Record(cfmember.Entry{ID: "c", PeerAddr: "3", Ready: true}, 1010)
	for _, peerAddr := range []string{"2", "3", "4"} {
		table.RemoveRefused(peerAddr)
	}
	if live := table.Live(1020); len(live) != 2 || live[0].ID != "a" || live[1].ID != "c" {
		t.Errorf("live: %v, want a and c, which have reported themselves", live)
	}
}

func TestNearestFirst(t *testing.T) {
	entries := []cfmember.Entry{{Addr: "1", Domain: "x"}, {Addr: "2", Domain: "y"}, {Addr: "3", Domain: "y"}}
	got := cfmember.Nearest(entries, "y", 2)
	if len(got) != 2 || got[0] != "2" || got[1] != "3" {
		t.Errorf("nearest addresses: %v, want 2 and 3", got)
	}
}

// TestRestartsAreCounted checks that a restart of an instance is counted, whatever else it reports.
func TestRestartsAreCounted(t *testing.T) {
	m := cfmember.NewMembership(cfmember.DefaultHubThreshold)
	for i, age := range []cf.Millis{100, 500, 20, 600, 700, 5} {
		m.RecordReport(cfmember.Entry{ID: "a", Age: age}, nil, cf.Millis(i*100))
	}
	if n := m.Restarts(); n != 2 {
		t.Errorf("%d restarts, want 2", n)
	}
}
