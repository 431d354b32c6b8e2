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
	// submitBudget is how long an instance tries to write a batch when the
	// store does not answer: a few answers of a slow store.
	submitBudget = 1500 * time.Millisecond
	// submitRefusals is how often the store may refuse before the batch is
	// turned away: one refusal may be a burst over its rate.
	submitRefusals = 3
	// endBudget is the same for the end of a batch.
	endBudget = 2 * time.Second
	// readAgain is how soon a read of a batch at the store must have failed to be made once
	// more: readers wait 1.5 s longer than they allow, and the coordinator was asked before.
	readAgain cf.Millis = 600
	// storeRetry is the pause between tries.
	storeRetry = 120 * time.Millisecond
	// storeBack is when a caller should come back after the store refused:
	// outages last seconds, and how many can't be told.
	storeBack cf.Millis = 1000
)

// Submit accepts a batch: once its object is in the store it is kept, and the
// coordinator, which watches for new ones, runs it.
func (in *Ingress) Submit(ctx context.Context, who cf.Credentials, sub cf.Submission) error {
	config := in.Site.Config()
	route, ok := config.Match(sub.Host, sub.Path)
	if !ok {
		return in.definite(cf.ErrNotFound)
	}
	access, err := in.identify(config, route.Use(), who, string(sub.ID))
	if err != nil {
		return err
	}
	belongs(&sub, access.Organisation)
	sub.Accepted = cf.Now()
	started := cf.Uptime()
	ctx, cancel := context.WithTimeout(ctx, submitBudget)
	defer cancel()
	if refusal := in.infeasible(ctx, sub, route.ResultsSLO); refusal != nil {
		in.Log.Info("batch_refused", cflog.Batch(sub.ID), zap.Int("items", len(sub.Items)), zap.Int64("after_ms", int64(refusal.RetryAfter)),
			zap.String("reason", refusal.Reason), zap.Int64("took_ms", int64(cf.Uptime()-started)))
		in.countBatch("submit", "refused", started)
		return refusal
	}
	// Its way to the coordinator takes as long as the write: begun beside it,
	// the batch is there when it is accepted.
	in.Coordinator.Prepare(sub)
	refused := 0
	doubt := false // a write without an answer may still take effect
	for tries := 1; ; tries++ {
		err = cfbatch.Create(ctx, in.Store, sub, in.ValueBytes)
		if err == nil || errors.Is(err, cf.ErrConflict) {
			// A conflict is the batch itself: submitted before, or written
			// by a try whose answer was lost.
			in.Log.Info("batch_accepted", cflog.Batch(sub.ID), zap.Int("items", len(sub.Items)),
				zap.Int("tries", tries), zap.Bool("again", err != nil), zap.Int64("took_ms", int64(cf.Uptime()-started)))
			in.countBatch("submit", "accepted", started)
			if err == nil {
				in.Coordinator.Accepted(sub.ID, sub.Accepted)
			} else {
				in.Coordinator.Changed(sub.ID, false)
			}
			return nil
		}
		if errors.Is(err, cf.ErrInvalid) {
			in.Log.Warn("batch_invalid", cflog.Batch(sub.ID), cflog.Error(err))
			return err
		}
		doubt = doubt || errors.Is(err, cf.ErrUnavailable)
		if errors.Is(err, cf.ErrRefused) {
			refused++
		}
		if refused == submitRefusals && !doubt || !cf.Sleep(ctx, storeRetry) {
			break
		}
	}
	in.Log.Warn("batch_not_accepted", cflog.Batch(sub.ID), zap.Bool("in_doubt", doubt), cflog.Error(err))
	in.countBatch("submit", "not_accepted", started)
	if doubt {
		return eris.Wrap(cf.ErrUnavailable, "the store did not answer")
	}
	return &cf.Refusal{RetryAfter: storeBack, Reason: "the store takes no batches now"}
}

// belongs gives a batch to an organisation.
func belongs(sub *cf.Submission, o cf.Organisation) {
	sub.ID = o.Batch(sub.ID)
	for i := range sub.Items {
		it := &sub.Items[i]
		it.ID = o.Item(it.ID)
		if it.Group != "" {
			it.Group = o.Group(it.Group)
		}
	}
}

// Results reads a batch at the coordinator, or from the store where the
// coordinator can't be asked.
func (in *Ingress) Results(ctx context.Context, who cf.Credentials, id cf.BatchID, after int, longest cf.Millis) (cf.ResultPage, error) {
	owner, anonymous, err := in.reader(who, id)
	if err != nil {
		return cf.ResultPage{}, err
	}
	page, err := in.results(ctx, owner.Batch(id), after, longest)
	if err != nil {
		return page, in.notFound(anonymous, err)
	}
	for i := range page.Results {
		page.Results[i].ID = cf.ItemID(page.Results[i].ID.RequestID())
	}
	return page, nil
}

