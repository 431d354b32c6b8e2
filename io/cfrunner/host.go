package cfrunner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/io/cflog"
)

const (
	// watchEvery is how often a host looks whether its coordinator still asks.
	watchEvery = 100 * time.Millisecond
	// unsentMost bounds the events that a host holds for a coordinator, and reportMost those
	// of a report: together they are under half of what the link takes in a message. A usual
	// stream brings a kilobyte between two reports.
	unsentMost = 2 << 20
	reportMost = 2 << 20
	// eventExtra is what an event takes beside its data.
	eventExtra = 64
)

type (
	// Host holds streams for the coordinator. It is safe for concurrent use.
	// Close stops its runs and waits for them.
	Host struct {
		targets cf.Targets
		log     *zap.Logger
		ctx     context.Context
		cancel  context.CancelFunc
		wg      cflog.Group

		mu sync.Mutex
		// term is the highest that was heard of; orders of a lower one are
		// refused.
		term    cf.Revision
		session *session
	}

	// session is what a host holds for one coordinator.
	session struct {
		id     SessionID
		duty   Incarnation
		ctx    context.Context
		cancel context.CancelFunc

		mu    sync.Mutex
		asked cf.Millis // when the coordinator last asked for news
		runs  map[RunID]*hosted
		last  RunID // the latest that was started
		// news are the ends of runs that are not among runs.
		news []RunUpdate
		// sent is the latest report, acked the number of the latest that is known
		// to have arrived.
		sent  Report
		acked int64
		// unsent is what events take that no report has.
		unsent *cfhold.Pool
		ended  chan struct{} // wakes a question for news
	}

	// hosted is a run of a session.
	hosted struct {
		cancel context.CancelFunc
		events []Event
		end    *RunEnd
		// last is the last event, held what those take that no report has.
		last cf.EventID
		held int64
	}
)

// NewHost returns a host without runs.
func NewHost(targets cf.Targets, log *zap.Logger) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	return &Host{targets: targets, log: log, ctx: ctx, cancel: cancel}
}

// Close stops the runs and waits for them.
func (h *Host) Close() error {
	h.cancel()
	h.wg.Wait()
	return nil
}

// Fence stops the runs of coordinators before term.
func (h *Host) Fence(term cf.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term <= h.term {
		return
	}
	h.term = term
	if h.session != nil {
		h.drop("a later coordinator has called")
	}
}

// drop ends the session. h.mu is held.
func (h *Host) drop(reason string) {
	s := h.session
	h.session = nil
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.log.Info("runs_dropped", zap.Int("runs", len(s.runs)), zap.Int64("term", int64(s.duty.Term)), zap.String("reason", reason))
}

// join returns the session of a coordinator, a new one if there is none.
func (h *Host) join(d Incarnation) (*session, error) {
	h.Fence(d.Term)
	h.mu.Lock()
	defer h.mu.Unlock()
	if d.Term < h.term || h.ctx.Err() != nil {
		return nil, eris.Wrapf(cf.ErrFenced, "term %d", d.Term)
	}
	if h.session != nil && h.session.duty != d {
		h.drop("the coordinator has started again")
	}
	if h.session == nil {
		ctx, cancel := context.WithCancel(h.ctx)
		h.session = &session{
			id: SessionID(rand.Uint64()), duty: d, ctx: ctx, cancel: cancel, asked: cf.Uptime(),
			runs: map[RunID]*hosted{}, unsent: cfhold.NewPool(unsentMost), ended: make(chan struct{}, 1),
		}
		s := h.session
		h.wg.Go(func() { h.watch(s) })
	}
	return h.session, nil
}

// watch ends a session whose coordinator does not ask any more.
func (h *Host) watch(s *session) {
	for cf.Sleep(s.ctx, watchEvery) {
		s.mu.Lock()
		held := holds(s.asked, cf.Uptime())
		s.mu.Unlock()
		if held {
			continue
		}
		h.mu.Lock()
		if h.session == s {
			h.drop("the coordinator asks no more")
		}
		h.mu.Unlock()
	}
}

// ApplyOrders starts and stops runs. Starts that the session knows are passed over: an
// order without an answer is given again.
func (h *Host) ApplyOrders(_ context.Context, o Orders) (bool, error) {
	s, err := h.join(o.Incarnation)
	if err != nil {
		return false, err
	}
	if s.id != o.Session {
		return false, eris.Wrapf(cf.ErrConflict, "session %d, not %d", s.id, o.Session)
	}
	age := cf.Uptime() - o.HostClock
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, st := range o.Starts {
		if st.Run <= s.last {
			continue
		}
		s.last = st.Run
		if age > startFresh || s.ctx.Err() != nil {
			h.log.Warn("run_not_started", zap.String("request_id", string(st.Call.ID)), zap.String("target", string(st.Target.ID)),
				zap.Int64("order_age_ms", int64(age)))
			s.settle(st.Run, RunEnd{NotRun: true})
			continue
		}
		h.start(s, st)
	}
	for _, id := range o.Stops {
		if r := s.runs[id]; r != nil {
			r.cancel()
		} else {
			s.settle(id, RunEnd{UnknownRun: true}) // ended, or never begun
		}
	}
	return true, nil
}

