// Package cfguard applies the decisions of cfquarantine, which decides what requests may be sent to
// targets, and reports to it how requests end. Every path by which a request can reach a target
// uses it: callers' requests with their retries and hedges, streams, items of batches, and reward
// calls.
//
// When a target gives no answer, the guard checks the target with a new connection. If the target
// has ended, that is a strike: evidence against the requests that it had. The guard shares its
// strikes with the other instances, and merges theirs.
//
// Usage:
//
//	g := cfguard.New(options)
//	defer g.Close()
//	g.Sync(source, heldByOthers)
//	v := g.Evaluate(ctx, id, key)
//	v = g.Admit(key, target) // or g.AdmitDeferred(key, target, work)
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
	// probeTimeout limits the new connection by which a target is checked, first from this
	// instance, then from another. The longest round trip between failure domains takes 16 ms.
	probeTimeout = 300 * time.Millisecond
	// terminationTime is how long a target may still accept connections after its established ones
	// have ended. The sockets of a process are not all closed at once, and a child process that it
	// has just forked keeps the listener open until it has executed its program.
	terminationTime = 100 * time.Millisecond
	// sweepInterval is the minimum interval between sweeps.
	sweepInterval cf.Millis = 500
)

type (
	// Site returns the targets as listed.
	Site interface {
		Target(id cf.InstanceID) (cf.Target, bool)
	}

	// Options configure a Guard.
	Options struct {
		Self    cf.EntryID
		Targets cf.Targets
		Site    Site
		// ReachableElsewhere asks another instance whether it reaches a target, since a link that
		// is cut only at this instance looks like a crash. It returns false if no instance reaches
		// the target, or if there is none to ask.
		ReachableElsewhere func(ctx context.Context, t cf.Target) bool
		// Share sends strikes to the other instances without waiting.
		Share func([]cfquarantine.Strike)
		// Disabled lets every request pass.
		Disabled bool
		Metrics  *Metrics
		Log      *zap.Logger
	}

	// Guard decides which requests may be sent to targets. It is safe for concurrent use; a nil
	// Guard lets every request pass.
	Guard struct {
		Options
		// Table holds the strikes.
		Table  *cfquarantine.Table
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group

		mu        sync.Mutex
		checking  map[cfquarantine.Incarnation]bool
		lastSweep cf.Millis
	}

	// Metrics are the metrics of a Guard.
	Metrics struct {
		Strikes *prometheus.CounterVec
		Refused prometheus.Counter
		Paused  prometheus.Counter
		Held    prometheus.Gauge
	}
)

// NewMetrics registers the metrics of a Guard.
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

// New returns the guard of an instance that has just started. No request passes before Sync.
func New(o Options) *Guard {
	ctx, cancel := context.WithCancel(context.Background())
	return &Guard{
		Options: o, Table: cfquarantine.NewUnsynced(o.Self), ctx: ctx, cancel: cancel, checking: map[cfquarantine.Incarnation]bool{},
	}
}

// Close cancels the checks in progress and waits for them to end.
func (g *Guard) Close() error {
	g.cancel()
	g.wg.Wait()
	return nil
}

// Evaluate reports whether a request may be sent to any target. If the decision depends on requests
// in flight with the same content, it waits for them to end.
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

// Admit decides on a request that is about to be sent to a target. A request that passes counts as
// in flight there until Answered, Lost or Dropped is called.
func (g *Guard) Admit(key cfquarantine.Key, target cf.Target) cfquarantine.Verdict {
	if g == nil || g.Disabled {
		return cfquarantine.Verdict{Pass: true}
	}
	return g.Table.Admit(key, cfquarantine.IncarnationOf(target), cf.Uptime())
}

// AdmitDeferred is Admit for deferred work, such as the items of batches and their reward calls.
func (g *Guard) AdmitDeferred(key cfquarantine.Key, target cf.Target, w cfquarantine.DeferredWork) cfquarantine.Verdict {
	if g == nil || g.Disabled {
		return cfquarantine.Verdict{Pass: true}
	}
	return g.Table.AdmitDeferred(key, cfquarantine.IncarnationOf(target), w, cf.Uptime())
}

// Paused logs that deferred work is paused, with the evidence.
func (g *Guard) Paused(id cf.RequestID, key cfquarantine.Key, v cfquarantine.Verdict) {
	g.Metrics.Paused.Inc()
	g.Log.Warn("request_paused", zap.String("request_id", string(id)), digest(key), caller(key),
		zap.Int64("paused_ms", int64(v.RetryAt-cf.Uptime())), zap.Any("strikes", v.Strikes))
}

// Refused logs that a request is held, with the evidence.
func (g *Guard) Refused(id cf.RequestID, key cfquarantine.Key, v cfquarantine.Verdict) {
	g.Metrics.Refused.Inc()
	g.Log.Warn("request_held", zap.String("request_id", string(id)), digest(key), caller(key),
		zap.Int64("held_ms", int64(v.RetryAt-cf.Uptime())), zap.Any("strikes", v.Strikes))
}

func digest(k cfquarantine.Key) zap.Field { return zap.Stringer("request_digest", k.Content) }

func caller(k cfquarantine.Key) zap.Field { return zap.Stringer("caller_digest", k.Caller) }

// Answered records that a target answered a request.
func (g *Guard) Answered(key cfquarantine.Key, target cf.Target, sent cf.Millis) {
	if g == nil || g.Disabled {
		return
	}
	changed := g.Table.Answered(key, cfquarantine.IncarnationOf(target), sent, cf.Uptime())
	if len(changed) > 0 {
		g.Log.Info("strikes_void", zap.String("reason", "the request completed"), digest(key), zap.Int("strikes", len(changed)))
		g.share(changed)
	}
}

