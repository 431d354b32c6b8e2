package cfsite

import (
	"errors"
	"slices"
	"sync"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/core/cfpatch"
)

const (
	// maxConfigs is how many configurations are kept, including the one in force: an instance that
	// has one of them receives a patch against it.
	maxConfigs = 4
	// maxPartBytes is the most bytes of a configuration update in one answer: an instance with low
	// bandwidth must be able to send the answers to all instances that ask it within the time of a
	// call.
	maxPartBytes = 32 << 10
	// maxConfigBytes bounds the size of a configuration; the store's objects are smaller.
	maxConfigBytes = 16 << 20
)

type (
	// ConfigState tells which configurations an instance has: the one in force, and the received
	// part of the next one.
	ConfigState struct {
		// Rev is the revision of the configuration in force, zero if there is none or if an update
		// can't be applied to it.
		Rev cf.Revision `cbor:"rev"`
		// Next, Base and Bytes are the revision, the base and the received bytes of a partially
		// received update. Next is zero if there is none.
		Next  cf.Revision `cbor:"next,omitempty"`
		Base  cf.Revision `cbor:"base,omitempty"`
		Bytes int         `cbor:"bytes,omitempty"`
	}

	// ConfigUpdate is a part of an update that takes an instance to another configuration.
	ConfigUpdate struct {
		Name string      `cbor:"name"`
		Rev  cf.Revision `cbor:"rev"`
		// Base is the configuration that the update applies to, which the recipient has; zero if
		// the update is complete by itself.
		Base cf.Revision `cbor:"base,omitempty"`
		// Data is the part that begins at Offset in the update of Size bytes.
		Data   []byte `cbor:"packed"`
		Offset int    `cbor:"at,omitempty"`
		Size   int    `cbor:"size"`
		// Latest reports that there is no newer configuration.
		Latest bool `cbor:"newest,omitempty"`
	}

	// configSource creates updates to the configurations in force. It is safe for concurrent use.
	//
	// It is built for a configuration of a thousand routes that changes several times a second,
	// with a hundred instances that ask at once. Each instance receives a patch against the
	// configuration that it has, which is computed once for all of them, and resumes a partially
	// received update.
	configSource struct {
		mu sync.Mutex
		// records holds the last configurations in force, the newest last.
		records []cf.Record
		patches map[updateKey][]byte
	}

	updateKey struct{ base, rev cf.Revision }

	// partialUpdate is the received part of an update.
	partialUpdate struct {
		updateKey
		data []byte
	}
)

// ErrUpdateRejected is returned if a part of an update does not follow the received part, or if its
// configuration may not come into force.
var ErrUpdateRejected = errors.New("configuration update rejected")

// add records a configuration that has come into force.
func (c *configSource) add(r cf.Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records) == maxConfigs {
		oldest := c.records[0].Rev
		c.records = slices.Clone(c.records[1:])
		for k := range c.patches {
			if k.rev == oldest || k.base == oldest {
				delete(c.patches, k)
			}
		}
	}
	c.records = append(c.records, r)
}

// record returns a configuration that is still kept. c.mu is held.
func (c *configSource) record(rev cf.Revision) (cf.Record, bool) {
	i := slices.IndexFunc(c.records, func(r cf.Record) bool { return r.Rev == rev })
	if i < 0 {
		return cf.Record{}, false
	}
	return c.records[i], true
}

// next returns the next part of an update for an instance, or nil if it has the newest
// configuration.
func (c *configSource) next(state ConfigState) (*ConfigUpdate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.records) == 0 {
		return nil, nil
	}
	newest := c.records[len(c.records)-1]
	if state.Rev >= newest.Rev {
		return nil, nil
	}
	// An update in progress is completed first: if each newer configuration replaced it, an
	// instance on a slow link would never complete any.
	k, offset := updateKey{state.Base, state.Next}, state.Bytes
	data, inProgress := c.patches[k]
	if !inProgress || k.rev <= state.Rev || k.base != 0 && k.base != state.Rev || offset <= 0 || offset >= len(data) {
		var err error
		if k, offset = (updateKey{state.Rev, newest.Rev}), 0; k.base != 0 {
			if _, known := c.record(k.base); !known {
				k.base = 0
			}
		}
		if data, err = c.patch(k); err != nil {
			return nil, err
		}
	}
	r, _ := c.record(k.rev)
	return &ConfigUpdate{
		Name: r.Name, Rev: k.rev, Base: k.base, Data: data[offset:min(offset+maxPartBytes, len(data))], Offset: offset, Size: len(data),
		Latest: k.rev == newest.Rev,
	}, nil
}

