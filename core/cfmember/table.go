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
		heard map[cf.EntryID]heard
		// groups are the instances for which others vouch.
		groups map[cf.EntryID]Group
		// live is the list as of its last change, which changes counts;
		// stale is when an instance may drop out of it, at the earliest.
		live    []Entry
		changes int64
		stale   cf.Millis
		// restarts counts the instances that were heard to have started again.
		restarts int64
	}

	heard struct {
		entry Entry
		at    cf.Millis
		// said is when it told its age, by the hub that vouches for it, if it did not
		// report here.
		said cf.Millis
		by   cf.EntryID
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
func (t *Table) Record(e Entry, now cf.Millis) { t.note(e, "", now) }

func (t *Table) note(e Entry, by cf.EntryID, now cf.Millis) {
	if t.heard == nil {
		t.heard = map[cf.EntryID]heard{}
	}
	old, known := t.heard[e.ID]
	if known && e.Age < old.entry.Age {
		t.restarts++
	}
	t.heard[e.ID] = heard{entry: e, at: now, said: now, by: by}
	if !known || !sameButAge(old.entry, e) {
		t.stale = 0
	}
}

// RecordGroup takes a hub's word for the instances that ask it. It returns the sum of the group
// that is known here now; a hub whose group has another one tells its entries.
func (t *Table) RecordGroup(hub cf.EntryID, g Group, now cf.Millis) uint64 {
	known := t.groups[hub]
	switch {
	case g.Sum == known.Sum:
		for _, e := range known.Entries {
			if h, alive := t.heard[e.ID]; alive {
				h.at, h.adopted = max(h.at, now), false
				t.heard[e.ID] = h
			} else {
				t.note(e, hub, now)
			}
		}
		return known.Sum
	case len(g.Entries) == 0 && g.Sum != 0:
		return known.Sum
	}
	t.dissolve(hub)
	for _, e := range g.Entries {
		t.note(e, hub, now)
	}
	if t.groups == nil {
		t.groups = map[cf.EntryID]Group{}
	}
	t.groups[hub] = g
	return g.Sum
}

// dissolve forgets a hub's group, with the instances in it that nobody else has told of.
func (t *Table) dissolve(hub cf.EntryID) {
	for _, e := range t.groups[hub].Entries {
		if t.heard[e.ID].by == hub {
			delete(t.heard, e.ID)
			t.stale = 0
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
		h := t.heard[e.ID]
		h.adopted = true
		t.heard[e.ID] = h
	}
}

// RemoveRefused takes the word that no process takes connections at an address for instances. One
// that was adopted and has not reported since has ended before: without that it would be
// listed for as long as one that has just reported, and anew by each coordinator.
func (t *Table) RemoveRefused(peers string) {
	for id, h := range t.heard {
		if h.adopted && h.entry.PeerAddr == peers {
			delete(t.heard, id)
			t.stale = 0
		}
	}
}

// Live returns the instances that take callers, sorted by id. The list is kept
// until it changes, and not to be changed.
func (t *Table) Live(now cf.Millis) []Entry {
	if now < t.stale {
		return t.live
	}
	live, stale := t.collect(now)
	t.stale = stale
	if !slices.EqualFunc(live, t.live, sameButAge) || t.changes == 0 {
		t.live = live
		t.changes++
	}
	return t.live
}

// Version counts the changes of Live.
func (t *Table) Version() int64 { return t.changes }

// LiveWithAges returns the same as Live, each instance with its latest age.
func (t *Table) LiveWithAges(now cf.Millis) []Entry {
	live, _ := t.collect(now)
	return live
}

// collect returns the instances that take callers, and when one of those heard
// of may drop out.
func (t *Table) collect(now cf.Millis) (live []Entry, stale cf.Millis) {
	stale = now + ReportTimeout
	for id, h := range t.heard {
		if now-h.at > ReportTimeout {
			delete(t.heard, id)
			delete(t.groups, id)
			continue
		}
		stale = min(stale, h.at+ReportTimeout+1)
		if h.entry.Ready {
			if h.by != "" {
				h.entry.Age += now - h.said
			}
			live = append(live, h.entry)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].ID < live[j].ID })
	return live, stale
}

// settled is the age from which on an instance can take a duty over: it has
// its view of the site, and has not ended right after its start.
const settled cf.Millis = 600

// strongPart is the part of the most capacity among the instances that a holder
// of a duty should have. Instances of one kind differ in nothing; where kinds
// differ they do by twice and more.
const strongPart = 0.75

// MaxCapacity returns the most capacity that an instance has.
func MaxCapacity(entries []Entry) float64 {
	most := 0.0
	for _, e := range entries {
		most = max(most, e.Capacity)
	}
	return most
}

// HighCapacity says whether a capacity is enough for a duty among entries.
func HighCapacity(capacity float64, all []Entry) bool { return NearMax(capacity, MaxCapacity(all)) }

// NearMax says the same where the most capacity is known.
func NearMax(capacity, strongest float64) bool { return capacity >= strongPart*strongest }

// Successor returns the instance that should take a duty over from one that
// stops as planned: of the strong ones the youngest that has settled. In a rolling
// restart the young ones have been restarted, and the others will be, so that the
// duty moves once or twice and not with each of its holders.
func Successor(entries []Entry, self cf.EntryID) (Entry, bool) {
	able := slices.DeleteFunc(slices.Clone(entries), func(e Entry) bool { return e.ID == self || e.Age < settled })
	if len(able) == 0 {
		return Entry{}, false
	}
	least := strongPart * MaxCapacity(able)
	strong := slices.DeleteFunc(able, func(e Entry) bool { return e.Capacity < least })
	return slices.MinFunc(strong, func(a, b Entry) int { return cmp.Compare(a.Age, b.Age) }), true
}

// Nearest returns the addresses of entries, those of domain first.
func Nearest(entries []Entry, domain cf.FailureDomain, most int) []string {
	var near, far []string
	for _, e := range entries {
		if e.Domain == domain {
			near = append(near, e.Addr)
		} else {
			far = append(far, e.Addr)
		}
	}
	near = append(near, far...)
	return near[:min(len(near), most)]
}
