package cfnode

import (
	"context"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cfcoord"
)

const opInfeasible = "infeasible"

// infeasibleCall asks whether a batch may be accepted. Cost is the memory in bytes that its items
// take.
type infeasibleCall struct {
	Batch cf.Submission `cbor:"batch"`
	Cost  int64         `cbor:"cost,omitempty"`
}

// CheckBatch implements cfingress.Feasibility.
func (r coordinatorClient) CheckBatch(ctx context.Context, sub cf.Submission, cost int64) cfbatch.Admission {
	if c := r.n.coord.Load(); c != nil {
		return c.CheckBatch(sub, cost)
	}
	var a cfbatch.Admission
	if err := r.n.callCoordinator(ctx, opInfeasible, notifyTimeout, infeasibleCall{sub, cost}, &a); err != nil {
		return cfbatch.Admission{} // The batch is accepted as it would be without the check.
	}
	return a
}

func (n *Node) serveInfeasible(_ context.Context, c *cfcoord.Coordinator, call infeasibleCall) (any, error) {
	return c.CheckBatch(call.Batch, call.Cost), nil
}
