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

// sendEvents hands on the events from first to last.
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

// Symptom: a caller that resumes its own stream gets nothing, at any target.
// Sequence: the caller's connection breaks after event 3; it asks again with
// that event as the last it has; a target goes on with event 4.
// Cause: the instance expected every stream to begin with event 1 and took the
// target's answer for a broken one.
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
		t.Errorf("broken %t, events %q, want %q", aborted, w.Body, want)
	}
}

// wantAborted plays a stream that breaks off after event 2, and whose second target answers
// as given: the caller must see it broken off after those events.
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
		t.Errorf("broken %t, events %q, want them broken off after %q", aborted, w.Body, want)
	}
}

// Symptom: a stream ends as complete with a failure's text in the midst of its
// events.
// Sequence: a stream breaks off after event 2; the target asked to resume it
// answers that it knows no such path.
// Cause: the failure was passed on to a caller whose answer had begun.
func TestFailureAfterStreamStartAbortsTheConnection(t *testing.T) {
	wantAborted(t, cf.TargetAnswer{Status: http.StatusNotFound, Header: http.Header{}, Body: []byte("nothing here")}, nil)
}

// failingWriter is an answer to a caller that takes no more than its beginning.
type failingWriter struct{ *httptest.ResponseRecorder }

func (failingWriter) Write([]byte) (int, error) { return 0, errors.New("deadline exceeded") }

// Symptom: targets generate a stream again and again for a caller that does not take it, and
// count as failing.
// Cause: a write to the caller that failed was taken for a fault of the target.
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
			t.Errorf("%d sends, want one, and the stream broken off", sends)
		}
	}()
	in.Forward(context.Background(), &cf.Request{
		ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime(),
	}, failingWriter{httptest.NewRecorder()})
}

// Guards against a resumed stream that looks complete, with an error's text among its
// events, after the answer of its second target found no room.
func TestResumedStreamWithoutRoomIsAborted(t *testing.T) {
	wantAborted(t, cf.TargetAnswer{Status: http.StatusNotFound, Header: http.Header{}}, eris.Wrap(cf.ErrNoRoom, "an answer of 64 MB"))
}

// Guards against a target that counts as failing because callers leave their streams
// between two events.
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
			t.Error("the stream was not broken off")
		}
		if n := logged.FilterMessage("attempt_failed").Len(); n > 0 {
			t.Errorf("%d attempts were charged to their target", n)
		}
	}()
	in.Forward(ctx, &cf.Request{
		ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime(),
	}, httptest.NewRecorder())
}
