package cfingress_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/rotisserie/eris"

	cf "currantford"
	"currantford/core/cfsite"
)

// Symptom: a log reading is refused as not run, and stands in the log.
// Sequence: a service has one target left; it takes the reading, and the
// connection breaks before its answer; the reading may be repeated, and no other
// target is there to repeat it at.
// Cause: what may be tried again was taken for what has not run.
func TestRequestThatMayHaveRunIsNotRefused(t *testing.T) {
	to := targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		return cf.TargetAnswer{}, eris.Wrap(cf.ErrMaybeRan, "connection lost")
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, Timeout: 1000}, "a")
	if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusBadGateway {
		t.Errorf("status %d, want 502: only a request that has not run may be refused", w.Code)
	}
}

// Guards against answers to HEAD with the length of their empty body in place of the target's.
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