func (in *Ingress) results(ctx context.Context, id cf.BatchID, after int, longest cf.Millis) (cf.ResultPage, error) {
	started := cf.Uptime()
	page, err := in.Coordinator.Results(ctx, id, after, longest)
	if err == nil {
		in.countBatch("results", "coordinator", started)
		return page, nil
	}
	b, err := in.readStore(ctx, id, true)
	if err != nil {
		in.Log.Warn("results_not_read", cflog.Batch(id), zap.Int("after", after), cflog.Error(err))
		in.countBatch("results", "failed", started)
		return cf.ResultPage{}, err
	}
	in.countBatch("results", "store", started)
	return b.Page(after), nil
}

// readStore reads a batch from the store, with its results or without. A store that does not
// answer is asked once more: one late answer is no reason to send the reader away. One that
// turns calls away is not.
func (in *Ingress) readStore(ctx context.Context, id cf.BatchID, results bool) (*cfbatch.Batch, error) {
	started := cf.Uptime()
	b, err := in.fetch(ctx, id, results)
	if errors.Is(err, cf.ErrUnavailable) && cf.Uptime()-started < readAgain {
		b, err = in.fetch(ctx, id, results)
	}
	if err != nil {
		return nil, unsure(err)
	}
	return b, nil
}

func (in *Ingress) fetch(ctx context.Context, id cf.BatchID, results bool) (*cfbatch.Batch, error) {
	object, err := in.Store.Get(ctx, cf.KindBatch, string(id))
	if err != nil {
		return nil, err
	}
	return cfbatch.Fetch(ctx, in.Store, object, results)
}

// unsure turns a failed read into a refusal: a read changes nothing, and only
// the store's own word may say that a batch does not exist.
func unsure(err error) error {
	if errors.Is(err, cf.ErrNotFound) {
		return err
	}
	return &cf.Refusal{RetryAfter: storeBack / 2, Reason: err.Error()}
}

// ItemBody returns the body of an item.
func (in *Ingress) ItemBody(ctx context.Context, who cf.Credentials, id cf.BatchID, item cf.ItemID) ([]byte, error) {
	owner, anonymous, err := in.reader(who, id)
	if err != nil {
		return nil, err
	}
	body, err := in.itemBody(ctx, owner.Batch(id), owner.Item(item))
	if err != nil {
		return nil, in.notFound(anonymous, err)
	}
	return body, nil
}

func (in *Ingress) itemBody(ctx context.Context, id cf.BatchID, item cf.ItemID) ([]byte, error) {
	body, err := in.Coordinator.ItemBody(ctx, id, item)
	if err == nil || errors.Is(err, cf.ErrNotFound) {
		return body, err
	}
	b, err := in.readStore(ctx, id, false)
	if err != nil {
		return nil, err
	}
	it, ok := b.Item(item)
	if !ok {
		return nil, cf.ErrNotFound
	}
	return it.Body, nil
}

// End ends a batch. The end lies in the store, so that a coordinator that
// takes over does not start its items again.
func (in *Ingress) End(ctx context.Context, who cf.Credentials, id cf.BatchID) error {
	owner, anonymous, err := in.reader(who, id)
	if err != nil {
		return err
	}
	if err := in.end(ctx, owner.Batch(id)); err != nil {
		return in.notFound(anonymous, err)
	}
	return nil
}

func (in *Ingress) end(ctx context.Context, id cf.BatchID) error {
	ctx, cancel := context.WithTimeout(ctx, endBudget)
	defer cancel()
	for {
		err := in.Store.SetStatus(ctx, cf.KindBatch, string(id), cf.BatchStatus{Ended: true})
		if err == nil || errors.Is(err, cf.ErrNotFound) {
			in.Log.Info("batch_end_taken", cflog.Batch(id), cflog.Error(err))
			in.Coordinator.Changed(id, true)
			return err
		}
		if !cf.Sleep(ctx, storeRetry) {
			in.Log.Warn("batch_end_not_taken", cflog.Batch(id), cflog.Error(err))
			if errors.Is(err, cf.ErrUnavailable) {
				return err // it may have been taken
			}
			return unsure(err)
		}
	}
}

func (in *Ingress) countBatch(call, outcome string, started cf.Millis) {
	in.Metrics.Requests.WithLabelValues(call, outcome).Inc()
	in.Metrics.Duration.WithLabelValues(call).Observe(float64(cf.Uptime()-started) / 1000)
}
