// Package cfguard follows the requests that go to targets, for cfquarantine, which
// decides which of them may. Every path that can reach a target asks it: callers'
// requests with their retries and hedges, streams, items of batches, reward calls.
//
// It checks targets that gave no answer by a new connection, hands what it learns to the
// other instances, and takes what they have learned.
//
// Usage:
//
//	g := cfguard.New(options)
//	defer g.Close()
//	g.Inform(source, heldByOthers)
//	v := g.Judge(ctx, id, key)
//	v = g.Admit(key, target) // or g.AdmitDeferred(key, target, owed)
//	if v.Pass { ... send; then g.Answered, g.Lost or g.Dropped }
package cfguard

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfquarantine"
	"currantford/io/cflog"
)

const (
	// checkTimeout bounds the new connection by which a target is checked, here and
	// then at another instance; the longest round trip between failure domains takes
	// 16 ms.
	checkTimeout = 300 * time.Millisecond
	// endingFor is how long a target may still take connections after those that it had have
	// ended: the sockets of a process are not closed all at once, and one that it has just
	// started holds its listener until it has replaced its program.
	endingFor = 100 * time.Millisecond
	// sweepEvery is how often Sweep looks through what is known.
	sweepEvery cf.Millis = 500
)

type (
	// Site shows the targets as they are listed.
	Site interface {
		Target(id cf.InstanceID) (cf.Target, bool)
	}

	// Options are what a guard works with.
	Options struct {
		Self    cf.EntryID
		Targets cf.Targets
		Site    Site
		// ReachableElsewhere asks another instance whether it reaches a target: a link that is
		// cut here alone looks like a crash. False where nobody does, or none is
		// there to ask.
		ReachableElsewhere func(ctx context.Context, t cf.Target) bool
		// Share hands strikes to the other instances. It does not wait.
		Share func([]cfquarantine.Strike)
		// Disabled lets every request pass.
		Disabled bool
		Metrics  *Metrics
		Log      *zap.Logger
	}

	// Guard is safe for concurrent use; a nil one lets every request pass. Close
	// waits for the checks under way.
	Guard struct {
		Options
		// Table holds the evidence.
		Table  *cfquarantine.Table
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group

		mu       sync.Mutex
		checking map[cfquarantine.Incarnation]bool
		swept    cf.Millis
	}

	// Metrics are the guard's counters.
	Metrics struct {
		Strikes *prometheus.CounterVec
		Refused prometheus.Counter
		Paused  prometheus.Counter
		Held    prometheus.Gauge
	}
)

// NewMetrics registers the guard's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		Strikes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "currantford_request_strikes_total", Help: "Targets that ended under requests sent here, by how they were found gone."}, []string{"loss"}),
		Refused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "currantford_held_sends_total", Help: "Sends that did not happen because their request is held."}),
		Paused: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "currantford_owed_pauses_total", Help: "Pauses of items and reward calls after targets crashed under them."}),
		Held: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "currantford_requests_held", Help: "Contents under which so many targets crashed that callers' requests with them are held."}),
	}
	reg.MustRegister(m.Strikes, m.Refused, m.Paused, m.Held)
	return m
}

// New returns the guard of an instance that has just started: nothing passes before its
// table is informed.
func New(o Options) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		Options: o, Table: cfquarantine.NewUnsynced(o.Self), ctx: ctx, cancel: cancel, checking: map[cfquarantine.Incarnation]bool{},
	}
}

// Close ends the checks under way.
func (g *Guard) Close() error {
	g.cancel()
	g.wg.Wait()
	return nil
}

// Evaluate says whether a request may be sent to some target. Where others of the same
// content are under way whose ends decide, it waits for them.
func (g *Guard) Evaluate(ctx context.Context, id cf.RequestID, key cfquarantine.Key) cfquarantine.Verdict {
	if g == nil || g.Disabled {
		return cfquarantine.Verdict{Pass: true}
	}
	for waited := false; ; waited = true {
		changed := g.Table.Changed()
		v := g.Table.Evaluate(key, cf.Uptime())
		if !v.Wait {
			return v
		}
		if !waited {
			g.Log.Info("request_waits", zap.String("request_id", string(id)), digest(key), caller(key))
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return v
		}
	}
}

