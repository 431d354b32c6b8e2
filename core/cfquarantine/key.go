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
	callerSum := sha256.Sum256([]byte(caller))
	return Key{Content: Digest(h.Sum(nil)[:16]), Caller: CallerDigest(callerSum[:8])}
}

// CallerOf returns who a request counts as the caller of: its organisation, so that a
// caller gets no fresh tries by another of its keys or from another machine; where there
// is none, what tells senders apart.
func CallerOf(a cf.Access, credentials cf.Credentials) string {
	if a.Organisation != "" {
		return organisationCaller(a.Organisation)
	}
	return credentials.Machine
}

func organisationCaller(o cf.Organisation) string { return "organisation " + string(o) }

// KeyOfItem returns the key of an item of a batch. The batch's host stands for a caller
// that belongs to no organisation.
func KeyOfItem(sub *cf.Submission, item cf.Item) Key {
	caller := sub.Host
	if o := sub.ID.Organisation(); o != "" {
		caller = organisationCaller(o)
	}
	return KeyOf(itemMethod, sub.Host, item.Path, caller, item.Body)
}

// KeyOfReward returns the key of an item's reward call.
func KeyOfReward(call *cf.RewardCall) Key {
	return KeyOf(itemMethod, call.Host, call.Path, call.Host, call.Body)
}

// String returns the digest as logs and operators write it.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// String returns the digest as logs write it.
func (d CallerDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText writes a digest in JSON.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in JSON.
func (d *Digest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

// MarshalText writes a digest in JSON.
func (d CallerDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads a digest in JSON.
func (d *CallerDigest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

func decodeHex(dst, text []byte) error {
	if len(text) != 2*len(dst) {
		return eris.Wrapf(cf.ErrInvalid, "%q is no digest of %d hexadecimal digits", text, 2*len(dst))
	}
	if _, err := hex.Decode(dst, text); err != nil {
		return eris.Wrapf(cf.ErrInvalid, "%q: %v", text, err)
	}
	return nil
}

// ParseDigest reads what String wrote.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	err := d.UnmarshalText([]byte(s))
	return d, err
}
