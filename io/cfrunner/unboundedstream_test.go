package cfrunner

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
)

// endless sends events without end, and tells how many bytes were taken.
type endless struct {
	cf.Targets
	taken chan int
}

func (e endless) Stream(ctx context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	const data = "0123456789"
	taken := 0
	defer func() { e.taken <- taken }()
	for id := cf.EventID(1); taken < 64<<20 && ctx.Err() == nil; id++ {
		if err := sink.Event(cf.StreamEvent{ID: id, Data: data, Version: 1}); err != nil {
			return cf.TargetAnswer{Status: 200}, err
		}
		taken += len(data)
	}
	return cf.TargetAnswer{Status: 200}, nil
}

// Guards against: a report that is too long to arrive, and a host's memory, where a target's
// events have no end.
func TestEventsWithoutEndAreCutOffAtTheHost(t *testing.T) {
	targets := endless{taken: make(chan int, 1)}
	h := NewHost(targets, zap.NewNop())
	defer func() { _ = h.Close() }()
	s, err := h.join(Incarnation{Term: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	h.start(s, StartOrder{Run: 1})
	s.mu.Unlock()
	select {
	case n := <-targets.taken:
		if n > 4<<20 {
			t.Errorf("%d bytes of one run were taken", n)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the run has not ended")
	}
}
