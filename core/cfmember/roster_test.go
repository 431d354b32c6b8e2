package cfmember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
)

// fleet returns n instances in six failure domains, one in ten of which has high capacity.
func fleet(n int) []Entry {
	out := make([]Entry, n)
	for i := range out {
		out[i] = Entry{ID: cf.EntryID(fmt.Sprintf("front-%05d", i)), Domain: cf.FailureDomain(fmt.Sprint(i % 6)), Ready: true, Capacity: 0.192}
		if i/6%10 == 0 {
			out[i].Capacity = 1.6
		}
	}
	return out
}

// TestRosterUpdatesKeepRostersEqual checks that rosters that receive only changes, directly or
// through one other instance, equal the coordinator's, and that a roster that has missed a change
// receives the full list.
func TestRosterUpdatesKeepRostersEqual(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		var source, hub, follower Roster
		versions := map[*Roster]int64{}
		sync := func(from, to *Roster) {
			update := from.Snapshot(to.Sum())
			if version, known := versions[to]; known {
				update = from.Since(version)
			}
			if versions[to] = update.Version; !to.Apply(update) {
				t.Fatalf("seed %d: the roster differs after update %+v", seed, update)
			}
			if random.IntN(20) == 0 {
				delete(versions, to)
			}
		}
		all := fleet(30)
		for range 200 {
			i := random.IntN(len(all))
			all[i].Ready, all[i].Age = random.IntN(3) > 0, all[i].Age+10
			source.Set(slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return !e.Ready }))
			if random.IntN(2) == 0 {
				sync(&source, &hub)
			}
			if random.IntN(2) == 0 {
				sync(&hub, &follower)
			}
		}
		sync(&source, &hub)
		sync(&hub, &follower)
		if !slices.EqualFunc(source.Entries(), follower.Entries(), equalIgnoringAge) {
			t.Fatalf("seed %d: the rosters differ", seed)
		}
	}
}

// TestRosterUpdateContainsOnlyTheChange guards against full lists being sent when one instance
// joins a deployment of 836: each of the others must be sent only the new entry.
func TestRosterUpdateContainsOnlyTheChange(t *testing.T) {
	var source, follower Roster
	all := fleet(836)
	source.Set(all[:835])
	first := source.Snapshot(follower.Sum())
	if !first.Full || !follower.Apply(first) {
		t.Fatal("the first update is not the full roster")
	}
	source.Set(all)
	if update := source.Since(first.Version); update.Full || len(update.Entries) != 1 || !follower.Apply(update) {
		t.Errorf("update with %d entries, full %t; want only the new entry", len(update.Entries), update.Full)
	}
	version := source.Version()
	all[3].Age = 99
	source.Set(all)
	if source.Version() != version {
		t.Error("a change of an age alone changes the roster version")
	}
}

// TestInstancesAreSpreadOverHubs checks that only the hubs, about one in fifty instances, poll the
// coordinator. The other instances are spread over the hubs of their failure domain, and find
// another hub when one is lost.
func TestInstancesAreSpreadOverHubs(t *testing.T) {
	for _, n := range []int{7, 96, 97, 300, 836, 1300, 2000} {
		all := fleet(n)
		clients := map[cf.EntryID]int{}
		hubs := Hubs(all, DefaultHubThreshold)
		for _, e := range all {
			if Contains(hubs, e.ID) {
				if n > 200 && e.Capacity < 1 {
					t.Errorf("%d instances: one of low capacity is a hub", n)
				}
				continue
			}
			for i, h := range HubCandidates(hubs, e, func(id cf.EntryID) bool { return id == hubs[0].ID }) {
				if i == 0 {
					clients[h.ID]++
					if h.Domain != e.Domain && n > 300 {
						t.Errorf("%d instances: %s polls a hub of another failure domain", n, e.ID)
					}
				}
				if h.ID == hubs[0].ID || h.ID == e.ID {
					t.Errorf("%s must not poll %s", e.ID, h.ID)
				}
			}
		}
		if n <= 96 && len(hubs)+len(clients) > 0 {
			t.Errorf("%d instances: %d hubs", n, len(hubs))
		}
		if n > 96 && (len(hubs) < n/48 || len(hubs) > n/48+6) {
			t.Errorf("%d instances: %d hubs", n, len(hubs))
		}
		for id, k := range clients {
			if k > 2*instancesPerHub {
				t.Errorf("%d instances: hub %s has %d clients", n, id, k)
			}
		}
	}
}