// patch returns the data of an update, which is computed once. c.mu is held.
func (c *configSource) patch(k updateKey) ([]byte, error) {
	if data, known := c.patches[k]; known {
		return data, nil
	}
	base, _ := c.record(k.base)
	r, _ := c.record(k.rev)
	data, err := cfpatch.Pack(base.Spec, r.Spec)
	if err != nil {
		return nil, eris.Wrapf(err, "configuration at %d", k.rev)
	}
	if c.patches == nil {
		c.patches = map[updateKey][]byte{}
	}
	c.patches[k] = data
	return data, nil
}

// ConfigUpdate returns the next part of the configuration update for an instance, or nil if it has
// the configuration in force here.
func (s *Site) ConfigUpdate(held ConfigState) (*ConfigUpdate, error) { return s.configs.next(held) }

// ConfigState returns which configurations this instance has.
func (s *Site) ConfigState() ConfigState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	state := ConfigState{Rev: s.configRecord.Rev}
	if s.needFullConfig {
		state.Rev = 0
	}
	if p := s.partialConfig; len(p.data) > 0 {
		state.Next, state.Base, state.Bytes = p.rev, p.base, len(p.data)
	}
	return state
}

// ApplyConfigUpdate adds a part of a configuration update. Once the update is complete, it puts the
// configuration in force, unless a newer one is. It returns whether a configuration has come into
// force. An update that can't be applied is an error; after a damaged one the full configuration is
// requested.
func (s *Site) ApplyConfigUpdate(u ConfigUpdate) (bool, error) {
	r, complete, err := s.addConfigPart(u)
	if err != nil || !complete {
		return false, err
	}
	changed, err := s.ApplyConfig(r)
	if err == nil && s.ConfigRecord().Rev < u.Rev {
		err = eris.Wrapf(ErrUpdateRejected, "revision %d has an older version", u.Rev)
	}
	return changed, err
}

// addConfigPart adds a part to the received part of an update. It returns the configuration if the
// update is complete.
func (s *Site) addConfigPart(u ConfigUpdate) (r cf.Record, complete bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Rev <= s.configRecord.Rev {
		s.partialConfig, s.needFullConfig = partialUpdate{}, false
		return cf.Record{}, false, nil // this instance has read the newer configuration from the store
	}
	if u.Base != 0 && u.Base != s.configRecord.Rev {
		s.partialConfig = partialUpdate{}
		return cf.Record{}, false, nil // the configuration in force has changed since this instance asked
	}
	k := updateKey{u.Base, u.Rev}
	if u.Offset == 0 {
		s.partialConfig = partialUpdate{updateKey: k}
	}
	if k != s.partialConfig.updateKey || u.Offset != len(s.partialConfig.data) || len(u.Data) == 0 {
		s.partialConfig = partialUpdate{}
		return cf.Record{}, false, eris.Wrapf(ErrUpdateRejected, "%d bytes at offset %d of the update from revision %d to %d", len(u.Data), u.Offset, u.Base, u.Rev)
	}
	s.partialConfig.data = append(s.partialConfig.data, u.Data...)
	if len(s.partialConfig.data) < u.Size {
		return cf.Record{}, false, nil
	}
	data := s.partialConfig.data
	s.partialConfig = partialUpdate{}
	var base []byte
	if u.Base != 0 {
		base = s.configRecord.Spec
	}
	spec, err := cfpatch.Unpack(base, data, maxConfigBytes)
	s.needFullConfig = err != nil
	if err != nil {
		return cf.Record{}, false, eris.Wrapf(err, "configuration at revision %d from base revision %d", u.Rev, u.Base)
	}
	return cf.Record{Name: u.Name, Rev: u.Rev, Spec: spec}, true, nil
}
