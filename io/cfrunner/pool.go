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
	// planEvery is how often the division is looked at again: engines and
	// instances come and go, and a run that begins goes by the division of then.
	planEvery cf.Millis = 250
	// avoidFor is how long an instance that was lost gets no runs.
	avoidFor cf.Millis = 8000
	// usedFor is how long an engine that has run something is counted among those that
	// are divided.
	usedFor cf.Millis = 60000
)

type (
	// Caller reaches other instances.
	Caller interface {
		Call(ctx context.Context, addr, op string, body, out any) error
	}

	// Options are what a pool works with.
	Options struct {
		Self  cfmember.Entry
		Term  cf.Revision
		Local cf.Targets
		Peers Caller
		// Members returns the instances that are alive.
		Members func() []cfmember.Entry
		// Pace returns how long an event takes at a usual engine, in ms, zero while that
		// is not known; nil: it never is.
		Pace func() float64
		Log  *zap.Logger
	}

	// Pool runs streams at other instances, as a coordinator's division says, or
	// here. It is safe for concurrent use. Close stops what it started and waits.
	Pool struct {
		Options
		duty   Incarnation
		ctx    context.Context
		cancel context.CancelFunc
		wg     cflog.Group
		// hurried is closed when the coordinator's time is over.
		hurried chan struct{}
		hurry   sync.Once

		mu sync.Mutex
		// used are the engines that run something or lately did.
		used    map[cf.InstanceID]usedEngine
		plan    Plan
		planned cf.Millis // when, zero if never
		links   map[cf.EntryID]*link
		avoid   map[cf.EntryID]cf.Millis
		running int
		peak    cfpeak.Peak
		// runs counts the runs.
		runs atomic.Uint64
	}

	usedEngine struct {
		target cf.Target
		at     cf.Millis
	}
)

// NewPool returns a pool without runs.
func NewPool(o Options) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		Options: o, duty: Incarnation{Term: o.Term, Number: rand.Uint64()}, ctx: ctx, cancel: cancel, hurried: make(chan struct{}),
		used: map[cf.InstanceID]usedEngine{}, links: map[cf.EntryID]*link{}, avoid: map[cf.EntryID]cf.Millis{},
	}
}

// Close ends all streams and waits.
func (p *Pool) Close() error {
	p.LimitStopWait()
	p.cancel()
	p.wg.Wait()
	return nil
}

// LimitStopWait makes streams that are stopped from now on wait only briefly for their
// hosts: a successor waits for what this instance has.
func (p *Pool) LimitStopWait() { p.hurry.Do(func() { close(p.hurried) }) }

// Route returns the way of a stream that is about to begin. A sink that is a
// cf.SeenSink also learns until when no events were missing.
func (p *Pool) Route(t cf.Target) cf.StreamRoute {
	p.count(1)
	l := p.linkFor(t)
	via := p.Self.ID
	if l != nil {
		via = l.id
	}
	return cf.StreamRoute{Via: via, Stream: func(ctx context.Context, t cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
		defer p.count(-1)
		for ; l != nil; l = p.linkFor(t) { // it may have ended meanwhile
			if r := l.start(t, call); r != nil {
				return r.follow(ctx, sink)
			}
		}
		return p.Local.Stream(ctx, t, call, sink)
	}}
}

// count notes the begin or the end of a run.
func (p *Pool) count(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += n
	p.peak.Observe(p.running, cf.Uptime())
	if len(p.plan) == 0 && !holdsAll(p.load(p.running), p.Self) {
		p.planned = 0 // a step begins all its runs within a moment
	}
}

// load returns what runs cost, in usual ones.
func (p *Pool) load(runs int) int {
	if p.Pace == nil {
		return runs
	}
	return usualRuns(runs, p.Pace())
}

// linkFor returns the link to the instance that holds a target's streams, nil if
// this one does.
func (p *Pool) linkFor(t cf.Target) *link {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := cf.Uptime()
	p.used[t.ID] = usedEngine{t, now}
	p.replan(now)
	e, ok := p.plan.For(t)
	if !ok || p.ctx.Err() != nil {
		return nil
	}
	l := p.links[e.ID]
	if l == nil || l.isOver() {
		l = newLink(p, e)
		p.links[e.ID] = l
		p.wg.Go(l.collect)
		p.wg.Go(l.order)
	}
	return l
}

// replan divides the engines among the instances. p.mu is held.
func (p *Pool) replan(now cf.Millis) {
	if p.planned > 0 && now-p.planned < planEvery {
		return
	}
	p.planned = now
	var members []cfmember.Entry
	for _, e := range p.Members() {
		if now >= p.avoid[e.ID] {
			members = append(members, e)
		}
	}
	var engines []cf.Target
	for id, u := range p.used {
		if now-u.at > usedFor {
			delete(p.used, id)
			continue
		}
		engines = append(engines, u.target)
	}
	slices.SortFunc(engines, func(a, b cf.Target) int { return cmp.Compare(a.ID, b.ID) })
	before := len(p.plan)
	p.plan = Assign(engines, p.load(p.peak.Max(now)), members, p.Self, p.plan)
	if (before == 0) != (len(p.plan) == 0) {
		hosts := map[cf.EntryID]bool{}
		for _, e := range p.plan {
			hosts[e.ID] = true
		}
		p.Log.Info("runs_divided", zap.Int("engines", len(p.plan)), zap.Int("instances", len(hosts)), zap.Int("members", len(members)))
	}
}

// lost notes that an instance is not reached.
func (p *Pool) lost(e cf.EntryID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.avoid[e] = cf.Uptime() + avoidFor
	p.planned = 0
}
