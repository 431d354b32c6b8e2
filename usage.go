package currantford

import "context"

type (
	// UsageWindow is the number of a usage-counting window since the Unix epoch. All windows have
	// equal length.
	UsageWindow int64

	// UsageReport holds the number of requests of each organisation that began to run in a window.
	UsageReport struct {
		Window UsageWindow            `json:"window" cbor:"window"`
		Counts map[Organisation]int64 `json:"counts" cbor:"counts"`
	}

	// LeaseToken identifies the lease holder on whose behalf a platform call is made, and its
	// fencing token.
	LeaseToken struct {
		Holder EntryID
		Fence  Revision
	}

	// Metering accepts usage reports. A repeated report must be identical. It returns ErrFenced (a
	// later lease holder has acted), ErrInvalid, ErrRefused (nothing was done) or ErrUnavailable
	// (no answer; the report may have been accepted).
	Metering interface {
		ReportUsage(ctx context.Context, act LeaseToken, report UsageReport) error
	}
)

// UsageWindowAt returns the window that contains the instant at, for windows of the given length.
func UsageWindowAt(at, length Millis) UsageWindow { return UsageWindow(at / length) }

// End returns the instant at which a window of the given length ends.
func (w UsageWindow) End(length Millis) Millis { return Millis(w+1) * length }
