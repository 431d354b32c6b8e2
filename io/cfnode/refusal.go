package cfnode

import (
	"context"

	cf "currantford"
	"currantford/io/cfcoord"
	"currantford/io/cfingress"
)

const opHopeless = "hopeless"

type (
	hopelessCall struct {
		Batch cf.Submission `cbor:"batch"`
	}

	hopelessAnswer struct {
		Hopeless bool      `cbor:"hopeless"`
		After    cf.Millis `cbor:"after"`
	}
)

// refusals answers other instances that ask whether a step is hopeless, and returns who is
// asked here; nil where none is refused.
func (n *Node) refusals() cfingress.Hope {
	n.peerSrv.Handle(opHopeless, atCoordinator(n, n.serveHopeless))
	if n.settings.Policy.NoRefusals || n.settings.Policy.AllGroups {
		return nil
	}
	return reader{n}
}

// Hopeless implements cfingress.Hope.
func (r reader) Hopeless(ctx context.Context, sub cf.Submission) (cf.Millis, bool) {
	if c := r.n.coord.Load(); c != nil {
		return c.Hopeless(sub)
	}
	var a hopelessAnswer
	if err := r.n.ask(ctx, opHopeless, tellTimeout, hopelessCall{sub}, &a); err != nil {
		return 0, false // the step is accepted as without the question
	}
	return a.After, a.Hopeless
}

func (n *Node) serveHopeless(_ context.Context, c *cfcoord.Coordinator, call hopelessCall) (any, error) {
	after, hopeless := c.Hopeless(call.Batch)
	return hopelessAnswer{hopeless, after}, nil
}
