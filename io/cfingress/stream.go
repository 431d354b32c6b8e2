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

// streamStallTimeout is how long a resumable stream may send nothing before it is
// resumed at another target; callers give up after two seconds or more.
const streamStallTimeout = 1200 * time.Millisecond

// streamSink passes events on as they arrive. Across resumes the caller sees
// one answer, with the headers of the first target.
type streamSink struct {
	w        http.ResponseWriter
	flush    *http.ResponseController
	started  bool
	last     cf.EventID
	watchdog *time.Timer
	writing  atomic.Bool
	// failed: the caller takes no more; its connection has ended, or was ended as it
	// read too slowly.
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

// recordWrite notes how a write to the caller ended.
func (s *streamSink) recordWrite(err error) error {
	s.failed = s.failed || err != nil
	return err
}

// forwardStream forwards a request whose answer is a stream of events, and resumes
// it at another target where its route allows.
func (f *forwarding) forwardStream(ctx context.Context, w http.ResponseWriter) {
	sink := &streamSink{w: w, flush: http.NewResponseController(w), last: f.req.ResumeAfter}
	for {
		target, ok := f.chooseTarget(ctx, true)
		if !ok {
			f.endStream(ctx, w, sink)
			return
		}
		now := cf.Uptime()
		a := f.streamAttempt(ctx, target, sink, now)
		if a.err == nil && a.answer.Status/100 == 2 {
			f.usage.ended(target.ID, cfbalance.Answered, a.answer.Wrote)
			f.recordDone(a, cfbalance.Answered, cf.Uptime())
			f.notifyGuard(a)
			f.in.Log.Info("stream_answered", zap.String("request_id", string(f.req.ID)), zap.String("target", string(target.ID)),
				zap.Int64("events", int64(sink.last)), zap.Int("tried", len(f.tried)))
			f.in.countRequest("stream", "answered", f.req)
			return
		}
		if sink.failed {
			f.discard(a) // the fault is not its target's, and no other can go on
			f.abortConnection(sink)
		}
		if a.callerGone && a.err != nil {
			f.discard(a) // the caller went between two events, which is no fault of its target
			f.endStream(ctx, w, sink)
			return
		}
		if a.foundNoRoom() {
			f.discard(a)
			if sink.started {
				f.abortConnection(sink) // an error written now would stand among the events
			}
			f.failNoRoom(w)
			return
		}
		if f.evaluate(a) { // a refusal of the target's own, such as 400
			if sink.started {
				// Passed on now, it would stand among the events of a
				// stream that then looks complete.
				f.abortConnection(sink)
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
			if !sink.writing.Load() { // else it is the caller that holds it up
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

// endStream ends a stream that no target completes. One that has begun is
// broken off, so that it does not look complete.
func (f *forwarding) endStream(ctx context.Context, w http.ResponseWriter, sink *streamSink) {
	if sink.started || callerLeft(ctx) {
		f.abortConnection(sink)
	}
	if ctx.Err() != nil {
		f.failTimeout(ctx, w)
		return
	}
	f.conclude(w)
}

// abortConnection closes the caller's connection in the midst of its answer.
func (f *forwarding) abortConnection(sink *streamSink) {
	f.in.Log.Warn("stream_broken_off", zap.String("request_id", string(f.req.ID)), zap.Int64("events", int64(sink.last)), zap.Bool("caller_slow", f.room.WasCut()))
	outcome := "broken_off"
	if f.room.WasCut() {
		outcome = "caller_slow"
	}
	f.in.countRequest("stream", outcome, f.req)
	panic(http.ErrAbortHandler)
}
