// Package cfchange remembers what the last changes of a view concern, so that a reader
// that has missed a few is told these alone, at a cost that follows their number and not
// the size of the view.
//
// Usage:
//
//	log.Note(count+1, id)
//	ids, known := log.Since(heard)
package cfchange

import (
	"slices"
	"sort"
)

// maxEntries bounds the changes that are remembered. A reader that has missed more takes
// the whole view.
const maxEntries = 4096

type (
	// Log remembers which keys changed when. The zero value is empty. It is not safe
	// for concurrent use.
	Log[K comparable] struct {
		// entries are sorted by their counts; changes up to forgotten are not known
		// any more.
		entries   []entry[K]
		forgotten int64
	}

	entry[K comparable] struct {
		count int64
		key   K
	}
)

// Append records that a key changes with the change that is counted as at, which is not
// lower than those before.
func (l *Log[K]) Append(count int64, key K) {
	l.entries = append(l.entries, entry[K]{count, key})
	if len(l.entries) > maxEntries {
		half := len(l.entries) / 2
		l.forgotten = l.entries[half-1].count
		l.entries = slices.Clone(l.entries[half:])
	}
}

// Since returns the keys that changed after a count, each once, false if that is not
// known.
func (l *Log[K]) Since(count int64) ([]K, bool) {
	if count < l.forgotten {
		return nil, false
	}
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].count > count })
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
