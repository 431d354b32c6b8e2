package cfrunner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfdrain"
	"currantford/core/cfhold"
	"currantford/io/cflog"
)

const (
	// pollCheckInterval is how often a host checks whether its coordinator still polls.
	pollCheckInterval = 100 * time.Millisecond
	// maxUnsentBytes limits the events that a host buffers for a coordinator, and maxReportBytes
	// those in a report. Together they are at most half of the link's message size limit. A typical
	// stream produces a kilobyte between two reports.
	maxUnsentBytes = 2 << 20
	maxReportBytes = 2 << 20
	// eventOverhead is the size of an event in addition to its data.
	eventOverhead = 64
	// handBackTime is how long before the end of a shutdown the runs in progress are stopped, so
	// that the coordinator receives their events and resumes them elsewhere at once.
	handBackTime = 400 * time.Millisecond
	// drainInterval is how often a shutdown checks whether all runs have been reported.
	drainInterval = 10 * time.Millisecond
)

type (
	// Host executes runs for the coordinator. It is safe for concurrent use. Close stops its runs
	// and waits for them.
	Host struct {
		targets cf.Targets
		// drain decides which runs are started while the instance stops.
		drain *cfdrain.Drain
		// draining is set once no run is started any more.
		draining atomic.Bool
		log      *zap.Logger
		ctx      context.Context
		cancel   context.CancelFunc
		wg       cflog.Group

		mu sync.Mutex
		// term is the highest known term; orders with a lower one are rejected.
		term    cf.Revision
		session *session
	}

	// session comprises the runs that a host executes for one coordinator.
	session struct {
		id          SessionID
		coordinator Incarnation
		ctx         context.Context
		cancel      context.CancelFunc

		mu          sync.Mutex
		lastPoll    cf.Millis // effective time of the latest poll
		runs        map[RunID]*hostedRun
		lastStarted RunID // the latest run that was started
		// endsWithoutRun are outcomes of runs that are not in runs.
		endsWithoutRun []RunUpdate
		// lastReport is the latest report, acked the number of the latest report that has certainly
		// arrived.
		lastReport Report
		acked      int64
		// unsent accounts for the size of the events that are not in any report yet.
		unsent *cfhold.Pool
		wakeup chan struct{} // ends the wait of a poll
		// stopping is set when the runs are stopped because the instance stops.
		stopping bool
	}

	// hostedRun is a run of a session.
	hostedRun struct {
		cancel context.CancelFunc
		events []Event
		end    *RunEnd
		// lastEvent is the latest event, unsentBytes the size of the events that are not in any
		// report yet.
		lastEvent   cf.EventID
		unsentBytes int64
	}
)

// NewHost returns a Host without runs. It starts a run only if drain accepts it.
func NewHost(targets cf.Targets, drain *cfdrain.Drain, log *zap.Logger) *Host {
	ctx, cancel := context.WithCancel(context.Background())
	return &Host{targets: targets, drain: drain, log: log, ctx: ctx, cancel: cancel}
}

// Shutdown starts no further run and waits until the coordinator has received the events and the
// ends of all runs. Shortly before ctx ends, it stops those in progress.
func (h *Host) Shutdown(ctx context.Context) {
	h.draining.Store(true)
	end, limited := ctx.Deadline()
	for !h.drained() && cf.Sleep(ctx, drainInterval) {
		if limited && time.Until(end) < handBackTime {
			h.handBack()
		}
	}
}

// drained reports whether the coordinator has received the ends of all runs.
func (h *Host) drained() bool {
	s := h.currentSession()
	if s == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.runs) == 0 && len(s.endsWithoutRun) == 0 && s.acked >= s.lastReport.Number
}

// handBack stops the runs in progress. They are reported as stopped.
func (h *Host) handBack() {
	s := h.currentSession()
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping {
		return
	}
	s.stopping = true
	h.log.Info("runs_handed_back", zap.Int("runs", len(s.runs)), zap.Int64("term", int64(s.coordinator.Term)))
	for _, r := range s.runs {
		r.cancel()
	}
}

func (h *Host) currentSession() *session {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.session
}

// Close stops the runs and waits for them.
func (h *Host) Close() error {
	h.cancel()
	h.wg.Wait()
	return nil
}

// Fence stops the runs of coordinators with a term lower than term.
func (h *Host) Fence(term cf.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if term <= h.term {
		return
	}
	h.term = term
	if h.session != nil {
		h.endSession("a coordinator with a later term exists")
	}
}

// endSession ends the session. h.mu must be held.
func (h *Host) endSession(reason string) {
	s := h.session
	h.session = nil
	s.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	h.log.Info("runs_dropped", zap.Int("runs", len(s.runs)), zap.Int64("term", int64(s.coordinator.Term)), zap.String("reason", reason))
}

