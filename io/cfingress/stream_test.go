package cfingress_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	cf "currantford"
	"currantford/core/cfsite"
)

var resumable = cfsite.Route{Kind: cfsite.KindStream, Resumable: true, MaxAttempts: 3, Timeout: 5000}

// sendEvents sends the events from first to last.
func sendEvents(sink cf.StreamSink, first, last cf.EventID) error {
	for id := first; id <= last; id++ {
		if err := sink.Event(cf.StreamEvent{ID: id, Raw: []byte(fmt.Sprintf("id: %d\n\n", id))}); err != nil {
			return err
		}
	}
	return nil
}

func startStream(sink cf.StreamSink) (cf.TargetAnswer, error) {
	answer := cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}
	return answer, sink.Start(answer)
}

// TestCallerResumesItsStream guards against a resumed stream without events. The caller's
// connection breaks after event 3; the caller resumes the stream after that event, and a target
// continues with event 4. The fault arises if the instance expects every stream to begin with event
// 1 and treats the answer as malformed.
func TestCallerResumesItsStream(t *testing.T) {
	to := targets{stream: func(_ cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
		answer, err := startStream(sink)
		if err == nil {
			err = sendEvents(sink, call.ResumeAfter+1, 5)
		}
		return answer, err
	}}
	in := newIngress(t, to, resumable, "a", "b")
	w, aborted := ask(in, cf.Request{ID: "r", ResumeAfter: 3})
	if want := "id: 4\n\nid: 5\n\n"; aborted || w.Body.String() != want {
		t.Errorf("aborted %t, events %q, want %q", aborted, w.Body, want)
	}
}

// wantAborted simulates a stream that breaks off after event 2, and that a second target resumes
// with the given answer. It checks that the caller's connection is aborted after those events.
func wantAborted(t *testing.T, resumed cf.TargetAnswer, resumeErr error) {
	t.Helper()
	to := targets{stream: func(_ cf.Target, call cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
		if call.ResumeAfter > 0 {
			return resumed, resumeErr
		}
		answer, err := startStream(sink)
		if err == nil {
			err = sendEvents(sink, 1, 2)
		}
		if err == nil {
			err = eris.Wrap(cf.ErrBadAnswer, "broken off")
		}
		return answer, err
	}}
	in := newIngress(t, to, resumable, "a", "b")
	w, aborted := ask(in, cf.Request{ID: "r"})
	if want := "id: 1\n\nid: 2\n\n"; !aborted || w.Body.String() != want {
		t.Errorf("aborted %t, events %q, want an abort after %q", aborted, w.Body, want)
	}
}

// TestFailureAfterStreamStartAbortsTheConnection guards against a stream that looks complete with
// an error message among its events. The stream breaks off after event 2, and the target that is
// asked to resume it answers that the path does not exist. The fault arises if that failure is
// passed on to a caller whose answer has begun.
func TestFailureAfterStreamStartAbortsTheConnection(t *testing.T) {
	wantAborted(t, cf.TargetAnswer{Status: http.StatusNotFound, Header: http.Header{}, Body: []byte("nothing here")}, nil)
}

// failingWriter is an answer to a caller whose connection fails after the header.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("deadline exceeded") }

// TestStreamIsNotResumedAfterFailedWriteToCaller guards against targets that generate a stream
// again and again, and count as failed, for a caller that does not receive it. The fault arises if
// a failed write to the caller is treated as a fault of the target.
func TestStreamIsNotResumedAfterFailedWriteToCaller(t *testing.T) {
	sends := 0
	in := newIngress(t, targets{stream: func(_ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
		sends++
		answer, err := startStream(sink)
		if err == nil {
			err = sendEvents(sink, 1, 5)
		}
		return answer, err
	}}, resumable, "a", "b")
	defer func() {
		if recover() == nil || sends != 1 {
			t.Errorf("%d sends, want one and an aborted stream", sends)
		}
	}()
	in.Forward(context.Background(), &cf.Request{
		ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime(),
	}, failingWriter{httptest.NewRecorder()})
}

// TestResumedStreamWithoutRoomIsAborted guards against a resumed stream that looks complete, with
// an error message among its events, after there was no memory for the second target's answer.
func TestResumedStreamWithoutRoomIsAborted(t *testing.T) {
	wantAborted(t, cf.TargetAnswer{Status: http.StatusNotFound, Header: http.Header{}}, eris.Wrap(cf.ErrNoRoom, "an answer of 64 MB"))
}

// TestCallerLeavingAStreamIsNotATargetFailure guards against counting a target as failed because
// callers disconnect between two events of their streams.
func TestCallerLeavingAStreamIsNotATargetFailure(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	in := newIngress(t, targets{stream: func(_ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
		answer, err := startStream(sink)
		if err == nil {
			err = sendEvents(sink, 1, 2)
		}
		leave()
		return answer, errors.Join(err, eris.Wrap(cf.ErrBadAnswer, "context canceled"))
	}}, resumable, "a", "b")
	core, logged := observer.New(zap.WarnLevel)
	in.Log = zap.New(core)
	defer func() {
		if recover() == nil {
			t.Error("the stream was not aborted")
		}
		if n := logged.FilterMessage("attempt_failed").Len(); n > 0 {
			t.Errorf("%d attempts counted as failures of their target", n)
		}
	}()
	in.Forward(ctx, &cf.Request{
		ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime(),
	}, httptest.NewRecorder())
}
