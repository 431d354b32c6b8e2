package cfmember

import (
	"encoding/binary"
	"hash/fnv"
	"math"
	"slices"
	"strings"

	cf "currantford"
	"currantford/core/cfchange"
)

type (
	// Roster is the list of the instances that take callers, as it is told from one to
	// the other: each is sent what has changed since it was told last, and all of it where
	// a sum shows that it has missed something. The zero value is empty. It is not safe
	// for concurrent use.
	Roster struct {
		entries map[cf.EntryID]Entry
		log     cfchange.Log[cf.EntryID]
		count   int64
		sum     uint64
		// sorted are the entries by their ids, nil until they are asked for.
		sorted []Entry
	}

	// RosterUpdate is what has changed in a roster, or all of it.
	RosterUpdate struct {
		Version int64        `cbor:"count"` // of the changes, as of this
		Sum     uint64       `cbor:"sum"`   // of the roster after this
		Full    bool         `cbor:"whole,omitempty"`
		Entries []Entry      `cbor:"entries,omitempty"`
		Removed []cf.EntryID `cbor:"gone,omitempty"`
	}
)

// Set makes the roster that of a table.
func (r *Roster) Set(entries []Entry) {
	listed := make(map[cf.EntryID]bool, len(entries))
	changed := false
	for _, e := range entries {
		listed[e.ID] = true
		changed = r.put(e) || changed
	}
	for id := range r.entries {
		if !listed[id] {
			r.drop(id)
			changed = true
		}
	}
	r.counted(changed)
}

// put takes an entry; it returns whether that changes anything but its age.
func (r *Roster) put(e Entry) bool {
	old, known := r.entries[e.ID]
	if known && sameButAge(old, e) {
		return false
	}
	if r.entries == nil {
		r.entries = map[cf.EntryID]Entry{}
	}
	if known {
		r.sum ^= sumOf(old)
	}
	r.sum ^= sumOf(e)
	r.entries[e.ID] = e
	r.log.Append(r.count+1, e.ID)
	return true
}

func (r *Roster) drop(id cf.EntryID) {
	r.sum ^= sumOf(r.entries[id])
	delete(r.entries, id)
	r.log.Append(r.count+1, id)
}

func (r *Roster) counted(changed bool) {
	if changed {
		r.count++
		r.sorted = nil
	}
}

// Entries returns the instances, sorted by id. The list is not to be changed.
func (r *Roster) Entries() []Entry {
	if r.sorted == nil {
		r.sorted = make([]Entry, 0, len(r.entries))
		for _, e := range r.entries {
			r.sorted = append(r.sorted, e)
		}
		slices.SortFunc(r.sorted, func(a, b Entry) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return r.sorted
}

// Version counts the changes.
func (r *Roster) Version() int64 { return r.count }

// Sum identifies the instances in the roster: equal sums mean equal rosters.
func (r *Roster) Sum() uint64 { return r.sum }

// Since returns what has changed since the count of an earlier answer.
func (r *Roster) Since(count int64) RosterUpdate {
	ids, known := r.log.Since(count)
	if !known || count > r.count {
		return r.whole()
	}
	n := RosterUpdate{Version: r.count, Sum: r.sum}
	for _, id := range ids {
		if e, up := r.entries[id]; up {
			n.Entries = append(n.Entries, e)
		} else {
			n.Removed = append(n.Removed, id)
		}
	}
	return n
}

// Snapshot returns the whole roster, for an instance that has heard nothing from this one. One
// whose own has the same sum already needs no list.
func (r *Roster) Snapshot(sum uint64) RosterUpdate {
	if sum == r.sum {
		return RosterUpdate{Version: r.count, Sum: r.sum}
	}
	return r.whole()
}

func (r *Roster) whole() RosterUpdate {
	return RosterUpdate{Version: r.count, Sum: r.sum, Full: true, Entries: r.Entries()}
}

// Apply takes news of another roster. It returns false if this one then differs, and must be
// told all.
func (r *Roster) Apply(n RosterUpdate) (same bool) {
	if n.Full {
		r.Set(n.Entries)
		return r.sum == n.Sum
	}
	changed := false
	for _, e := range n.Entries {
		changed = r.put(e) || changed
	}
	for _, id := range n.Removed {
		if _, known := r.entries[id]; known {
			r.drop(id)
			changed = true
		}
	}
	r.counted(changed)
	return r.sum == n.Sum
}

func sameButAge(a, b Entry) bool {
	a.Age = b.Age
	return a == b
}

// sumOf returns an entry's part of a roster's sum; its age is none.
func sumOf(e Entry) uint64 {
	h := fnv.New64a()
	for _, s := range []string{string(e.ID), e.Addr, e.PeerAddr, string(e.Domain)} {
		_, _ = h.Write([]byte(s)) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	ready := byte(0)
	if e.Ready {
		ready = 1
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{ready}, math.Float64bits(e.Capacity)))
	return h.Sum64()
}
