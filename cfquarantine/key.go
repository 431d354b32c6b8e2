// Package cfquarantine decides which requests may still be sent to targets: one under
// which targets have crashed again and again is held. It makes no calls and has no clock
// of its own.
//
// Usage:
//
//	key := cfquarantine.KeyOf(method, host, path, caller, body)
package cfquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"

	cf "currantford"
)

type (
	// Digest identifies what a target sees of a request. The request itself is
	// neither kept nor sent nor logged for it.
	Digest [16]byte

	// CallerDigest identifies who sends a request.
	CallerDigest [8]byte

	// Key names a request across the ids that its tries bear: its content, and
	// its caller.
	Key struct {
		Content Digest
		Caller  CallerDigest
	}
)

// itemMethod is the method of items and of reward calls.
const itemMethod = "POST"

// KeyOf returns the key of a request. Every part counts with its length, so that
// no two requests differ only in where one part ends.
func KeyOf(method, host, path, caller string, body []byte) Key {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(path), body} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part)))) // a hash takes everything
		_, _ = h.Write(part)
	}
	who := sha256.Sum256([]byte(caller))
	return Key{Content: Digest(h.Sum(nil)[:16]), Caller: CallerDigest(who[:8])}
}

// KeyOfItem returns the key of an item of a batch. Its batch's host stands for its
// caller.
func KeyOfItem(host string, item cf.Item) Key {
	return KeyOf(itemMethod, host, item.Path, host, item.Body)
}

// KeyOfReward returns the key of an item's reward call.
func KeyOfReward(call *cf.RewardCall) Key {
	return KeyOf(itemMethod, call.Host, call.Path, call.Host, call.Body)
}

// String returns the digest as logs and operators write it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// String returns the digest as logs write it.
func (d CallerDigest) String() string { return hex.EncodeToString(d[:]) }

// ParseDigest reads what String wrote.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != len(d) {
		return d, eris.Wrapf(cf.ErrInvalid, "%q is no request digest of %d hexadecimal digits", s, 2*len(d))
	}
	return Digest(raw), nil
}
