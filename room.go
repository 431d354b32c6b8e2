package currantford

import (
	"context"
	"errors"
)

// Room is the memory accounting of one answer to a caller, from the first byte read of the answer
// until the caller has received it. Its methods are safe for concurrent use.
type Room interface {
	// Take reserves n more bytes. It waits while others hold the memory, and returns an ErrNoRoom
	// if none becomes free in time.
	Take(ctx context.Context, n int64) error
	// TakeUpTo reserves between least and most bytes, as many as are available, and returns the
	// number. It may use the memory that is set aside for pages of results.
	TakeUpTo(ctx context.Context, least, most int64) (int64, error)
	// TakeUnbounded reserves n more bytes for an answer of unknown length, which may be endless. It
	// does not wait: such answers share a part of the memory, and one that exceeds that part is
	// aborted with an ErrNoRoom.
	TakeUnbounded(n int64) error
	// Release returns n bytes that were reserved for an answer that could not be read completely.
	Release(n int64)
	// Close returns all reserved memory. Nothing can be reserved afterwards.
	Close()
}

// ErrNoRoom means that the process has no memory for an answer. The request may have run.
var ErrNoRoom = errors.New("no memory for the answer")
