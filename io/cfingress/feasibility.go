package cfingress

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/io/cflog"
)

const (
	// checkTimeout is how long the coordinator may take to report that a step is infeasible, and
	// storeReadTimeout how long the store may take to report that it does not contain the step.
	checkTimeout     = 100 * time.Millisecond
	storeReadTimeout = 400 * time.Millisecond
)

// checkBatch returns a Refusal if the coordinator reports that a batch can't be accepted now, or
// ErrUnavailable if it can't be and another instance may have accepted it. The batch is accepted if
// the coordinator does not answer in time, or if the store does not confirm that it lacks the batch.
func (in *Ingress) checkBatch(ctx context.Context, sub cf.Submission) error {
	if in.Feasibility == nil {
		return nil
	}
	check, cancel := context.WithTimeout(ctx, checkTimeout)
	a := in.Feasibility.CheckBatch(check, withoutBodies(sub), cfbatch.Cost(&sub))
	late := check.Err() != nil
	cancel()
	if !a.Refused || late {
		return nil
	}
	read, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	if _, err := in.Store.Get(read, cf.KindBatch, string(sub.ID)); !errors.Is(err, cf.ErrNotFound) {
		in.Log.Info("step_not_refused", cflog.Batch(sub.ID), zap.Bool("in_store", err == nil), cflog.Error(err))
		return nil
	}
	if a.InDoubt {
		return eris.Wrap(cf.ErrUnavailable, a.Reason)
	}
	return &cf.Refusal{RetryAfter: a.RetryAfter, Reason: a.Reason}
}

// withoutBodies returns the part of a step that the coordinator needs to estimate whether the step
// is feasible.
func withoutBodies(sub cf.Submission) cf.Submission {
	items := sub.Items
	sub.Items = make([]cf.Item, len(items))
	for i, it := range items {
		sub.Items[i] = cf.Item{ID: it.ID, Group: it.Group, MaxTokens: it.MaxTokens, PromptTokens: it.PromptTokens, LengthHint: it.LengthHint}
	}
	return sub
}
