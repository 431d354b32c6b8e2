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
	"sort"

	cf "currantford"
)

type (
	// Entry is an entry instance as it describes itself.
	Entry struct {
		ID     cf.EntryID       `cbor:"id"`
		Addr   string           `cbor:"addr"`
		Peers  string           `cbor:"peers"` // for the other instances
		Domain cf.FailureDomain `cbor:"failure_domain"`
		Ready  bool             `cbor:"ready"`
		// Age is how long its process had run when it said so.
		Age cf.Millis `cbor:"age"`
	}

	// Table holds the entry instances heard of. The zero value is empty. It
	// is not safe for concurrent use.
	Table struct {
		heard map[cf.EntryID]heard
	}

	heard struct {
		entry Entry
		at    cf.Millis
	}
)

// Silence is how long an instance may stay silent before callers are sent
// elsewhere: three of its reports, and less than callers keep an answer.
const Silence cf.Millis = 1500

// Heard takes an instance's account of itself.
func (t *Table) Heard(e Entry, now cf.Millis) {
	if t.heard == nil {
		t.heard = map[cf.EntryID]heard{}
	}
	t.heard[e.ID] = heard{e, now}
}

// Adopt takes a table from a coordinator before: until each instance has had
// time to report, it counts as heard, so that a change of coordinator does not
// send all callers to one instance.
func (t *Table) Adopt(entries []Entry, now cf.Millis) {
	for _, e := range entries {
		t.Heard(e, now)
	}
}

// Live returns the instances that take callers, sorted by id.
func (t *Table) Live(now cf.Millis) []Entry {
	var out []Entry
	for id, h := range t.heard {
		if now-h.at > Silence {
			delete(t.heard, id)
			continue
		}
		if h.entry.Ready {
			out = append(out, h.entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].ID < out[j].ID })
	return out
}

// settled is the age from which on an instance can take a duty over: it has
// its view of the site, which takes about 0.3 s, and has not ended right after
// its start.
const settled cf.Millis = 600

// Successor returns the instance that should take a duty over from one that
// stops as planned: the youngest that has settled. In a rolling restart the
// young ones have been restarted, and the others will be, so that the duty moves
// once or twice and not with each of its holders.
func Successor(entries []Entry, self cf.EntryID) (Entry, bool) {
	best := -1
	for i, e := range entries {
		if e.ID == self || e.Age < settled {
			continue
		}
		if best < 0 || e.Age < entries[best].Age {
			best = i
		}
	}
	if best < 0 {
		return Entry{}, false
	}
	return entries[best], true
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
