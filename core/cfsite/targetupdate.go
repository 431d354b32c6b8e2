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
	// relay holds the part of the view that other instances receive: the targets of the services to
	// which they forward requests. It excludes targets that only the coordinator uses, and the
	// weights of targets. The updates that an instance receives, and the targets that it stores,
	// therefore depend on the services that it forwards to and not on the number of engines.
	relay struct {
		// count is the number of changes; changed is closed at the next one.
		count   int64
		changed chan struct{}
		log     cfchange.Log[cf.InstanceID]
		// pending reports that a target has changed since count was last increased.
		pending bool
		// forwarded holds the services that requests are forwarded to. It is nil before a
		// configuration is known; all services are then included.
		forwarded map[cf.ServiceName]bool
		// checksums identify the targets of each service, regardless of their order.
		checksums map[cf.ServiceName]uint64
	}

	// TargetUpdate contains the changes of the view of targets, or the full view.
	TargetUpdate struct {
		Count int64       `cbor:"count"` // change count as of this update
		Rev   cf.Revision `cbor:"at"`
		// Services are those whose targets are included, nil for all. Checksum is that of their
		// targets after the update.
		Services []cf.ServiceName `cbor:"services"`
		Checksum uint64           `cbor:"sum"`
		Full     bool             `cbor:"whole,omitempty"`
		Targets  []cf.Target      `cbor:"targets,omitempty"`
		Removed  []cf.InstanceID  `cbor:"gone,omitempty"`
	}
)

func newRelay() relay {
	return relay{changed: make(chan struct{}), checksums: map[cf.ServiceName]uint64{}}
}

func (r *relay) notify() {
	r.count++
	r.pending = false
	close(r.changed)
	r.changed = make(chan struct{})
}

// flush notifies if a target has changed that other instances receive.
func (r *relay) flush() {
	if r.pending {
		r.notify()
	}
}

// sends reports whether other instances receive the targets of a service.
func (r *relay) sends(service cf.ServiceName) bool { return r.forwarded == nil || r.forwarded[service] }

// noteChange records that a target is part of the next notified change.
func (r *relay) noteChange(service cf.ServiceName, id cf.InstanceID) {
	if r.sends(service) {
		r.log.Append(r.count+1, id)
		r.pending = true
	}
}

// services returns the services whose targets other instances receive, nil for all.
func (r *relay) services() []cf.ServiceName {
	if r.forwarded == nil {
		return nil
	}
	return slices.AppendSeq(make([]cf.ServiceName, 0, len(r.forwarded)), maps.Keys(r.forwarded))
}

// checksum returns the checksum of the targets of services, or of all targets if services is nil.
func (r *relay) checksum(services []cf.ServiceName) uint64 {
	sum := uint64(0)
	if services == nil {
		for _, s := range r.checksums {
			sum ^= s
		}
	}
	for _, s := range services {
		sum ^= r.checksums[s]
	}
	return sum
}

// setForwarded sets the services that requests are forwarded to under a new configuration. The
// targets of services that were not included before become part of the next change. s.mu is held.
func (s *Site) setForwarded(services map[cf.ServiceName]bool) {
	previous := s.relay.forwarded
	s.relay.forwarded = services
	if previous == nil {
		return // all targets were included
	}
	for service := range services {
		if previous[service] {
			continue
		}
		for _, t := range s.sortedTargets(maps.Keys(s.serviceTargets[service])) {
			s.relay.noteChange(service, t.ID)
		}
	}
}

// targetChecksum returns a target's contribution to the checksum of its service.
func targetChecksum(t cf.Target) uint64 {
	h := fnv.New64a()
	for _, s := range []string{string(t.ID), string(t.Service), t.Addr, string(t.Domain)} {
		_, _ = h.Write([]byte(s)) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte{0})
	}
	draining := uint64(0)
	if t.Draining {
		draining = 1
	}
	_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(t.Slots)<<1|draining))
	return h.Sum64()
}

// TargetUpdates returns the number of changes that concern other instances, and a channel that is
// closed at the next one.
func (s *Site) TargetUpdates() (int64, <-chan struct{}) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.relay.count, s.relay.changed
}

// Checksum identifies the targets that other instances receive from this view: equal checksums mean
// equal targets.
func (s *Site) Checksum() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.relay.checksum(s.relay.services())
}

// TargetUpdateSince returns the changes since the count of an earlier update, or the full view if
// they are no longer recorded.
func (s *Site) TargetUpdateSince(count int64) TargetUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	ids, known := s.relay.log.Since(count)
	if !known || count > s.relay.count {
		return s.fullUpdate()
	}
	u := s.newUpdate()
	for _, id := range ids {
		if e, present := s.targets[id]; present && s.relay.sends(e.target.Service) {
			u.Targets = append(u.Targets, withoutWeights(e.target))
		} else {
			u.Removed = append(u.Removed, id)
		}
	}
	return u
}

// FullTargetUpdate returns the full view, for an instance that has received nothing from this one.
// If the instance's own view already has the same checksum, the update contains no targets.
func (s *Site) FullTargetUpdate(sum uint64) TargetUpdate {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if u := s.newUpdate(); sum == u.Checksum {
		return u
	}
	return s.fullUpdate()
}

func (s *Site) newUpdate() TargetUpdate {
	services := s.relay.services()
	return TargetUpdate{Count: s.relay.count, Rev: s.targetsRev, Services: services, Checksum: s.relay.checksum(services)}
}

func (s *Site) fullUpdate() TargetUpdate {
	u := s.newUpdate()
	u.Full = true
	for _, service := range s.relayedServices() {
		for _, t := range s.sortedTargets(maps.Keys(s.serviceTargets[service])) {
			u.Targets = append(u.Targets, withoutWeights(t))
		}
	}
	return u
}

// relayedServices returns the services whose targets other instances receive, never nil. s.mu is
// held.
func (s *Site) relayedServices() []cf.ServiceName {
	if s.relay.forwarded != nil {
		return s.relay.services()
	}
	return slices.Sorted(maps.Keys(s.serviceTargets))
}

func withoutWeights(t cf.Target) cf.Target {
	t.Models = nil
	return t
}

// DropUnrelayed removes the targets of services that other instances do not send updates for. It is
// for an instance that has watched the store for a while and receives updates from now on, since
// nothing would keep these targets current. It returns the number of removed targets.
func (s *Site) DropUnrelayed() (dropped int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.targets {
		if !s.relay.sends(e.target.Service) {
			s.removeTarget(id)
			dropped++
		}
	}
	if dropped > 0 {
		s.notify()
	}
	return dropped
}

// ApplyTargetUpdate applies an update from an instance that watches the store, or that received it
// from one that does, unless the update is older than the view. It returns false if the view then
// differs from the sender's; the sender must then send the full view. What vanishes is not kept: the
// sender keeps it, and sends it, if it may have lapsed in an outage.
func (s *Site) ApplyTargetUpdate(u TargetUpdate) (same bool) {
	if u.Full {
		s.replaceTargets(u.Targets, u.Rev, func(targetEntry) bool { return false })
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Rev < s.targetsRev {
		return true // this instance has read newer targets from the store
	}
	if !u.Full {
		for _, t := range u.Targets {
			s.putTarget(targetEntry{target: t, rev: u.Rev, written: s.targets[t.ID].written})
		}
		for _, id := range u.Removed {
			if _, known := s.targets[id]; known {
				s.removeTarget(id)
			}
		}
		s.targetsRev = u.Rev
	}
	if s.relay.pending {
		s.notify()
		s.relay.notify()
	}
	return s.relay.checksum(u.Services) == u.Checksum
}
