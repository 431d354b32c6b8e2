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
	// submitTimeout is how long an instance tries to write a batch while the store does not answer.
	// It allows a few answers of a slow store.
	submitTimeout = 1500 * time.Millisecond
	// maxSubmitRefusals is the number of refusals by the store after which a batch is refused. A
	// single refusal may be due to a burst over the store's rate limit.
	maxSubmitRefusals = 3
	// endTimeout is how long an instance tries to record the end of a batch.
	endTimeout = 2 * time.Second
	// maxRetriedRead limits which failed reads of a batch from the store are repeated: only those
	// that failed within this time. Readers wait for 1.5 s more than the wait that they ask for,
	// and the coordinator has been asked before.
	maxRetriedRead cf.Millis = 600
	// storeRetryPause is the pause between attempts to write to the store.
	storeRetryPause = 120 * time.Millisecond
	// storeRetryAfter is the retry delay for a caller after the store has refused a batch. Outages
	// last seconds, and their end can't be predicted.
	storeRetryAfter cf.Millis = 1000
)

// Submit accepts a batch. A batch is kept once its object is in the store; the coordinator, which
// watches for new batches, runs it.
func (in *Ingress) Submit(ctx context.Context, who cf.Credentials, sub cf.Submission) error {
	config := in.Site.Config()
	route, ok := config.Match(sub.Host, sub.Path)
	if !ok {
		return in.unlessStale(cf.ErrNotFound)
	}
	access, err := in.identify(config, route.Use(), who, string(sub.ID))
	if err != nil {
		return err
	}
	if err := in.stopRefusal(submitTimeout); err != nil {
		return err
	}
	assignOrganisation(&sub, access.Organisation)
	sub.Accepted = cf.Now()
	started := cf.Uptime()
	ctx, cancel := context.WithTimeout(ctx, submitTimeout)
	defer cancel()
	if err := in.checkBatch(ctx, sub); err != nil {
		in.Log.Info("batch_refused", cflog.Batch(sub.ID), zap.Int("items", len(sub.Items)),
			zap.Int64("took_ms", int64(cf.Uptime()-started)), cflog.Error(err))
		in.countBatch("submit", "refused", started)
		return err
	}
	// Sending the batch to the coordinator takes as long as writing it. Both start at the same
	// time, so that the coordinator has the batch when it is accepted.
	in.Coordinator.Prepare(sub)
	refused := 0
	inDoubt := false // a write without an answer may still take effect
	for tries := 1; ; tries++ {
		err = cfbatch.Create(ctx, in.Store, sub, in.ValueBytes)
		if err == nil || errors.Is(err, cf.ErrConflict) {
			// A conflict means that the same batch was submitted before, or written by an attempt
			// whose answer was lost.
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
		inDoubt = inDoubt || errors.Is(err, cf.ErrUnavailable)
		if errors.Is(err, cf.ErrRefused) {
			refused++
		}
		if refused == maxSubmitRefusals && !inDoubt || !cf.Sleep(ctx, storeRetryPause) {
			break
		}
	}
	in.Log.Warn("batch_not_accepted", cflog.Batch(sub.ID), zap.Bool("in_doubt", inDoubt), cflog.Error(err))
	in.countBatch("submit", "not_accepted", started)
	if inDoubt {
		return eris.Wrap(cf.ErrUnavailable, "the store did not answer")
	}
	return &cf.Refusal{RetryAfter: storeRetryAfter, Reason: "the store takes no batches now"}
}

// assignOrganisation makes a batch, its items and its groups belong to an organisation.
func assignOrganisation(sub *cf.Submission, o cf.Organisation) {
	sub.ID = o.Batch(sub.ID)
	for i := range sub.Items {
		it := &sub.Items[i]
		it.ID = o.Item(it.ID)
		if it.Group != "" {
			it.Group = o.Group(it.Group)
		}
	}
}

// Results reads a batch from the coordinator, or from the store if the coordinator can't be asked.
func (in *Ingress) Results(ctx context.Context, who cf.Credentials, id cf.BatchID, after int, maxWait cf.Millis) (cf.ResultPage, error) {
	owner, anonymous, err := in.identifyReader(who, id)
	if err != nil {
		return cf.ResultPage{}, err
	}
	page, err := in.results(ctx, owner.Batch(id), after, maxWait)
	if err != nil {
		return page, in.hideNotFound(anonymous, err)
	}
	for i := range page.Results {
		page.Results[i].ID = cf.ItemID(page.Results[i].ID.RequestID())
	}
	return page, nil
}

func (in *Ingress) results(ctx context.Context, id cf.BatchID, after int, maxWait cf.Millis) (cf.ResultPage, error) {
	if err := in.stopRefusal(readTimeout.Duration()); err != nil {
		return cf.ResultPage{}, err
	}
	started := cf.Uptime()
	page, err := in.Coordinator.Results(ctx, id, after, in.limitWait(maxWait))
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

// readStore reads a batch from the store, with or without its results. A read without an answer is
// repeated once, since one late answer is no reason to refuse the reader. A read that the store
// refused is not repeated.
func (in *Ingress) readStore(ctx context.Context, id cf.BatchID, results bool) (*cfbatch.Batch, error) {
	started := cf.Uptime()
	b, err := in.fetch(ctx, id, results)
	if errors.Is(err, cf.ErrUnavailable) && cf.Uptime()-started < maxRetriedRead {
		b, err = in.fetch(ctx, id, results)
	}
	if err != nil {
		return nil, readRefusal(err)
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

// readRefusal turns a failed read into a Refusal, since a read changes nothing. ErrNotFound is
// returned as it is: only the store can tell that a batch does not exist.
func readRefusal(err error) error {
	if errors.Is(err, cf.ErrNotFound) {
		return err
	}
	return &cf.Refusal{RetryAfter: storeRetryAfter / 2, Reason: err.Error()}
}

// ItemBody returns the body of an item.
func (in *Ingress) ItemBody(ctx context.Context, who cf.Credentials, id cf.BatchID, item cf.ItemID) ([]byte, error) {
	owner, anonymous, err := in.identifyReader(who, id)
	if err != nil {
		return nil, err
	}
	body, err := in.itemBody(ctx, owner.Batch(id), owner.Item(item))
	if err != nil {
		return nil, in.hideNotFound(anonymous, err)
	}
	return body, nil
}

func (in *Ingress) itemBody(ctx context.Context, id cf.BatchID, item cf.ItemID) ([]byte, error) {
	if err := in.stopRefusal(readTimeout.Duration()); err != nil {
		return nil, err
	}
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

// End ends a batch. The end is recorded in the store, so that a new coordinator does not start the
// batch's items again.
func (in *Ingress) End(ctx context.Context, who cf.Credentials, id cf.BatchID) error {
	owner, anonymous, err := in.identifyReader(who, id)
	if err != nil {
		return err
	}
	if err := in.end(ctx, owner.Batch(id)); err != nil {
		return in.hideNotFound(anonymous, err)
	}
	return nil
}

func (in *Ingress) end(ctx context.Context, id cf.BatchID) error {
	if err := in.stopRefusal(endTimeout); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, endTimeout)
	defer cancel()
	for {
		err := in.Store.SetStatus(ctx, cf.KindBatch, string(id), cf.BatchStatus{Ended: true})
		if err == nil || errors.Is(err, cf.ErrNotFound) {
			in.Log.Info("batch_end_taken", cflog.Batch(id), cflog.Error(err))
			in.Coordinator.Changed(id, true)
			return err
		}
		if !cf.Sleep(ctx, storeRetryPause) {
			in.Log.Warn("batch_end_not_taken", cflog.Batch(id), cflog.Error(err))
			if errors.Is(err, cf.ErrUnavailable) {
				return err // the end may have been recorded
			}
			return readRefusal(err)
		}
	}
}

func (in *Ingress) countBatch(call, outcome string, started cf.Millis) {
	in.Metrics.Requests.WithLabelValues(call, outcome).Inc()
	in.Metrics.Duration.WithLabelValues(call).Observe(float64(cf.Uptime()-started) / 1000)
}
