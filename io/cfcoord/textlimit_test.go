package cfcoord

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
)

// endlessTargets send consecutive events until the sink returns an error.
type endlessTargets struct {
	unreachableTargets
	data     string
	accepted atomic.Int64
	ended    atomic.Bool
}

func (x *endlessTargets) Stream(_ context.Context, _ cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	answer := cf.TargetAnswer{Status: 200}
	if err := sink.Start(answer); err != nil {
		return answer, err
	}
	for id := call.ResumeAfter + 1; x.accepted.Load() < 64<<20; id++ {
		if err := sink.Event(cf.StreamEvent{ID: id, Data: x.data, Version: 1}); err != nil {
			x.ended.Store(true)
			return answer, err
		}
		x.accepted.Add(int64(len("id: 1\ndata: \n\n") + len(x.data)))
	}
	x.ended.Store(true)
	return answer, cf.ErrBadAnswer
}

// TestOversizedTextIsCutOff guards against collecting the text of a target that sends events
// without end until the run times out.
func TestOversizedTextIsCutOff(t *testing.T) {
	for name, data := range map[string]string{"empty events": "", "events": "0123456789", "large events": strings.Repeat("x", 100<<10)} {
		t.Run(name, func(t *testing.T) {
			targets := &endlessTargets{data: data}
			guard, _ := startWithGuard(t, targets, zap.NewNop())
			guard.Sync("store", nil)
			for deadline := time.Now().Add(20 * time.Second); !targets.ended.Load(); time.Sleep(5 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("no run has ended")
				}
			}
			if n := targets.accepted.Load(); n > 8<<20 {
				t.Errorf("%d bytes of one text were accepted", n)
			}
		})
	}
}
