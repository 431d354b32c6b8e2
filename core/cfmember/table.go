// Package cfmember decides which entry instances callers are sent to. The
// coordinator hears from each instance several times a second; an instance
// that is silent, not ready or stopping drops out. It has no clock of its own.
//
// Usage:
//
//	var t cfmember.Table
//	t.Heard(entry, now)
//	live := t.Live(now)
package cfmember

import (
	"cmp"
	"slices"
	"sort"

	cf "currantford"
)

type (
	// Entry is an entry instance as it describes itself.
	Entry struct {
		ID       cf.EntryID       `cbor:"id"`
		Addr     string           `cbor:"addr"`
		PeerAddr string           `cbor:"peers"` // for the other instances
		Domain   cf.FailureDomain `cbor:"failure_domain"`
		Ready    bool             `cbor:"ready"`
		// Age is how long its process had run when it said so.
		Age cf.Millis `cbor:"age"`
		// Capacity is what it can carry, in cores.
		Capacity float64 `cbor:"capacity"`
	}

	// Table holds the entry instances heard of. The zero value is empty. It
	// is not safe for concurrent use.
	Table struct {
		records map[cf.EntryID]instanceRecord
		// groups are the instances for which others vouch.
		groups map[cf.EntryID]Group
		// live is the list as of its last change, which changes counts;
		// stale is when an instance may drop out of it, at the earliest.
		live      []Entry
		version   int64
		liveUntil cf.Millis
		// restarts counts the instances that were heard to have started again.
		restarts int64
	}

	instanceRecord struct {
		entry    Entry
		lastSeen cf.Millis
		// ageAt is when it told its age, by the hub that vouches for it, if it did not
		// report here.
		ageAt cf.Millis
		hub   cf.EntryID
		// adopted: it has not reported since it was adopted.
		adopted bool
	}

	// Group is what a hub tells of the instances that ask it. Entries are left out where
	// the recipient has those of the sum.
	Group struct {
		Sum     uint64  `cbor:"sum"`
		Entries []Entry `cbor:"entries,omitempty"`
	}
)

// ReportTimeout is how long an instance may stay silent before callers are sent
// elsewhere: three of its reports, and less than callers keep an answer.
const ReportTimeout cf.Millis = 1500

// Record takes an instance's account of itself.
func (t *Table) Record(e Entry, now cf.Millis) { t.put(e, "", now) }

func (t *Table) put(e Entry, hub cf.EntryID, now cf.Millis) {
	if t.records == nil {
		t.records = map[cf.EntryID]instanceRecord{}
	}
	old, known := t.records[e.ID]
	if known && e.Age < old.entry.Age {
		t.restarts++
	}
	t.records[e.ID] = instanceRecord{entry: e, lastSeen: now, ageAt: now, hub: hub}
	if !known || !equalIgnoringAge(old.entry, e) {
		t.liveUntil = 0
	}
}

// RecordGroup takes a hub's word for the instances that ask it. It returns the sum of the group
// that is known here now; a hub whose group has another one tells its entries.
func (t *Table) RecordGroup(hub cf.EntryID, g Group, now cf.Millis) uint64 {
	known := t.groups[hub]
	switch {
	case g.Sum == known.Sum:
		for _, e := range known.Entries {
			if r, alive := t.records[e.ID]; alive {
				r.lastSeen, r.adopted = max(r.lastSeen, now), false
				t.records[e.ID] = r
			} else {
				t.put(e, hub, now)
			}
		}
		return known.Sum
	case len(g.Entries) == 0 && g.Sum != 0:
		return known.Sum
	}
	t.removeGroup(hub)
	for _, e := range g.Entries {
		t.put(e, hub, now)
	}
	if t.groups == nil {
		t.groups = map[cf.EntryID]Group{}
	}
	t.groups[hub] = g
	return g.Sum
}

// removeGroup forgets a hub's group, with the instances in it that nobody else has told of.
func (t *Table) removeGroup(hub cf.EntryID) {
	for _, e := range t.groups[hub].Entries {
		if t.records[e.ID].hub == hub {
			delete(t.records, e.ID)
			t.liveUntil = 0
		}
	}
	delete(t.groups, hub)
}