// Dropped records the end of a send without any evidence: the request was not run, or this instance
// gave it up.
func (g *Guard) Dropped(key cfquarantine.Key, target cf.Target) {
	if g == nil || g.Disabled {
		return
	}
	g.Table.Dropped(key, cfquarantine.IncarnationOf(target))
}

// Lost records that a target gave no answer to a request. alive is true if the target was known to
// be alive after the request was sent: it accepted a new connection for it, or began to answer.
func (g *Guard) Lost(id cf.RequestID, key cfquarantine.Key, target cf.Target, alive bool) {
	if g == nil || g.Disabled {
		return
	}
	if t, listed := g.Site.Target(target.ID); listed && t.Draining {
		g.Dropped(key, target) // the target terminates as planned
		return
	}
	inc := cfquarantine.IncarnationOf(target)
	g.Table.Lost(key, inc, alive, cf.Uptime())
	g.Log.Info("request_lost", zap.String("request_id", string(id)), digest(key), caller(key), zap.String("target", string(target.ID)),
		zap.Int64("born_ms", int64(target.Started)), zap.Bool("alive", alive))
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.checking[inc] || g.ctx.Err() != nil {
		return // the check in progress will include this loss
	}
	g.checking[inc] = true
	g.wg.Go(func() { g.check(target, inc) })
}

// check tests a target with new connections until all losses there have been checked.
func (g *Guard) check(target cf.Target, inc cfquarantine.Incarnation) {
	for g.ctx.Err() == nil {
		asked := cf.Uptime()
		loss, err := g.detectLoss(target)
		if loss == "" && cf.Sleep(g.ctx, terminationTime) {
			loss, err = g.detectLoss(target)
		}
		if g.ctx.Err() != nil {
			return
		}
		changed := g.Table.Checked(inc, asked, loss, cf.Uptime())
		g.Log.Info("target_checked", zap.String("target", string(target.ID)), zap.Int64("born_ms", int64(target.Started)),
			zap.String("loss", string(loss)), zap.Int("strikes", len(changed)), cflog.Error(err))
		g.recordStrikes(changed)
		g.mu.Lock()
		if !g.Table.NeedsCheck(inc) {
			delete(g.checking, inc)
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

// detectLoss returns how a target was lost, empty if it was not.
func (g *Guard) detectLoss(target cf.Target) (cfquarantine.Loss, error) {
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

// Probe opens a new connection from this instance to a target, and returns an error if that fails.
func (g *Guard) Probe(ctx context.Context, target cf.Target) error {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return g.Targets.Reach(ctx, target)
}

// replaced reports whether an incarnation of a target is no longer listed.
func (g *Guard) replaced(inc cfquarantine.Incarnation) bool {
	t, listed := g.Site.Target(inc.ID)
	return !listed || t.Started != inc.Born
}

// recordStrikes counts the strikes found by this instance, and shares all of them.
func (g *Guard) recordStrikes(changed []cfquarantine.Strike) {
	for i := range changed {
		if changed[i].Scope < cfquarantine.Void && changed[i].SeenBy == g.Self {
			g.Metrics.Strikes.WithLabelValues(string(changed[i].Loss)).Inc()
		}
	}
	g.share(changed)
}

func (g *Guard) share(changed []cfquarantine.Strike) {
	if len(changed) > 0 {
		g.Share(changed)
	}
}

// Merge merges strikes received from another instance, and shares those that were new.
func (g *Guard) Merge(from cf.EntryID, in []cfquarantine.Strike) {
	changed := g.Table.Merge(in, cf.Uptime())
	if len(changed) == 0 {
		return
	}
	_, held := g.Table.HeldStrikes(0, cf.Uptime())
	g.Log.Info("strikes_learned", zap.String("from", string(from)), zap.Int("strikes", len(changed)), zap.Int("held", held),
		zap.Stringer("request_digest", changed[0].Content))
	g.share(changed)
}

// Sync merges the strikes of all requests that other instances hold, and lets requests pass from
// then on. It returns false if they passed before.
func (g *Guard) Sync(source string, held []cfquarantine.Strike) bool {
	g.Merge(cf.EntryID(source), held)
	return g.Table.MarkSynced()
}

// Synced reports whether the requests held by other instances are known.
func (g *Guard) Synced() bool { return g == nil || g.Disabled || g.Table.Synced() }

// Release lets a held request pass again, on an operator's demand.
func (g *Guard) Release(d cfquarantine.Digest) int {
	changed := g.Table.Release(d, cf.Uptime())
	g.Log.Info("request_freed", zap.Stringer("request_digest", d), zap.Int("strikes", len(changed)))
	g.share(changed)
	return len(changed)
}

// Sweep removes expired strikes, and checks whether the targets with strikes are listed as replaced
// or alive. current is true if the instance list is current.
func (g *Guard) Sweep(current bool, now cf.Millis) {
	g.mu.Lock()
	due := now-g.lastSweep >= sweepInterval
	if due {
		g.lastSweep = now
	}
	g.mu.Unlock()
	if !due || g.Table.Empty() {
		return
	}
	if current {
		for _, inc := range g.Table.StruckTargets() {
			if g.replaced(inc) {
				g.recordStrikes(g.Table.Replaced(inc, now))
			}
		}
	}
	if voided := g.Table.Sweep(current, now); len(voided) > 0 {
		g.Log.Info("strikes_void", zap.String("reason", "their targets are alive"), zap.Int("strikes", len(voided)))
		g.share(voided)
	}
	_, held := g.Table.HeldStrikes(0, now)
	g.Metrics.Held.Set(float64(held))
}
