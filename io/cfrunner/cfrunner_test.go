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
	"currantford/core/cfmember"
)

// gated is a target whose streams wait for their events.
type gated struct {
	cf.Targets
	mu    sync.Mutex
	runs  map[cf.RequestID]int // how often each was begun
	over  int                  // how many have ended
	event chan cf.StreamEvent
}

func newGated() *gated { return &gated{runs: map[cf.RequestID]int{}, event: make(chan cf.StreamEvent)} }

func (g *gated) Stream(ctx context.Context, _ cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	g.mu.Lock()
	g.runs[call.ID]++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.over++
		g.mu.Unlock()
	}()
	for {
		select {
		case ev, more := <-g.event:
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

func (g *gated) begun(id cf.RequestID) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.runs[id]
}

func (g *gated) ended() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.over
}

// wire calls a host directly. lose, if set, says which answers are lost.
type wire struct {
	mu   sync.Mutex
	host *Host
	gone bool
	lose func(op string) bool
	// late, if set, is how long calls are on their way; their answers are lost.
	late time.Duration
}

func (w *wire) Call(ctx context.Context, _, op string, body, out any) error {
	w.mu.Lock()
	host, gone, lose, late := w.host, w.gone, w.lose, w.late
	w.mu.Unlock()
	if late > 0 {
		if c, ok := body.(CollectRequest); ok {
			time.AfterFunc(late, func() { _, _ = host.Collect(context.Background(), c) })
		}
		<-ctx.Done()
		return cf.ErrUnavailable
	}
	if gone {
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
	if err == nil && lose != nil && lose(op) {
		return cf.ErrUnavailable
	}
	return err
}

func (w *wire) set(f func(*wire)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// sink collects a run's events.
type sink struct {
	mu     sync.Mutex
	events []cf.StreamEvent
}

func (s *sink) Start(cf.TargetAnswer) error { return nil }

func (s *sink) Event(ev cf.StreamEvent) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if want := cf.EventID(len(s.events) + 1); ev.ID != want {
		return fmt.Errorf("%w: event %d, want %d", cf.ErrBadAnswer, ev.ID, want)
	}
	s.events = append(s.events, ev)
	return nil
}

func (s *sink) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.events)
}

// engine is the one that runs all.
var engine = cf.Target{ID: "e", Slots: manySlots}

const manySlots = 1000

// pool returns a pool that holds nothing itself, and the wire to its only host.
func pool(t *testing.T, targets cf.Targets) (*Pool, *wire) {
	t.Helper()
	w := &wire{host: NewHost(targets, zap.NewNop())}
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
			t.Fatalf("not seen: %s", what)
		}
	}
}

type ended struct {
	answer cf.TargetAnswer
	err    error
}

func begin(ctx context.Context, p *Pool, id cf.RequestID, s cf.StreamSink) chan ended {
	done := make(chan ended, 1)
	go func() {
		a, err := p.Route(engine).Stream(ctx, engine, cf.TargetCall{ID: id}, s)
		done <- ended{a, err}
	}()
	return done
}

// Symptom: a sample's text lacks an event, or has one twice.
// Sequence: half of the host's answers are lost after it has acted on the calls,
// orders and questions for news alike.
// Cause guarded against: a report that is not given again, or taken twice; an order
// that is carried out twice.
func TestLostAnswersLoseNoEvents(t *testing.T) {
	g := newGated()
	p, w := pool(t, g)
	n := 0
	w.set(func(w *wire) {
		var mu sync.Mutex
		w.lose = func(string) bool {
			mu.Lock()
			defer mu.Unlock()
			n++
			return n%2 == 1
		}
	})
	s := &sink{}
	done := begin(context.Background(), p, "r", s)
	const events = 40
	for i := range events {
		g.event <- cf.StreamEvent{ID: cf.EventID(i + 1), Data: "x", Version: 1}
	}
	close(g.event)
	if e := <-done; e.err != nil || e.answer.Status != 200 {
		t.Fatalf("ended with %+v, %v", e.answer, e.err)
	}
	if s.len() != events || g.begun("r") != 1 {
		t.Errorf("%d of %d events, begun %d times", s.len(), events, g.begun("r"))
	}
}

