package currantford

import "context"

type (
	// UsageWindow numbers the spans of equal length in which use is counted, since the
	// Unix epoch.
	UsageWindow int64

	// UsageReport says how many requests of each organisation began to run in a window.
	UsageReport struct {
		Window UsageWindow            `json:"window" cbor:"window"`
		Counts map[Organisation]int64 `json:"counts" cbor:"counts"`
	}

	// LeaseToken names who acts on the platform, and under which term.
	LeaseToken struct {
		Holder EntryID
		Fence  Revision
	}

	// Metering takes reports of use. A report that is repeated must be the same.
	// Errors: ErrFenced (a later holder has acted), ErrInvalid, ErrRefused (nothing
	// was done) and ErrUnavailable (no answer: it may have been taken).
	Metering interface {
		ReportUsage(ctx context.Context, act LeaseToken, report UsageReport) error
	}
)

// UsageWindowAt returns the window of a moment, for windows of a length.
func UsageWindowAt(at, length Millis) UsageWindow { return UsageWindow(at / length) }

// End returns when a window ends.
func (w UsageWindow) End(length Millis) Millis { return Millis(w+1) * length }
