package cfingress

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap/zapcore"

	cf "currantford"
	"currantford/core/cfdrain"
	"currantford/core/cfsite"
)

const (
	// stoppingRetry is the retry delay given by an instance that is stopping, if other instances
	// accept the request.
	stoppingRetry cf.Millis = 50
	// readTimeout bounds a read of a batch beyond the wait that its caller asks for: an answer of
	// the coordinator, and those of the store to two reads.
	readTimeout cf.Millis = 2000
)

// drainFields logs why a request was refused because the instance stops.
type drainFields cfdrain.Verdict

// MarshalLogObject implements zapcore.ObjectMarshaler. It writes nothing if the request was not
// refused for that reason.
func (v drainFields) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	if v.Accept || v.Left == 0 && v.Expected == 0 {
		return nil
	}
	enc.AddInt64("stop_left_ms", int64(v.Left))
	enc.AddInt64("expected_ms", int64(v.Expected))
	return nil
}

func (f *forwarding) drainClass() cfdrain.Class {
	return cfdrain.Class{Kind: "route", Name: f.route.Name, Size: cfdrain.SizeOf(f.req.MaxOutput)}
}

// observe records how long the request took, for the decisions of a stop.
func (f *forwarding) observe() {
	now := cf.Uptime()
	f.in.Drain.Observe(f.drainClass(), now-f.began, now)
}

// maySend reports whether the request may be sent to a target now. A request that no target has
// run is not sent if the instance would stop before the answer is complete.
func (f *forwarding) maySend(ctx context.Context, now cf.Millis) bool {
	if ctx.Err() != nil || !f.attempts.MaySend(now) {
		return false
	}
	if f.pending > 0 || f.attempts.MayHaveRun() {
		return true
	}
	judge := f.in.Drain.Judge
	if f.isLossy() {
		judge = f.in.Drain.JudgeLossy
	}
	f.drain = judge(f.drainClass(), f.attempts.Remaining(now), now)
	f.stopping = !f.drain.Accept
	return !f.stopping
}

// isLossy reports whether the request is lost if the instance breaks it off, while another instance
// would serve it: one that may not be repeated, or a stream, part of which the caller has by then.
func (f *forwarding) isLossy() bool {
	return (!f.route.Idempotent() || f.route.Kind == cfsite.KindStream) && len(f.in.Members.Live()) > 0
}

// refusedByStop reports whether the request has not run, and will not because the instance stops.
func (f *forwarding) refusedByStop(ctx context.Context) bool {
	return (f.stopping || errors.Is(context.Cause(ctx), cf.ErrStopping)) && !f.attempts.MayHaveRun()
}

// refuseStopping refuses a request because the instance stops. It ends the connection, since the
// caller's next request would come here as well.
func (f *forwarding) refuseStopping(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	f.refuse(w, f.in.stopRetry(), cf.ErrStopping.Error())
}

// stopRetry returns the retry delay for a caller that is refused because the instance stops.
func (in *Ingress) stopRetry() cf.Millis {
	if left, stopping := in.Drain.Left(cf.Uptime()); stopping && len(in.Members.Live()) == 0 {
		return max(left, stoppingRetry)
	}
	return stoppingRetry
}

// stopRefusal returns a Refusal if the instance stops before a call that may take the given time
// would be complete, and nil otherwise.
func (in *Ingress) stopRefusal(timeout time.Duration) error {
	if left, stopping := in.Drain.Left(cf.Uptime()); stopping && left.Duration() < timeout {
		return &cf.Refusal{RetryAfter: in.stopRetry(), Reason: cf.ErrStopping.Error()}
	}
	return nil
}

// limitWait shortens the wait of a read so that the read ends before the instance does.
func (in *Ingress) limitWait(wait cf.Millis) cf.Millis {
	if left, stopping := in.Drain.Left(cf.Uptime()); stopping {
		return max(0, min(wait, left-readTimeout))
	}
	return wait
}
