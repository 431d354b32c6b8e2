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
	// pollCheckInterval is how often a host looks whether its coordinator still asks.
	pollCheckInterval = 100 * time.Millisecond
	// maxUnsentBytes bounds the events that a host holds for a coordinator, and reportMost those
	// of a report: together they are under half of what the link takes in a message. A usual
	// stream brings a kilobyte between two reports.
	maxUnsentBytes = 2 << 20
	maxReportBytes = 2 << 20
	// eventOverhead is what an event takes beside its data.
	eventOverhead = 64
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
		id          SessionID
		coordinator Incarnation
		ctx         context.Context
		cancel      context.CancelFunc

		mu          sync.Mutex
		lastPoll    cf.Millis // when the coordinator last asked for news
		runs        map[RunID]*hostedRun
		lastStarted RunID // the latest that was started
		// unheldEnds are the ends of runs that are not among runs.
		unheldEnds []RunUpdate
		// lastReport is the latest report, acked the number of the latest that is known
		// to have arrived.
		lastReport Report
		acked      int64
		// unsent is what events take that no report has.
		unsent *cfhold.Pool
		wakeup chan struct{} // wakes a question for news
	}

	// hostedRun is a run of a session.
	hostedRun struct {
		cancel context.CancelFunc
		events []Event
		end    *RunEnd
		// lastEvent is the last event, held what those take that no report has.
		lastEvent   cf.EventID
		unsentBytes int64
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
		h.endSession("a later coordinator has called")
	}
}

// endSession ends the session. h.mu is held.
func (h *Host) endSession(reason string) {
	s := h.session
	h.session = nil
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.log.Info("runs_dropped", zap.Int("runs", len(s.runs)), zap.Int64("term", int64(s.coordinator.Term)), zap.String("reason", reason))
}

// sessionOf returns the session of a coordinator, a new one if there is none.
func (h *Host) sessionOf(coordinator Incarnation) (*session, error) {
	h.Fence(coordinator.Term)
	h.mu.Lock()
	defer h.mu.Unlock()
	if coordinator.Term < h.term || h.ctx.Err() != nil {
		return nil, eris.Wrapf(cf.ErrFenced, "term %d", coordinator.Term)
	}
	if h.session != nil && h.session.coordinator != coordinator {
		h.endSession("the coordinator has started again")
	}
	if h.session == nil {
		ctx, cancel := context.WithCancel(h.ctx)
		h.session = &session{
			id: SessionID(rand.Uint64()), coordinator: coordinator, ctx: ctx, cancel: cancel, lastPoll: cf.Uptime(),
			runs: map[RunID]*hostedRun{}, unsent: cfhold.NewPool(maxUnsentBytes), wakeup: make(chan struct{}, 1),
		}
		s := h.session
		h.wg.Go(func() { h.monitor(s) })
	}
	return h.session, nil
}

// monitor ends a session whose coordinator does not ask any more.
func (h *Host) monitor(s *session) {
	for cf.Sleep(s.ctx, pollCheckInterval) {
		s.mu.Lock()
		active := keepsRuns(s.lastPoll, cf.Uptime())
		s.mu.Unlock()
		if active {
			continue
		}
		h.mu.Lock()
		if h.session == s {
			h.endSession("the coordinator asks no more")
		}
		h.mu.Unlock()
	}
}

// ApplyOrders starts and stops runs. Starts that the session knows are passed over: an
// order without an answer is given again.
func (h *Host) ApplyOrders(_ context.Context, o Orders) (bool, error) {
	s, err := h.sessionOf(o.Incarnation)
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
		if st.Run <= s.lastStarted {
			continue
		}
		s.lastStarted = st.Run
		if age > maxOrderAge || s.ctx.Err() != nil {
			h.log.Warn("run_not_started", zap.String("request_id", string(st.Call.ID)), zap.String("target", string(st.Target.ID)),
				zap.Int64("order_age_ms", int64(age)))
			s.reportEnd(st.Run, RunEnd{NotRun: true})
			continue
		}
		h.start(s, st)
	}
	for _, id := range o.Stops {
		if r := s.runs[id]; r != nil {
			r.cancel()
		} else {
			s.reportEnd(id, RunEnd{UnknownRun: true}) // ended, or never begun
		}
	}
	return true, nil
}

