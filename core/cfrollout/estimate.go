package cfrollout

import (
	"math"

	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// infeasibleFactor is how many times too late the quickest group of a step must be expected
	// to be: lengths are known within a factor of 1.6, and a step that fits must never be
	// refused.
	infeasibleFactor = 2
	// minRetry and retryMost bound when the submitter of an infeasible step should come back.
	minRetry cf.Millis = 2500
	maxRetry cf.Millis = 10_000
)

// Estimate is what is expected of a step that is not accepted yet.
type Estimate struct {
	// Infeasible: not one of its groups could be whole by its due time, even with all of its
	// model's engines.
	Infeasible bool
	// FirstGroup is when the first of its groups could be whole, Left the time until it is
	// due, and Retry when to come back.
	FirstGroup, TimeLeft, RetryAfter cf.Millis
}

// EstimateStep returns what is expected of a step. Where lengths or paces are not known it is
// not infeasible.
//
// The load it answers: a step whose shortest group takes longer than the step has, such as
// one of very long texts, or one that comes when most engines are lost. It would take slots
// from the steps after it and be worth nothing.
func (p *Planner) EstimateStep(sub cf.Submission, terms Terms, now cf.Millis) Estimate {
	if p.limits.AllGroups || terms.Due == 0 || !p.lengths.started || len(sub.Items) == 0 {
		return Estimate{}
	}
	o := &openBatch{batch: cfbatch.New(sub), terms: terms}
	for _, it := range sub.Items {
		if p.savedTexts[it.ID] != nil || p.orphans[it.ID] != nil {
			return Estimate{} // it goes on with texts of the step before
		}
		o.waiting = append(o.waiting, &Work{Batch: o.batch, Item: it, Terms: terms})
	}
	rate, pace := p.capacity(o)
	if rate == 0 {
		return Estimate{}
	}
	quickest := math.Inf(1)
	for _, g := range p.stepNeed(o, pace).groups {
		quickest = min(quickest, max(g.work/(rate*pace), g.longest))
	}
	// The due time is taken from the accepting machine's wall clock, which may be behind: a
	// step that is just being accepted has all of its time left.
	left := max(terms.Due-now, terms.Span)
	est := Estimate{Infeasible: quickest > infeasibleFactor*float64(max(left, 0)), FirstGroup: cf.Millis(quickest), TimeLeft: left}
	if est.Infeasible {
		est.RetryAfter = min(max(p.openStepsDuration(o), minRetry), maxRetry)
	}
	return est
}

// openStepsDuration is how long the open steps of a batch's model are expected to take: after that
// its engines are free, and may be others.
func (p *Planner) openStepsDuration(o *openBatch) cf.Millis {
	most := 0.0
	for _, x := range p.batches {
		if x.batch.Sub.Model == o.batch.Sub.Model && x.rankedAt > 0 {
			most = max(most, x.selection.duration)
		}
	}
	return cf.Millis(most)
}

// Selection is what was decided for the groups of an open step.
type Selection struct {
	Batch cf.BatchID
	// Deferring: groups are put off so that others are whole in time.
	Deferring bool
	// Duration is how long all that the trainer waits for takes from the last ranking on, Left
	// the time until it is due.
	Duration, TimeLeft cf.Millis
	// InTime, Late and Last are groups that are waited for, by when they can be whole: by
	// the due time, soon after it, or later. Spare ones are not waited for.
	InTime, Late, TooLate, Optional int
}

// Selections returns what was decided for the open steps whose groups are ranked.
func (p *Planner) Selections(now cf.Millis) []Selection {
	var out []Selection
	for id, o := range p.batches {
		if o.rankedAt == 0 {
			continue
		}
		n := o.selection.counts
		out = append(out, Selection{
			Batch: id, Deferring: o.selection.deferring, Duration: cf.Millis(o.selection.duration), TimeLeft: o.terms.Due - now,
			InTime: n[groupInTime], Late: n[groupLate], TooLate: n[groupTooLate], Optional: n[groupOptional],
		})
	}
	return out
}
