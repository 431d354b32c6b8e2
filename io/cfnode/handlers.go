package cfnode

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	cf "currantford"
	"currantford/io/cfcoord"
	"currantford/io/cfpeer"
)

// decoded makes a handler of a function that takes a call of type T.
func decoded[T any](serve func(context.Context, T) (any, error)) cfpeer.HandlerFunc {
	return func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var call T
		if err := cbor.Unmarshal(body, &call); err != nil {
			return nil, cf.ErrInvalid
		}
		return serve(ctx, call)
	}
}

// atCoordinator makes a handler of a function that only the instance with the
// coordinator's duty can carry out.
func atCoordinator[T any](n *Node, serve func(context.Context, *cfcoord.Coordinator, T) (any, error)) cfpeer.HandlerFunc {
	return decoded(func(ctx context.Context, call T) (any, error) {
		c := n.coord.Load()
		if c == nil {
			return nil, cf.ErrNotLeader
		}
		return serve(ctx, c, call)
	})
}
