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
	// answerTime is how long a host's answer may take beyond its wait. An instance
	// of a fifth of a core that is busy answers some 100 ms late.
	answerTime cf.Millis = 550
	// lostAfter is how many questions in a row without an answer make a host count
	// as lost.
	lostAfter = 2
	// orderRetry is the pause before orders without an answer are given again.
	orderRetry = 50 * time.Millisecond
	// idleAfter is how long a link without runs is kept.
	idleAfter cf.Millis = 3000
	// hurryTime is how long a stopped run waits for its host when the
	// coordinator's time is over.
	hurryTime = 120 * time.Millisecond
)

type (
	// link is a pool's connection to one host.
	link struct {
		pool *Pool
		id   cf.EntryID
		addr string
		kick chan struct{} // wakes the giving of orders

		mu   sync.Mutex
		over bool // the host is lost, or the link was idle
		// session, clock and got are those of the latest report, which arrived at
		// clockAt.
		session SessionID
		clock   cf.Millis
		clockAt cf.Millis
		got     int64
		runs    map[RunID]*run
		starts  []StartOrder
		stops   []RunID
		used    cf.Millis // when it last had a run
	}

	// run is a stream that a host holds.
	run struct {
		link *link
		id   RunID
		wake chan struct{}

		// What follows is guarded by link.mu.
		given  bool // the host has the order
		events []cf.StreamEvent
		seen   cf.Millis
		end    *RunEnd
		err    error // without the host's word
	}
)

func newLink(p *Pool, e cfmember.Entry) *link {
	return &link{pool: p, id: e.ID, addr: e.PeerAddr, kick: make(chan struct{}, 1), runs: map[RunID]*run{}, used: cf.Uptime()}
}

func (l *link) isOver() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.over
}

// start orders a run; nil if the link is over.
func (l *link) start(t cf.Target, call cf.TargetCall) *run {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return nil
	}
	id := RunID(l.pool.runs.Add(1)) // under the lock: a host takes them in their order
	r := &run{link: l, id: id, wake: make(chan struct{}, 1)}
	l.runs[id] = r
	l.starts = append(l.starts, StartOrder{id, t, call})
	l.poke()
	return r
}

// poke makes orders be given now.
func (l *link) poke() {
	select {
	case l.kick <- struct{}{}:
	default: // they are about to be
	}
}

