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
	// maxConfigs is how many configurations are remembered, the one in force among them: an
	// instance that has one of them is told what differs.
	maxConfigs = 4
	// maxPartBytes is the most of a configuration that one answer brings, in bytes: answers to
	// all that ask a weak instance must leave its link within the time of a call.
	maxPartBytes = 32 << 10
	// maxConfigBytes bounds a configuration in bytes; the store's objects are smaller.
	maxConfigBytes = 16 << 20
)

type (
	// ConfigState is what an instance has of configurations: the one in force, and the
	// begin of the next one.
	ConfigState struct {
		// Rev is that of the configuration in force, zero if none is or if the next one
		// can't be made of it.
		Rev cf.Revision `cbor:"rev"`
		// Next, Base and Bytes are that of the news of which a part has arrived, none
		// if Next is zero.
		Next  cf.Revision `cbor:"next,omitempty"`
		Base  cf.Revision `cbor:"base,omitempty"`
		Bytes int         `cbor:"bytes,omitempty"`
	}

	// ConfigUpdate is a part of what brings an instance to another configuration.
	ConfigUpdate struct {
		Name string      `cbor:"name"`
		Rev  cf.Revision `cbor:"rev"`
		// Base is the configuration that the recipient has, zero if the news is whole.
		Base cf.Revision `cbor:"base,omitempty"`
		// Data is the part that begins At bytes into the news of Size bytes.
		Data   []byte `cbor:"packed"`
		Offset int    `cbor:"at,omitempty"`
		Size   int    `cbor:"size"`
		// Latest says that there is no newer configuration.
		Latest bool `cbor:"newest,omitempty"`
	}

	// configSource makes news of the configurations in force. It is safe for concurrent
	// use.
	//
	// The load it answers: a configuration of a thousand routes that changes several times
	// a second, before a hundred instances that ask at once. Each gets what differs from
	// what it has, made once for all, and goes on from what has arrived.
	configSource struct {
		mu sync.Mutex
		// records are the last ones in force, the newest last.
		records []cf.Record
		patches map[updateKey][]byte
	}

	updateKey struct{ base, rev cf.Revision }

	// partialUpdate is what has arrived of news.
	partialUpdate struct {
		updateKey
		data []byte
	}
)

// ErrUpdateRejected: a part of news does not follow what has arrived, or the configuration is
// none that may come in force.
var ErrUpdateRejected = errors.New("configuration news not taken")

// add takes a configuration that has come in force.
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

// record returns a configuration that is remembered. t.mu is held.
func (c *configSource) record(rev cf.Revision) (cf.Record, bool) {
	i := slices.IndexFunc(c.records, func(r cf.Record) bool { return r.Rev == rev })
	if i < 0 {
		return cf.Record{}, false
	}
	return c.records[i], true
}

// next returns the news for an instance, nil if it has the newest.
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
	// What has begun is ended first: by newer ones alone an instance on a slow link would
	// never have any.
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

// patch returns news, which are made once. t.mu is held.
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

// ConfigUpdate returns what an instance must hear of the configuration, nil if it has the one
// in force here.
func (s *Site) ConfigUpdate(held ConfigState) (*ConfigUpdate, error) { return s.configs.next(held) }

// ConfigState returns what this instance has of configurations.
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

// ApplyConfigUpdate takes a part of a configuration, and the configuration once it is whole,
// unless a newer one is in force. It returns whether one has come in force. News that can't
// be taken are an error; after those that are damaged the whole configuration is asked for.
func (s *Site) ApplyConfigUpdate(u ConfigUpdate) (bool, error) {
	r, complete, err := s.addConfigPart(u)
	if err != nil || !complete {
		return false, err
	}
	changed, err := s.ApplyConfig(r)
	if err == nil && s.ConfigRecord().Rev < u.Rev {
		err = eris.Wrapf(ErrUpdateRejected, "an older version at %d", u.Rev)
	}
	return changed, err
}

// addConfigPart adds a part to what has arrived. It returns the configuration if that is all of it.
func (s *Site) addConfigPart(u ConfigUpdate) (r cf.Record, complete bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if u.Rev <= s.configRecord.Rev {
		s.partialConfig, s.needFullConfig = partialUpdate{}, false
		return cf.Record{}, false, nil // this instance has watched the store itself
	}
	if u.Base != 0 && u.Base != s.configRecord.Rev {
		s.partialConfig = partialUpdate{}
		return cf.Record{}, false, nil // it has changed since this instance asked
	}
	k := updateKey{u.Base, u.Rev}
	if u.Offset == 0 {
		s.partialConfig = partialUpdate{updateKey: k}
	}
	if k != s.partialConfig.updateKey || u.Offset != len(s.partialConfig.data) || len(u.Data) == 0 {
		s.partialConfig = partialUpdate{}
		return cf.Record{}, false, eris.Wrapf(ErrUpdateRejected, "%d bytes at %d of %d to %d", len(u.Data), u.Offset, u.Base, u.Rev)
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
		return cf.Record{}, false, eris.Wrapf(err, "configuration at %d from %d", u.Rev, u.Base)
	}
	return cf.Record{Name: u.Name, Rev: u.Rev, Spec: spec}, true, nil
}
