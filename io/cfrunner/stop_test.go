package cfrunner

import (
	"context"
	"errors"
	"testing"
	"time"

	cf "currantford"
)

// emit lets the target of a run send an event.
func (g *fake) emit(t *testing.T, id cf.EventID) {
	t.Helper()
	select {
	case g.events <- cf.StreamEvent{ID: id, Data: "x", Version: 1}:
	case <-time.After(10 * time.Second):
		t.Fatalf("no run takes event %d", id)
	}
}

// TestStoppingHostHandsItsRunsBack guards against events that are lost, and runs that wait for a
// silent host, when an instance that runs streams for the coordinator stops.
func TestStoppingHostHandsItsRunsBack(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	s := &recordingSink{}
	done := startRun(t.Context(), p, "r", s)
	const events = 5
	for i := range events {
		g.emit(t, cf.EventID(i+1))
	}
	ctx, cancel := context.WithTimeout(t.Context(), handBackTime)
	defer cancel()
	w.host.Shutdown(ctx)
	if ctx.Err() != nil || g.finishedCount() != 1 {
		t.Errorf("the host stopped with %d of 1 runs ended, and %v", g.finishedCount(), ctx.Err())
	}
	select {
	case e := <-done:
		if !errors.Is(e.err, cf.ErrUnavailable) {
			t.Errorf("the run ended with %v, want ErrUnavailable", e.err)
		}
	case <-time.After(10 * time.Second):
		t.Fatal("the coordinator was not told of the end of the run")
	}
	if s.len() != events {
		t.Errorf("%d of %d events arrived", s.len(), events)
	}
	if via := p.Route(engine).Via; via == "host" {
		t.Error("the next run goes to the stopping host")
	}
}

// TestStoppingHostWaitsForItsRuns guards against runs that are broken off although they would have
// ended in time.
func TestStoppingHostWaitsForItsRuns(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	s := &recordingSink{}
	done := startRun(t.Context(), p, "r", s)
	g.emit(t, 1)
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		w.host.Shutdown(t.Context())
	}()
	time.Sleep(50 * time.Millisecond)
	g.emit(t, 2)
	close(g.events)
	if e := <-done; e.err != nil || e.answer.Status != 200 || s.len() != 2 {
		t.Errorf("the run ended with %+v, %v and %d of 2 events", e.answer, e.err, s.len())
	}
	select {
	case <-stopped:
	case <-time.After(10 * time.Second):
		t.Error("the host waits although all runs have ended")
	}
}

// TestStoppingHostRefusesLongRuns guards against runs that a stopping instance starts for the
// coordinator and breaks off.
func TestStoppingHostRefusesLongRuns(t *testing.T) {
	g := newFake()
	p, w := newTestPool(t, g)
	w.host.drain.Begin(cf.Uptime() + 2000)
	e := <-startRun(t.Context(), p, "r", &recordingSink{})
	if !errors.Is(e.err, cf.ErrUnavailable) || g.startCount("r") != 0 {
		t.Errorf("the run ended with %v after %d starts, want ErrUnavailable and none", e.err, g.startCount("r"))
	}
	if via := p.Route(engine).Via; via == "host" {
		t.Error("the next run goes to the stopping host")
	}
}
