// Package cfwatch keeps a view of one kind of objects in the store current. A watcher lists the
// objects once and then follows their changes; it lists them again if the store has dropped the
// history of changes.
//
// Usage:
//
//	store = cfwatch.MonitorStore(store, site, log) // all calls go through it
//	w := cfwatch.Watcher{Store: store, Kind: "config", Wait: 2000, OnList: ..., OnChange: ...}
//	go w.Run(ctx)
//	age := w.Age(currantford.Uptime())
package cfwatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/io/cflog"
)

// These delays follow a failed call to the store. Calls to an unavailable store are billed too, and
// all instances notice an outage at the same time, so the delay grows and is random.
const (
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 900 * time.Millisecond
)

const (
	// answerGrace is how long after it was due an answer counts as missing; a slow store takes some
	// hundred milliseconds.
	answerGrace cf.Millis = 400
	// failureLifetime is how long a failed call shows that the store does not answer: the longest
	// retry delay and the next call.
	failureLifetime cf.Millis = 2500
)

// Watcher follows the objects of one kind. Its fields must be set before Run is called.
type Watcher struct {
	Store cf.Store
	Kind  string
	// Wait is the longest time that a watch call stays open. A watch that has gone silent is only
	// detected after it.
	Wait cf.Millis
	// CoalesceDelay is the pause before the next call, in which changes accumulate; each call is
	// billed.
	CoalesceDelay cf.Millis
	// OnList handles all objects of the kind, OnChange one changed object.
	OnList   func(cf.Records) error
	OnChange func(cf.Record) error
	// OnCaughtUp is called once the changes since a list have been handled too: OnList may take
	// seconds, and the list is then out of date.
	OnCaughtUp func()
	// OnRevision is called after each answer, with the revision as of which the view is current.
	OnRevision func(at cf.Revision)
	// MaxRetryDelay is the longest delay after failed calls if it exceeds maxRetryDelay.
	MaxRetryDelay time.Duration
	Log           *zap.Logger
	// Metrics may be nil.
	Metrics *Metrics

	currentAt atomic.Int64
	// failedAt is when a call last failed. answerDue is when the answer of the call in progress
	// counts as missing, zero if there is no call.
	failedAt, answerDue atomic.Int64
	// relisting is set while the objects are listed again because the store has dropped its
	// history.
	relisting  atomic.Bool
	rev        cf.Revision
	listed     bool
	catchingUp bool // set from a list until the changes since it have been handled
	failing    bool
}

// Metrics counts the objects that the watchers could not apply.
type Metrics struct{ rejected *prometheus.CounterVec }

// NewMetrics registers the watchers' metrics and returns them.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_changes_not_taken_total", Help: "Objects of the store that could not be taken, by kind; what was there before goes on.",
	}, []string{"kind"})}
	reg.MustRegister(m.rejected)
	return m
}

func (w *Watcher) reject(msg, name string, err error) {
	w.Log.Error(msg, zap.String("kind", w.Kind), zap.String("name", name), cflog.Error(err))
	if w.Metrics != nil {
		w.Metrics.rejected.WithLabelValues(w.Kind).Inc()
	}
}

// Age returns how long ago the view was last known to be current.
func (w *Watcher) Age(now cf.Millis) cf.Millis {
	at := cf.Millis(w.currentAt.Load())
	if at == 0 {
		return 1 << 40
	}
	return now - at
}

// Lag returns by how much the answer that would show the next change is late. Up to the time when
// it is due, nothing has been missed.
func (w *Watcher) Lag(now cf.Millis) cf.Millis { return max(w.Age(now)-w.Wait, 0) }

// StoreUnresponsive reports whether the store is being queried and does not answer.
func (w *Watcher) StoreUnresponsive(now cf.Millis) bool {
	currentAt, failedAt, due := w.currentAt.Load(), cf.Millis(w.failedAt.Load()), cf.Millis(w.answerDue.Load())
	return int64(failedAt) > currentAt && now-failedAt < failureLifetime || due > 0 && now >= due
}

// InitialList reports whether the first list is still pending, and whether a call for it has
// failed.
func (w *Watcher) InitialList() (pending, failed bool) {
	return w.currentAt.Load() == 0, w.failedAt.Load() > 0
}

// Current reports whether the view was known to be current within maxAge, or within maxRelistAge
// while the objects are listed again. A list takes longer the more objects there are, which does
// not make the view worse than it was a moment before.
func (w *Watcher) Current(now, maxAge, maxRelistAge cf.Millis) bool {
	if w.relisting.Load() {
		maxAge = maxRelistAge
	}
	return w.Age(now) < maxAge
}

// Run follows the objects until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	delay := minRetryDelay
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			delay = minRetryDelay
			cf.Sleep(ctx, w.CoalesceDelay.Duration())
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if !w.failing {
			w.Log.Warn("store_lost", zap.String("kind", w.Kind), cflog.Error(err))
		}
		w.failing = true
		w.failedAt.Store(int64(cf.Uptime()))
		cf.Sleep(ctx, delay/2+rand.N(delay))
		delay = min(2*delay, max(w.MaxRetryDelay, maxRetryDelay))
	}
}

// recordAnswer records that the store answered.
func (w *Watcher) recordAnswer() {
	if !w.failing {
		return
	}
	w.failing = false
	w.Log.Info("store_regained", zap.String("kind", w.Kind))
}

func (w *Watcher) step(ctx context.Context) error {
	// A list or an empty watch shows the view at the time of the call.
	askedAt := cf.Uptime()
	defer w.answerDue.Store(0)
	if !w.listed {
		w.answerDue.Store(int64(askedAt + answerGrace))
		list, err := w.Store.List(ctx, w.Kind)
		if err != nil {
			return err
		}
		w.recordAnswer()
		if err := w.OnList(list); err != nil {
			w.reject("list_not_taken", "", err)
		}
		w.listed, w.catchingUp = true, w.OnCaughtUp != nil
		w.recordRevision(list.Rev, askedAt)
		return nil
	}
	wait := w.Wait
	if w.catchingUp {
		wait = 1 // Return the changes that already exist.
	}
	w.answerDue.Store(int64(askedAt + wait + answerGrace))
	changes, err := w.Store.Watch(ctx, w.Kind, w.rev, wait)
	if errors.Is(err, cf.ErrHistoryGone) {
		w.Log.Info("watch_history_gone", zap.String("kind", w.Kind), zap.Int64("since", int64(w.rev)))
		w.listed = false
		w.relisting.Store(true)
		return nil
	}
	if err != nil {
		return err
	}
	w.recordAnswer()
	for _, r := range changes.Items {
		if err := w.OnChange(r); err != nil {
			w.reject("change_not_taken", r.Name, err)
		}
	}
	w.recordRevision(changes.Rev, cf.Uptime())
	if w.catchingUp {
		w.catchingUp = false
		w.OnCaughtUp()
	}
	return nil
}

func (w *Watcher) recordRevision(rev cf.Revision, currentAt cf.Millis) {
	w.rev = max(w.rev, rev)
	w.currentAt.Store(int64(currentAt))
	w.relisting.Store(false)
	if w.OnRevision != nil {
		w.OnRevision(w.rev)
	}
}

// ForEach returns an OnList function that passes each object to take.
func ForEach(take func(cf.Record) error) func(cf.Records) error {
	return func(list cf.Records) error {
		var errs []error
		for _, r := range list.Items {
			errs = append(errs, take(r))
		}
		return errors.Join(errs...)
	}
}
