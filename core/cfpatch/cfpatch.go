// Package cfpatch makes small messages of large documents: packed by themselves, or as what
// differs from a version that the recipient has.
//
// Usage:
//
//	packed, err := cfpatch.Pack(base, document) // base nil: by itself
//	document, err := cfpatch.Unpack(base, packed, most)
package cfpatch

import (
	"errors"
	"math/bits"

	"github.com/klauspost/compress/zstd"
	"github.com/rotisserie/eris"
)

// ErrCorrupt: what was packed can't be read, or not with this base.
var ErrCorrupt = errors.New("packed document can't be read")

const (
	// baseID names the base within a packed document. Which base it is, sender and recipient
	// agree on by themselves.
	baseID = 1
	// minWindow is the smallest span in bytes that is searched for what is alike.
	minWindow = 32 << 10
)

// Pack returns document packed for a recipient that has base, nil if it has none.
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

// Unpack returns the document of at most most bytes that was packed with base. It is
// ErrCorrupt if it differs from what was packed.
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

// windowSize returns the span that reaches from the end of the document to the base's begin.
func windowSize(bytes int) int {
	return min(max(minWindow, 1<<bits.Len(uint(bytes))), zstd.MaxWindowSize)
}
