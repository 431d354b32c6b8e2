package cfnode

import (
	"context"

	cf "currantford"
	"currantford/io/cfcoord"
	"currantford/io/cfingress"
)

const opInfeasible = "infeasible"

type (
	infeasibleCall struct {
		Batch cf.Submission `cbor:"batch"`
	}

	infeasibleAnswer struct {
		Infeasible bool      `cbor:"infeasible"`
		RetryAfter cf.Millis `cbor:"after"`
	}
)

// feasibility registers the handler for other instances that ask whether a step is infeasible. It
// returns the checker for this instance, or nil if no step is refused as infeasible.
func (n *Node) feasibility() cfingress.Feasibility {
	n.peerSrv.Handle(opInfeasible, atCoordinator(n, n.serveInfeasible))
	if n.settings.Policy.NoRefusals || n.settings.Policy.AllGroups {
		return nil
	}
	return coordinatorClient{n}
}

// Infeasible implements cfingress.Feasibility.
func (r coordinatorClient) Infeasible(ctx context.Context, sub cf.Submission) (cf.Millis, bool) {
	if c := r.n.coord.Load(); c != nil {
		return c.Infeasible(sub)
	}
	var a infeasibleAnswer
	if err := r.n.callCoordinator(ctx, opInfeasible, notifyTimeout, infeasibleCall{sub}, &a); err != nil {
		return 0, false // The step is accepted as it would be without the check.
	}
	return a.RetryAfter, a.Infeasible
}

func (n *Node) serveInfeasible(_ context.Context, c *cfcoord.Coordinator, call infeasibleCall) (any, error) {
	retryAfter, infeasible := c.Infeasible(call.Batch)
	return infeasibleAnswer{infeasible, retryAfter}, nil
}
