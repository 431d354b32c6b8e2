package cfusage

import (
	"slices"

	cf "currantford"
)

// These are the kinds of a reporter's steps.
const (
	// Wait means that nothing is due.
	Wait StepKind = iota
	// Read means to read the outbox from the store.
	Read
	// Write means to write Step.Outbox on condition of Step.Rev, or to create it if that is zero.
	Write
	// Send means to send Step.Report to the platform.
	Send
)

// maxPending limits the number of reports that wait to be sent. Beyond it the oldest are dropped.
const maxPending = 120

type (
	// StepKind is the kind of a reporter's next step.
	StepKind int

	// Step is a reporter's next step.
	Step struct {
		Kind   StepKind
		Outbox Outbox
		Rev    cf.Revision
		Report cf.UsageReport
	}

	// Outbox is the object in the store: the reports that may not have been sent yet, and the last
	// window for which a report was written.
	Outbox struct {
		Settled cf.UsageWindow   `json:"settled"`
		Pending []cf.UsageReport `json:"pending"`
	}

	// WindowTiming holds the durations that govern the windows of a deployment.
	WindowTiming struct {
		// Length is the length of a window.
		Length cf.Millis
		// MaxWait is how long after its end a window waits for instances that have not reported
		// yet.
		MaxWait cf.Millis
		// RetryDelay is the delay after which a report that was not accepted is sent again.
		RetryDelay cf.Millis
	}

	// Reporter decides what the holder of the duty reports to the platform. Two holders never send
	// different reports of a window, even if answers, holders or the memory of a holder are lost: a
	// report is sent only after it was read from the store, or written there with a confirmed
	// answer. It is not safe for concurrent use.
	Reporter struct {
		timing WindowTiming
		// loaded says that outbox is the object in the store, at revision rev.
		loaded bool
		outbox Outbox
		rev    cf.Revision
		// sent holds the windows whose reports the platform has accepted from this holder.
		sent    map[cf.UsageWindow]bool
		retryAt map[cf.UsageWindow]cf.Millis
	}
)

// NewReporter returns a reporter for a holder that begins its duty.
func NewReporter(timing WindowTiming) *Reporter {
	return &Reporter{timing: timing, sent: map[cf.UsageWindow]bool{}, retryAt: map[cf.UsageWindow]cf.Millis{}}
}

// Next returns the step to take at now, the corrected time of day.
func (r *Reporter) Next(now cf.Millis, a *Aggregator) Step {
	if !r.loaded {
		return Step{Kind: Read}
	}
	for _, report := range r.outbox.Pending {
		if !r.sent[report.Window] && now >= r.retryAt[report.Window] {
			return Step{Kind: Send, Report: report}
		}
	}
	if next, due := r.due(now, a); due {
		return Step{Kind: Write, Outbox: next, Rev: r.rev}
	}
	return Step{Kind: Wait}
}

// due returns the next content of the outbox, and whether it contains a new report.
func (r *Reporter) due(now cf.Millis, a *Aggregator) (Outbox, bool) {
	next := Outbox{Settled: r.outbox.Settled}
	for _, report := range r.outbox.Pending {
		if !r.sent[report.Window] {
			next.Pending = append(next.Pending, report)
		}
	}
	due := false
	for w := next.Settled + 1; w.End(r.timing.Length) <= now; w++ {
		if !a.Complete(w) && now < w.End(r.timing.Length)+r.timing.MaxWait {
			break
		}
		next.Settled, due = w, true
		next.Pending = append(next.Pending, cf.UsageReport{Window: w, Counts: a.Counts(w)})
	}
	if n := len(next.Pending); n > maxPending {
		next.Pending = slices.Clone(next.Pending[n-maxPending:])
	}
	return next, due
}

// SetOutbox records the outbox as read from the store, or as written there with a confirmed answer.
func (r *Reporter) SetOutbox(o Outbox, rev cf.Revision) { r.loaded, r.outbox, r.rev = true, o, rev }

// InitOutbox records that the store has no outbox yet. The first window to be reported is the
// current one, or the oldest one with counts if that is earlier.
func (r *Reporter) InitOutbox(now cf.Millis, a *Aggregator) {
	first := cf.UsageWindowAt(now, r.timing.Length)
	if oldest, counted := a.Oldest(); counted {
		first = min(first, oldest)
	}
	r.SetOutbox(Outbox{Settled: first - 1}, 0)
}

// InvalidateOutbox records that a write had no answer or failed with a conflict, so that the outbox
// must be read again.
func (r *Reporter) InvalidateOutbox() { r.loaded = false }

// Sent records that the platform has accepted the report of a window.
func (r *Reporter) Sent(w cf.UsageWindow) { r.sent[w] = true }

// NotSent records that the report of a window was not accepted or had no answer. It is sent again
// later.
func (r *Reporter) NotSent(w cf.UsageWindow, now cf.Millis) { r.retryAt[w] = now + r.timing.RetryDelay }

// Settled returns the last window for which a report is in the store, or zero while that is not
// known.
func (r *Reporter) Settled() cf.UsageWindow { return r.outbox.Settled }
