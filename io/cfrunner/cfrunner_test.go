package cfrunner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfdrain"
	"currantford/core/cfmember"
)

// fake is a Targets implementation whose streams deliver the events sent to a channel.
type fake struct {
	cf.Targets
	mu       sync.Mutex
	starts   map[cf.RequestID]int // number of runs started, by request
	finished int                  // number of runs that have ended
	events   chan cf.StreamEvent
}

func newFake() *fake { return &fake{starts: map[cf.RequestID]int{}, events: make(chan cf.StreamEvent)} }

func (g *fake) Stream(ctx context.Context, _ cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	g.mu.Lock()
	g.starts[call.ID]++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.finished++
		g.mu.Unlock()
	}()
	for {
		select {
		case ev, more := <-g.events:
			if !more {
				return cf.TargetAnswer{Status: 200}, nil
			}
			if err := sink.Event(ev); err != nil {
				return cf.TargetAnswer{}, err
			}
		case <-ctx.Done():
			return cf.TargetAnswer{}, ctx.Err()
		}
	}
}

func (g *fake) startCount(id cf.RequestID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.starts[id]
}

func (g *fake) finishedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.finished
}

// fakePeer calls a host directly. dropResponse, if set, decides which responses are lost.
type fakePeer struct {
	mu           sync.Mutex
	host         *Host
	unreachable  bool
	dropResponse func(op string) bool
	// delay, if set, is the delay of calls on their way to the host; their responses are lost.
	delay time.Duration
}

func (w *fakePeer) Call(ctx context.Context, _, op string, body, out any) error {
	w.mu.Lock()
	host, unreachable, dropResponse, delay := w.host, w.unreachable, w.dropResponse, w.delay
	w.mu.Unlock()
	if delay > 0 {
		if c, ok := body.(CollectRequest); ok {
			time.AfterFunc(delay, func() { _, _ = host.Collect(context.Background(), c) })
		}
		<-ctx.Done()
		return cf.ErrUnavailable
	}
	if unreachable {
		<-ctx.Done()
		return cf.ErrUnavailable
	}
	if host == nil {
		return cf.ErrNoProcess
	}
	var err error
	switch op {
	case OpOrders:
		*out.(*bool), err = host.ApplyOrders(ctx, body.(Orders))
	case OpCollect:
		var r Report
		if r, err = host.Collect(ctx, body.(CollectRequest)); err == nil {
			*out.(*Report) = r
		}
	}
	if err == nil && dropResponse != nil && dropResponse(op) {
		return cf.ErrUnavailable
	}
	return err
}

func (w *fakePeer) set(f func(*fakePeer)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// recordingSink collects a run's events.
type recordingSink struct {
	mu     sync.Mutex
	events []cf.StreamEvent
}

func (s *recordingSink) Start(cf.TargetAnswer) error { return nil }

func (s *recordingSink) Event(ev cf.StreamEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := cf.EventID(len(s.events) + 1); ev.ID != want {
		return fmt.Errorf("%w: event %d, want %d", cf.ErrBadAnswer, ev.ID, want)
	}
	s.events = append(s.events, ev)
	return nil
}

func (s *recordingSink) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// engine is the target of all runs.
var engine = cf.Target{ID: "e", Slots: manySlots}

const manySlots = 1000

// newTestPool returns a Pool that runs nothing locally, and the fake peer with its only host.
func newTestPool(t *testing.T, targets cf.Targets) (*Pool, *fakePeer) {
	t.Helper()
	w := &fakePeer{host: NewHost(targets, cfdrain.New(), zap.NewNop())}
	t.Cleanup(func() { _ = w.host.Close() })
	p := NewPool(Options{
		Self: cfmember.Entry{ID: "self", Capacity: 0.001}, Term: 5, Local: targets, Peers: w, Log: zap.NewNop(),
		Members: func() []cfmember.Entry {
			return []cfmember.Entry{{ID: "self", Capacity: 0.001}, {ID: "host", PeerAddr: "host", Capacity: 0.1}}
		},
	})
	t.Cleanup(func() { _ = p.Close() })
	return p, w
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timeout waiting for: %s", what)
		}
	}
}

type runResult struct {
	answer cf.TargetAnswer
	err    error
}

func startRun(ctx context.Context, p *Pool, id cf.RequestID, s cf.StreamSink) chan runResult {
	done := make(chan runResult, 1)
	go func() {
		a, err := p.Route(engine).Stream(ctx, engine, cf.TargetCall{ID: id}, s)
		done <- runResult{a, err}
	}()
	return done
}