// Admit judges a request that is about to be sent to a target. One that passes counts as
// under way there until Answered, Lost or Dropped.
func (g *Guard) Admit(key cfquarantine.Key, target cf.Target) cfquarantine.Verdict {
	if g == nil || g.Disabled {
		return cfquarantine.Verdict{Pass: true}
	}
	return g.Table.Admit(key, cfquarantine.IncarnationOf(target), cf.Uptime())
}

// AdmitDeferred is Admit for work that was handed in for later.
func (g *Guard) AdmitDeferred(key cfquarantine.Key, target cf.Target, w cfquarantine.DeferredWork) cfquarantine.Verdict {
	if g == nil || g.Disabled {
		return cfquarantine.Verdict{Pass: true}
	}
	return g.Table.AdmitDeferred(key, cfquarantine.IncarnationOf(target), w, cf.Uptime())
}

// Paused logs that owed work waits until it is tried again, and on which evidence.
func (g *Guard) Paused(id cf.RequestID, key cfquarantine.Key, v cfquarantine.Verdict) {
	g.Metrics.Paused.Inc()
	g.Log.Warn("request_paused", zap.String("request_id", string(id)), digest(key), caller(key),
		zap.Int64("paused_ms", int64(v.RetryAt-cf.Uptime())), zap.Any("strikes", v.Strikes))
}

// Refused logs that a request is held, and on which evidence.
func (g *Guard) Refused(id cf.RequestID, key cfquarantine.Key, v cfquarantine.Verdict) {
	g.Metrics.Refused.Inc()
	g.Log.Warn("request_held", zap.String("request_id", string(id)), digest(key), caller(key),
		zap.Int64("held_ms", int64(v.RetryAt-cf.Uptime())), zap.Any("strikes", v.Strikes))
}

func digest(k cfquarantine.Key) zap.Field { return zap.Stringer("request_digest", k.Content) }

func caller(k cfquarantine.Key) zap.Field { return zap.Stringer("caller_digest", k.Caller) }

// Answered takes the end of a send that a target answered.
func (g *Guard) Answered(key cfquarantine.Key, target cf.Target, sent cf.Millis) {
	if g == nil || g.Disabled {
		return
	}
	news := g.Table.Answered(key, cfquarantine.IncarnationOf(target), sent, cf.Uptime())
	if len(news) > 0 {
		g.Log.Info("strikes_void", zap.String("reason", "the request was run to its end"), digest(key), zap.Int("strikes", len(news)))
		g.share(news)
	}
}

// Dropped takes the end of a send that tells nothing: it was not run, or given up here.
func (g *Guard) Dropped(key cfquarantine.Key, target cf.Target) {
	if g == nil || g.Disabled {
		return
	}
	g.Table.Dropped(key, cfquarantine.IncarnationOf(target))
}

// Lost takes the end of a send to which a target gave no answer; alive says that it was
// heard of after it was sent the request.
func (g *Guard) Lost(id cf.RequestID, key cfquarantine.Key, target cf.Target, alive bool) {
	if g == nil || g.Disabled {
		return
	}
	if t, listed := g.Site.Target(target.ID); listed && t.Draining {
		g.Dropped(key, target) // it ends as planned
		return
	}
	inc := cfquarantine.IncarnationOf(target)
	g.Table.Lost(key, inc, alive, cf.Uptime())
	g.Log.Info("request_lost", zap.String("request_id", string(id)), digest(key), caller(key), zap.String("target", string(target.ID)),
		zap.Int64("born_ms", int64(target.Started)), zap.Bool("alive", alive))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking[inc] || g.ctx.Err() != nil {
		return // the check under way looks again
	}
	g.checking[inc] = true
	g.wg.Go(func() { g.check(target, inc) })
}

