package cfmember

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	cf "currantford"
)

// fleet returns n instances in six failure domains, of which one in ten is strong.
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

// Rosters that hear of changes only, over one instance more or less in between, are that
// of the coordinator, and one that has missed something learns all.
func TestRosterNewsKeepRostersEqual(t *testing.T) {
	for seed := range uint64(40) {
		random := rand.New(rand.NewPCG(seed, 7))
		var source, hub, follower Roster
		counts := map[*Roster]int64{}
		hear := func(from, to *Roster) {
			news := from.Snapshot(to.Sum())
			if count, known := counts[to]; known {
				news = from.Since(count)
			}
			if counts[to] = news.Version; !to.Apply(news) {
				t.Fatalf("seed %d: differs after %+v", seed, news)
			}
			if random.IntN(20) == 0 {
				delete(counts, to)
			}
		}
		all := fleet(30)
		for range 200 {
			i := random.IntN(len(all))
			all[i].Ready, all[i].Age = random.IntN(3) > 0, all[i].Age+10
			source.Set(slices.DeleteFunc(slices.Clone(all), func(e Entry) bool { return !e.Ready }))
			if random.IntN(2) == 0 {
				hear(&source, &hub)
			}
			if random.IntN(2) == 0 {
				hear(&hub, &follower)
			}
		}
		hear(&source, &hub)
		hear(&hub, &follower)
		if !slices.EqualFunc(source.Entries(), follower.Entries(), sameButAge) {
			t.Fatalf("seed %d: the rosters differ", seed)
		}
	}
}

// Load: one instance comes at a fleet of 836. Each of the others is told of it alone.
func TestRosterNewsAreAsLargeAsTheChange(t *testing.T) {
	var source, follower Roster
	all := fleet(836)
	source.Set(all[:835])
	first := source.Snapshot(follower.Sum())
	if !first.Full || !follower.Apply(first) {
		t.Fatal("the first news are not the whole roster")
	}
	source.Set(all)
	if news := source.Since(first.Version); news.Full || len(news.Entries) != 1 || !follower.Apply(news) {
		t.Errorf("%d entries are told, whole %t", len(news.Entries), news.Full)
	}
	count := source.Version()
	all[3].Age = 99
	source.Set(all)
	if source.Version() != count {
		t.Error("an instance that grows older changes the roster")
	}
}

// The coordinator is asked by the hubs alone, a fiftieth of the fleet; the others are
// divided among the hubs of their failure domain, and find others when one is lost.
func TestHubsShareTheFleet(t *testing.T) {
	for _, n := range []int{7, 96, 97, 300, 836, 1300, 2000} {
		all := fleet(n)
		asked := map[cf.EntryID]int{}
		hubs := Hubs(all, HubsFrom)
		for _, e := range all {
			if Contains(hubs, e.ID) {
				if n > 200 && e.Capacity < 1 {
					t.Errorf("%d instances: a weak one is a hub", n)
				}
				continue
			}
			for i, h := range HubCandidates(hubs, e, func(id cf.EntryID) bool { return id == hubs[0].ID }) {
				if i == 0 {
					asked[h.ID]++
					if h.Domain != e.Domain && n > 300 {
						t.Errorf("%d instances: %s asks a hub of another failure domain", n, e.ID)
					}
				}
				if h.ID == hubs[0].ID || h.ID == e.ID {
					t.Errorf("%s is to ask %s", e.ID, h.ID)
				}
			}
		}
		if n <= 96 && len(hubs)+len(asked) > 0 {
			t.Errorf("%d instances: %d hubs", n, len(hubs))
		}
		if n > 96 && (len(hubs) < n/48 || len(hubs) > n/48+6) {
			t.Errorf("%d instances: %d hubs", n, len(hubs))
		}
		for id, k := range asked {
			if k > 2*perHub {
				t.Errorf("%d instances: hub %s is asked by %d", n, id, k)
			}
		}
	}
}

// Symptom: callers are sent to an instance that was killed, or a sound one is left out,
// behind a hub.
// Sequence: hubs vouch for those that ask them, by a sum alone where nothing has changed;
// instances go from one hub to another, die, and report by themselves.
func TestHubsVouchForThoseThatAskThem(t *testing.T) {
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
		t.Error("a group is known before its entries were told")
	}
	if sum := table.RecordGroup(hub.ID, three, 0); sum != three.Sum || live(0) != 5 {
		t.Error("a group is not taken")
	}
	for now := cf.Millis(400); now < 4000; now += 400 {
		if table.RecordGroup(hub.ID, Group{Sum: three.Sum}, now) != three.Sum || live(now) != 5 {
			t.Fatalf("%d live at %d", live(now), now)
		}
	}
	// One goes to another hub, one dies, one stays.
	table.RecordGroup(other.ID, group(all[2]), 4000)
	table.RecordGroup(hub.ID, group(all[4]), 4000)
	if n := live(4000); n != 4 {
		t.Errorf("%d live after one died", n)
	}
	if fresh := table.LiveWithAges(5000); fresh[2].Age != 1000 {
		t.Errorf("age %d of one that was told of a second ago", fresh[2].Age)
	}
	// The hub is lost; those behind it report elsewhere in time, or drop out.
	now := 4001 + ReportTimeout
	table.Record(all[4], now-1)
	table.Record(other, now)
	table.RecordGroup(other.ID, group(all[2]), now)
	if n := len(table.Live(now)); n != 3 {
		t.Errorf("%d live after a hub was lost", n)
	}
	// It comes back, and tells its entries anew.
	if table.RecordGroup(hub.ID, Group{Sum: three.Sum}, now) == three.Sum {
		t.Error("the group of a hub that was lost is still known")
	}
}

// Load: the coordinator of a fleet is lost. Its successor asks for texts where they may lie,
// and not at each instance.
func TestTextsAreAskedForWhereTheyMayLie(t *testing.T) {
	all := fleet(836)
	keepers := PossibleTextReplicas(all, Hubs(all, HubsFrom))
	if len(keepers) == 0 || len(keepers) > 90 {
		t.Errorf("%d of 836 are asked", len(keepers))
	}
	for _, self := range all[:50] {
		if n := TextReplica(all, self, ""); !Contains(keepers, n.ID) {
			t.Errorf("the neighbour of %s is not asked", self.ID)
		}
	}
	if n := len(PossibleTextReplicas(all[:30], nil)); n != 30 {
		t.Errorf("%d of 30 are asked", n)
	}
}
