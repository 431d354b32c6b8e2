package cfingress_test

import (
	"net/http"
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
