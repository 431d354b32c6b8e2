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
	// basesKept is how many configurations are remembered, the one in force among them: an
	// instance that has one of them is told what differs.
	basesKept = 4
	// newsPart is the most of a configuration that one answer brings, in bytes: answers to
	// all that ask a weak instance must leave its link within the time of a call.
	newsPart = 32 << 10
	// configMost bounds a configuration in bytes; the store's objects are smaller.
	configMost = 16 << 20
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

	// configTeller makes news of the configurations in force. It is safe for concurrent
	// use.
	//
	// The load it answers: a configuration of a thousand routes that changes several times
	// a second, before a hundred instances that ask at once. Each gets what differs from
	// what it has, made once for all, and goes on from what has arrived.
	configTeller struct {
		mu sync.Mutex
		// records are the last ones in force, the newest last.
		records []cf.Record
		packed  map[newsKey][]byte
	}

	newsKey struct{ base, rev cf.Revision }

	// partNews is what has arrived of news.
	partNews struct {
		newsKey
		packed []byte
	}
)

// ErrUpdateRejected: a part of news does not follow what has arrived, or the configuration is
// none that may come in force.
var ErrUpdateRejected = errors.New("configuration news not taken")

// note takes a configuration that has come in force.
func (t *configTeller) note(r cf.Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == basesKept {
		gone := t.records[0].Rev
		t.records = slices.Clone(t.records[1:])
		for k := range t.packed {
			if k.rev == gone || k.base == gone {
				delete(t.packed, k)
			}
		}
	}
	t.records = append(t.records, r)
}

// record returns a configuration that is remembered. t.mu is held.
func (t *configTeller) record(rev cf.Revision) (cf.Record, bool) {
	i := slices.IndexFunc(t.records, func(r cf.Record) bool { return r.Rev == rev })
	if i < 0 {
		return cf.Record{}, false
	}
	return t.records[i], true
}

// next returns the news for an instance, nil if it has the newest.
func (t *configTeller) next(held ConfigState) (*ConfigUpdate, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil, nil
	}
	newest := t.records[len(t.records)-1]
	if held.Rev >= newest.Rev {
		return nil, nil
	}
	// What has begun is ended first: by newer ones alone an instance on a slow link would
	// never have any.
	k, at := newsKey{held.Base, held.Next}, held.Bytes
	packed, begun := t.packed[k]
	if !begun || k.rev <= held.Rev || k.base != 0 && k.base != held.Rev || at <= 0 || at >= len(packed) {
		var err error
		if k, at = (newsKey{held.Rev, newest.Rev}), 0; k.base != 0 {
			if _, known := t.record(k.base); !known {
				k.base = 0
			}
		}
		if packed, err = t.pack(k); err != nil {
			return nil, err
		}
	}
	r, _ := t.record(k.rev)
	return &ConfigUpdate{
		Name: r.Name, Rev: k.rev, Base: k.base, Data: packed[at:min(at+newsPart, len(packed))], Offset: at, Size: len(packed),
		Latest: k.rev == newest.Rev,
	}, nil
}

// pack returns news, which are made once. t.mu is held.
func (t *configTeller) pack(k newsKey) ([]byte, error) {
	if packed, known := t.packed[k]; known {
		return packed, nil
	}
	base, _ := t.record(k.base)
	r, _ := t.record(k.rev)
	packed, err := cfpatch.Pack(base.Spec, r.Spec)
	if err != nil {
		return nil, eris.Wrapf(err, "configuration at %d", k.rev)
	}
	if t.packed == nil {
		t.packed = map[newsKey][]byte{}
	}
	t.packed[k] = packed
	return packed, nil
}

// ConfigUpdate returns what an instance must hear of the configuration, nil if it has the one
// in force here.
func (s *Site) ConfigUpdate(held ConfigState) (*ConfigUpdate, error) { return s.teller.next(held) }

// ConfigState returns what this instance has of configurations.
func (s *Site) ConfigState() ConfigState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	held := ConfigState{Rev: s.configAt.Rev}
	if s.wholeConfig {
		held.Rev = 0
	}
	if p := s.arriving; len(p.packed) > 0 {
		held.Next, held.Base, held.Bytes = p.rev, p.base, len(p.packed)
	}
	return held
}

// ApplyConfigUpdate takes a part of a configuration, and the configuration once it is whole,
// unless a newer one is in force. It returns whether one has come in force. News that can't
// be taken are an error; after those that are damaged the whole configuration is asked for.
func (s *Site) ApplyConfigUpdate(n ConfigUpdate) (bool, error) {
	r, whole, err := s.arrive(n)
	if err != nil || !whole {
		return false, err
	}
	changed, err := s.ApplyConfig(r)
	if err == nil && s.ConfigRecord().Rev < n.Rev {
		err = eris.Wrapf(ErrUpdateRejected, "an older version at %d", n.Rev)
	}
	return changed, err
}

// arrive adds a part to what has arrived. It returns the configuration if that is all of it.
func (s *Site) arrive(n ConfigUpdate) (r cf.Record, whole bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n.Rev <= s.configAt.Rev {
		s.arriving, s.wholeConfig = partNews{}, false
		return cf.Record{}, false, nil // this instance has watched the store itself
	}
	if n.Base != 0 && n.Base != s.configAt.Rev {
		s.arriving = partNews{}
		return cf.Record{}, false, nil // it has changed since this instance asked
	}
	k := newsKey{n.Base, n.Rev}
	if n.Offset == 0 {
		s.arriving = partNews{newsKey: k}
	}
	if k != s.arriving.newsKey || n.Offset != len(s.arriving.packed) || len(n.Data) == 0 {
		s.arriving = partNews{}
		return cf.Record{}, false, eris.Wrapf(ErrUpdateRejected, "%d bytes at %d of %d to %d", len(n.Data), n.Offset, n.Base, n.Rev)
	}
	s.arriving.packed = append(s.arriving.packed, n.Data...)
	if len(s.arriving.packed) < n.Size {
		return cf.Record{}, false, nil
	}
	packed := s.arriving.packed
	s.arriving = partNews{}
	var base []byte
	if n.Base != 0 {
		base = s.configAt.Spec
	}
	spec, err := cfpatch.Unpack(base, packed, configMost)
	s.wholeConfig = err != nil
	if err != nil {
		return cf.Record{}, false, eris.Wrapf(err, "configuration at %d from %d", n.Rev, n.Base)
	}
	return cf.Record{Name: n.Name, Rev: n.Rev, Spec: spec}, true, nil
}
