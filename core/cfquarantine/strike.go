package cfquarantine

import (
	"encoding/binary"
	"hash/fnv"

	cf "currantford"
)

type (
	// Incarnation identifies one start of a target.
	Incarnation struct {
		ID   cf.InstanceID `cbor:"id" json:"id"`
		Born cf.Millis     `cbor:"born,omitempty" json:"born_ms,omitempty"`
	}

	// Loss tells how a target was found gone after it lost a request.
	Loss string

	// Scope tells against which callers a strike counts. It only narrows (its value only grows), so
	// instances that receive its changes in different orders converge.
	Scope int

	// Strike is evidence against a request: a target ended while it had the request.
	Strike struct {
		Content Digest       `cbor:"content" json:"content"`
		Caller  CallerDigest `cbor:"caller" json:"caller"`
		Target  Incarnation  `cbor:"target" json:"target"`
		Loss    Loss         `cbor:"loss" json:"loss"`
		SeenBy  cf.EntryID   `cbor:"seen_by" json:"seen_by"`
		Scope   Scope        `cbor:"standing,omitempty" json:"standing,omitempty"`
		// Served reports that the caller's request had completed recently, either at the instance
		// that saw the loss or at one that received the strike.
		Served bool `cbor:"served,omitempty" json:"served,omitempty"`
		// Age is the time between the loss and the export of the strike. It is relative because the
		// clocks of instances differ.
		Age cf.Millis `cbor:"age" json:"age_ms"`
	}

	// strike is a Strike with the local state of a table.
	strike struct {
		Strike
		lostAt cf.Millis // Uptime at which the loss was seen
		state  lossState
		// aliveAt is when the target first answered after the loss, zero if it has not; replaced
		// reports that it was listed as gone or restarted.
		aliveAt  cf.Millis
		replaced bool
		// aliveAfterSend: the target showed activity after the request was sent to it.
		aliveAfterSend bool
	}

	// lossState tells how far a loss has been verified. Only strikes with confirmed losses are
	// shared.
	lossState int
)

// Ways in which a target is found gone.
const (
	// LossRefused: the target's machine refuses connections, so the target's process has ended.
	LossRefused Loss = "refused"
	// LossUnreachable: nothing answers at the target's address, so the machine or a link is down.
	LossUnreachable Loss = "silent"
	// LossReplaced: the target is no longer listed, or has restarted since, although it was not
	// draining.
	LossReplaced Loss = "replaced"
)

// Scopes of a strike, from the widest to the narrowest.
const (
	// AllCallers: the strike counts against every caller of the content.
	AllCallers Scope = iota
	// SameCaller: the strike counts only against the caller whose request was lost, because the
	// content has completed for another caller.
	SameCaller
	// Void: the strike counts against no caller. The caller's request has completed since, the
	// target has answered since, another request was the cause, or an operator has released the
	// request.
	Void
)

const (
	// lossConfirmed: the target was found gone.
	lossConfirmed lossState = iota
	// lossUnchecked: the target has not been checked yet. Further sends from this instance wait for
	// the check if one of them could exceed the limit.
	lossUnchecked
	// targetReached: the target accepted a connection. The strike does not count, unless the target
	// is listed as gone soon after: its successor may have accepted the connection.
	targetReached
	// lossInconclusive: the loss is no evidence; Sweep removes the strike.
	lossInconclusive
)

// IncarnationOf returns the current incarnation of a target.
func IncarnationOf(t cf.Target) Incarnation { return Incarnation{t.ID, t.Started} }

// sameLoss reports whether two strikes are evidence of the same loss.
func (s *Strike) sameLoss(o *Strike) bool {
	return s.Content == o.Content && s.Caller == o.Caller && s.Target == o.Target
}

// countsAgainst reports whether a strike counts against requests of a caller, by its own scope and
// state alone.
func (s *strike) countsAgainst(c CallerDigest) bool {
	if s.Scope == Void || s.state >= targetReached {
		return false
	}
	return s.Scope == AllCallers || s.Caller == c
}

// shareable reports whether the strike is sent to other instances.
func (s *strike) shareable() bool { return s.state == lossConfirmed }

// servedBit is combined with the scope in a strike's checksum.
const servedBit = 1 << 7

// checksum identifies a strike, its scope, and whether its request had been served.
func (s *strike) checksum() uint64 {
	h := fnv.New64a()
	_, _ = h.Write(s.Content[:]) // hash.Hash.Write never returns an error
	_, _ = h.Write(s.Caller[:])
	_, _ = h.Write([]byte(s.Target.ID))
	raw := binary.LittleEndian.AppendUint64(nil, uint64(s.Target.Born))
	scope := byte(s.Scope)
	if s.Served {
		scope |= servedBit
	}
	_, _ = h.Write(append(raw, scope))
	return h.Sum64()
}
