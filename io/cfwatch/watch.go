// Package cfwatch keeps a view of one kind of the store current: it lists
// once, then follows the changes, and lists again when the store has dropped
// its history.
//
// Usage:
//
//	w := cfwatch.Watcher{Store: store, Kind: "config", Wait: 2000, List: ..., Change: ...}
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

// Retry pauses after a failed call to the store. Calls to a store that is
// down are paid for too, and all instances notice an outage together: the
// pause grows and is drawn at random.
const (
	retryFirst = 150 * time.Millisecond
	retryMost  = 900 * time.Millisecond
)

const (
	// overdue is how long after it should have come an answer counts as missing: a slow
	// store takes some hundred milliseconds.
	overdue cf.Millis = 400
	// vainFor is how long a failed call says that the store does not answer: the longest
	// pause, and the next call.
	vainFor cf.Millis = 2500
)

// Watcher follows one kind. Its fields are set before Run.
type Watcher struct {
	Store cf.Store
	Kind  string
	// Wait is the longest that a watch call stays open. A watch that went
	// silent is noticed only after it.
	Wait cf.Millis
	// CoalesceDelay lets changes gather before the next call, since each call is
	// paid for.
	CoalesceDelay cf.Millis
	// OnList takes the whole kind, Change one change of it.
	OnList   func(cf.Records) error
	OnChange func(cf.Record) error
	// OnCaughtUp is called once the changes since a list have been taken too:
	// what a List does with a list may take seconds, and is then out of date.
	OnCaughtUp func()
	// OnRevision is called after each answer, with the revision as of which
	// the view is current.
	OnRevision func(at cf.Revision)
	// OnReconnect is called before the first answer after failed calls is
	// taken.
	OnReconnect func()
	// MaxRetryDelay is the longest pause after failed calls, retryMost if it is zero.
	MaxRetryDelay time.Duration
	Log           *zap.Logger
	// Metrics may be nil.
	Metrics *Metrics

	contact atomic.Int64
	// failed is when a call failed last, and due as of when the answer of the call under
	// way is missing, zero if there is none.
	failed, due atomic.Int64
	// relisting: the store has dropped its history, and the list is being read again.
	relisting atomic.Bool
	at        cf.Revision
	listed    bool
	behind    bool // since the list no changes were asked for
	failing   bool
}

// Metrics are the watchers' counters.
type Metrics struct{ notTaken *prometheus.CounterVec }

// NewMetrics registers the watchers' metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "currantford_changes_not_taken_total", Help: "Objects of the store that could not be taken, by kind; what was there before goes on.",
	}, []string{"kind"})}
	reg.MustRegister(m.notTaken)
	return m
}

func (w *Watcher) notTaken(msg, name string, err error) {
	w.Log.Error(msg, zap.String("kind", w.Kind), zap.String("name", name), cflog.Error(err))
	if w.Metrics != nil {
		w.Metrics.notTaken.WithLabelValues(w.Kind).Inc()
	}
}

// Age returns how long ago the view was known to be current.
func (w *Watcher) Age(now cf.Millis) cf.Millis {
	at := cf.Millis(w.contact.Load())
	if at == 0 {
		return 1 << 40
	}
	return now - at
}

// Lag returns by how much the answer is late that would show the next change: until then
// nothing has been missed.
func (w *Watcher) Lag(now cf.Millis) cf.Millis { return max(w.Age(now)-w.Wait, 0) }

// StoreUnresponsive says whether the store is being asked, and does not answer.
func (w *Watcher) StoreUnresponsive(now cf.Millis) bool {
	contact, failed, due := w.contact.Load(), cf.Millis(w.failed.Load()), cf.Millis(w.due.Load())
	return int64(failed) > contact && now-failed < vainFor || due > 0 && now >= due
}

// InitialList says whether the first list is being read, in vain if a call for it has failed.
func (w *Watcher) InitialList() (listing, vain bool) {
	return w.contact.Load() == 0, w.failed.Load() > 0
}

// Current says whether the view was known to be current within fresh, or within listed while
// it is listed again: what takes longer the more there is to list makes it no worse than it
// was a moment before.
func (w *Watcher) Current(now, fresh, listed cf.Millis) bool {
	if w.relisting.Load() {
		fresh = listed
	}
	return w.Age(now) < fresh
}

// Run follows the kind until ctx ends.
func (w *Watcher) Run(ctx context.Context) {
	retry := retryFirst
	for ctx.Err() == nil {
		err := w.step(ctx)
		if err == nil {
			retry = retryFirst
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
		w.failed.Store(int64(cf.Uptime()))
		cf.Sleep(ctx, retry/2+rand.N(retry))
		retry = min(2*retry, max(w.MaxRetryDelay, retryMost))
	}
}

// answered notes that the store answered.
func (w *Watcher) answered() {
	if !w.failing {
		return
	}
	w.failing = false
	w.Log.Info("store_regained", zap.String("kind", w.Kind))
	if w.OnReconnect != nil {
		w.OnReconnect()
	}
}

func (w *Watcher) step(ctx context.Context) error {
	// A list or an empty watch shows the view as of when it was asked for.
	asked := cf.Uptime()
	defer w.due.Store(0)
	if !w.listed {
		w.due.Store(int64(asked + overdue))
		list, err := w.Store.List(ctx, w.Kind)
		if err != nil {
			return err
		}
		w.answered()
		if err := w.OnList(list); err != nil {
			w.notTaken("list_not_taken", "", err)
		}
		w.listed, w.behind = true, w.OnCaughtUp != nil
		w.reached(list.Rev, asked)
		return nil
	}
	wait := w.Wait
	if w.behind {
		wait = 1 // what is there now
	}
	w.due.Store(int64(asked + wait + overdue))
	changes, err := w.Store.Watch(ctx, w.Kind, w.at, wait)
	if errors.Is(err, cf.ErrHistoryGone) {
		w.Log.Info("watch_history_gone", zap.String("kind", w.Kind), zap.Int64("since", int64(w.at)))
		w.listed = false
		w.relisting.Store(true)
		return nil
	}
	if err != nil {
		return err
	}
	w.answered()
	for _, r := range changes.Items {
		if err := w.OnChange(r); err != nil {
			w.notTaken("change_not_taken", r.Name, err)
		}
	}
	w.reached(changes.Rev, cf.Uptime())
	if w.behind {
		w.behind = false
		w.OnCaughtUp()
	}
	return nil
}

func (w *Watcher) reached(at cf.Revision, when cf.Millis) {
	w.at = max(w.at, at)
	w.contact.Store(int64(when))
	w.relisting.Store(false)
	if w.OnRevision != nil {
		w.OnRevision(w.at)
	}
}

// ForEach returns a List that takes every record of a kind on its own.
func ForEach(take func(cf.Record) error) func(cf.Records) error {
	return func(list cf.Records) error {
		var errs []error
		for _, r := range list.Items {
			errs = append(errs, take(r))
		}
		return errors.Join(errs...)
	}
}
