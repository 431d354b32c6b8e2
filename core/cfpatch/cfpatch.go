// Package cfpatch compresses large documents, either by themselves or as the difference from a
// version that the recipient has.
//
// Usage:
//
//	packed, err := cfpatch.Pack(base, document) // base nil: no difference
//	document, err := cfpatch.Unpack(base, packed, maxBytes)
package cfpatch

import (
	"errors"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrCorrupt is returned if a packed document is damaged, too large or was packed with another
// base.
var ErrCorrupt = errors.New("packed document can't be read")

const (
	// baseID is the ID of the base in the packed document. Sender and recipient must agree by other
	// means on which version the base is.
	baseID = 1
	// minWindow is the smallest size in bytes of the window that is searched for matches.
	minWindow = 32 << 10
)

// Pack compresses document for a recipient that has base; base is nil if it has none.
func Pack(base, document []byte) ([]byte, error) {
	options := []zstd.EOption{
		zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(windowSize(len(base) + len(document))),
	}
	if base != nil {
		options = append(options, zstd.WithEncoderDictRaw(baseID, base))
	}
	enc, err := zstd.NewWriter(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "pack")
	}
	packed := enc.EncodeAll(document, nil)
	return packed, eris.Wrap(enc.Close(), "pack")
}

// Unpack returns the document that was packed with base, of at most maxBytes bytes. If the document
// would differ from the packed one, it returns ErrCorrupt.
func Unpack(base, packed []byte, maxBytes int) ([]byte, error) {
	options := []zstd.DOption{
		zstd.WithDecoderConcurrency(1), zstd.WithDecoderLowmem(true), zstd.WithDecoderMaxMemory(uint64(max(maxBytes, 1))),
	}
	if base != nil {
		options = append(options, zstd.WithDecoderDictRaw(baseID, base))
	}
	dec, err := zstd.NewReader(nil, options...)
	if err != nil {
		return nil, eris.Wrap(err, "unpack")
	}
	defer dec.Close()
	document, err := dec.DecodeAll(packed, nil)
	if err != nil {
		return nil, eris.Wrapf(ErrCorrupt, "%d bytes: %v", len(packed), err)
	}
	return document, nil
}

// windowSize returns a window size that reaches from the end of the document back to the start of
// the base.
func windowSize(bytes int) int {
	return min(max(minWindow, 1<<bits.Len(uint(bytes))), zstd.MaxWindowSize)
}
