package cfquarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/rotisserie/eris"

	cf "currantford"
)

type (
	// Digest identifies the part of a request that a target sees. The request itself is not stored,
	// sent or logged for this purpose.
	Digest [16]byte

	// CallerDigest identifies the caller of a request.
	CallerDigest [8]byte

	// Key identifies a request across the request ids of its retries, by content and caller.
	Key struct {
		Content Digest
		Caller  CallerDigest
	}
)

// itemMethod is the method of items and of reward calls.
const itemMethod = "POST"

// KeyOf returns the key of a request. Every part is hashed with its length, so that requests which
// differ only in where one part ends have different keys.
func KeyOf(method, host, path, caller string, body []byte) Key {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(host), []byte(path), body} {
		_, _ = h.Write(binary.LittleEndian.AppendUint64(nil, uint64(len(part)))) // hash.Hash.Write never returns an error
		_, _ = h.Write(part)
	}
	callerSum := sha256.Sum256([]byte(caller))
	return Key{Content: Digest(h.Sum(nil)[:16]), Caller: CallerDigest(callerSum[:8])}
}

// CallerOf returns the caller that a request is attributed to. It is the organisation, so that a
// caller gains no extra attempts by using another of its keys or another machine. Without an
// organisation it is the machine that sent the request.
func CallerOf(a cf.Access, credentials cf.Credentials) string {
	if a.Organisation != "" {
		return organisationCaller(a.Organisation)
	}
	return credentials.ClientID
}

func organisationCaller(o cf.Organisation) string { return "organisation " + string(o) }

// KeyOfItem returns the key of an item of a batch. If the caller belongs to no organisation, the
// host of the batch stands for the caller.
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

// String returns the hexadecimal form of the digest, as used in logs and by operators.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// String returns the hexadecimal form of the digest, as used in logs.
func (d CallerDigest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText encodes a digest for JSON.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest from JSON.
func (d *Digest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

// MarshalText encodes a digest for JSON.
func (d CallerDigest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText decodes a digest from JSON.
func (d *CallerDigest) UnmarshalText(text []byte) error { return decodeHex(d[:], text) }

func decodeHex(dst, text []byte) error {
	if len(text) != 2*len(dst) {
		return eris.Wrapf(cf.ErrInvalid, "%q is not a digest of %d hexadecimal digits", text, 2*len(dst))
	}
	if _, err := hex.Decode(dst, text); err != nil {
		return eris.Wrapf(cf.ErrInvalid, "%q: %v", text, err)
	}
	return nil
}

// ParseDigest parses the form that String returns.
func ParseDigest(s string) (Digest, error) {
	var d Digest
	err := d.UnmarshalText([]byte(s))
	return d, err
}
