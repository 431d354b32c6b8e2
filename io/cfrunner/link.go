package cfrunner

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/io/cflog"
)

const (
	// responseTimeout is how long a host's answer may take beyond its wait. An instance
	// of a fifth of a core that is busy answers some 100 ms late.
	responseTimeout cf.Millis = 550
	// maxFailedPolls is how many questions in a row without an answer make a host count
	// as lost.
	maxFailedPolls = 2
	// retryDelay is the pause before orders without an answer are given again.
	retryDelay = 50 * time.Millisecond
	// linkIdleTimeout is how long a link without runs is kept.
	linkIdleTimeout cf.Millis = 3000
	// shortStopWait is how long a stopped run waits for its host when the
	// coordinator's time is over.
	shortStopWait = 120 * time.Millisecond
)

type (
	// link is a pool's connection to one host.
	link struct {
		pool   *Pool
		id     cf.EntryID
		addr   string
		wakeup chan struct{} // wakes the giving of orders

		mu     sync.Mutex
		closed bool // the host is lost, or the link was idle
		// session, clock and got are those of the latest report, which arrived at
		// clockAt.
		session    SessionID
		clock      cf.Millis
		clockAt    cf.Millis
		lastReport int64
		runs       map[RunID]*run
		starts     []StartOrder
		stops      []RunID
		lastUsed   cf.Millis // when it last had a run
	}

	// run is a stream that a host holds.
	run struct {
		link *link
		id   RunID
		wake chan struct{}

		// What follows is guarded by link.mu.
		delivered bool // the host has the order
		events    []cf.StreamEvent
		watermark cf.Millis
		end       *RunEnd
		err       error // without the host's word
	}
)

func newLink(p *Pool, e cfmember.Entry) *link {
	return &link{pool: p, id: e.ID, addr: e.PeerAddr, wakeup: make(chan struct{}, 1), runs: map[RunID]*run{}, lastUsed: cf.Uptime()}
}

func (l *link) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// start orders a run; nil if the link is over.
func (l *link) start(t cf.Target, call cf.TargetCall) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	id := RunID(l.pool.lastRun.Add(1)) // under the lock: a host takes them in their order
	r := &run{link: l, id: id, wake: make(chan struct{}, 1)}
	l.runs[id] = r
	l.starts = append(l.starts, StartOrder{id, t, call})
	l.wakeSender()
	return r
}

// wakeSender makes orders be given now.
func (l *link) wakeSender() {
	select {
	case l.wakeup <- struct{}{}:
	default: // they are about to be
	}
}

// sendOrders gives orders until the link is over. Those of a moment go together.
func (l *link) sendOrders() {
	for {
		select {
		case <-l.wakeup:
		case <-l.pool.ctx.Done():
			return
		}
		if l.isClosed() {
			return
		}
		o, some := l.takeOrders()
		if !some {
			continue
		}
		ctx, cancel := context.WithTimeout(l.pool.ctx, responseTimeout.Duration())
		var ok bool
		err := l.pool.Peers.Call(ctx, l.addr, OpOrders, o, &ok)
		cancel()
		l.ordersSent(o, err)
		if err != nil {
			cf.Sleep(l.pool.ctx, retryDelay)
		}
	}
}

// takeOrders returns the orders to give now; none before the host's clock is known.
func (l *link) takeOrders() (Orders, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == 0 || len(l.starts)+len(l.stops) == 0 {
		return Orders{}, false
	}
	o := Orders{Incarnation: l.pool.self, Session: l.session, HostClock: l.clock, Starts: l.starts, Stops: l.stops}
	l.starts, l.stops = nil, nil
	return o, true
}

// ordersSent takes what came of orders. Without an answer the host may have them: they
// are given again, and it passes over what it knows.
func (l *link) ordersSent(o Orders, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.starts = append(o.Starts, l.starts...)
		l.stops = append(o.Stops, l.stops...)
		l.wakeSender()
		return
	}
	for _, s := range o.Starts {
		if r := l.runs[s.Run]; r != nil {
			r.delivered = true
		}
	}
}

// poll asks for news until the host is lost, or has had no runs for a while.
func (l *link) poll() {
	for failures := 0; l.pool.ctx.Err() == nil; {
		if l.closeIfIdle() {
			return
		}
		sentAt := cf.Uptime()
		l.mu.Lock()
		call := CollectRequest{Incarnation: l.pool.self, Session: l.session, LastReport: l.lastReport, HostClock: l.clock + sentAt - l.clockAt}
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(l.pool.ctx, (reportInterval + responseTimeout).Duration())
		var rep Report
		err := l.pool.Peers.Call(ctx, l.addr, OpCollect, call, &rep)
		cancel()
		if err == nil {
			failures = 0
			l.handleReport(rep, cf.Uptime())
			continue
		}
		failures++
		stopped := errors.Is(err, cf.ErrNoProcess) || errors.Is(err, cf.ErrFenced)
		if !stopped && failures < maxFailedPolls {
			cf.Sleep(l.pool.ctx, retryDelay)
			continue
		}
		if !stopped {
			cf.Sleep(l.pool.ctx, (runsStoppedBy(sentAt) - cf.Uptime()).Duration())
		}
		l.closeWithError(err)
		return
	}
	l.closeWithError(eris.Wrap(cf.ErrUnavailable, "the coordinator stops"))
}

