// Package cfchange keeps a log of the keys that changed recently in a data set, so that a reader
// that has missed a few changes is sent only these. The cost depends on the number of changes and
// not on the size of the data set.
//
// Usage:
//
//	log.Append(seq+1, id)
//	ids, known := log.Since(lastSeen)
package cfchange

import (
	"slices"
	"sort"
)

// maxEntries bounds the length of the log. A reader that has missed more changes must read the
// whole data set.
const maxEntries = 4096

type (
	// Log records the sequence number at which each key changed. The zero value is empty. It is not
	// safe for concurrent use.
	Log[K comparable] struct {
		// entries are sorted by seq. Changes up to droppedSeq may have been dropped.
		entries    []entry[K]
		droppedSeq int64
	}

	entry[K comparable] struct {
		seq int64
		key K
	}
)

// Append records that a key changed at a sequence number, which must not be lower than the previous
// ones.
func (l *Log[K]) Append(seq int64, key K) {
	l.entries = append(l.entries, entry[K]{seq, key})
	if len(l.entries) > maxEntries {
		half := len(l.entries) / 2
		l.droppedSeq = l.entries[half-1].seq
		l.entries = slices.Clone(l.entries[half:])
	}
}

// Since returns the keys that changed after a sequence number, each once. It returns false if the
// log no longer covers them all.
func (l *Log[K]) Since(seq int64) ([]K, bool) {
	if seq < l.droppedSeq {
		return nil, false
	}
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].seq > seq })
	var out []K
	seen := map[K]bool{}
	for _, e := range l.entries[first:] {
		if !seen[e.key] {
			seen[e.key] = true
			out = append(out, e.key)
		}
	}
	return out, true
}