// start runs a stream. s.mu is held.
func (h *Host) start(s *session, st StartOrder) {
	ctx, cancel := context.WithCancel(s.ctx)
	r := &hostedRun{cancel: cancel, lastEvent: st.Call.ResumeAfter}
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
	r *hostedRun
}

func (k hostSink) Start(cf.TargetAnswer) error { return nil }

func (k hostSink) Event(ev cf.StreamEvent) error {
	k.s.mu.Lock()
	defer k.s.mu.Unlock()
	if ev.ID != k.r.lastEvent+1 {
		return eris.Wrapf(cf.ErrBadAnswer, "event %d after %d", ev.ID, k.r.lastEvent)
	}
	size := k.r.unsentBytes + int64(len(ev.Data)) + eventOverhead
	if !k.s.unsent.Grow(k.r.unsentBytes, size) {
		return eris.Wrapf(cf.ErrBadAnswer, "events of %d bytes between two reports", size)
	}
	k.r.lastEvent, k.r.unsentBytes = ev.ID, size
	k.r.events = append(k.r.events, Event{ID: ev.ID, Data: ev.Data, Version: ev.Version, At: cf.Uptime()})
	return nil
}

// reportEnd reports the end of a run that is not held. s.mu is held.
func (s *session) reportEnd(id RunID, end RunEnd) {
	s.unheldEnds = append(s.unheldEnds, RunUpdate{Run: id, End: &end})
	s.wake()
}

// wake ends a question's wait. s.mu is held.
func (s *session) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default: // one is woken already
	}
}

// Collect answers a question for news: after a while, or as soon as a run has
// ended.
func (h *Host) Collect(ctx context.Context, c CollectRequest) (Report, error) {
	s, err := h.sessionOf(c.Incarnation)
	if err != nil {
		return Report{}, err
	}
	if r, resend := s.acknowledge(c); resend {
		return r, nil
	}
	timer := time.NewTimer(reportInterval.Duration())
	defer timer.Stop()
	select {
	case <-s.wakeup:
	case <-timer.C:
	case <-s.ctx.Done():
		return Report{}, eris.Wrap(cf.ErrUnavailable, "the session is over")
	case <-ctx.Done():
		return Report{}, eris.Wrap(cf.ErrUnavailable, "the instance stops")
	}
	return s.nextReport(), nil
}

// acknowledge notes that the coordinator asks, and what it has; it returns the
// latest report if that did not arrive.
func (s *session) acknowledge(c CollectRequest) (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Session == s.id {
		s.lastPoll = max(s.lastPoll, effectivePollTime(c.HostClock, cf.Uptime()))
		s.acked = max(s.acked, c.LastReport)
	}
	return s.unacknowledged()
}

// unacknowledged returns the latest report if it is not known to have arrived. s.mu is held.
func (s *session) unacknowledged() (Report, bool) {
	r := s.lastReport
	r.HostClock = cf.Uptime()
	return r, s.acked < s.lastReport.Number
}

// nextReport returns what is new, or once more what did not arrive.
func (s *session) nextReport() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, resend := s.unacknowledged(); resend {
		return r
	}
	out := Report{Session: s.id, Number: s.lastReport.Number + 1, HostClock: cf.Uptime(), Runs: s.unheldEnds}
	s.unheldEnds = nil
	size := int64(0)
	for id, r := range s.runs {
		if len(r.events) == 0 && r.end == nil {
			continue
		}
		if size > 0 && size+r.unsentBytes > maxReportBytes {
			s.wake() // the next report has it
			continue
		}
		size += r.unsentBytes
		s.unsent.Free(r.unsentBytes)
		r.unsentBytes = 0
		out.Runs = append(out.Runs, RunUpdate{Run: id, Events: r.events, End: r.end})
		r.events = nil
		if r.end != nil {
			delete(s.runs, id)
		}
	}
	s.lastReport = out
	return out
}