// Symptom: an item runs at two engines at once.
// Sequence: a run is stopped, to go on elsewhere; its host holds it until then.
// Cause guarded against: a stream that counts as over before its host has ended it.
func TestStoppedRunIsOverWhenItsHostSaysSo(t *testing.T) {
	g := newGated()
	p, _ := pool(t, g)
	ctx, cancel := context.WithCancel(context.Background())
	done := begin(ctx, p, "r", &sink{})
	eventually(t, "the run", func() bool { return g.begun("r") == 1 })
	cancel()
	if e := <-done; e.err == nil {
		t.Error("a stopped run has no error")
	}
	if g.ended() != 1 {
		t.Error("the run counts as over, and its host holds it")
	}
}

// Symptom: engines are kept busy by runs of a coordinator that is gone; an item runs
// at two engines at once.
// Sequence: the link between coordinator and host is cut; the host stops its runs by
// itself, and only then the coordinator takes them for lost.
// Cause guarded against: a host without a bound, or a coordinator with a shorter one.
func TestCutHostStopsItsRunsFirst(t *testing.T) {
	g := newGated()
	p, w := pool(t, g)
	done := begin(context.Background(), p, "r", &sink{})
	eventually(t, "the run", func() bool { return g.begun("r") == 1 })
	w.set(func(w *wire) { w.gone = true })
	e := <-done
	if !errors.Is(e.err, cf.ErrUnavailable) {
		t.Errorf("a run whose host is lost ends with %v", e.err)
	}
	if g.ended() != 1 {
		t.Error("the run counts as lost while its host holds it")
	}
}

// Symptom: an item runs at two engines at once for half a second and more.
// Sequence: the link holds questions up for 0.9 s and loses the answers; the coordinator
// takes the runs for lost by when it sent the last question, the host holds them by when
// that arrived.
// Cause: a question counted as of its arrival.
func TestLateQuestionsDoNotHoldRuns(t *testing.T) {
	g := newGated()
	p, w := pool(t, g)
	done := begin(context.Background(), p, "r", &sink{})
	eventually(t, "the run", func() bool { return g.begun("r") == 1 })
	w.set(func(w *wire) { w.late = 900 * time.Millisecond })
	if e := <-done; !errors.Is(e.err, cf.ErrUnavailable) {
		t.Errorf("a run whose host is lost ends with %v", e.err)
	}
	if g.ended() != 1 {
		t.Error("the run counts as lost while its host holds it")
	}
}

// Symptom: runs wait for ever.
// Sequence: the host's process is killed and starts again at once.
// Cause guarded against: taking the new process for the one that has the runs.
func TestRunsOfAHostThatStartsAgainAreLost(t *testing.T) {
	g := newGated()
	p, w := pool(t, g)
	done := begin(context.Background(), p, "r", &sink{})
	eventually(t, "the run", func() bool { return g.begun("r") == 1 })
	again := NewHost(g, zap.NewNop())
	t.Cleanup(func() { _ = again.Close() })
	w.set(func(w *wire) { w.host = again })
	if e := <-done; !errors.Is(e.err, cf.ErrUnavailable) {
		t.Errorf("ended with %v", e.err)
	}
}

// Symptom: an item of an ended batch reaches an engine seconds after its end.
// Sequence: an order is held up on a link for longer than it may be; a later
// coordinator has called meanwhile.
// Cause guarded against: orders without age or term.
func TestOldOrdersStartNothing(t *testing.T) {
	g := newGated()
	h := NewHost(g, zap.NewNop())
	t.Cleanup(func() { _ = h.Close() })
	duty := Incarnation{Term: 5, Number: 1}
	first, err := h.Collect(context.Background(), CollectRequest{Incarnation: duty})
	if err != nil {
		t.Fatal(err)
	}
	old := Orders{Incarnation: duty, Session: first.Session, HostClock: first.HostClock - startFresh - 1, Starts: []StartOrder{{Run: 1, Call: cf.TargetCall{ID: "old"}}}}
	if _, err := h.ApplyOrders(context.Background(), old); err != nil {
		t.Fatal(err)
	}
	r, err := h.Collect(context.Background(), CollectRequest{Incarnation: duty, Session: first.Session, LastReport: first.Number})
	if err != nil || len(r.Runs) != 1 || r.Runs[0].End == nil || !r.Runs[0].End.NotRun {
		t.Errorf("news of an old order: %+v, %v", r.Runs, err)
	}
	h.Fence(6)
	late := Orders{Incarnation: duty, Session: first.Session, HostClock: r.HostClock, Starts: []StartOrder{{Run: 2, Call: cf.TargetCall{ID: "late"}}}}
	if _, err := h.ApplyOrders(context.Background(), late); !errors.Is(err, cf.ErrFenced) {
		t.Errorf("an order of an earlier term: %v", err)
	}
	if g.begun("old")+g.begun("late") > 0 {
		t.Error("an old order was carried out")
	}
}

