package cfsite

import (
	"iter"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync"

	cf "currantford"
	"currantford/core/cfchange"
)

// Site is an instance's view of its site. It is safe for concurrent use.
type Site struct {
	codec Codec

	mu       sync.RWMutex
	config   *Config
	configAt cf.Record
	targets  map[cf.InstanceID]entry
	at       cf.Revision
	versions map[cf.ModelName]cf.WeightVersion
	changed  chan struct{}
	changes  int64
	// grace is until when an entry that vanishes is kept as lapsed.
	grace cf.Millis
	relay relay
	// teller makes news of the configuration for other instances; arriving is what has come
	// of such news, and wholeConfig that they can't be taken as changes.
	teller      configTeller
	arriving    partNews
	wholeConfig bool
	// log tells which targets the last changes concern.
	log cfchange.Log[cf.InstanceID]
	// services are the ids of the targets of each service, usable the lists of
	// Usable that were asked for since a target of the service changed.
	services map[cf.ServiceName]map[cf.InstanceID]bool
	usable   map[cf.ServiceName][]cf.Target
}

type entry struct {
	target cf.Target
	rev    cf.Revision
	lapsed bool
	// sum is the target's part of its service's sum.
	sum uint64
}

// Delta is what has changed in the view of targets since an earlier count of changes.
type Delta struct {
	Count int64 // of the changes, as of this
	// Full says that Targets are all that there are.
	Full    bool
	Targets []cf.Target
	Removed []cf.InstanceID
}

// lapseGrace is how long after the store's return an entry may be missing:
// entries lapse while the store is away, and targets that live are listed
// again within two seconds. Dropping them at once would leave a service
// without targets just after each outage.
const lapseGrace cf.Millis = 2200

// New returns a view that knows nothing.
func New(codec Codec) *Site {
	return &Site{
		codec: codec, targets: map[cf.InstanceID]entry{}, versions: map[cf.ModelName]cf.WeightVersion{},
		changed: make(chan struct{}), relay: newRelay(),
		services: map[cf.ServiceName]map[cf.InstanceID]bool{}, usable: map[cf.ServiceName][]cf.Target{},
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Site) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Changes counts the changes of the view; equal counts mean equal views.
func (s *Site) Changes() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changes
}

func (s *Site) notify() {
	s.changes++
	close(s.changed)
	s.changed = make(chan struct{})
}

// put takes a target into the view, and into the relay if others must hear of
// its change.
func (s *Site) put(e entry) {
	id, service := e.target.ID, e.target.Service
	old, known := s.targets[id]
	e.sum = sumOf(e.target)
	s.targets[id] = e
	if known && old.target.Service != service {
		s.leave(old)
	}
	if known && old.sum == e.sum && reflect.DeepEqual(old.target, e.target) {
		return
	}
	s.log.Append(s.changes+1, id)
	if known && old.sum == e.sum {
		return // its weights alone
	}
	if s.services[service] == nil {
		s.services[service] = map[cf.InstanceID]bool{}
	}
	s.services[service][id] = true
	delete(s.usable, service)
	if known && old.target.Service == service {
		s.relay.sums[service] ^= old.sum
	}
	s.relay.sums[service] ^= e.sum
	s.relay.note(service, id)
}

// remove takes a target out of the view.
func (s *Site) remove(id cf.InstanceID) {
	old := s.targets[id]
	delete(s.targets, id)
	s.leave(old)
	s.log.Append(s.changes+1, id)
}

// leave takes a target out of its service.
func (s *Site) leave(e entry) {
	service := e.target.Service
	delete(s.services[service], e.target.ID)
	delete(s.usable, service)
	s.relay.sums[service] ^= e.sum
	s.relay.note(service, e.target.ID)
}

// StoreReconnected records that the store answers again after it did not.
func (s *Site) StoreReconnected(now cf.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grace = now + lapseGrace
}

// DropLapsed drops the entries that lapsed and did not come back. It returns them.
func (s *Site) DropLapsed(now cf.Millis) []cf.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.grace {
		return nil
	}
	var gone []cf.Target
	for id, e := range s.targets {
		if e.lapsed {
			gone = append(gone, e.target)
			s.remove(id)
		}
	}
	if len(gone) > 0 {
		s.notify()
		s.relay.flush()
	}
	return gone
}

// lapse says whether a vanished entry is kept for now.
func (s *Site) lapse(e entry, now cf.Millis) bool {
	return now < s.grace && !e.target.Draining
}

// Config returns the configuration in force, nil before any is known.
func (s *Site) Config() *Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config
}

// ConfigRecord returns the record that the configuration in force came from.
func (s *Site) ConfigRecord() cf.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configAt
}

// ApplyConfig takes a configuration unless a newer one is in force. Without
// this check a stale list or a late relay would bring an old configuration
// back, and callers would see dropped routes answer again.
func (s *Site) ApplyConfig(r cf.Record) (bool, error) {
	s.mu.RLock()
	known := s.configAt.Rev
	s.mu.RUnlock()
	if r.Deleted || r.Rev <= known {
		return false, nil
	}
	c, err := s.codec.Config(r)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.config == nil:
	case r.Rev <= s.configAt.Rev || c.Version < s.config.Version:
		return false, nil
	case c.Version == s.config.Version:
		s.configAt = r // written once more
		s.teller.note(r)
		return false, nil
	}
	if err := c.directed(s.config); err != nil {
		return false, err // as a whole: the one in force goes on
	}
	s.config, s.configAt = &c, r
	s.teller.note(r)
	s.forward(c.ForwardedServices())
	s.notify()
	s.relay.notify()
	return true, nil
}

