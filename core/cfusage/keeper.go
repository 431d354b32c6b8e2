package cfusage

import (
	"slices"

	cf "currantford"
)

// Steps of a keeper.
const (
	// Wait: nothing is due.
	Wait StepKind = iota
	// Read what lies in the store.
	Read
	// Write writes Step.Kept on condition of Step.Rev, or creates it where that is zero.
	Write
	// Send reports Step.Report.
	Send
)

// keptMost bounds the reports that wait to be sent. The oldest are given up first.
const keptMost = 120

type (
	// ActionKind is what a keeper does next.
	StepKind int

	// Step is a keeper's next step.
	Step struct {
		Kind   StepKind
		Outbox Outbox
		Rev    cf.Revision
		Report cf.UsageReport
	}

	// Outbox is what lies in the store: the reports that may not have been sent yet, and
	// the last window of which there is a report.
	Outbox struct {
		Settled cf.UsageWindow   `json:"settled"`
		Pending []cf.UsageReport `json:"pending"`
	}

	// WindowTiming are a deployment's windows.
	WindowTiming struct {
		// Length is that of a window.
		Length cf.Millis
		// MaxWait is how long after its end a window waits for instances that have not
		// reported it.
		MaxWait cf.Millis
		// RetryDelay is the pause after a report that was not taken.
		RetryDelay cf.Millis
	}

	// Reporter decides what a holder reports. It holds under loss of answers, of holders
	// and of their memory because a report is sent only as it was read from the store,
	// or written there with an answer: what two holders send of a window is the same.
	// It is not safe for concurrent use.
	Reporter struct {
		terms WindowTiming
		// known says that kept, at rev, is what lies in the store.
		known bool
		kept  Outbox
		rev   cf.Revision
		// sent are the windows that the platform has taken from this holder.
		sent  map[cf.UsageWindow]bool
		again map[cf.UsageWindow]cf.Millis
	}
)

// NewReconciler returns the keeper of a duty that begins.
func NewReporter(terms WindowTiming) *Reporter {
	return &Reporter{terms: terms, sent: map[cf.UsageWindow]bool{}, again: map[cf.UsageWindow]cf.Millis{}}
}

// Next returns what is to be done at a moment of true time.
func (k *Reporter) Next(now cf.Millis, a *Aggregator) Step {
	if !k.known {
		return Step{Kind: Read}
	}
	for _, r := range k.kept.Pending {
		if !k.sent[r.Window] && now >= k.again[r.Window] {
			return Step{Kind: Send, Report: r}
		}
	}
	if next, due := k.due(now, a); due {
		return Step{Kind: Write, Outbox: next, Rev: k.rev}
	}
	return Step{Kind: Wait}
}

// due returns what is to lie in the store, where a window is to be reported.
func (k *Reporter) due(now cf.Millis, a *Aggregator) (Outbox, bool) {
	next := Outbox{Settled: k.kept.Settled}
	for _, r := range k.kept.Pending {
		if !k.sent[r.Window] {
			next.Pending = append(next.Pending, r)
		}
	}
	due := false
	for w := next.Settled + 1; w.Ends(k.terms.Length) <= now; w++ {
		if !a.Complete(w) && now < w.Ends(k.terms.Length)+k.terms.MaxWait {
			break
		}
		next.Settled, due = w, true
		next.Pending = append(next.Pending, cf.UsageReport{Window: w, Counts: a.Counts(w)})
	}
	if n := len(next.Pending); n > keptMost {
		next.Pending = slices.Clone(next.Pending[n-keptMost:])
	}
	return next, due
}

// SetOutbox takes what was read, or written with an answer.
func (k *Reporter) SetOutbox(kept Outbox, rev cf.Revision) { k.known, k.kept, k.rev = true, kept, rev }

// LoadedEmpty notes that nothing lies in the store yet: the first window to be reported is
// the one of now, or the oldest that was counted.
func (k *Reporter) InitOutbox(now cf.Millis, a *Aggregator) {
	first := cf.WindowOf(now, k.terms.Length)
	if oldest, counted := a.Oldest(); counted {
		first = min(first, oldest)
	}
	k.SetOutbox(Outbox{Settled: first - 1}, 0)
}

// WriteInDoubt notes that a write had no answer, or met another: what lies in the store is to
// be read.
func (k *Reporter) InvalidateOutbox() { k.known = false }

// Sent notes that the platform has taken a report.
func (k *Reporter) Sent(w cf.UsageWindow) { k.sent[w] = true }

// NotSent notes that a report was not taken, or had no answer. It is sent again.
func (k *Reporter) NotSent(w cf.UsageWindow, now cf.Millis) { k.again[w] = now + k.terms.RetryDelay }

// Settled returns the last window of which a report lies in the store, zero while that
// is not known.
func (k *Reporter) Settled() cf.UsageWindow { return k.kept.Settled }