// Symptom: samples of a step are lost after its coordinator's process was killed and
// started again at once, with the lease that it had.
// Sequence: the new process counts its runs from the beginning; the host still has
// those of the old one.
// Cause guarded against: taking two processes of one term for one.
func TestCoordinatorThatStartsAgainBeginsAnew(t *testing.T) {
	g := newGated()
	p, _ := pool(t, g)
	done := begin(context.Background(), p, "before", &sink{})
	eventually(t, "the run", func() bool { return g.begun("before") == 1 })
	q := NewPool(p.Options)
	t.Cleanup(func() { _ = q.Close() })
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	begin(ctx, q, "after", &sink{})
	eventually(t, "the new run", func() bool { return g.begun("after") == 1 })
	eventually(t, "the end of the run before", func() bool { return g.ended() == 1 })
	_ = p.Close()
	<-done
}

// refusing targets are gone: no connection to them can be had.
type refusing struct{ cf.Targets }

func (refusing) Stream(context.Context, cf.Target, cf.TargetCall, cf.StreamSink) (cf.TargetAnswer, error) {
	return cf.TargetAnswer{}, eris.Wrap(cf.ErrNotRun, "connection refused")
}

// Symptom: a request that reached no target counts as one under which a target was lost.
// Cause: a host's word on the end of a run left out that it was never sent.
func TestHostTellsThatARunWasNotSent(t *testing.T) {
	p, _ := pool(t, refusing{})
	_, err := p.Route(engine).Stream(context.Background(), engine, cf.TargetCall{ID: "1"}, &sink{})
	if !errors.Is(err, cf.ErrNotRun) {
		t.Errorf("error %v, want one that says it was not run", err)
	}
}

// flood is a target whose streams send events of a kilobyte without end.
type flood struct {
	cf.Targets
	numbered bool
	sent     chan int
}

func (f flood) Stream(ctx context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	for n := 1; ctx.Err() == nil; n++ {
		ev := cf.StreamEvent{Data: string(make([]byte, 1<<10))}
		if f.numbered {
			ev.ID = cf.EventID(n)
		}
		if err := sink.Event(ev); err != nil || n == 100_000 {
			f.sent <- n
			return cf.TargetAnswer{}, err
		}
	}
	return cf.TargetAnswer{}, ctx.Err()
}

// Guards against a stream without end that takes its host's memory, and makes a report too large
// for the link, so that the runs of all its engines are lost.
func TestStreamsWithoutEndLeaveRoomForReports(t *testing.T) {
	for _, numbered := range []bool{false, true} {
		f := flood{numbered: numbered, sent: make(chan int, 100)}
		host := NewHost(f, zap.NewNop())
		defer func() { _ = host.Close() }()
		duty := Incarnation{Term: 5, Number: 1}
		first, err := host.Collect(t.Context(), CollectRequest{Incarnation: duty})
		if err != nil {
			t.Fatal(err)
		}
		starts := make([]StartOrder, 50)
		for i := range starts {
			starts[i] = StartOrder{Run: RunID(i + 1), Call: cf.TargetCall{ID: "r"}}
		}
		if _, err := host.ApplyOrders(t.Context(), Orders{Incarnation: duty, Session: first.Session, HostClock: cf.Uptime(), Starts: starts}); err != nil {
			t.Fatal(err)
		}
		most, ends, got := 0, 0, first.Number
		for ends < len(starts) {
			r, err := host.Collect(t.Context(), CollectRequest{Incarnation: duty, Session: first.Session, LastReport: got, HostClock: cf.Uptime()})
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
						t.Errorf("numbered %t: run %d ended as if it were whole", numbered, n.Run)
					}
				}
			}
			most = max(most, size)
		}
		events := 0
		for range starts {
			events = max(events, <-f.sent)
		}
		t.Logf("numbered %t: %d bytes in a report, %d events of a stream", numbered, most, events)
		if most > 4<<20 {
			t.Errorf("numbered %t: %d bytes in a report, over half of what the link takes", numbered, most)
		}
	}
}
