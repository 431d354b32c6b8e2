package currantford

import (
	"context"
	"errors"
)

// Room is the memory that one answer to a caller takes, from the first byte that is read of
// it until the caller has it. Its methods are safe for concurrent use.
type Room interface {
	// Take takes n more bytes. It waits while others are in the way, and returns an
	// ErrNoRoom when there is none in time.
	Take(ctx context.Context, n int64) error
	// TakeUpTo takes between least and most bytes, as many as there is room for, and
	// returns how many. It may use what is kept free for pages of results.
	TakeUpTo(ctx context.Context, least, most int64) (int64, error)
	// TakeUnbounded takes n more bytes for an answer that may have no end. It does not wait:
	// such answers share a part of the memory, and one that finds no room there is given
	// up with an ErrNoRoom.
	TakeUnbounded(n int64) error
	// Release gives n bytes back, of an answer that could not be read whole.
	Release(n int64)
	// Close gives all of it back. Nothing can be taken any more.
	Close()
}

// ErrNoRoom: the process has no memory for an answer; the request may have run.
var ErrNoRoom = errors.New("no memory for the answer")
