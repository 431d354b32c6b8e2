package cfingress_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/core/cfsite"
)

// TestRequestThatMayHaveRunIsNotRefused guards against refusing a log record as not run although it
// has been stored. The only target left of a service receives the record, and the connection breaks
// before the answer. The request may be repeated, but no other target is left to repeat it at. The
// fault arises if requests that may be repeated are treated as not run.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	to := targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		return cf.TargetAnswer{}, eris.Wrap(cf.ErrMaybeRan, "connection lost")
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, Timeout: 1000}, "a")
	if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusBadGateway {
		t.Errorf("status %d, want 502: only a request that has not run may be refused", w.Code)
	}
}

// TestAnswerToHeadKeepsItsLength guards against answering HEAD with the length of the empty body
// instead of the length that the target stated.
func TestAnswerToHeadKeepsItsLength(t *testing.T) {
	in := newIngress(t, targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{"Content-Length": {"42"}}}, nil
	}}, cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, Timeout: 1000}, "a")
	w := httptest.NewRecorder()
	in.Forward(t.Context(), &cf.Request{ID: "r", Method: http.MethodHead, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime()}, w)
	if got := w.Header().Get("Content-Length"); w.Code != http.StatusOK || got != "42" {
		t.Errorf("status %d, length %q, want 200 and 42", w.Code, got)
	}
}

// hedged is a route whose requests are sent to a second target after a short time.
var hedged = cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, Timeout: 5000, SLO: 20}

// TestHedgeAnswersIfOtherAttemptHasNoRoom guards against failing a request because there was no
// memory for one of its hedged attempts, although the other one is answered.
func TestHedgeAnswersIfOtherAttemptHasNoRoom(t *testing.T) {
	// marker is the time at which the first attempt claims to have been written. The request is
	// counted with that time once the attempt has ended.
	const marker cf.Millis = 1
	var sends atomic.Int64
	second, firstEnded := make(chan struct{}), make(chan struct{})
	in := newIngress(t, targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		if sends.Add(1) == 1 {
			<-second
			return cf.TargetAnswer{SentAt: marker}, eris.Wrap(cf.ErrNoRoom, "waited")
		}
		close(second)
		<-firstEnded
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
	}}, hedged, "a", "b", "c")
	in.CountRequests = func(_ cf.Organisation, began cf.Millis, requests int64) {
		if began == marker && requests > 0 {
			close(firstEnded)
		}
	}
	if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusOK {
		t.Errorf("status %d, want 200 of the second attempt", w.Code)
	}
}

// TestRequestWithoutRoomIsNotSentAgain guards against sending a request again after there was no
// memory for any of its hedged attempts.
func TestRequestWithoutRoomIsNotSentAgain(t *testing.T) {
	var sends atomic.Int64
	second := make(chan struct{})
	in := newIngress(t, targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		if sends.Add(1) == 2 {
			close(second)
		}
		<-second
		return cf.TargetAnswer{}, eris.Wrap(cf.ErrNoRoom, "waited")
	}}, hedged, "a", "b", "c")
	if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusBadGateway || sends.Load() != 2 {
		t.Errorf("status %d after %d sends, want 502 after 2", w.Code, sends.Load())
	}
}
