package cfrollout

import (
	"math"

	cf "currantford"
	"currantford/core/cfbatch"
)

const (
	// infeasibleFactor is the factor by which the expected duration of a step's quickest group must
	// exceed the time left for the step to be infeasible. Lengths are known to within a factor of
	// 1.6, and a step that fits must never be refused.
	infeasibleFactor = 2
	// minRetry and maxRetry bound the time after which the submitter of an infeasible step should
	// try again.
	minRetry cf.Millis = 2500
	maxRetry cf.Millis = 10_000
)

// Estimate is the expectation for a step that is not accepted yet.
type Estimate struct {
	// Infeasible says that none of its groups could be complete by its due time, even with all of
	// its model's engines.
	Infeasible bool
	// FirstGroup is when the first of its groups could be complete, TimeLeft the time until it is
	// due, and RetryAfter the time after which to submit it again.
	FirstGroup, TimeLeft, RetryAfter cf.Millis
}

// EstimateStep returns the expectation for a step. A step is not infeasible if lengths or paces are
// unknown.
//
// A step is infeasible if its quickest group takes longer than infeasibleFactor times the time
// left, for example because its texts are very long or most engines are lost. Such a step would
// take slots from the steps after it and yield no useful result.
func (p *Planner) EstimateStep(sub cf.Submission, terms Terms, now cf.Millis) Estimate {
	if p.limits.AllGroups || terms.Due == 0 || !p.lengths.started || len(sub.Items) == 0 {
		return Estimate{}
	}
	o := &openBatch{batch: cfbatch.New(sub), terms: terms}
	for _, it := range sub.Items {
		if p.savedTexts[it.ID] != nil || p.orphans[it.ID] != nil {
			return Estimate{} // it continues texts of an earlier step
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
	// The due time is computed from the wall clock of the accepting machine, which may be behind: a
	// step that is just being accepted has all of its time left.
	left := max(terms.Due-now, terms.Span)
	est := Estimate{Infeasible: quickest > infeasibleFactor*float64(max(left, 0)), FirstGroup: cf.Millis(quickest), TimeLeft: left}
	if est.Infeasible {
		est.RetryAfter = min(max(p.openStepsDuration(o), minRetry), maxRetry)
	}
	return est
}

// openStepsDuration returns how long the open steps of a batch's model are expected to take. After
// that its engines are free, and may be different ones.
func (p *Planner) openStepsDuration(o *openBatch) cf.Millis {
	most := 0.0
	for _, x := range p.batches {
		if x.batch.Sub.Model == o.batch.Sub.Model && x.rankedAt > 0 {
			most = max(most, x.selection.duration)
		}
	}
	return cf.Millis(most)
}

// Selection reports the decision on the groups of an open step.
type Selection struct {
	Batch cf.BatchID
	// Deferring says that some groups are deferred so that others are complete in time.
	Deferring bool
	// Duration is how long all groups that the trainer waits for take from the latest ranking on,
	// TimeLeft the time until the step is due.
	Duration, TimeLeft cf.Millis
	// InTime, Late and TooLate are the numbers of groups that the trainer waits for, by when they
	// can be complete: by the due time, soon after it, or later. Optional is the number of groups
	// that it does not wait for.
	InTime, Late, TooLate, Optional int
}

// Selections returns the decisions on the open steps whose groups are ranked.
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
