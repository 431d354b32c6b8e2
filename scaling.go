package currantford

import "context"

type (
	// EnginePool identifies the engines of one service in one failure domain that are reclaimable
	// by the platform (spot) or that are not.
	EnginePool struct {
		Service ServiceName   `json:"service"`
		Domain  FailureDomain `json:"failure_domain"`
		Spot    bool          `json:"spot,omitempty"`
	}

	// EngineOrder requests a total number of engines in a pool.
	EngineOrder struct {
		EnginePool
		Count int `json:"count"`
	}

	// Scaling orders engines from the platform. An order may be repeated. It returns ErrFenced (a
	// later lease holder has acted), ErrConflict (no engines are available in the pool now),
	// ErrInvalid, ErrRefused (nothing was done) or ErrUnavailable (no answer; the order may have
	// been accepted).
	Scaling interface {
		OrderEngines(ctx context.Context, act LeaseToken, o EngineOrder) error
	}
)
