package cfquarantine

import (
	"encoding/binary"
	"hash/fnv"

	cf "currantford"
)

type (
	// Incarnation names one start of a target.
	Incarnation struct {
		ID   cf.InstanceID `cbor:"id" json:"id"`
		Born cf.Millis     `cbor:"born,omitempty" json:"born_ms,omitempty"`
	}

	// Loss tells how a target was found gone after it lost a request.
	Loss string

	// Scope is for whom a strike counts. It only rises, so instances that hear
	// of its changes in different orders come to agree.
	Scope int

	// Strike is evidence against a request: a target that ended while it had it.
	Strike struct {
		Content Digest       `cbor:"content" json:"content"`
		Caller  CallerDigest `cbor:"caller" json:"caller"`
		Target  Incarnation  `cbor:"target" json:"target"`
		Loss    Loss         `cbor:"loss" json:"loss"`
		SeenBy  cf.EntryID   `cbor:"seen_by" json:"seen_by"`
		Scope   Scope        `cbor:"standing,omitempty" json:"standing,omitempty"`
		// Served: the caller's request had been run to its end lately, where the loss was
		// seen or where it was heard of.
		Served bool `cbor:"served,omitempty" json:"served,omitempty"`
		// Age is how long ago the loss was seen, as of when the strike was handed
		// out: instances' clocks differ.
		Age cf.Millis `cbor:"age" json:"age_ms"`
	}

	// strike is a strike as a table holds it.
	strike struct {
		Strike
		at    cf.Millis // Uptime at which the loss was seen
		doubt doubt
		// heard is when the target was first heard of since, zero if it was not;
		// ended says that it was listed as gone or started again.
		heard cf.Millis
		ended bool
		// alive: the target was heard of after it was sent the request.
		alive bool
	}

	// doubt is what is not known yet of a loss. Strikes in doubt are not shared.
	doubt int
)

// Ways in which targets were found gone.
const (
	// LossRefused: the target's machine refuses connections, so its process has ended.
	LossRefused Loss = "refused"
	// LossUnreachable: nothing answers at its address: its machine is gone, or a link is.
	LossUnreachable Loss = "silent"
	// LossReplaced: it is not listed any more, or has started again since, though it
	// was not draining.
	LossReplaced Loss = "replaced"
)

// Standings of a strike.
const (
	// AllCallers: for every caller of the same content.
	AllCallers Scope = iota
	// SameCaller: for the caller whose request it was; the same content was run
	// to its end for another.
	SameCaller
	// Void: not at all. The caller's request was run to its end since, or the
	// target has answered since, or another request was the cause, or an operator
	// has freed it.
	Void
)

const (
	// proven: the target was found gone.
	proven doubt = iota
	// unchecked: the target has not been asked. What follows waits for that, here,
	// where the next send may be the one too many.
	unchecked
	// reached: the target took a connection. The strike does not count, unless the
	// target is gone soon after: it may have been its successor that did.
	reached
	// moot: it tells nothing, and is forgotten at the next look.
	moot
)

// IncarnationOf returns the name of a target's present start.
func IncarnationOf(t cf.Target) Incarnation { return Incarnation{t.ID, t.Born} }

// is says whether two strikes are evidence of the same loss.
func (s *Strike) is(o *Strike) bool {
	return s.Content == o.Content && s.Caller == o.Caller && s.Target == o.Target
}

// counts says whether a strike speaks against requests of a caller, as far as it is for
// itself to say.
func (s *strike) counts(c CallerDigest) bool {
	if s.Scope == Void || s.doubt >= reached {
		return false
	}
	return s.Scope == AllCallers || s.Caller == c
}

// shared says whether other instances hear of the strike.
func (s *strike) shared() bool { return s.doubt == proven }

// servedBit is added to the standing in a strike's sum.
const servedBit = 1 << 7

// sum identifies a strike, its standing, and whether its request had been served.
func (s *strike) sum() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(s.Content[:]) // a hash takes everything
	_, _ = h.Write(s.Caller[:])
	_, _ = h.Write([]byte(s.Target.ID))
	raw := binary.LittleEndian.AppendUint64(nil, uint64(s.Target.Born))
	standing := byte(s.Scope)
	if s.Served {
		standing |= servedBit
	}
	_, _ = h.Write(append(raw, standing))
	return h.Sum64()
}
