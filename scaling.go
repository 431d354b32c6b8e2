package currantford

import "context"

type (
	// EnginePool is the engines of one service and failure domain that are reclaimable
	// (spot), or that are not (firm).
	EnginePool struct {
		Service ServiceName   `json:"service"`
		Domain  FailureDomain `json:"failure_domain"`
		Spot    bool          `json:"spot,omitempty"`
	}

	// EngineOrder asks for a total number of engines in a pool.
	EngineOrder struct {
		EnginePool
		Count int `json:"count"`
	}

	// Scaling orders engines. An order may be repeated. Errors: ErrFenced (a later
	// holder has acted), ErrConflict (none available there now), ErrInvalid, ErrRefused
	// (nothing was done) and ErrUnavailable (no answer: it may have been taken).
	Scaling interface {
		OrderEngines(ctx context.Context, act LeaseToken, o EngineOrder) error
	}
)
