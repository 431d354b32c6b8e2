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
		version int64
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
			r.remove(id)
			changed = true
		}
	}
	r.bumpVersion(changed)
}

// put takes an entry; it returns whether that changes anything but its age.
func (r *Roster) put(e Entry) bool {
	old, known := r.entries[e.ID]
	if known && equalIgnoringAge(old, e) {
		return false
	}
	if r.entries == nil {
		r.entries = map[cf.EntryID]Entry{}
	}
	if known {
		r.sum ^= entryChecksum(old)
	}
	r.sum ^= entryChecksum(e)
	r.entries[e.ID] = e
	r.log.Append(r.version+1, e.ID)
	return true
}

func (r *Roster) remove(id cf.EntryID) {
	r.sum ^= entryChecksum(r.entries[id])
	delete(r.entries, id)
	r.log.Append(r.version+1, id)
}

func (r *Roster) bumpVersion(changed bool) {
	if changed {
		r.version++
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
func (r *Roster) Version() int64 { return r.version }

// Sum identifies the instances in the roster: equal sums mean equal rosters.
func (r *Roster) Sum() uint64 { return r.sum }

// Since returns what has changed since the count of an earlier answer.
func (r *Roster) Since(version int64) RosterUpdate {
	ids, known := r.log.Since(version)
	if !known || version > r.version {
		return r.full()
	}
	update := RosterUpdate{Version: r.version, Sum: r.sum}
	for _, id := range ids {
		if e, listed := r.entries[id]; listed {
			update.Entries = append(update.Entries, e)
		} else {
			update.Removed = append(update.Removed, id)
		}
	}
	return update
}

// Snapshot returns the whole roster, for an instance that has heard nothing from this one. One
// whose own has the same sum already needs no list.
func (r *Roster) Snapshot(sum uint64) RosterUpdate {
	if sum == r.sum {
		return RosterUpdate{Version: r.version, Sum: r.sum}
	}
	return r.full()
}

func (r *Roster) full() RosterUpdate {
	return RosterUpdate{Version: r.version, Sum: r.sum, Full: true, Entries: r.Entries()}
}

// Apply takes news of another roster. It returns false if this one then differs, and must be
// told all.
func (r *Roster) Apply(update RosterUpdate) (inSync bool) {
	if update.Full {
		r.Set(update.Entries)
		return r.sum == update.Sum
	}
	changed := false
	for _, e := range update.Entries {
		changed = r.put(e) || changed
	}
	for _, id := range update.Removed {
		if _, known := r.entries[id]; known {
			r.remove(id)
			changed = true
		}
	}
	r.bumpVersion(changed)
	return r.sum == update.Sum
}

func equalIgnoringAge(a, b Entry) bool {
	a.Age = b.Age
	return a == b
}

// entryChecksum returns an entry's part of a roster's sum; its age is none.
func entryChecksum(e Entry) uint64 {
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
