package cfsite

import (
	"encoding/binary"
	"hash/fnv"

	cf "currantford"
)

// buriedMost bounds the targets that are remembered as gone. An instance that
// has missed more gets the whole list.
const buriedMost = 4096

type (
	// relay is what other instances must hear of. A target's weights are not
	// part of it: only the coordinator uses those.
	relay struct {
		// count numbers the changes, next is closed at the next one.
		count int64
		next  chan struct{}
		// gone are the targets that left, each with the count of the change;
		// those of changes up to forgotten are not known any more.
		gone      map[cf.InstanceID]int64
		forgotten int64
		// sum identifies the targets in the view, whatever their order.
		sum uint64
	}

	// News is what has changed in the view of targets, or all of it.
	News struct {
		Count   int64           `cbor:"count"` // of the changes, as of this
		At      cf.Revision     `cbor:"at"`
		Sum     uint64          `cbor:"sum"` // of the view after this
		Whole   bool            `cbor:"whole,omitempty"`
		Targets []cf.Target     `cbor:"targets,omitempty"`
		Gone    []cf.InstanceID `cbor:"gone,omitempty"`
	}
)

func newRelay() relay {
	return relay{next: make(chan struct{}), gone: map[cf.InstanceID]int64{}}
}

func (r *relay) notify() {
	r.count++
	close(r.next)
	r.next = make(chan struct{})
}

// bury remembers that a target left with the change that is notified next.
func (r *relay) bury(id cf.InstanceID) {
	if len(r.gone) >= buriedMost {
		clear(r.gone)
		r.forgotten = r.count + 1
	}
	r.gone[id] = r.count + 1
}

// sumOf returns a target's part of the view's sum.
func sumOf(t cf.Target) uint64 {
	h := fnv.New64a()
	for _, s := range []string{string(t.ID), string(t.Service), t.Addr, string(t.Domain)} {
		_, _ = h.Write([]byte(s)) // a hash takes everything
		_, _ = h.Write([]byte{0})
	}
	draining := uint64(0)
	if t.Draining {
		draining = 1
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(t.Slots)<<1|draining))
	return h.Sum64()
}

// Relay returns the count of the changes that other instances must hear of, and
// a channel that is closed at the next one.
func (s *Site) Relay() (int64, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.relay.count, s.relay.next
}

// Sum identifies the targets in the view: equal sums mean equal targets.
func (s *Site) Sum() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.relay.sum
}

// NewsSince returns what has changed since the count of an earlier answer. With
// a whole list for each change, 300 instances before 3,000 targets had 90 MB to
// hear of one target that drained.
func (s *Site) NewsSince(count int64) News {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count < s.relay.forgotten || count > s.relay.count {
		return s.whole()
	}
	n := s.news()
	for _, e := range s.targets {
		if e.relayedAt > count {
			n.Targets = append(n.Targets, withoutWeights(e.target))
		}
	}
	for id, at := range s.relay.gone {
		if at > count {
			n.Gone = append(n.Gone, id)
		}
	}
	return n
}

// AllNews returns the whole view, for an instance that has heard nothing from
// this one. One whose own view has the same sum already needs no list.
func (s *Site) AllNews(sum uint64) News {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sum == s.relay.sum {
		return s.news()
	}
	return s.whole()
}

func (s *Site) news() News { return News{Count: s.relay.count, At: s.at, Sum: s.relay.sum} }

func (s *Site) whole() News {
	n := s.news()
	n.Whole = true
	for _, t := range s.list() {
		n.Targets = append(n.Targets, withoutWeights(t))
	}
	return n
}

func withoutWeights(t cf.Target) cf.Target {
	t.Models = nil
	return t
}

// TakeNews takes news of the instance that watches the store, unless they are
// older than the view. It returns false if the view then differs from the
// sender's, which must send all of it.
func (s *Site) TakeNews(n News, now cf.Millis) (same bool) {
	if n.Whole {
		s.ReplaceTargets(n.Targets, n.At, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.At < s.at {
		return true // this instance has watched the store itself
	}
	before := s.relay.sum
	if !n.Whole {
		for _, t := range n.Targets {
			s.put(entry{target: t, rev: n.At})
		}
		for _, id := range n.Gone {
			if _, known := s.targets[id]; known {
				s.remove(id)
			}
		}
		s.at = n.At
	}
	if s.relay.sum != before {
		s.notify()
		s.relay.notify()
	}
	return s.relay.sum == n.Sum
}
