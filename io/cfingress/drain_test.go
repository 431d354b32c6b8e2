package cfingress_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/testbed/cfstandin"
)

// oneMember lists one other instance.
type oneMember struct{}

func (oneMember) Live() []cfmember.Entry { return []cfmember.Entry{{ID: "other"}} }

// countingTargets answers every request with 200 and counts the requests.
func countingTargets(sends *int) targets {
	return targets{
		send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
			*sends++
			return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
		},
		stream: func(_ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
			*sends++
			answer, err := startStream(sink)
			if err == nil {
				err = sendEvents(sink, 1, 2)
			}
			return answer, err
		},
	}
}

// TestStoppingInstanceRefusesWhatItCannotFinish guards against requests that a stopping instance
// sends to a target and breaks off when it ends, on every kind of route.
func TestStoppingInstanceRefusesWhatItCannotFinish(t *testing.T) {
	for _, kind := range []cfsite.RouteKind{cfsite.KindStream, cfsite.KindIdempotent, cfsite.KindOnce} {
		sends := 0
		in := newIngress(t, countingTargets(&sends), cfsite.Route{Kind: kind, MaxAttempts: 3, Timeout: 10000}, "a", "b")
		in.Members = oneMember{}
		in.Stop(cf.Uptime() + 5000)
		w, _ := ask(in, cf.Request{ID: "long"})
		if w.Code != http.StatusServiceUnavailable || sends != 0 || w.Header().Get("Retry-After") != "0.050" || w.Header().Get("Connection") != "close" {
			t.Errorf("kind %d: status %d, %d sends, %v; want a refusal that sends the caller elsewhere", kind, w.Code, sends, w.Header())
		}
		if w, _ = ask(in, cf.Request{ID: "short", Timeout: 1000}); w.Code != http.StatusOK || sends != 1 {
			t.Errorf("kind %d: status %d after %d sends for a request that ends in time, want 200", kind, w.Code, sends)
		}
		// By now, a request of the route is known to be short.
		if w, _ = ask(in, cf.Request{ID: "long too"}); w.Code != http.StatusOK || sends != 2 {
			t.Errorf("kind %d: status %d after %d sends for a request like the one before, want 200", kind, w.Code, sends)
		}
	}
}

// TestStoppingInstanceSendsLateLossyRequestsElsewhere guards against requests that a stopping instance
// accepts late, because those before were short, and breaks off when it ends.
func TestStoppingInstanceSendsLateLossyRequestsElsewhere(t *testing.T) {
	for _, c := range []struct {
		name    string
		route   cfsite.Route
		members cfingress.Members
		want    int
	}{
		{"stream", cfsite.Route{Kind: cfsite.KindStream}, oneMember{}, http.StatusServiceUnavailable},
		{"resumable stream", cfsite.Route{Kind: cfsite.KindStream, Resumable: true}, oneMember{}, http.StatusServiceUnavailable},
		{"request that may not be repeated", cfsite.Route{Kind: cfsite.KindOnce}, oneMember{}, http.StatusServiceUnavailable},
		{"request that may be repeated", cfsite.Route{Kind: cfsite.KindIdempotent}, oneMember{}, http.StatusOK},
		{"stream at the last instance", cfsite.Route{Kind: cfsite.KindStream}, noMembers{}, http.StatusOK},
		{"request at the last instance", cfsite.Route{Kind: cfsite.KindOnce}, noMembers{}, http.StatusOK},
	} {
		sends := 0
		c.route.MaxAttempts, c.route.Timeout = 3, 10000
		in := newIngress(t, countingTargets(&sends), c.route, "a", "b")
		in.Members = c.members
		for range 50 {
			_, _ = ask(in, cf.Request{ID: "before"})
		}
		now := cf.Uptime()
		in.Stop(now + 7200)
		if w, _ := ask(in, cf.Request{ID: "early"}); w.Code != http.StatusOK {
			t.Errorf("%s: status %d at the beginning of the stop, want 200", c.name, w.Code)
		}
		in.Drain.BeginAt(now-3000, now+4200)
		if w, _ := ask(in, cf.Request{ID: "late"}); w.Code != c.want {
			t.Errorf("%s: status %d, want %d", c.name, w.Code, c.want)
		}
		if w, _ := ask(in, cf.Request{ID: "late with a short deadline", Timeout: 2000}); w.Code != http.StatusOK {
			t.Errorf("%s: status %d for a request that ends in time, want 200", c.name, w.Code)
		}
	}
}