// closeIfIdle ends a link without runs.
func (l *link) closeIfIdle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := cf.Uptime()
	if len(l.runs) > 0 {
		l.lastUsed = now
	}
	l.closed = now-l.lastUsed > linkIdleTimeout
	if l.closed {
		l.wakeSender()
	}
	return l.closed
}

// closeWithError ends the runs of a lost host.
func (l *link) closeWithError(cause error) {
	l.mu.Lock()
	l.closed = true
	n := len(l.runs)
	for _, r := range l.runs {
		r.fail(eris.Wrapf(cf.ErrUnavailable, "instance %s is lost: %v", l.id, cause))
	}
	l.mu.Unlock()
	l.wakeSender()
	if l.pool.ctx.Err() == nil {
		l.pool.Log.Warn("runner_lost", zap.String("entry", string(l.id)), zap.Int("runs", n), cflog.Error(cause))
		l.pool.excludeHost(l.id)
	}
}

// handleReport takes a report that arrived at now.
func (l *link) handleReport(rep Report, now cf.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rep.Session != l.session {
		if l.session != 0 {
			l.pool.Log.Warn("runner_began_anew", zap.String("entry", string(l.id)), zap.Int("runs", len(l.runs)))
		}
		for _, r := range l.runs {
			if r.delivered {
				r.fail(eris.Wrapf(cf.ErrUnavailable, "instance %s holds it no more", l.id))
			}
		}
		l.session, l.lastReport = rep.Session, 0
	}
	l.clock, l.clockAt = rep.HostClock, now
	l.wakeSender()
	if rep.Number <= l.lastReport {
		return // it was given again, and had arrived
	}
	l.lastReport = rep.Number
	offset := now - rep.HostClock
	for _, n := range rep.Runs {
		r := l.runs[n.Run]
		if r == nil {
			continue
		}
		for _, ev := range n.Events {
			r.events = append(r.events, cf.StreamEvent{ID: ev.ID, Data: ev.Data, Version: ev.Version, At: ev.At + offset})
		}
		if n.End != nil {
			r.end = n.End
			delete(l.runs, n.Run)
		}
		r.notify()
	}
	for _, r := range l.runs {
		r.watermark = now
	}
}

// fail ends a run without its host's word. link.mu is held.
func (r *run) fail(err error) {
	r.err = err
	delete(r.link.runs, r.id)
	r.notify()
}

func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default: // it is awake
	}
}

// stop asks the host to end the run.
func (r *run) stop() {
	l := r.link
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, s := range l.starts {
		if s.Run == r.id && !r.delivered { // the host may have it, from an order without an answer
			l.starts = append(l.starts[:i:i], l.starts[i+1:]...)
			break
		}
	}
	l.stops = append(l.stops, r.id)
	l.wakeSender()
}

// follow hands the run's events on until it has ended. A run that ctx ends is
// stopped; it is over when its host says so.
func (r *run) follow(ctx context.Context, sink cf.StreamSink) (cf.TargetAnswer, error) {
	progress, _ := sink.(cf.WatermarkSink)
	stopped := ctx.Done()
	var limited <-chan struct{}
	var waited <-chan time.Time
	var sinkErr error
	for started := false; ; {
		select {
		case <-r.wake:
		case <-stopped:
			stopped, limited = nil, r.link.pool.stopWaitLimited
			r.stop()
			continue
		case <-limited:
			limited, waited = nil, time.After(shortStopWait)
			continue
		case <-waited:
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrUnavailable, "stopped without its host's word")
		}
		events, watermark, end, err := r.takeUpdates()
		for _, ev := range events {
			if sinkErr != nil {
				break
			}
			if !started {
				started, sinkErr = true, sink.Start(cf.TargetAnswer{Status: 200})
			}
			if sinkErr == nil {
				sinkErr = sink.Event(ev)
			}
			if sinkErr != nil && end == nil && err == nil {
				r.stop()
			}
		}
		if progress != nil && watermark > 0 {
			progress.Watermark(watermark)
		}
		switch {
		case err != nil:
			return cf.TargetAnswer{}, err
		case end == nil:
		case sinkErr != nil:
			return cf.TargetAnswer{}, sinkErr
		case end.UnknownRun:
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrUnavailable, "not held")
		case end.NotSent:
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrNotRun, end.Error)
		case end.Error != "":
			return cf.TargetAnswer{Status: end.Status, Alive: end.Alive}, eris.Wrap(cf.ErrMaybeRan, end.Error)
		default:
			return cf.TargetAnswer{Status: end.Status, NotRun: end.NotRun}, nil
		}
	}
}

// takeUpdates takes what the run has brought.
func (r *run) takeUpdates() (events []cf.StreamEvent, watermark cf.Millis, end *RunEnd, err error) {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	events, r.events = r.events, nil
	return events, r.watermark, r.end, r.err
}
