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
	// responseTimeout is how long a host's response may take in addition to its wait for events. A
	// busy instance with a fifth of a core responds about 100 ms late.
	responseTimeout cf.Millis = 550
	// maxFailedPolls is the number of consecutive polls without a response after which a host
	// counts as lost.
	maxFailedPolls = 2
	// retryDelay is the delay before a failed poll or orders without a response are sent again.
	retryDelay = 50 * time.Millisecond
	// linkIdleTimeout is how long a link without runs is kept.
	linkIdleTimeout cf.Millis = 3000
	// shortStopWait is how long a stopped run waits for its host's confirmation after the instance
	// has ceased to be the coordinator.
	shortStopWait = 120 * time.Millisecond
)

type (
	// link is a Pool's connection to one host.
	link struct {
		pool   *Pool
		id     cf.EntryID
		addr   string
		wakeup chan struct{} // wakes sendOrders

		mu     sync.Mutex
		closed bool // the host is lost, or the link was idle
		// session, clock and lastReport are from the latest report, which arrived at clockAt.
		session    SessionID
		clock      cf.Millis
		clockAt    cf.Millis
		lastReport int64
		runs       map[RunID]*run
		starts     []StartOrder
		stops      []RunID
		lastUsed   cf.Millis // when the link last had a run
	}

	// run is a stream executed by a host.
	run struct {
		link *link
		id   RunID
		wake chan struct{}

		// The fields below are guarded by link.mu.
		delivered bool // the host has received the order
		events    []cf.StreamEvent
		watermark cf.Millis
		end       *RunEnd
		err       error // reason for the end, if the host has not reported one
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

// start orders the host to start a run. It returns nil if the link is closed.
func (l *link) start(t cf.Target, call cf.TargetCall) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	id := RunID(l.pool.lastRun.Add(1)) // under the lock, since numbers must reach the host in order
	r := &run{link: l, id: id, wake: make(chan struct{}, 1)}
	l.runs[id] = r
	l.starts = append(l.starts, StartOrder{id, t, call})
	l.wakeSender()
	return r
}

// wakeSender makes sendOrders send the pending orders.
func (l *link) wakeSender() {
	select {
	case l.wakeup <- struct{}{}:
	default: // already signalled
	}
}

// sendOrders sends orders until the link is closed. Orders that are pending at the same time are
// sent together.
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

// takeOrders returns the orders to be sent now. It returns none until the host's clock is known.
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

// ordersSent handles the outcome of sending orders. Without a response, the host may still have
// received them: they are sent again, and the host ignores those that it knows.
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

// poll polls the host until the host is lost or has had no runs for linkIdleTimeout.
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
	l.closeWithError(eris.Wrap(cf.ErrUnavailable, "the coordinator is stopping"))
}

// closeIfIdle closes the link if it has had no runs for linkIdleTimeout.
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

// closeWithError closes the link to a lost host and ends its runs.
func (l *link) closeWithError(cause error) {
	l.mu.Lock()
	l.closed = true
	n := len(l.runs)
	for _, r := range l.runs {
		r.fail(eris.Wrapf(cf.ErrUnavailable, "lost contact with instance %s: %v", l.id, cause))
	}
	l.mu.Unlock()
	l.wakeSender()
	if l.pool.ctx.Err() == nil {
		l.pool.Log.Warn("runner_lost", zap.String("entry", string(l.id)), zap.Int("runs", n), cflog.Error(cause))
		l.pool.excludeHost(l.id)
	}
}

// handleReport handles a report that arrived at now.
func (l *link) handleReport(rep Report, now cf.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rep.Session != l.session {
		if l.session != 0 {
			l.pool.Log.Warn("runner_began_anew", zap.String("entry", string(l.id)), zap.Int("runs", len(l.runs)))
		}
		for _, r := range l.runs {
			if r.delivered {
				r.fail(eris.Wrapf(cf.ErrUnavailable, "instance %s has restarted or has stopped its runs", l.id))
			}
		}
		l.session, l.lastReport = rep.Session, 0
	}
	l.clock, l.clockAt = rep.HostClock, now
	l.wakeSender()
	if rep.Number <= l.lastReport {
		return // a repeated report that had already arrived
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

// fail ends a run whose end the host has not reported. link.mu must be held.
func (r *run) fail(err error) {
	r.err = err
	delete(r.link.runs, r.id)
	r.notify()
}

func (r *run) notify() {
	select {
	case r.wake <- struct{}{}:
	default: // already signalled
	}
}

// stop orders the host to end the run.
func (r *run) stop() {
	l := r.link
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, s := range l.starts {
		if s.Run == r.id && !r.delivered { // after orders without a response, the host may already have it
			l.starts = append(l.starts[:i:i], l.starts[i+1:]...)
			break
		}
	}
	l.stops = append(l.stops, r.id)
	l.wakeSender()
}

// follow passes the run's events to sink until the run has ended. When ctx ends, it stops the run
// and waits for the host's confirmation.
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
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrUnavailable, "stopped without confirmation by the host")
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
		case end.Stopping:
			r.link.pool.excludeHost(r.link.id)
			return cf.TargetAnswer{}, eris.Wrapf(cf.ErrUnavailable, "instance %s is stopping", r.link.id)
		case end.UnknownRun:
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrUnavailable, "the host has no such run")
		case end.NotSent:
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrNotRun, end.Error)
		case end.Error != "":
			return cf.TargetAnswer{Status: end.Status, Alive: end.Alive}, eris.Wrap(cf.ErrMaybeRan, end.Error)
		default:
			return cf.TargetAnswer{Status: end.Status, NotRun: end.NotRun}, nil
		}
	}
}

// takeUpdates returns the events since the previous call, the watermark and the run's outcome.
func (r *run) takeUpdates() (events []cf.StreamEvent, watermark cf.Millis, end *RunEnd, err error) {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	events, r.events = r.events, nil
	return events, r.watermark, r.end, r.err
}
