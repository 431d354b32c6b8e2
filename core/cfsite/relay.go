package cfsite

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"

	cf "currantford"
	"currantford/core/cfchange"
)

type (
	// relay is what other instances must hear of: the targets of the services to which
	// they forward requests. Those that only the coordinator uses are not part of it,
	// nor are a target's weights. So what an instance hears and holds follows what it
	// serves, and not the number of engines.
	relay struct {
		// count numbers the changes, next is closed at the next one.
		count int64
		next  chan struct{}
		log   cfchange.Log[cf.InstanceID]
		// pending: a target has changed since the last count.
		pending bool
		// forwarded are the services, nil before a configuration is known: then all are.
		forwarded map[cf.ServiceName]bool
		// sums identify the targets of each service, whatever their order.
		sums map[cf.ServiceName]uint64
	}

	// TargetUpdate is what has changed in the view of targets, or all of it.
	TargetUpdate struct {
		Count int64       `cbor:"count"` // of the changes, as of this
		Rev   cf.Revision `cbor:"at"`
		// Services are those whose targets are told, nil for all; Sum is that of their
		// targets after this.
		Services []cf.ServiceName `cbor:"services"`
		Checksum uint64           `cbor:"sum"`
		Full     bool             `cbor:"whole,omitempty"`
		Targets  []cf.Target      `cbor:"targets,omitempty"`
		Removed  []cf.InstanceID  `cbor:"gone,omitempty"`
	}
)

func newRelay() relay {
	return relay{next: make(chan struct{}), sums: map[cf.ServiceName]uint64{}}
}

func (r *relay) notify() {
	r.count++
	r.pending = false
	close(r.next)
	r.next = make(chan struct{})
}

// flush notifies if a target has changed of which others must hear.
func (r *relay) flush() {
	if r.pending {
		r.notify()
	}
}

// tells says whether others hear of a service's targets.
func (r *relay) tells(service cf.ServiceName) bool { return r.forwarded == nil || r.forwarded[service] }

// note records that a target changes with the change that is notified next.
func (r *relay) note(service cf.ServiceName, id cf.InstanceID) {
	if r.tells(service) {
		r.log.Append(r.count+1, id)
		r.pending = true
	}
}

// services returns the services that others hear of, nil for all.
func (r *relay) services() []cf.ServiceName {
	if r.forwarded == nil {
		return nil
	}
	return slices.AppendSeq(make([]cf.ServiceName, 0, len(r.forwarded)), maps.Keys(r.forwarded))
}

// sumOver returns the sum of the targets of services, of all if that is nil.
func (r *relay) sumOver(services []cf.ServiceName) uint64 {
	sum := uint64(0)
	if services == nil {
		for _, s := range r.sums {
			sum ^= s
		}
	}
	for _, s := range services {
		sum ^= r.sums[s]
	}
	return sum
}

// forward takes the services to which a new configuration lets requests go. The targets
// of those that were not told of before are told with the next change.
func (s *Site) forward(services map[cf.ServiceName]bool) {
	before := s.relay.forwarded
	s.relay.forwarded = services
	if before == nil {
		return // they were told of all
	}
	for service := range services {
		if before[service] {
			continue
		}
		for _, t := range s.sorted(maps.Keys(s.services[service])) {
			s.relay.note(service, t.ID)
		}
	}
}

// sumOf returns a target's part of its service's sum.
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

// TargetUpdates returns the count of the changes that other instances must hear of, and
// a channel that is closed at the next one.
func (s *Site) TargetUpdates() (int64, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.relay.count, s.relay.next
}

// Checksum identifies the targets in the view that others hear of: equal sums mean equal
// targets.
func (s *Site) Checksum() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.relay.sumOver(s.relay.services())
}

// TargetUpdateSince returns what has changed since the count of an earlier answer.
func (s *Site) TargetUpdateSince(count int64) TargetUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids, known := s.relay.log.Since(count)
	if !known || count > s.relay.count {
		return s.whole()
	}
	n := s.news()
	for _, id := range ids {
		if e, up := s.targets[id]; up && s.relay.tells(e.target.Service) {
			n.Targets = append(n.Targets, withoutWeights(e.target))
		} else {
			n.Removed = append(n.Removed, id)
		}
	}
	return n
}

// FullTargetUpdate returns the whole view, for an instance that has heard nothing from
// this one. One whose own view has the same sum already needs no list.
func (s *Site) FullTargetUpdate(sum uint64) TargetUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if n := s.news(); sum == n.Checksum {
		return n
	}
	return s.whole()
}

func (s *Site) news() TargetUpdate {
	services := s.relay.services()
	return TargetUpdate{Count: s.relay.count, Rev: s.at, Services: services, Checksum: s.relay.sumOver(services)}
}

func (s *Site) whole() TargetUpdate {
	n := s.news()
	n.Full = true
	for _, service := range s.told() {
		for _, t := range s.sorted(maps.Keys(s.services[service])) {
			n.Targets = append(n.Targets, withoutWeights(t))
		}
	}
	return n
}

// told returns the services whose targets others hear of.
func (s *Site) told() []cf.ServiceName {
	if s.relay.forwarded != nil {
		return s.relay.services()
	}
	return slices.Sorted(maps.Keys(s.services))
}

func withoutWeights(t cf.Target) cf.Target {
	t.Models = nil
	return t
}

// DropUnrelayed drops the targets of services that others do not tell of, for an instance that has
// watched the store for a while and is told from now on: nothing would keep them current. It
// returns how many.
func (s *Site) DropUnrelayed() (dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.targets {
		if !s.relay.tells(e.target.Service) {
			s.remove(id)
			dropped++
		}
	}
	if dropped > 0 {
		s.notify()
	}
	return dropped
}

// ApplyTargetUpdate takes news of an instance that watches the store, or has them from one that
// does, unless they are older than the view. It returns false if the view then differs
// from the sender's, which must send all of it.
func (s *Site) ApplyTargetUpdate(n TargetUpdate, now cf.Millis) (same bool) {
	if n.Full {
		s.ReplaceTargets(n.Targets, n.Rev, now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Rev < s.at {
		return true // this instance has watched the store itself
	}
	if !n.Full {
		for _, t := range n.Targets {
			s.put(entry{target: t, rev: n.Rev})
		}
		for _, id := range n.Removed {
			if _, known := s.targets[id]; known {
				s.remove(id)
			}
		}
		s.at = n.Rev
	}
	if s.relay.pending {
		s.notify()
		s.relay.notify()
	}
	return s.relay.sumOver(n.Services) == n.Checksum
}