// start runs a stream. s.mu is held.
func (h *Host) start(s *session, st StartOrder) {
	ctx, cancel := context.WithCancel(s.ctx)
	r := &hosted{cancel: cancel, last: st.Call.ResumeAfter}
	s.runs[st.Run] = r
	h.wg.Go(func() {
		defer cancel()
		answer, err := h.targets.Stream(ctx, st.Target, st.Call, hostSink{s, r})
		end := &RunEnd{Status: answer.Status, NotRun: answer.NotRun, Alive: answer.Alive}
		if err != nil {
			end.Error, end.NotSent = err.Error(), errors.Is(err, cf.ErrNotRun)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		r.end = end
		s.wake()
	})
}

// hostSink gathers the events of a run.
type hostSink struct {
	s *session
	r *hosted
}

func (k hostSink) Start(cf.TargetAnswer) error { return nil }

func (k hostSink) Event(ev cf.StreamEvent) error {
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	if ev.ID != k.r.last+1 {
		return eris.Wrapf(cf.ErrBadAnswer, "event %d after %d", ev.ID, k.r.last)
	}
	size := k.r.held + int64(len(ev.Data)) + eventExtra
	if !k.s.unsent.Grow(k.r.held, size) {
		return eris.Wrapf(cf.ErrBadAnswer, "events of %d bytes between two reports", size)
	}
	k.r.last, k.r.held = ev.ID, size
	k.r.events = append(k.r.events, Event{ID: ev.ID, Data: ev.Data, Version: ev.Version, At: cf.Uptime()})
	return nil
}

// settle reports the end of a run that is not held. s.mu is held.
func (s *session) settle(id RunID, end RunEnd) {
	s.news = append(s.news, RunUpdate{Run: id, End: &end})
	s.wake()
}

// wake ends a question's wait. s.mu is held.
func (s *session) wake() {
	select {
	case s.ended <- struct{}{}:
	default: // one is woken already
	}
}

// Collect answers a question for news: after a while, or as soon as a run has
// ended.
func (h *Host) Collect(ctx context.Context, c CollectRequest) (Report, error) {
	s, err := h.join(c.Incarnation)
	if err != nil {
		return Report{}, err
	}
	if r, lost := s.acknowledge(c); lost {
		return r, nil
	}
	timer := time.NewTimer(reportEvery.Duration())
	defer timer.Stop()
	select {
	case <-s.ended:
	case <-timer.C:
	case <-s.ctx.Done():
		return Report{}, eris.Wrap(cf.ErrUnavailable, "the session is over")
	case <-ctx.Done():
		return Report{}, eris.Wrap(cf.ErrUnavailable, "the instance stops")
	}
	return s.report(), nil
}

// acknowledge notes that the coordinator asks, and what it has; it returns the
// latest report if that did not arrive.
func (s *session) acknowledge(c CollectRequest) (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Session == s.id {
		s.asked = max(s.asked, askedAt(c.HostClock, cf.Uptime()))
		s.acked = max(s.acked, c.LastReport)
	}
	return s.again()
}

// again returns the latest report if it is not known to have arrived. s.mu is held.
func (s *session) again() (Report, bool) {
	r := s.sent
	r.HostClock = cf.Uptime()
	return r, s.acked < s.sent.Number
}

// report returns what is new, or once more what did not arrive.
func (s *session) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, lost := s.again(); lost {
		return r
	}
	out := Report{Session: s.id, Number: s.sent.Number + 1, HostClock: cf.Uptime(), Runs: s.news}
	s.news = nil
	size := int64(0)
	for id, r := range s.runs {
		if len(r.events) == 0 && r.end == nil {
			continue
		}
		if size > 0 && size+r.held > reportMost {
			s.wake() // the next report has it
			continue
		}
		size += r.held
		s.unsent.Free(r.held)
		r.held = 0
		out.Runs = append(out.Runs, RunUpdate{Run: id, Events: r.events, End: r.end})
		r.events = nil
		if r.end != nil {
			delete(s.runs, id)
		}
	}
	s.sent = out
	return out
}