// TestHubsReportTheirClients guards against callers that are sent to a killed instance whose hub
// reported it, and against a healthy instance that is missing because it reports through a hub.
// Hubs report their clients, by checksum alone while nothing changes; instances move to another
// hub, end, or report directly.
func TestHubsReportTheirClients(t *testing.T) {
	var table Table
	all := fleet(5)
	hub, other := all[0], all[1]
	group := func(entries ...Entry) Group {
		var r Roster
		r.Set(entries)
		return Group{Sum: r.Sum(), Entries: entries}
	}
	live := func(now cf.Millis) int {
		table.Record(hub, now)
		table.Record(other, now)
		return len(table.Live(now))
	}
	three := group(all[2], all[3], all[4])
	if sum := table.RecordGroup(hub.ID, Group{Sum: three.Sum}, 0); sum == three.Sum || live(0) != 2 {
		t.Error("a group counts as known before its entries were reported")
	}
	if sum := table.RecordGroup(hub.ID, three, 0); sum != three.Sum || live(0) != 5 {
		t.Error("a reported group is not recorded")
	}
	for now := cf.Millis(400); now < 4000; now += 400 {
		if table.RecordGroup(hub.ID, Group{Sum: three.Sum}, now) != three.Sum || live(now) != 5 {
			t.Fatalf("%d live at %d", live(now), now)
		}
	}
	// One client moves to another hub, one ends, one stays.
	table.RecordGroup(other.ID, group(all[2]), 4000)
	table.RecordGroup(hub.ID, group(all[4]), 4000)
	if n := live(4000); n != 4 {
		t.Errorf("%d live after one ended, want 4", n)
	}
	if fresh := table.LiveWithAges(5000); fresh[2].Age != 1000 {
		t.Errorf("age %d of an instance reported with age 0 a second ago, want 1000", fresh[2].Age)
	}
	// The hub is lost. Its clients report elsewhere in time or are removed.
	now := 4001 + ReportTimeout
	table.Record(all[4], now-1)
	table.Record(other, now)
	table.RecordGroup(other.ID, group(all[2]), now)
	if n := len(table.Live(now)); n != 3 {
		t.Errorf("%d live after a hub was lost, want 3", n)
	}
	// The hub returns and must send its entries again.
	if table.RecordGroup(hub.ID, Group{Sum: three.Sum}, now) == three.Sum {
		t.Error("the group of a lost hub is still known")
	}
}

// TestPossibleTextReplicasAreFew guards against a new coordinator that asks every instance of a
// large deployment for copies of texts, rather than only those that may hold them.
func TestPossibleTextReplicasAreFew(t *testing.T) {
	all := fleet(836)
	replicas := PossibleTextReplicas(all, Hubs(all, DefaultHubThreshold))
	if len(replicas) == 0 || len(replicas) > 90 {
		t.Errorf("%d of 836 instances may hold texts, want 1 to 90", len(replicas))
	}
	for _, self := range all[:50] {
		if n := TextReplica(all, self, ""); !Contains(replicas, n.ID) {
			t.Errorf("the text replica of %s is not among the possible ones", self.ID)
		}
	}
	if n := len(PossibleTextReplicas(all[:30], nil)); n != 30 {
		t.Errorf("%d of 30 instances may hold texts, want all", n)
	}
}
