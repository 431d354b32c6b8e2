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
	outages      outages
	relay        relay
	// configs creates configuration updates for other instances. partialConfig is the received part
	// of such an update. needFullConfig is set when updates against the configuration in force
	// can't be applied, so that the full one is requested.
	configs        configSource
	partialConfig  partialUpdate
	needFullConfig bool
	// changeLog records which targets the last changes concern.
	changeLog cfchange.Log[cf.InstanceID]
	// serviceTargets holds the ids of the targets of each service. usable caches the results of
	// Usable until a target of the service changes.
	serviceTargets map[cf.ServiceName]map[cf.InstanceID]bool
	usable         map[cf.ServiceName][]cf.Target
}

type targetEntry struct {
	target cf.Target
	rev    cf.Revision
	// written is the revision at which the target itself was last seen to write its entry.
	written cf.Revision
	// lapsed is set while the entry is missing from the store and kept.
	lapsed bool
	// checksum is the target's contribution to the checksum of its service.
	checksum uint64
}

// Delta lists what has changed in the view of targets since an earlier change count.
type Delta struct {
	Count int64 // change count as of this delta
	// Full reports that Targets is the complete list.
	Full    bool
	Targets []cf.Target
	Removed []cf.InstanceID
}

// defaultHeartbeat is the interval between a target's heartbeats unless SetHeartbeat states another.
const defaultHeartbeat cf.Millis = 1200

// New returns an empty view.
func New(codec Codec) *Site {
	return &Site{
		codec: codec, targets: map[cf.InstanceID]targetEntry{}, versions: map[cf.ModelName]cf.WeightVersion{},
		changed: make(chan struct{}), relay: newRelay(), outages: outages{shortest: defaultHeartbeat},
		serviceTargets: map[cf.ServiceName]map[cf.InstanceID]bool{}, usable: map[cf.ServiceName][]cf.Target{},
	}
}

// Changed returns a channel that is closed at the next change.
func (s *Site) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// Changes returns the number of changes of the view; equal counts mean equal views.
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

// putTarget stores a target in the view, and in the relay if the change concerns other instances.
// s.mu is held.
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
		return // only the weights changed
	}
	if s.serviceTargets[service] == nil {
		s.serviceTargets[service] = map[cf.InstanceID]bool{}
	}
	s.serviceTargets[service][id] = true
	delete(s.usable, service)
	if known && old.target.Service == service {
		s.relay.checksums[service] ^= old.checksum
	}
	s.relay.checksums[service] ^= e.checksum
	s.relay.noteChange(service, id)
}

// removeTarget removes a target from the view. s.mu is held.
func (s *Site) removeTarget(id cf.InstanceID) {
	old := s.targets[id]
	delete(s.targets, id)
	s.leaveService(old)
	s.changeLog.Append(s.changes+1, id)
}

// leaveService removes a target from its service. s.mu is held.
func (s *Site) leaveService(e targetEntry) {
	service := e.target.Service
	delete(s.serviceTargets[service], e.target.ID)
	delete(s.usable, service)
	s.relay.checksums[service] ^= e.checksum
	s.relay.noteChange(service, e.target.ID)
}

// SetHeartbeat sets the interval between a target's heartbeats. It must be called before the site is
// used.
func (s *Site) SetHeartbeat(interval cf.Millis) { s.outages.shortest = interval }

// Config returns the configuration in force, or nil if none is known yet.
func (s *Site) Config() *Config {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.config
}

// ConfigRecord returns the record of the configuration in force.
func (s *Site) ConfigRecord() cf.Record {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.configRecord
}

// ApplyConfig puts a configuration in force unless a newer one is. Without this check a stale list
// or a late relay could restore an old configuration, and callers would see removed routes answer
// again.
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
		s.configRecord = r // the same version was written again
		s.configs.add(r)
		return false, nil
	}
	if err := c.setDirectory(s.config); err != nil {
		return false, err // rejected as a whole: the current configuration stays in force
	}
	s.config, s.configRecord = &c, r
	s.configs.add(r)
	s.setForwarded(c.ForwardedServices())
	s.notify()
	s.relay.notify()
	return true, nil
}

// ApplyTarget applies one change of the instance list. It returns the target and whether the view
// changed. Records older than the known one are ignored.
func (s *Site) ApplyTarget(r cf.Record, now cf.Millis) (cf.Target, bool, error) {
	id := cf.InstanceID(r.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, known := s.targets[id]
	if known && r.Rev < old.rev {
		return cf.Target{}, false, nil
	}
	if r.Deleted {
		// Advancing the revision keeps a relayed list or an earlier event from restoring the
		// target.
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
		// A record that can't be decoded names no target, whatever the previous record contained.
		s.targetsRev = max(s.targetsRev, r.Rev)
		if known {
			s.removeTarget(id)
			s.notify()
			s.relay.flush()
		}
		return old.target, known, err
	}
	if r.Rev < s.targetsRev && !known {
		// The target was removed since: a later list did not contain it.
		return t, false, nil
	}
	if known && !old.lapsed && reflect.DeepEqual(old.target, t) {
		old.rev, old.written = r.Rev, r.Rev
		s.targets[id] = old
		return t, false, nil // only a heartbeat
	}
	s.putTarget(targetEntry{target: t, rev: r.Rev, written: r.Rev})
	s.notify()
	s.relay.flush()
	return t, true, nil
}

// ReplaceTargets applies a complete list of targets as of a revision, as read from the store. A list
// that is older than the view is ignored. It returns the targets that were removed.
func (s *Site) ReplaceTargets(list []cf.Target, rev cf.Revision, now cf.Millis) (removed []cf.Target, applied bool) {
	return s.replaceTargets(list, rev, func(e targetEntry) bool { return s.keepLapsed(e, now) })
}

// replaceTargets is ReplaceTargets with the decision whether a vanished entry is kept.
func (s *Site) replaceTargets(list []cf.Target, rev cf.Revision, keep func(targetEntry) bool) (removed []cf.Target, applied bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if rev < s.targetsRev {
		return nil, false
	}
	listed := make(map[cf.InstanceID]bool, len(list))
	for _, t := range list {
		listed[t.ID] = true
		if old, ok := s.targets[t.ID]; !ok || old.rev <= rev {
			s.putTarget(targetEntry{target: t, rev: rev, written: old.written})
		}
	}
	for id, old := range s.targets {
		if listed[id] {
			continue
		}
		if keep(old) {
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

// Advance records that the view of targets is current as of a revision of the store.
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

// TargetsSince returns the changes of the view of targets since a count that an earlier Delta
// returned, or all targets if count is zero or too old. Its cost depends on the number of changes
// only.
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

// Usable returns the targets of a service that accept new work, sorted by id. The list is cached
// until one of them changes; callers must not modify it.
func (s *Site) Usable(service cf.ServiceName) []cf.Target {
	s.mu.RLock()
	out, known := s.usable[service]
	s.mu.RUnlock()
	if known {
		return out
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out = slices.DeleteFunc(s.sortedTargets(maps.Keys(s.serviceTargets[service])), func(t cf.Target) bool { return t.Draining })
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

// ApplyWeightVersion records a weight version that a trainer has named. Versions only rise.
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

// WeightVersion returns the newest version that a trainer has named for a model, or 1, the version
// that targets start with.
func (s *Site) WeightVersion(m cf.ModelName) cf.WeightVersion {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return max(s.versions[m], 1)
}
