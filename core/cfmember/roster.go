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
	// Roster is the list of instances that accept callers, with incremental replication from one
	// instance to another: an update carries the changes since the previous one, and a checksum
	// shows when the recipient has missed a change and needs the full list. The zero value is an
	// empty roster. It is not safe for concurrent use.
	Roster struct {
		entries map[cf.EntryID]Entry
		log     cfchange.Log[cf.EntryID]
		version int64
		sum     uint64
		// sorted caches the entries in the order of their IDs; nil if the cache is invalid.
		sorted []Entry
	}

	// RosterUpdate holds the changes of a roster since an earlier version, or the full roster.
	RosterUpdate struct {
		Version int64        `cbor:"count"` // Version of the sender's roster.
		Sum     uint64       `cbor:"sum"`   // Checksum of the roster after the update.
		Full    bool         `cbor:"whole,omitempty"`
		Entries []Entry      `cbor:"entries,omitempty"`
		Removed []cf.EntryID `cbor:"gone,omitempty"`
	}
)

// Set replaces the content of the roster with the given entries.
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

// put adds or replaces an entry. It returns whether anything but the entry's age has changed.
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

// Entries returns the instances, sorted by ID. The caller must not modify the slice.
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

// Version returns the number of changes made to the roster so far.
func (r *Roster) Version() int64 { return r.version }

// Sum returns a checksum of the roster: equal rosters have equal sums, whatever the ages of the
// entries are.
func (r *Roster) Sum() uint64 { return r.sum }

// Since returns the changes since an earlier version, or the full roster if they are no longer
// known.
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

// Snapshot returns the full roster, for an instance that has no version of this one. The entries
// are omitted if sum, the checksum of that instance's own roster, already matches.
func (r *Roster) Snapshot(sum uint64) RosterUpdate {
	if sum == r.sum {
		return RosterUpdate{Version: r.version, Sum: r.sum}
	}
	return r.full()
}

func (r *Roster) full() RosterUpdate {
	return RosterUpdate{Version: r.version, Sum: r.sum, Full: true, Entries: r.Entries()}
}

// Apply applies an update of another roster. It returns false if the checksums differ afterwards,
// so that a full update is needed.
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

// entryChecksum returns the contribution of an entry to the checksum of a roster. The age is not
// included, because it changes constantly.
func entryChecksum(e Entry) uint64 {
	h := fnv.New64a()
	for _, s := range []string{string(e.ID), e.Addr, e.PeerAddr, string(e.Domain)} {
		_, _ = h.Write([]byte(s)) // Writing to a hash never fails.
		_, _ = h.Write([]byte{0})
	}
	ready := byte(0)
	if e.Ready {
		ready = 1
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte{ready}, math.Float64bits(e.Capacity)))
	return h.Sum64()
}
