package cfrunner

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfdrain"
)

// endlessTargets is a Targets implementation whose streams send events without end. It reports the
// number of bytes that the sink accepted.
type endlessTargets struct {
	cf.Targets
	accepted chan int
}

func (e endlessTargets) Stream(ctx context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	const data = "0123456789"
	taken := 0
	defer func() { e.accepted <- taken }()
	for id := cf.EventID(1); taken < 64<<20 && ctx.Err() == nil; id++ {
		if err := sink.Event(cf.StreamEvent{ID: id, Data: data, Version: 1}); err != nil {
			return cf.TargetAnswer{Status: 200}, err
		}
		taken += len(data)
	}
	return cf.TargetAnswer{Status: 200}, nil
}

// TestUnboundedStreamIsCutOffAtHost guards against an endless stream that exhausts a host's memory
// or makes a report too long for the link.
func TestUnboundedStreamIsCutOffAtHost(t *testing.T) {
	targets := endlessTargets{accepted: make(chan int, 1)}
	h := NewHost(targets, cfdrain.New(), zap.NewNop())
	defer func() { _ = h.Close() }()
	s, err := h.sessionOf(Incarnation{Term: 1})
	if err != nil {
		t.Fatal(err)
	}
	s.mu.Lock()
	h.start(s, StartOrder{Run: 1})
	s.mu.Unlock()
	select {
	case n := <-targets.accepted:
		if n > 4<<20 {
			t.Errorf("%d bytes of one run were accepted, want at most 4 MB", n)
		}
	case <-time.After(20 * time.Second):
		t.Fatal("the run has not ended within 20 s")
	}
}