// sessionOf returns the session of a coordinator, and begins one if necessary.
func (h *Host) sessionOf(coordinator Incarnation) (*session, error) {
	h.Fence(coordinator.Term)
	h.mu.Lock()
	defer h.mu.Unlock()
	if coordinator.Term < h.term || h.ctx.Err() != nil {
		return nil, eris.Wrapf(cf.ErrFenced, "term %d", coordinator.Term)
	}
	if h.session != nil && h.session.coordinator != coordinator {
		h.endSession("the coordinator has restarted")
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

// monitor ends a session whose coordinator has stopped polling.
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
			h.endSession("the coordinator has stopped polling")
		}
		h.mu.Unlock()
	}
}

// ApplyOrders starts and stops runs. It ignores starts that the session already knows, since the
// coordinator repeats orders to which it received no response.
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
		if v := h.drain.Judge(runClass(st), st.Call.Timeout, cf.Uptime()); !v.Accept || h.draining.Load() {
			h.log.Info("run_refused", zap.String("request_id", string(st.Call.ID)), zap.String("target", string(st.Target.ID)),
				zap.Int64("stop_left_ms", int64(v.Left)), zap.Int64("expected_ms", int64(v.Expected)))
			s.reportEnd(st.Run, RunEnd{Stopping: true})
			continue
		}
		h.start(s, st)
	}
	for _, id := range o.Stops {
		if r := s.runs[id]; r != nil {
			r.cancel()
		} else {
			s.reportEnd(id, RunEnd{UnknownRun: true}) // it has ended or never started
		}
	}
	return true, nil
}

// runClass returns the class of the durations of a run.
func runClass(st StartOrder) cfdrain.Class {
	return cfdrain.Class{Kind: "run", Name: string(st.Target.Service)}
}

// start executes a run in a goroutine. s.mu must be held.
func (h *Host) start(s *session, st StartOrder) {
	ctx, cancel := context.WithCancel(s.ctx)
	r := &hostedRun{cancel: cancel, lastEvent: st.Call.ResumeAfter}
	s.runs[st.Run] = r
	h.wg.Go(func() {
		defer cancel()
		began := cf.Uptime()
		answer, err := h.targets.Stream(ctx, st.Target, st.Call, hostSink{s, r})
		end := &RunEnd{Status: answer.Status, NotRun: answer.NotRun, Alive: answer.Alive}
		if err != nil {
			end.Error, end.NotSent = err.Error(), errors.Is(err, cf.ErrNotRun)
		}
		now := cf.Uptime()
		s.mu.Lock()
		defer s.mu.Unlock()
		switch {
		case err == nil:
			h.drain.Observe(runClass(st), now-began, now)
		case s.stopping:
			end = &RunEnd{Stopping: true}
		}
		r.end = end
		s.wake()
	})
}

// hostSink buffers the events of a run.
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

// reportEnd adds the outcome of a run that the host does not execute to the next report. s.mu must
// be held.
func (s *session) reportEnd(id RunID, end RunEnd) {
	s.endsWithoutRun = append(s.endsWithoutRun, RunUpdate{Run: id, End: &end})
	s.wake()
}

// wake ends the wait of a poll. s.mu must be held.
func (s *session) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default: // already signalled
	}
}

// Collect answers a poll after reportInterval, or as soon as a run has ended.
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

// acknowledge records the time of the poll and the latest report that the coordinator has received.
// If the latest report did not arrive, it returns that report and true.
func (s *session) acknowledge(c CollectRequest) (Report, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.Session == s.id {
		s.lastPoll = max(s.lastPoll, effectivePollTime(c.HostClock, cf.Uptime()))
		s.acked = max(s.acked, c.LastReport)
	}
	return s.unacknowledged()
}

// unacknowledged returns the latest report, and whether it still has to be acknowledged. s.mu must
// be held.
func (s *session) unacknowledged() (Report, bool) {
	r := s.lastReport
	r.HostClock = cf.Uptime()
	return r, s.acked < s.lastReport.Number
}

// nextReport returns a new report, or the latest one again if that did not arrive.
func (s *session) nextReport() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, resend := s.unacknowledged(); resend {
		return r
	}
	out := Report{Session: s.id, Number: s.lastReport.Number + 1, HostClock: cf.Uptime(), Runs: s.endsWithoutRun}
	s.endsWithoutRun = nil
	size := int64(0)
	for id, r := range s.runs {
		if len(r.events) == 0 && r.end == nil {
			continue
		}
		if size > 0 && size+r.unsentBytes > maxReportBytes {
			s.wake() // the next report includes it
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
