package cfingress_test

import (
	"net/http"
	"slices"
	"testing"

	cf "currantford"
	"currantford/core/cfsite"
)

// TestTargetFailureIsNoRefusal guards against a request that is sent again after it has run, because
// the failure of its target bore a status that promises the opposite.
func TestTargetFailureIsNoRefusal(t *testing.T) {
	promises := []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, route := range []cfsite.Route{
		{Kind: cfsite.KindOnce, MaxAttempts: 3, Timeout: 5000},
		{Kind: cfsite.KindStream, MaxAttempts: 3, Timeout: 5000},
		{Kind: cfsite.KindIdempotent, MaxAttempts: 1, Timeout: 5000},
	} {
		for _, status := range append(promises, http.StatusInternalServerError, http.StatusConflict) {
			sends := 0
			answer := cf.TargetAnswer{Status: status, Header: http.Header{"Stamp": {"s"}, "Retry-After": {"1"}}, Body: []byte("failed")}
			to := targets{
				send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
					sends++
					return answer, nil
				},
				stream: func(cf.Target, cf.TargetCall, cf.StreamSink) (cf.TargetAnswer, error) {
					sends++
					return answer, nil
				},
			}
			w, _ := ask(newIngress(t, to, route, "a", "b"), cf.Request{ID: "r"})
			forwarded := w.Code == status && w.Header().Get("Stamp") == "s" && w.Body.String() == "failed"
			replaced := w.Code == http.StatusBadGateway && w.Header().Get("Stamp") == "" && w.Header().Get("Retry-After") == ""
			want := forwarded
			if slices.Contains(promises, status) && !route.Idempotent() {
				want = replaced
			}
			if !want || sends != 1 {
				t.Errorf("route kind %d, status %d of the target: status %d, %v, %d sends", route.Kind, status, w.Code, w.Header(), sends)
			}
		}
	}
}