// order gives orders until the link is over. Those of a moment go together.
func (l *link) order() {
	for {
		select {
		case <-l.kick:
		case <-l.pool.ctx.Done():
			return
		}
		if l.isOver() {
			return
		}
		o, some := l.takeOrders()
		if !some {
			continue
		}
		ctx, cancel := context.WithTimeout(l.pool.ctx, answerTime.Duration())
		var ok bool
		err := l.pool.Peers.Call(ctx, l.addr, OpOrders, o, &ok)
		cancel()
		l.gave(o, err)
		if err != nil {
			cf.Sleep(l.pool.ctx, orderRetry)
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
	o := Orders{Incarnation: l.pool.duty, Session: l.session, HostClock: l.clock, Starts: l.starts, Stops: l.stops}
	l.starts, l.stops = nil, nil
	return o, true
}

// gave takes what came of orders. Without an answer the host may have them: they
// are given again, and it passes over what it knows.
func (l *link) gave(o Orders, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.starts = append(o.Starts, l.starts...)
		l.stops = append(o.Stops, l.stops...)
		l.poke()
		return
	}
	for _, s := range o.Starts {
		if r := l.runs[s.Run]; r != nil {
			r.given = true
		}
	}
}

// collect asks for news until the host is lost, or has had no runs for a while.
func (l *link) collect() {
	for failures := 0; l.pool.ctx.Err() == nil; {
		if l.idle() {
			return
		}
		asked := cf.Uptime()
		l.mu.Lock()
		call := CollectRequest{Incarnation: l.pool.duty, Session: l.session, LastReport: l.got, HostClock: l.clock + asked - l.clockAt}
		l.mu.Unlock()
		ctx, cancel := context.WithTimeout(l.pool.ctx, (reportEvery + answerTime).Duration())
		var rep Report
		err := l.pool.Peers.Call(ctx, l.addr, OpCollect, call, &rep)
		cancel()
		if err == nil {
			failures = 0
			l.take(rep, cf.Uptime())
			continue
		}
		failures++
		ended := errors.Is(err, cf.ErrNoProcess) || errors.Is(err, cf.ErrFenced)
		if !ended && failures < lostAfter {
			cf.Sleep(l.pool.ctx, orderRetry)
			continue
		}
		if !ended {
			cf.Sleep(l.pool.ctx, (givenUpBy(asked) - cf.Uptime()).Duration())
		}
		l.finish(err)
		return
	}
	l.finish(eris.Wrap(cf.ErrUnavailable, "the coordinator stops"))
}

// idle ends a link without runs.
func (l *link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := cf.Uptime()
	if len(l.runs) > 0 {
		l.used = now
	}
	l.over = now-l.used > idleAfter
	if l.over {
		l.poke()
	}
	return l.over
}

// finish ends the runs of a lost host.
func (l *link) finish(cause error) {
	l.mu.Lock()
	l.over = true
	n := len(l.runs)
	for _, r := range l.runs {
		r.fail(eris.Wrapf(cf.ErrUnavailable, "instance %s is lost: %v", l.id, cause))
	}
	l.mu.Unlock()
	l.poke()
	if l.pool.ctx.Err() == nil {
		l.pool.Log.Warn("runner_lost", zap.String("entry", string(l.id)), zap.Int("runs", n), cflog.Error(cause))
		l.pool.lost(l.id)
	}
}

// take takes a report that arrived at now.
func (l *link) take(rep Report, now cf.Millis) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if rep.Session != l.session {
		if l.session != 0 {
			l.pool.Log.Warn("runner_began_anew", zap.String("entry", string(l.id)), zap.Int("runs", len(l.runs)))
		}
		for _, r := range l.runs {
			if r.given {
				r.fail(eris.Wrapf(cf.ErrUnavailable, "instance %s holds it no more", l.id))
			}
		}
		l.session, l.got = rep.Session, 0
	}
	l.clock, l.clockAt = rep.HostClock, now
	l.poke()
	if rep.Number <= l.got {
		return // it was given again, and had arrived
	}
	l.got = rep.Number
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
		r.poke()
	}
	for _, r := range l.runs {
		r.seen = now
	}
}

// fail ends a run without its host's word. link.mu is held.
func (r *run) fail(err error) {
	r.err = err
	delete(r.link.runs, r.id)
	r.poke()
}

func (r *run) poke() {
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
		if s.Run == r.id && !r.given { // the host may have it, from an order without an answer
			l.starts = append(l.starts[:i:i], l.starts[i+1:]...)
			break
		}
	}
	l.stops = append(l.stops, r.id)
	l.poke()
}

// follow hands the run's events on until it has ended. A run that ctx ends is
// stopped; it is over when its host says so.
func (r *run) follow(ctx context.Context, sink cf.StreamSink) (cf.TargetAnswer, error) {
	seer, _ := sink.(cf.WatermarkSink)
	stopped := ctx.Done()
	var hurried <-chan struct{}
	var late <-chan time.Time
	var failure error
	for began := false; ; {
		select {
		case <-r.wake:
		case <-stopped:
			stopped, hurried = nil, r.link.pool.hurried
			r.stop()
			continue
		case <-hurried:
			hurried, late = nil, time.After(hurryTime)
			continue
		case <-late:
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrUnavailable, "stopped without its host's word")
		}
		events, seen, end, err := r.news()
		for _, ev := range events {
			if failure != nil {
				break
			}
			if !began {
				began, failure = true, sink.Start(cf.TargetAnswer{Status: 200})
			}
			if failure == nil {
				failure = sink.Event(ev)
			}
			if failure != nil && end == nil && err == nil {
				r.stop()
			}
		}
		if seer != nil && seen > 0 {
			seer.Watermark(seen)
		}
		switch {
		case err != nil:
			return cf.TargetAnswer{}, err
		case end == nil:
		case failure != nil:
			return cf.TargetAnswer{}, failure
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

// news takes what the run has brought.
func (r *run) news() (events []cf.StreamEvent, seen cf.Millis, end *RunEnd, err error) {
	r.link.mu.Lock()
	defer r.link.mu.Unlock()
	events, r.events = r.events, nil
	return events, r.seen, r.end, r.err
}