// TestLastInstanceNamesItsEnd guards against callers that come back at once, again and again, to the
// only instance, while it stops.
func TestLastInstanceNamesItsEnd(t *testing.T) {
	sends := 0
	in := newIngress(t, countingTargets(&sends), cfsite.Route{Kind: cfsite.KindStream, MaxAttempts: 3, Timeout: 10000}, "a")
	in.Stop(cf.Uptime() + 5000)
	w, _ := ask(in, cf.Request{ID: "r"})
	if after := w.Header().Get("Retry-After"); w.Code != http.StatusServiceUnavailable || after < "4.000" || after > "5.000" {
		t.Errorf("status %d, Retry-After %q; want 503 and nearly 5 s", w.Code, after)
	}
}

// TestStreamThatWasNotSentIsRefused guards against a stream that is answered 504, which leaves open
// whether it has run, although the instance stopped before it was sent.
func TestStreamThatWasNotSentIsRefused(t *testing.T) {
	sends := 0
	in := newIngress(t, countingTargets(&sends), cfsite.Route{Kind: cfsite.KindStream, MaxAttempts: 3, Timeout: 1000}, "a")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(cf.ErrStopping)
	w := httptest.NewRecorder()
	in.Forward(ctx, &cf.Request{ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime()}, w)
	if w.Code != http.StatusServiceUnavailable || sends != 0 {
		t.Errorf("status %d, %d sends; want 503 and none", w.Code, sends)
	}
}

// waitingCoordinator records the wait of reads.
type waitingCoordinator struct {
	cfingress.Coordinator
	wait cf.Millis
}

func (c *waitingCoordinator) Results(_ context.Context, _ cf.BatchID, _ int, wait cf.Millis) (cf.ResultPage, error) {
	c.wait = wait
	return cf.ResultPage{}, nil
}

func (*waitingCoordinator) Prepare(cf.Submission)          {}
func (*waitingCoordinator) Accepted(cf.BatchID, cf.Millis) {}

// TestStoppingInstanceTakesNoBatchCallTooLate guards against batches whose acceptance is in doubt,
// and reads that are broken off, because the instance ends first.
func TestStoppingInstanceTakesNoBatchCallTooLate(t *testing.T) {
	site := cfsite.New(cfstandin.Codec{})
	route := cfsite.Route{Name: "r", Kind: cfsite.KindBatch, Host: host, Prefix: "/x/", Split: []cfsite.Share{{Service: "s", Weight: 1}}}
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, cfsite.Config{Version: 1, Routes: []cfsite.Route{route}})); err != nil {
		t.Fatal(err)
	}
	store, coordinator := cfstandin.NewMemStore(), &waitingCoordinator{}
	in := cfingress.New(cfingress.Options{
		Store: store, Members: noMembers{}, Site: site, Coordinator: coordinator, ValueBytes: 1 << 20,
		Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	sub := cf.Submission{ID: "b", Host: host, Path: "/x/b"}
	in.Stop(cf.Uptime() + 5000)
	if _, err := in.Results(t.Context(), cf.Credentials{}, "b", 0, 60000); err != nil || coordinator.wait > 3000 {
		t.Errorf("a read with 5 s left waits up to %d ms, error %v; want 3 s at most", coordinator.wait, err)
	}
	if err := in.Submit(t.Context(), cf.Credentials{}, sub); err != nil {
		t.Errorf("batch with 5 s left: %v", err)
	}
	in.Stop(cf.Uptime() + 500)
	sub.ID = "late"
	var refusal *cf.Refusal
	if err := in.Submit(t.Context(), cf.Credentials{}, sub); !errors.As(err, &refusal) {
		t.Errorf("batch with 0.5 s left: %v, want a Refusal", err)
	}
	if _, err := store.Get(t.Context(), cf.KindBatch, "late"); !errors.Is(err, cf.ErrNotFound) {
		t.Errorf("the refused batch is in the store: %v", err)
	}
	if err := in.End(t.Context(), cf.Credentials{}, "b"); !errors.As(err, &refusal) {
		t.Errorf("end of a batch with 0.5 s left: %v, want a Refusal", err)
	}
	if _, err := in.Results(t.Context(), cf.Credentials{}, "b", 0, 0); !errors.As(err, &refusal) {
		t.Errorf("read with 0.5 s left: %v, want a Refusal", err)
	}
	if _, err := in.ItemBody(t.Context(), cf.Credentials{}, "b", "i"); !errors.As(err, &refusal) {
		t.Errorf("read of an item with 0.5 s left: %v, want a Refusal", err)
	}
}