// check asks a target for a connection until no loss there is unchecked.
func (g *Guard) check(target cf.Target, inc cfquarantine.Incarnation) {
	for g.ctx.Err() == nil {
		asked := cf.Uptime()
		loss, err := g.lossOf(target)
		if loss == "" && cf.Sleep(g.ctx, endingFor) {
			loss, err = g.lossOf(target)
		}
		if g.ctx.Err() != nil {
			return
		}
		news := g.Table.Checked(inc, asked, loss, cf.Uptime())
		g.Log.Info("target_checked", zap.String("target", string(target.ID)), zap.Int64("born_ms", int64(target.Started)),
			zap.String("loss", string(loss)), zap.Int("strikes", len(news)), cflog.Error(err))
		g.struck(news)
		g.mu.Lock()
		if !g.Table.NeedsCheck(inc) {
			delete(g.checking, inc)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

// lossOf says how a target is gone, empty if it is not.
func (g *Guard) lossOf(target cf.Target) (cfquarantine.Loss, error) {
	err := g.Probe(g.ctx, target)
	switch {
	case g.replaced(cfquarantine.IncarnationOf(target)):
		return cfquarantine.LossReplaced, err
	case err == nil:
		return "", nil
	case g.ReachableElsewhere != nil && g.ReachableElsewhere(g.ctx, target):
		return "", err
	case errors.Is(err, cf.ErrNoProcess):
		return cfquarantine.LossRefused, err
	default:
		return cfquarantine.LossUnreachable, err
	}
}

// Probe says whether a new connection to a target can be had from here.
func (g *Guard) Probe(ctx context.Context, target cf.Target) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	return g.Targets.Reach(ctx, target)
}

// replaced says whether a start of a target is not listed any more.
func (g *Guard) replaced(inc cfquarantine.Incarnation) bool {
	t, listed := g.Site.Target(inc.ID)
	return !listed || t.Started != inc.Born
}

// struck counts strikes that were found here, and shares them.
func (g *Guard) struck(news []cfquarantine.Strike) {
	for i := range news {
		if news[i].Scope < cfquarantine.Void && news[i].SeenBy == g.Self {
			g.Metrics.Strikes.WithLabelValues(string(news[i].Loss)).Inc()
		}
	}
	g.share(news)
}

func (g *Guard) share(news []cfquarantine.Strike) {
	if len(news) > 0 {
		g.Share(news)
	}
}

// Merge takes strikes that another instance shares, and passes on what is news.
func (g *Guard) Merge(from cf.EntryID, in []cfquarantine.Strike) {
	news := g.Table.Merge(in, cf.Uptime())
	if len(news) == 0 {
		return
	}
	_, held := g.Table.HeldStrikes(0, cf.Uptime())
	g.Log.Info("strikes_learned", zap.String("from", string(from)), zap.Int("strikes", len(news)), zap.Int("held", held),
		zap.Stringer("request_digest", news[0].Content))
	g.share(news)
}

// Sync takes what other instances hold, all of it, and lets requests pass from then on;
// false if they did before.
func (g *Guard) Sync(source string, held []cfquarantine.Strike) bool {
	g.Merge(cf.EntryID(source), held)
	return g.Table.MarkSynced()
}

// Synced says whether it is known here what other instances hold.
func (g *Guard) Synced() bool { return g == nil || g.Disabled || g.Table.Synced() }

// Release lets a held request pass again, by hand.
func (g *Guard) Release(d cfquarantine.Digest) int {
	news := g.Table.Release(d, cf.Uptime())
	g.Log.Info("request_freed", zap.Stringer("request_digest", d), zap.Int("strikes", len(news)))
	g.share(news)
	return len(news)
}

// Sweep forgets what is over, and looks which struck targets the instance list shows as
// gone or alive. current says that the list is current.
func (g *Guard) Sweep(current bool, now cf.Millis) {
	g.mu.Lock()
	due := now-g.swept >= sweepEvery
	if due {
		g.swept = now
	}
	g.mu.Unlock()
	if !due || g.Table.Empty() {
		return
	}
	if current {
		for _, inc := range g.Table.StruckTargets() {
			if g.replaced(inc) {
				g.struck(g.Table.Replaced(inc, now))
			}
		}
	}
	if void := g.Table.Sweep(current, now); len(void) > 0 {
		g.Log.Info("strikes_void", zap.String("reason", "their targets live"), zap.Int("strikes", len(void)))
		g.share(void)
	}
	_, held := g.Table.HeldStrikes(0, now)
	g.Metrics.Held.Set(float64(held))
}