// Adopt takes a table from a coordinator before: until each instance has had
// time to report, it counts as heard, so that a change of coordinator does not
// send all callers to one instance.
func (t *Table) Adopt(entries []Entry, now cf.Millis) {
	for _, e := range entries {
		t.Record(e, now)
		r := t.records[e.ID]
		r.adopted = true
		t.records[e.ID] = r
	}
}

// RemoveRefused takes the word that no process takes connections at an address for instances. One
// that was adopted and has not reported since has ended before: without that it would be
// listed for as long as one that has just reported, and anew by each coordinator.
func (t *Table) RemoveRefused(peerAddr string) {
	for id, r := range t.records {
		if r.adopted && r.entry.PeerAddr == peerAddr {
			delete(t.records, id)
			t.liveUntil = 0
		}
	}
}

// Live returns the instances that take callers, sorted by id. The list is kept
// until it changes, and not to be changed.
func (t *Table) Live(now cf.Millis) []Entry {
	if now < t.liveUntil {
		return t.live
	}
	live, liveUntil := t.collect(now)
	t.liveUntil = liveUntil
	if !slices.EqualFunc(live, t.live, equalIgnoringAge) || t.version == 0 {
		t.live = live
		t.version++
	}
	return t.live
}

// Version counts the changes of Live.
func (t *Table) Version() int64 { return t.version }

// LiveWithAges returns the same as Live, each instance with its latest age.
func (t *Table) LiveWithAges(now cf.Millis) []Entry {
	live, _ := t.collect(now)
	return live
}

// collect returns the instances that take callers, and when one of those heard
// of may drop out.
func (t *Table) collect(now cf.Millis) (live []Entry, liveUntil cf.Millis) {
	liveUntil = now + ReportTimeout
	for id, r := range t.records {
		if now-r.lastSeen > ReportTimeout {
			delete(t.records, id)
			delete(t.groups, id)
			continue
		}
		liveUntil = min(liveUntil, r.lastSeen+ReportTimeout+1)
		if r.entry.Ready {
			if r.hub != "" {
				r.entry.Age += now - r.ageAt
			}
			live = append(live, r.entry)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live, liveUntil
}

// minSuccessorAge is the age from which on an instance can take a duty over: it has
// its view of the site, and has not ended right after its start.
const minSuccessorAge cf.Millis = 600

// highCapacityFraction is the part of the most capacity among the instances that a holder
// of a duty should have. Instances of one kind differ in nothing; where kinds
// differ they do by twice and more.
const highCapacityFraction = 0.75

// MaxCapacity returns the most capacity that an instance has.
func MaxCapacity(entries []Entry) float64 {
	highest := 0.0
	for _, e := range entries {
		highest = max(highest, e.Capacity)
	}
	return highest
}

// HighCapacity says whether a capacity is enough for a duty among entries.
func HighCapacity(capacity float64, all []Entry) bool { return NearMax(capacity, MaxCapacity(all)) }

// NearMax says the same where the most capacity is known.
func NearMax(capacity, maxCapacity float64) bool { return capacity >= highCapacityFraction*maxCapacity }

// Successor returns the instance that should take a duty over from one that
// stops as planned: of the strong ones the youngest that has settled. In a rolling
// restart the young ones have been restarted, and the others will be, so that the
// duty moves once or twice and not with each of its holders.
func Successor(entries []Entry, self cf.EntryID) (Entry, bool) {
	eligible := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.ID == self || e.Age < minSuccessorAge })
	if len(eligible) == 0 {
		return Entry{}, false
	}
	minCapacity := highCapacityFraction * MaxCapacity(eligible)
	capable := slices.DeleteFunc(eligible, func(e Entry) bool { return e.Capacity < minCapacity })
	return slices.MinFunc(capable, func(a, b Entry) int { return cmp.Compare(a.Age, b.Age) }), true
}

// Nearest returns the addresses of entries, those of domain first.
func Nearest(entries []Entry, domain cf.FailureDomain, limit int) []string {
	var near, far []string
	for _, e := range entries {
		if e.Domain == domain {
			near = append(near, e.Addr)
		} else {
			far = append(far, e.Addr)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), limit)]
}
