package cfingress

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbalance"
)

// streamStallTimeout is how long a resumable stream may send nothing before it is resumed at
// another target. Callers give up after two seconds or more.
const streamStallTimeout = 1200 * time.Millisecond

// streamSink passes events to the caller as they arrive. Even if the stream is resumed, the caller
// sees a single answer, with the headers of the first target.
type streamSink struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	started  bool
	last     cf.EventID
	watchdog *time.Timer
	writing  atomic.Bool
	// failed is true if a write to the caller failed: the connection has ended, or was cut because
	// the caller read too slowly.
	failed bool
}

func (s *streamSink) Start(a cf.TargetAnswer) error {
	if s.started {
		return nil
	}
	s.started = true
	for k, v := range a.Header {
		s.w.Header()[k] = v
	}
	s.w.WriteHeader(a.Status)
	return s.recordWrite(s.flush.Flush())
}

func (s *streamSink) Event(ev cf.StreamEvent) error {
	if ev.ID != s.last+1 {
		return cf.ErrBadAnswer
	}
	s.last = ev.ID
	s.writing.Store(true)
	_, err := s.w.Write(ev.Raw)
	if err == nil {
		err = s.flush.Flush()
	}
	s.writing.Store(false)
	if s.watchdog != nil {
		s.watchdog.Reset(streamStallTimeout)
	}
	return s.recordWrite(err)
}

// recordWrite records the result of a write to the caller.
func (s *streamSink) recordWrite(err error) error {
	s.failed = s.failed || err != nil
	return err
}

// forwardStream forwards a request whose answer is a stream of events, and resumes the stream at
// another target if the route allows it.
func (f *forwarding) forwardStream(ctx context.Context, w http.ResponseWriter) {
	sink := &streamSink{w: w, flush: http.NewResponseController(w), last: f.req.ResumeAfter}
	for {
		target, ok := f.chooseTarget(ctx, true)
		if !ok {
			if f.refusedByStop(ctx) {
				f.refuseStopping(w)
				return
			}
			f.endStream(ctx, w, sink)
			return
		}
		now := cf.Uptime()
		a := f.streamAttempt(ctx, target, sink, now)
		if a.err == nil && a.answer.Status/100 == 2 {
			f.usage.ended(target.ID, cfbalance.Answered, a.answer.SentAt)
			f.recordDone(a, cfbalance.Answered, cf.Uptime())
			f.notifyGuard(a)
			f.observe()
			f.in.Log.Info("stream_answered", zap.String("request_id", string(f.req.ID)), zap.String("target", string(target.ID)),
				zap.Int64("events", int64(sink.last)), zap.Int("tried", len(f.tried)))
			f.in.countRequest("stream", "answered", f.req)
			return
		}
		if sink.failed {
			f.discard(a) // the target is not at fault, and no other target could continue
			f.abortConnection(ctx, sink)
		}
		if a.callerGone && a.err != nil {
			f.discard(a) // the caller disconnected between two events, so the target is not at fault
			f.endStream(ctx, w, sink)
			return
		}
		if a.foundNoRoom() {
			f.discard(a)
			if sink.started {
				f.abortConnection(ctx, sink) // an error message written now would appear among the events
			}
			f.failNoRoom(w)
			return
		}
		if f.evaluate(a) { // a refusal by the target itself, such as 400
			if sink.started {
				// If the answer were passed on now, it would appear among the events of a stream
				// that looks complete.
				f.abortConnection(ctx, sink)
			}
			f.writeAnswer(w, a)
			return
		}
	}
}

func (f *forwarding) streamAttempt(ctx context.Context, target cf.Target, sink *streamSink, now cf.Millis) attempt {
	outer := ctx
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	if f.route.Resumable {
		sink.watchdog = time.AfterFunc(streamStallTimeout, func() {
			if !sink.writing.Load() { // otherwise the caller blocks the stream
				cancel()
			}
		})
		defer sink.watchdog.Stop()
	}
	call := f.call(now)
	call.ResumeAfter = sink.last
	f.in.Log.Info("stream_sent", zap.String("request_id", string(f.req.ID)), zap.Stringer("request_digest", f.key.Content),
		zap.Stringer("caller_digest", f.key.Caller), zap.String("organisation", string(f.access.Organisation)), zap.String("target", string(target.ID)),
		zap.Int64("resume_after", int64(sink.last)), zap.Int64("left_ms", int64(f.attempts.Remaining(now))),
		zap.Int64("config_version", int64(f.version)))
	f.usage.sent(target.ID, now)
	answer, err := f.in.Targets.Stream(ctx, target, call, sink)
	return attempt{
		target: target, answer: answer, err: err, sentAt: now, took: cf.Uptime() - now, callerGone: errors.Is(outer.Err(), context.Canceled),
	}
}

// endStream ends a stream that no target completes. If the stream has started, the connection is
// aborted, so that the answer does not look complete.
func (f *forwarding) endStream(ctx context.Context, w http.ResponseWriter, sink *streamSink) {
	if sink.started || callerLeft(ctx) {
		f.abortConnection(ctx, sink)
	}
	if ctx.Err() != nil {
		f.failTimeout(ctx, w)
		return
	}
	f.conclude(w)
}

// abortConnection closes the caller's connection before the answer is complete.
func (f *forwarding) abortConnection(ctx context.Context, sink *streamSink) {
	f.in.Log.Warn("stream_broken_off", zap.String("request_id", string(f.req.ID)), zap.Int64("events", int64(sink.last)), zap.Bool("caller_slow", f.room.WasCut()),
		zap.Bool("stopping", errors.Is(context.Cause(ctx), cf.ErrStopping)), zap.Int64("took_ms", int64(cf.Uptime()-f.req.Received)))
	outcome := "broken_off"
	if f.room.WasCut() {
		outcome = "caller_slow"
	}
	f.in.countRequest("stream", outcome, f.req)
	panic(http.ErrAbortHandler)
}
