package cfrunner

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfpeak"
	"currantford/io/cflog"
)

const (
	// planInterval is the time between updates of the plan, since engines and instances join and
	// leave. A run follows the plan that is in effect when it begins.
	planInterval cf.Millis = 250
	// excludeTime is how long a lost host gets no runs.
	excludeTime cf.Millis = 8000
	// engineIdleTimeout is how long an engine without runs is still included in the plan.
	engineIdleTimeout cf.Millis = 60000
)

type (
	// Caller sends calls to other instances.
	Caller interface {
		Call(ctx context.Context, addr, op string, body, out any) error
	}

	// Options configures a Pool.
	Options struct {
		Self  cfmember.Entry
		Term  cf.Revision
		Local cf.Targets
		Peers Caller
		// Members returns the live instances.
		Members func() []cfmember.Entry
		// Pace returns the time per event at a typical engine in ms, zero while it is unknown. If
		// Pace is nil, it is always unknown.
		Pace func() float64
		Log  *zap.Logger
	}

	// Pool runs streams through hosts or locally, according to the coordinator's plan. It is safe
	// for concurrent use. Close stops all runs and waits for the goroutines to end.
	Pool struct {
		Options
		self   Incarnation
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group
		// stopWaitLimited is closed when the instance ceases to be the coordinator.
		stopWaitLimited chan struct{}
		limitOnce       sync.Once

		mu sync.Mutex
		// usedEngines are the engines that have runs or recently had some.
		usedEngines   map[cf.InstanceID]usedEngine
		plan          Plan
		plannedAt     cf.Millis // zero before the first plan, or if a new one is needed at once
		links         map[cf.EntryID]*link
		excludedUntil map[cf.EntryID]cf.Millis
		running       int
		peak          cfpeak.Peak
		// lastRun is the number of the latest run.
		lastRun atomic.Uint64
	}

	usedEngine struct {
		target   cf.Target
		lastUsed cf.Millis
	}
)

// NewPool returns a Pool without runs.
func NewPool(o Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		Options: o, self: Incarnation{Term: o.Term, Number: rand.Uint64()}, ctx: ctx, cancel: cancel, stopWaitLimited: make(chan struct{}),
		usedEngines: map[cf.InstanceID]usedEngine{}, links: map[cf.EntryID]*link{}, excludedUntil: map[cf.EntryID]cf.Millis{},
	}
}

// Close stops all streams and waits for the goroutines to end.
func (p *Pool) Close() error {
	p.LimitStopWait()
	p.cancel()
	p.wg.Wait()
	return nil
}

// LimitStopWait limits how long streams that are stopped from now on wait for their hosts'
// confirmation, since a successor waits for the results of this instance.
func (p *Pool) LimitStopWait() { p.limitOnce.Do(func() { close(p.stopWaitLimited) }) }

// Route returns the route of a stream that is about to begin. If the stream's sink is a
// cf.WatermarkSink, it also receives watermarks.
func (p *Pool) Route(t cf.Target) cf.StreamRoute {
	p.countRuns(1)
	l := p.linkFor(t)
	via := p.Self.ID
	if l != nil {
		via = l.id
	}
	return cf.StreamRoute{Via: via, Stream: func(ctx context.Context, t cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
		defer p.countRuns(-1)
		for ; l != nil; l = p.linkFor(t) { // the link may have been closed meanwhile
			if r := l.start(t, call); r != nil {
				return r.follow(ctx, sink)
			}
		}
		return p.Local.Stream(ctx, t, call, sink)
	}}
}

// countRuns adds n to the number of runs in progress.
func (p *Pool) countRuns(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
	p.peak.Observe(p.running, cf.Uptime())
	if len(p.plan) == 0 && !canRunAll(p.typicalRuns(p.running), p.Self) {
		p.plannedAt = 0 // all runs of a step begin almost simultaneously
	}
}

// typicalRuns returns the equivalent number of typical runs.
func (p *Pool) typicalRuns(runs int) int {
	if p.Pace == nil {
		return runs
	}
	return typicalRuns(runs, p.Pace())
}

// linkFor returns the link to the host of a target's streams, nil if this instance runs them.
func (p *Pool) linkFor(t cf.Target) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := cf.Uptime()
	p.usedEngines[t.ID] = usedEngine{t, now}
	p.replan(now)
	e, ok := p.plan.For(t)
	if !ok || p.ctx.Err() != nil {
		return nil
	}
	l := p.links[e.ID]
	if l == nil || l.isClosed() {
		l = newLink(p, e)
		p.links[e.ID] = l
		p.wg.Go(l.poll)
		p.wg.Go(l.sendOrders)
	}
	return l
}

// replan updates the plan if it is due. p.mu must be held.
func (p *Pool) replan(now cf.Millis) {
	if p.plannedAt > 0 && now-p.plannedAt < planInterval {
		return
	}
	p.plannedAt = now
	var members []cfmember.Entry
	for _, e := range p.Members() {
		if now >= p.excludedUntil[e.ID] {
			members = append(members, e)
		}
	}
	var engines []cf.Target
	for id, u := range p.usedEngines {
		if now-u.lastUsed > engineIdleTimeout {
			delete(p.usedEngines, id)
			continue
		}
		engines = append(engines, u.target)
	}
	slices.SortFunc(engines, func(a, b cf.Target) int { return cmp.Compare(a.ID, b.ID) })
	previous := len(p.plan)
	p.plan = Assign(engines, p.typicalRuns(p.peak.Max(now)), members, p.Self, p.plan)
	if (previous == 0) != (len(p.plan) == 0) {
		hosts := map[cf.EntryID]bool{}
		for _, e := range p.plan {
			hosts[e.ID] = true
		}
		p.Log.Info("runs_divided", zap.Int("engines", len(p.plan)), zap.Int("instances", len(hosts)), zap.Int("members", len(members)))
	}
}

// excludeHost excludes a lost host from the plan for excludeTime.
func (p *Pool) excludeHost(e cf.EntryID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excludedUntil[e] = cf.Uptime() + excludeTime
	p.plannedAt = 0
}
