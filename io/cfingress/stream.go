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

// streamStall is how long a resumable stream may send nothing before it is
// resumed at another target; callers give up after two seconds or more.
const streamStall = 1200 * time.Millisecond

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
	return s.written(s.flush.Flush())
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
		s.watchdog.Reset(streamStall)
	}
	return s.written(err)
}

// written notes how a write to the caller ended.
func (s *streamSink) written(err error) error {
	s.failed = s.failed || err != nil
	return err
}

// stream forwards a request whose answer is a stream of events, and resumes
// it at another target where its route allows.
func (f *forwarding) stream(ctx context.Context, w http.ResponseWriter) {
	sink := &streamSink{w: w, flush: http.NewResponseController(w), last: f.req.ResumeAfter}
	for {
		target, ok := f.choose(ctx, true)
		if !ok {
			f.endStream(ctx, w, sink)
			return
		}
		now := cf.Uptime()
		a := f.streamOnce(ctx, target, sink, now)
		if a.err == nil && a.answer.Status/100 == 2 {
			f.use.ended(target.ID, cfbalance.Answered, a.answer.SentAt)
			f.done(a, cfbalance.Answered, cf.Uptime())
			f.follow(a)
			f.in.Log.Info("stream_answered", zap.String("request_id", string(f.req.ID)), zap.String("target", string(target.ID)),
				zap.Int64("events", int64(sink.last)), zap.Int("tried", len(f.tried)))
			f.in.count("stream", "answered", f.req)
			return
		}
		if sink.failed {
			f.leave(a) // the fault is not its target's, and no other can go on
			f.breakOff(sink)
		}
		if a.left && a.err != nil {
			f.leave(a) // the caller went between two events, which is no fault of its target
			f.endStream(ctx, w, sink)
			return
		}
		if a.foundNoRoom() {
			f.leave(a)
			if sink.started {
				f.breakOff(sink) // an error written now would stand among the events
			}
			f.failNoRoom(w)
			return
		}
		if f.take(a) { // a refusal of the target's own, such as 400
			if sink.started {
				// Passed on now, it would stand among the events of a
				// stream that then looks complete.
				f.breakOff(sink)
			}
			f.pass(w, a)
			return
		}
	}
}

func (f *forwarding) streamOnce(ctx context.Context, target cf.Target, sink *streamSink, now cf.Millis) attempt {
	outer := ctx
	ctx, cancel := context.WithCancel(outer)
	defer cancel()
	if f.route.Resumable {
		sink.watchdog = time.AfterFunc(streamStall, func() {
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
	f.use.sent(target.ID, now)
	answer, err := f.in.Targets.Stream(ctx, target, call, sink)
	return attempt{
		target: target, answer: answer, err: err, sent: now, took: cf.Uptime() - now, left: errors.Is(outer.Err(), context.Canceled),
	}
}

// endStream ends a stream that no target completes. One that has begun is
// broken off, so that it does not look complete.
func (f *forwarding) endStream(ctx context.Context, w http.ResponseWriter, sink *streamSink) {
	if sink.started || callerLeft(ctx) {
		f.breakOff(sink)
	}
	if ctx.Err() != nil {
		f.failLate(ctx, w)
		return
	}
	f.settle(w)
}

// breakOff closes the caller's connection in the midst of its answer.
func (f *forwarding) breakOff(sink *streamSink) {
	f.in.Log.Warn("stream_broken_off", zap.String("request_id", string(f.req.ID)), zap.Int64("events", int64(sink.last)), zap.Bool("caller_slow", f.room.WasCut()))
	outcome := "broken_off"
	if f.room.WasCut() {
		outcome = "caller_slow"
	}
	f.in.count("stream", outcome, f.req)
	panic(http.ErrAbortHandler)
}