// ApplyTarget takes one change of the instance list. It returns the target
// and whether the view changed. Records older than the one held are ignored.
func (s *Site) ApplyTarget(r cf.Record, now cf.Millis) (cf.Target, bool, error) {
	id := cf.InstanceID(r.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.targets[id]
	if known && r.Rev < old.rev {
		return cf.Target{}, false, nil
	}
	if r.Deleted {
		// A relayed list, or an event from before, must not bring it back.
		s.at = max(s.at, r.Rev)
		if !known {
			return old.target, false, nil
		}
		if s.lapse(old, now) {
			old.lapsed = true
			s.targets[id] = old
			return old.target, false, nil
		}
		s.remove(id)
		s.notify()
		s.relay.flush()
		return old.target, true, nil
	}
	t, err := s.codec.Target(r)
	if err != nil {
		// What can't be read names no target, whatever stood there before.
		s.at = max(s.at, r.Rev)
		if known {
			s.remove(id)
			s.notify()
			s.relay.flush()
		}
		return old.target, known, err
	}
	if r.Rev < s.at && !known {
		// Gone since: a later list did not hold it.
		return t, false, nil
	}
	if known && !old.lapsed && reflect.DeepEqual(old.target, t) {
		old.rev = r.Rev
		s.targets[id] = old
		return t, false, nil // a heartbeat alone
	}
	s.put(entry{target: t, rev: r.Rev})
	s.notify()
	s.relay.flush()
	return t, true, nil
}

// ReplaceTargets takes a whole list of targets as of a revision. A list that
// is older than the view is ignored. It returns the targets that are gone.
func (s *Site) ReplaceTargets(list []cf.Target, at cf.Revision, now cf.Millis) (gone []cf.Target, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at < s.at {
		return nil, false
	}
	listed := make(map[cf.InstanceID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if old, ok := s.targets[t.ID]; !ok || old.rev <= at {
			s.put(entry{target: t, rev: at})
		}
	}
	for id, old := range s.targets {
		if listed[id] {
			continue
		}
		if s.lapse(old, now) {
			old.lapsed = true
			s.targets[id] = old
			continue
		}
		gone = append(gone, old.target)
		s.remove(id)
	}
	s.at = at
	s.notify()
	s.relay.flush()
	return gone, true
}

// Advance records that the view of targets is current as of a revision.
func (s *Site) Advance(at cf.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at = max(s.at, at)
}

// TargetsRevision returns the revision as of which the view of targets is current.
func (s *Site) TargetsRevision() cf.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.at
}

// Targets returns all targets, sorted by id.
func (s *Site) Targets() []cf.Target {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sorted(maps.Keys(s.targets))
}

// sorted returns the targets with these ids, sorted by id. s.mu is held.
func (s *Site) sorted(ids iter.Seq[cf.InstanceID]) []cf.Target {
	out := []cf.Target{}
	for id := range ids {
		out = append(out, s.targets[id].target)
	}
	slices.SortFunc(out, func(a, b cf.Target) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// TargetsSince returns what has changed in the view of targets since the count of an earlier
// answer; of a view that was never asked for, all of it. Its cost is that of the changes.
func (s *Site) TargetsSince(count int64) Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	d := Delta{Count: s.changes}
	ids, known := s.log.Since(count)
	if count <= 0 || !known {
		d.Full = true
		d.Targets = s.sorted(maps.Keys(s.targets))
		return d
	}
	for _, id := range ids {
		if e, up := s.targets[id]; up {
			d.Targets = append(d.Targets, e.target)
		} else {
			d.Removed = append(d.Removed, id)
		}
	}
	return d
}

// Usable returns the targets of a service that take new work, sorted by id. The list
// is kept until one of them changes, and not to be changed.
func (s *Site) Usable(service cf.ServiceName) []cf.Target {
	s.mu.RLock()
	out, known := s.usable[service]
	s.mu.RUnlock()
	if known {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out = slices.DeleteFunc(s.sorted(maps.Keys(s.services[service])), func(t cf.Target) bool { return t.Draining })
	s.usable[service] = out
	return out
}

// Target returns a target by its instance id.
func (s *Site) Target(id cf.InstanceID) (cf.Target, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	e, ok := s.targets[id]
	return e.target, ok
}

// ApplyWeightVersion takes a version that a trainer has named; versions only rise.
func (s *Site) ApplyWeightVersion(r cf.Record) (bool, error) {
	if r.Deleted {
		return false, nil
	}
	m, err := s.codec.Version(r)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Version <= s.versions[m.Name] {
		return false, nil
	}
	s.versions[m.Name] = m.Version
	s.notify()
	return true, nil
}

// WeightVersion returns the newest version that a trainer has named for a model,
// or 1, the version that targets start with.
func (s *Site) WeightVersion(m cf.ModelName) cf.WeightVersion {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return max(s.versions[m], 1)
}