// TestLostResponsesLoseNoEvents guards against missing and duplicate events in a sample's text when
// half of the host's responses, to orders and polls alike, are lost after the host has acted on the
// calls. Reports must be sent again but applied once, and repeated orders must be executed once.
func TestLostResponsesLoseNoEvents(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	n := 0
	w.set(func(w *fakePeer) {
		var mu sync.Mutex
		w.dropResponse = func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			n++
			return n%2 == 1
		}
	})
	s := &recordingSink{}
	done := startRun(context.Background(), p, "r", s)
	const events = 40
	for i := range events {
		g.events <- cf.StreamEvent{ID: cf.EventID(i + 1), Data: "x", Version: 1}
	}
	close(g.events)
	if e := <-done; e.err != nil || e.answer.Status != 200 {
		t.Fatalf("the run ended with %+v, %v", e.answer, e.err)
	}
	if s.len() != events || g.startCount("r") != 1 {
		t.Errorf("%d of %d events, run started %d times", s.len(), events, g.startCount("r"))
	}
}

// TestStoppedRunEndsWhenHostConfirms guards against an item that runs at two engines at once
// because a stopped run counts as ended before its host has ended it.
func TestStoppedRunEndsWhenHostConfirms(t *testing.T) {
	g := newFake()
	p, _ := newTestPool(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	done := startRun(ctx, p, "r", &recordingSink{})
	eventually(t, "the start of the run", func() bool { return g.startCount("r") == 1 })
	cancel()
	if e := <-done; e.err == nil {
		t.Error("a stopped run ended without an error")
	}
	if g.finishedCount() != 1 {
		t.Error("the run counts as ended while its host still executes it")
	}
}

// TestUnreachableHostStopsItsRunsFirst guards against engines kept busy by runs of a coordinator
// that no longer exists, and against an item that runs at two engines at once. When the link
// between coordinator and host fails, the host must stop its runs by itself, before the coordinator
// considers them lost.
func TestUnreachableHostStopsItsRunsFirst(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	done := startRun(context.Background(), p, "r", &recordingSink{})
	eventually(t, "the start of the run", func() bool { return g.startCount("r") == 1 })
	w.set(func(w *fakePeer) { w.unreachable = true })
	e := <-done
	if !errors.Is(e.err, cf.ErrUnavailable) {
		t.Errorf("a run whose host is lost ended with %v, want ErrUnavailable", e.err)
	}
	if g.finishedCount() != 1 {
		t.Error("the run counts as lost while its host still executes it")
	}
}

// TestDelayedPollsDoNotExtendRuns guards against an item that runs at two engines at once for half
// a second and more. The link delays polls by 0.9 s and loses the responses; the coordinator counts
// from when it sent the latest poll, so a host that counts from the poll's arrival keeps the runs
// too long.
func TestDelayedPollsDoNotExtendRuns(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	done := startRun(context.Background(), p, "r", &recordingSink{})
	eventually(t, "the start of the run", func() bool { return g.startCount("r") == 1 })
	w.set(func(w *fakePeer) { w.delay = 900 * time.Millisecond })
	if e := <-done; !errors.Is(e.err, cf.ErrUnavailable) {
		t.Errorf("a run whose host is lost ended with %v, want ErrUnavailable", e.err)
	}
	if g.finishedCount() != 1 {
		t.Error("the run counts as lost while its host still executes it")
	}
}

// TestRunsOfRestartedHostFail guards against runs that wait forever because a host process that was
// killed and restarted at once is mistaken for the one that had the runs.
func TestRunsOfRestartedHostFail(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	done := startRun(context.Background(), p, "r", &recordingSink{})
	eventually(t, "the start of the run", func() bool { return g.startCount("r") == 1 })
	again := NewHost(g, cfdrain.New(), zap.NewNop())
	t.Cleanup(func() { _ = again.Close() })
	w.set(func(w *fakePeer) { w.host = again })
	if e := <-done; !errors.Is(e.err, cf.ErrUnavailable) {
		t.Errorf("the run ended with %v, want ErrUnavailable", e.err)
	}
}

// TestStaleOrdersStartNothing guards against an item of an ended batch that reaches an engine
// seconds after the end, because an order was delayed on the link or comes from a coordinator with
// an earlier term.
func TestStaleOrdersStartNothing(t *testing.T) {
	g := newFake()
	h := NewHost(g, cfdrain.New(), zap.NewNop())
	t.Cleanup(func() { _ = h.Close() })
	coordinator := Incarnation{Term: 5, Number: 1}
	first, err := h.Collect(context.Background(), CollectRequest{Incarnation: coordinator})
	if err != nil {
		t.Fatal(err)
	}
	stale := Orders{Incarnation: coordinator, Session: first.Session, HostClock: first.HostClock - maxOrderAge - 1, Starts: []StartOrder{{Run: 1, Call: cf.TargetCall{ID: "old"}}}}
	if _, err := h.ApplyOrders(context.Background(), stale); err != nil {
		t.Fatal(err)
	}
	r, err := h.Collect(context.Background(), CollectRequest{Incarnation: coordinator, Session: first.Session, LastReport: first.Number})
	if err != nil || len(r.Runs) != 1 || r.Runs[0].End == nil || !r.Runs[0].End.NotRun {
		t.Errorf("report after a stale order: %+v, %v; want a run that was not run", r.Runs, err)
	}
	h.Fence(6)
	fenced := Orders{Incarnation: coordinator, Session: first.Session, HostClock: r.HostClock, Starts: []StartOrder{{Run: 2, Call: cf.TargetCall{ID: "late"}}}}
	if _, err := h.ApplyOrders(context.Background(), fenced); !errors.Is(err, cf.ErrFenced) {
		t.Errorf("an order with an earlier term: error %v, want ErrFenced", err)
	}
	if g.startCount("old")+g.startCount("late") > 0 {
		t.Error("a stale order was executed")
	}
}

// TestRestartedCoordinatorGetsNewSession guards against lost samples after a coordinator process
// was killed and restarted at once with the same lease. The new process numbers its runs from the
// beginning while the host still has the runs of the old one, so the host must tell two processes
// with the same term apart.
func TestRestartedCoordinatorGetsNewSession(t *testing.T) {
	g := newFake()
	p, _ := newTestPool(t, g)
	done := startRun(context.Background(), p, "before", &recordingSink{})
	eventually(t, "the start of the run", func() bool { return g.startCount("before") == 1 })
	q := NewPool(p.Options)
	t.Cleanup(func() { _ = q.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	startRun(ctx, q, "after", &recordingSink{})
	eventually(t, "the start of the new run", func() bool { return g.startCount("after") == 1 })
	eventually(t, "the end of the old run", func() bool { return g.finishedCount() == 1 })
	_ = p.Close()
	<-done
}

// refusingTargets is a Targets implementation to which no connection can be established.
type refusingTargets struct{ cf.Targets }

func (refusingTargets) Stream(context.Context, cf.Target, cf.TargetCall, cf.StreamSink) (cf.TargetAnswer, error) {
	return cf.TargetAnswer{}, eris.Wrap(cf.ErrNotRun, "connection refused")
}

// TestHostReportsThatRunWasNotSent guards against counting a request that was never sent as one
// during which a target was lost, because the host's report on the end of the run omits that it was
// not sent.
func TestHostReportsThatRunWasNotSent(t *testing.T) {
	p, _ := newTestPool(t, refusingTargets{})
	_, err := p.Route(engine).Stream(context.Background(), engine, cf.TargetCall{ID: "1"}, &recordingSink{})
	if !errors.Is(err, cf.ErrNotRun) {
		t.Errorf("error %v, want ErrNotRun", err)
	}
}

// floodTargets is a Targets implementation whose streams send one-kilobyte events without end.
type floodTargets struct {
	cf.Targets
	numbered   bool
	sentEvents chan int
}

func (f floodTargets) Stream(ctx context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	for n := 1; ctx.Err() == nil; n++ {
		ev := cf.StreamEvent{Data: string(make([]byte, 1<<10))}
		if f.numbered {
			ev.ID = cf.EventID(n)
		}
		if err := sink.Event(ev); err != nil || n == 100_000 {
			f.sentEvents <- n
			return cf.TargetAnswer{}, err
		}
	}
	return cf.TargetAnswer{}, ctx.Err()
}

// TestUnboundedStreamsStayWithinReportLimit guards against an endless stream that exhausts its
// host's memory and makes a report too large for the link, which fails the runs of all engines of
// the host.
func TestUnboundedStreamsStayWithinReportLimit(t *testing.T) {
	for _, numbered := range []bool{false, true} {
		f := floodTargets{numbered: numbered, sentEvents: make(chan int, 100)}
		host := NewHost(f, cfdrain.New(), zap.NewNop())
		defer func() { _ = host.Close() }()
		coordinator := Incarnation{Term: 5, Number: 1}
		first, err := host.Collect(t.Context(), CollectRequest{Incarnation: coordinator})
		if err != nil {
			t.Fatal(err)
		}
		starts := make([]StartOrder, 50)
		for i := range starts {
			starts[i] = StartOrder{Run: RunID(i + 1), Call: cf.TargetCall{ID: "r"}}
		}
		if _, err := host.ApplyOrders(t.Context(), Orders{Incarnation: coordinator, Session: first.Session, HostClock: cf.Uptime(), Starts: starts}); err != nil {
			t.Fatal(err)
		}
		maxReport, ends, got := 0, 0, first.Number
		for ends < len(starts) {
			r, err := host.Collect(t.Context(), CollectRequest{Incarnation: coordinator, Session: first.Session, LastReport: got, HostClock: cf.Uptime()})
			if err != nil {
				t.Fatal(err)
			}
			got = r.Number
			size := 0
			for _, n := range r.Runs {
				for _, ev := range n.Events {
					size += len(ev.Data)
				}
				if n.End != nil {
					ends++
					if n.End.Error == "" {
						t.Errorf("numbered %t: run %d ended without an error", numbered, n.Run)
					}
				}
			}
			maxReport = max(maxReport, size)
		}
		events := 0
		for range starts {
			events = max(events, <-f.sentEvents)
		}
		t.Logf("numbered %t: at most %d bytes in a report, at most %d events of a stream", numbered, maxReport, events)
		if maxReport > 4<<20 {
			t.Errorf("numbered %t: %d bytes in a report, more than half of the link's message size limit", numbered, maxReport)
		}
	}
}
