package cfnode

import (
	"context"

	"github.com/fxamacker/cbor/v2"

	cf "currantford"
	"currantford/io/cfcoord"
	"currantford/io/cfpeer"
)

// decoded returns a handler that decodes a call of type T and passes it to serve.
func decoded[T any](serve func(context.Context, T) (any, error)) cfpeer.HandlerFunc {
	return func(ctx context.Context, body cbor.RawMessage) (any, error) {
		var call T
		if err := cbor.Unmarshal(body, &call); err != nil {
			return nil, cf.ErrInvalid
		}
		return serve(ctx, call)
	}
}

// atCoordinator returns a handler like decoded for calls that only the coordinator can serve.
func atCoordinator[T any](n *Node, serve func(context.Context, *cfcoord.Coordinator, T) (any, error)) cfpeer.HandlerFunc {
	return decoded(func(ctx context.Context, call T) (any, error) {
		c := n.coord.Load()
		if c == nil {
			return nil, cf.ErrNotLeader
		}
		return serve(ctx, c, call)
	})
}
