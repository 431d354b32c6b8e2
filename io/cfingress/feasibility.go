package cfingress

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cflog"
)

const (
	// checkTimeout is how long the coordinator may take to report that a step is infeasible, and
	// storeReadTimeout how long the store may take to report that it does not contain the step.
	checkTimeout     = 100 * time.Millisecond
	storeReadTimeout = 400 * time.Millisecond
)

// infeasible returns a Refusal if the coordinator reports that not one group of a step could be
// complete in time. The step is accepted if the coordinator does not answer in time, or if the
// store does not confirm that it lacks the batch.
func (in *Ingress) infeasible(ctx context.Context, sub cf.Submission, slo cf.Millis) *cf.Refusal {
	if slo <= 0 || in.Feasibility == nil {
		return nil
	}
	check, cancel := context.WithTimeout(ctx, checkTimeout)
	retryAfter, infeasible := in.Feasibility.Infeasible(check, withoutBodies(sub))
	late := check.Err() != nil
	cancel()
	if !infeasible || late {
		return nil
	}
	read, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	if _, err := in.Store.Get(read, cf.KindBatch, string(sub.ID)); !errors.Is(err, cf.ErrNotFound) {
		in.Log.Info("step_not_refused", cflog.Batch(sub.ID), zap.Bool("in_store", err == nil), cflog.Error(err))
		return nil
	}
	return &cf.Refusal{RetryAfter: retryAfter, Reason: "no group of the step could be whole in time"}
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
