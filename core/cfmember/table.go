// Package cfmember maintains the list of entry instances that callers are sent to. Each instance
// reports to the coordinator several times a second, directly or through a hub; an instance that is
// silent, not ready or stopping is removed. The package also selects hubs, fallback watchers,
// successors and replicas from that list. The package reads no clock: callers pass the current
// time.
//
// A duty is a role that one instance at a time holds under a lease, such as that of the
// coordinator, which watches the platform's store and sends updates to the other instances.
//
// Usage:
//
//	var t cfmember.Table
//	t.Record(entry, now)
//	live := t.Live(now)
package cfmember

import (
	"cmp"
	"slices"
	"sort"

	cf "currantford"
)

type (
	// Entry describes an entry instance, as reported by the instance itself.
	Entry struct {
		ID       cf.EntryID       `cbor:"id"`
		Addr     string           `cbor:"addr"`
		PeerAddr string           `cbor:"peers"` // Address for calls from other instances.
		Domain   cf.FailureDomain `cbor:"failure_domain"`
		Ready    bool             `cbor:"ready"`
		// Age is the uptime of the process at the time of the report.
		Age cf.Millis `cbor:"age"`
		// Capacity is the processing capacity of the instance, in cores.
		Capacity float64 `cbor:"capacity"`
	}

	// Table holds the entry instances that have reported. The zero value is an empty table. It is
	// not safe for concurrent use.
	Table struct {
		records map[cf.EntryID]instanceRecord
		// groups holds the clients that each hub reports.
		groups map[cf.EntryID]Group
		// live is the list that Live returned last, and version counts its changes. liveUntil is
		// the earliest time at which an instance may have to be removed from it.
		live      []Entry
		version   int64
		liveUntil cf.Millis
		// restarts counts the restarts of instances, each detected by an age that has decreased.
		restarts int64
	}

	instanceRecord struct {
		entry    Entry
		lastSeen cf.Millis
		// ageAt is when the age was reported. hub is the hub that reported the instance, empty if
		// it reported here itself.
		ageAt cf.Millis
		hub   cf.EntryID
		// adopted is set until an adopted instance reports for the first time.
		adopted bool
	}

	// Group is a hub's report about the instances that poll it. Entries are omitted if the
	// recipient already knows the group with this checksum.
	Group struct {
		Sum     uint64  `cbor:"sum"`
		Entries []Entry `cbor:"entries,omitempty"`
	}
)

// ReportTimeout is how long an instance may be silent before callers are sent elsewhere. It covers
// three reports and is no longer than the time for which callers keep a resolved address.
const ReportTimeout cf.Millis = 1500

// Record records an instance's report about itself.
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

// RecordGroup records a hub's report about its clients. It returns the checksum of the hub's group
// as known here afterwards; if that differs from the hub's own checksum, the hub sends its entries
// next time.
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

// removeGroup removes a hub's group, along with the instances that only this hub has reported.
func (t *Table) removeGroup(hub cf.EntryID) {
	for _, e := range t.groups[hub].Entries {
		if t.records[e.ID].hub == hub {
			delete(t.records, e.ID)
			t.liveUntil = 0
		}
	}
	delete(t.groups, hub)
}

// Adopt takes over the list of the previous coordinator. Each instance counts as live until it has
// had time to report, so that a change of coordinator does not send all callers to one instance.
func (t *Table) Adopt(entries []Entry, now cf.Millis) {
	for _, e := range entries {
		t.Record(e, now)
		r := t.records[e.ID]
		r.adopted = true
		t.records[e.ID] = r
	}
}

// RemoveRefused removes the adopted instances at a peer address that refuses connections, unless
// they have reported since. Such an instance ended before the change of coordinator; without this
// it would stay listed as long as one that has just reported, and every further coordinator would
// adopt it again.
func (t *Table) RemoveRefused(peerAddr string) {
	for id, r := range t.records {
		if r.adopted && r.entry.PeerAddr == peerAddr {
			delete(t.records, id)
			t.liveUntil = 0
		}
	}
}

// Live returns the instances that accept callers, sorted by ID. The same slice is returned until
// the list changes; the caller must not modify it.
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

// Version returns the number of changes of the list that Live returns.
func (t *Table) Version() int64 { return t.version }

// LiveWithAges returns the same instances as Live, each with its latest age.
func (t *Table) LiveWithAges(now cf.Millis) []Entry {
	live, _ := t.collect(now)
	return live
}

// collect returns the instances that accept callers, and the earliest time at which an instance in
// the table may time out. It removes those that have timed out.
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

// minSuccessorAge is the minimum uptime of an instance that takes over a duty. By then it has its
// view of the site, and has not failed right after its start.
const minSuccessorAge cf.Millis = 600

// highCapacityFraction is the fraction of the highest capacity among the instances that the holder
// of a duty should have. Instances of the same machine type have equal capacity, and different
// types differ by a factor of two or more.
const highCapacityFraction = 0.75

// MaxCapacity returns the highest capacity among entries.
func MaxCapacity(entries []Entry) float64 {
	highest := 0.0
	for _, e := range entries {
		highest = max(highest, e.Capacity)
	}
	return highest
}

// HighCapacity reports whether a capacity is high enough among the given instances to hold a duty.
func HighCapacity(capacity float64, all []Entry) bool { return NearMax(capacity, MaxCapacity(all)) }

// NearMax reports the same as HighCapacity if the highest capacity is already known.
func NearMax(capacity, maxCapacity float64) bool { return capacity >= highCapacityFraction*maxCapacity }

// Successor returns the instance that should take over a duty from self, which is stopping as
// planned: the youngest instance of high capacity that has reached minSuccessorAge. In a rolling
// restart the young instances have already been restarted and the old ones are still to be, so the
// duty moves once or twice rather than with each restart of its holder.
func Successor(entries []Entry, self cf.EntryID) (Entry, bool) {
	eligible := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.ID == self || e.Age < minSuccessorAge })
	if len(eligible) == 0 {
		return Entry{}, false
	}
	minCapacity := highCapacityFraction * MaxCapacity(eligible)
	capable := slices.DeleteFunc(eligible, func(e Entry) bool { return e.Capacity < minCapacity })
	return slices.MinFunc(capable, func(a, b Entry) int { return cmp.Compare(a.Age, b.Age) }), true
}

// Nearest returns up to limit caller addresses of entries, those in domain first.
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
