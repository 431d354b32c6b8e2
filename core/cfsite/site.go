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

	mu           sync.RWMutex
	config       *Config
	configRecord cf.Record
	targets      map[cf.InstanceID]targetEntry
	targetsRev   cf.Revision
	versions     map[cf.ModelName]cf.WeightVersion
	changed      chan struct{}
	changes      int64
	// graceUntil is until when an entry that vanishes is kept as lapsed.
	graceUntil cf.Millis
	relay      relay
	// configs makes news of the configuration for other instances; arriving is what has come
	// of such news, and wholeConfig that they can't be taken as changes.
	configs        configSource
	partialConfig  partialUpdate
	needFullConfig bool
	// changeLog tells which targets the last changes concern.
	changeLog cfchange.Log[cf.InstanceID]
	// targetsOf are the ids of the targets of each service, usable the lists of
	// Usable that were asked for since a target of the service changed.
	targetsOf map[cf.ServiceName]map[cf.InstanceID]bool
	usable    map[cf.ServiceName][]cf.Target
}

type targetEntry struct {
	target cf.Target
	rev    cf.Revision
	lapsed bool
	// checksum is the target's part of its service's sum.
	checksum uint64
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
		codec: codec, targets: map[cf.InstanceID]targetEntry{}, versions: map[cf.ModelName]cf.WeightVersion{},
		changed: make(chan struct{}), relay: newRelay(),
		targetsOf: map[cf.ServiceName]map[cf.InstanceID]bool{}, usable: map[cf.ServiceName][]cf.Target{},
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

// putTarget takes a target into the view, and into the relay if others must hear of
// its change.
func (s *Site) putTarget(e targetEntry) {
	id, service := e.target.ID, e.target.Service
	old, known := s.targets[id]
	e.checksum = targetChecksum(e.target)
	s.targets[id] = e
	if known && old.target.Service != service {
		s.leaveService(old)
	}
	if known && old.checksum == e.checksum && reflect.DeepEqual(old.target, e.target) {
		return
	}
	s.changeLog.Append(s.changes+1, id)
	if known && old.checksum == e.checksum {
		return // its weights alone
	}
	if s.targetsOf[service] == nil {
		s.targetsOf[service] = map[cf.InstanceID]bool{}
	}
	s.targetsOf[service][id] = true
	delete(s.usable, service)
	if known && old.target.Service == service {
		s.relay.checksums[service] ^= old.checksum
	}
	s.relay.checksums[service] ^= e.checksum
	s.relay.noteChange(service, id)
}

// removeTarget takes a target out of the view.
func (s *Site) removeTarget(id cf.InstanceID) {
	old := s.targets[id]
	delete(s.targets, id)
	s.leaveService(old)
	s.changeLog.Append(s.changes+1, id)
}

// leaveService takes a target out of its service.
func (s *Site) leaveService(e targetEntry) {
	service := e.target.Service
	delete(s.targetsOf[service], e.target.ID)
	delete(s.usable, service)
	s.relay.checksums[service] ^= e.checksum
	s.relay.noteChange(service, e.target.ID)
}

// StoreReconnected records that the store answers again after it did not.
func (s *Site) StoreReconnected(now cf.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.graceUntil = now + lapseGrace
}

// DropLapsed drops the entries that lapsed and did not come back. It returns them.
func (s *Site) DropLapsed(now cf.Millis) []cf.Target {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now < s.graceUntil {
		return nil
	}
	var removed []cf.Target
	for id, e := range s.targets {
		if e.lapsed {
			removed = append(removed, e.target)
			s.removeTarget(id)
		}
	}
	if len(removed) > 0 {
		s.notify()
		s.relay.flush()
	}
	return removed
}

// keepLapsed says whether a vanished entry is kept for now.
func (s *Site) keepLapsed(e targetEntry, now cf.Millis) bool {
	return now < s.graceUntil && !e.target.Draining
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
	return s.configRecord
}

// ApplyConfig takes a configuration unless a newer one is in force. Without
// this check a stale list or a late relay would bring an old configuration
// back, and callers would see dropped routes answer again.
func (s *Site) ApplyConfig(r cf.Record) (bool, error) {
	s.mu.RLock()
	known := s.configRecord.Rev
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
	case r.Rev <= s.configRecord.Rev || c.Version < s.config.Version:
		return false, nil
	case c.Version == s.config.Version:
		s.configRecord = r // written once more
		s.configs.add(r)
		return false, nil
	}
	if err := c.setDirectory(s.config); err != nil {
		return false, err // as a whole: the one in force goes on
	}
	s.config, s.configRecord = &c, r
	s.configs.add(r)
	s.setForwarded(c.ForwardedServices())
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
		s.targetsRev = max(s.targetsRev, r.Rev)
		if !known {
			return old.target, false, nil
		}
		if s.keepLapsed(old, now) {
			old.lapsed = true
			s.targets[id] = old
			return old.target, false, nil
		}
		s.removeTarget(id)
		s.notify()
		s.relay.flush()
		return old.target, true, nil
	}
	t, err := s.codec.Target(r)
	if err != nil {
		// What can't be read names no target, whatever stood there before.
		s.targetsRev = max(s.targetsRev, r.Rev)
		if known {
			s.removeTarget(id)
			s.notify()
			s.relay.flush()
		}
		return old.target, known, err
	}
	if r.Rev < s.targetsRev && !known {
		// Gone since: a later list did not hold it.
		return t, false, nil
	}
	if known && !old.lapsed && reflect.DeepEqual(old.target, t) {
		old.rev = r.Rev
		s.targets[id] = old
		return t, false, nil // a heartbeat alone
	}
	s.putTarget(targetEntry{target: t, rev: r.Rev})
	s.notify()
	s.relay.flush()
	return t, true, nil
}

// ReplaceTargets takes a whole list of targets as of a revision. A list that
// is older than the view is ignored. It returns the targets that are gone.
func (s *Site) ReplaceTargets(list []cf.Target, rev cf.Revision, now cf.Millis) (removed []cf.Target, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.targetsRev {
		return nil, false
	}
	listed := make(map[cf.InstanceID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if old, ok := s.targets[t.ID]; !ok || old.rev <= rev {
			s.putTarget(targetEntry{target: t, rev: rev})
		}
	}
	for id, old := range s.targets {
		if listed[id] {
			continue
		}
		if s.keepLapsed(old, now) {
			old.lapsed = true
			s.targets[id] = old
			continue
		}
		removed = append(removed, old.target)
		s.removeTarget(id)
	}
	s.targetsRev = rev
	s.notify()
	s.relay.flush()
	return removed, true
}

// Advance records that the view of targets is current as of a revision.
func (s *Site) Advance(rev cf.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targetsRev = max(s.targetsRev, rev)
}

// TargetsRevision returns the revision as of which the view of targets is current.
func (s *Site) TargetsRevision() cf.Revision {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.targetsRev
}

// Targets returns all targets, sorted by id.
func (s *Site) Targets() []cf.Target {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.sortedTargets(maps.Keys(s.targets))
}

// sortedTargets returns the targets with these ids, sorted by id. s.mu is held.
func (s *Site) sortedTargets(ids iter.Seq[cf.InstanceID]) []cf.Target {
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
	ids, known := s.changeLog.Since(count)
	if count <= 0 || !known {
		d.Full = true
		d.Targets = s.sortedTargets(maps.Keys(s.targets))
		return d
	}
	for _, id := range ids {
		if e, present := s.targets[id]; present {
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
	out = slices.DeleteFunc(s.sortedTargets(maps.Keys(s.targetsOf[service])), func(t cf.Target) bool { return t.Draining })
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
