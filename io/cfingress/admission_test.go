package cfingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/platform"
	"currantford/testbed/cfstandin"
)

// busyTarget is a target of two slots with a queue of 24, which counts what it runs.
type busyTarget struct {
	slots     chan struct{}
	held      atomic.Int64 // running and waiting
	seen, ran atomic.Int64
}

func (b *busyTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.seen.Add(1)
	w.Header().Set("Currantford-Request-Id", r.Header.Get("Currantford-Request-Id"))
	load := func(held int64) {
		w.Header().Set("Currantford-Load", fmt.Sprintf("%d,%d,2", min(held, 2), max(held-2, 0)))
	}
	if held := b.held.Add(1); held > 26 {
		load(b.held.Add(-1))
		w.Header().Set("Currantford-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.slots <- struct{}{}
	time.Sleep(10 * time.Millisecond)
	b.ran.Add(1)
	<-b.slots
	load(b.held.Add(-1))
	w.Header().Set("Currantford-Response-Stamp", "stamp")
	_, _ = io.WriteString(w, "done")
}

// overload lets callers ask two instances over real connections for several times what two
// targets serve, and returns what came of it.
func overload(t *testing.T, off bool) (asked, answered, refused, seen, ran int64) {
	t.Helper()
	to := platform.NewTargets(32, prometheus.NewRegistry())
	t.Cleanup(func() { _ = to.Close() })
	site := cfsite.New(cfstandin.Codec{})
	route := cfsite.Route{Host: host, Prefix: "/x/", Kind: cfsite.KindIdempotent, MaxAttempts: 2, Timeout: 2000, SLO: 100, Split: []cfsite.Share{{Service: "s", Weight: 1}}}
	config := cfsite.Config{Version: 1, Routes: []cfsite.Route{route}, Limits: cfsite.Limits{BodyBytes: 1000}}
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, config)); err != nil {
		t.Fatal(err)
	}
	var busy []*busyTarget
	for i := range 2 {
		b := &busyTarget{slots: make(chan struct{}, 2)}
		server := httptest.NewServer(b)
		t.Cleanup(server.Close)
		target := cf.Target{ID: cf.InstanceID(rune('a' + i)), Service: "s", Slots: 2, Addr: strings.TrimPrefix(server.URL, "http://")}
		if _, _, err := site.ApplyTarget(cfstandin.Record(string(target.ID), 1, target), cf.Uptime()); err != nil {
			t.Fatal(err)
		}
		busy = append(busy, b)
	}
	var addrs []string
	for range 2 {
		in := cfingress.New(cfingress.Options{
			Members: members{}, Targets: to, Site: site, NoAdmission: off, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
		})
		server := httptest.NewServer(platform.NewCallerAPI(in, zap.NewNop()))
		t.Cleanup(server.Close)
		addrs = append(addrs, server.URL)
	}
	var wg sync.WaitGroup
	var ok, no atomic.Int64
	for caller := range 100 {
		wg.Go(func() {
			for n := range 10 {
				req, err := http.NewRequest(http.MethodPost, addrs[caller%2]+"/x/a", strings.NewReader("body"))
				if err != nil {
					t.Error(err)
					return
				}
				req.Host = host
				req.Header.Set("Currantford-Request-Id", fmt.Sprintf("%d-%d", caller, n))
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				switch {
				case resp.StatusCode == http.StatusOK:
					ok.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
					no.Add(1)
				default:
					t.Errorf("status %d, Retry-After %q", resp.StatusCode, resp.Header.Get("Retry-After"))
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for _, b := range busy {
		seen += b.seen.Load()
		ran += b.ran.Load()
	}
	return 1000, ok.Load(), no.Load(), seen, ran
}

// Load: a hundred callers at once before four slots. Without the decision targets are sent
// what they must refuse; with it, a refusal is the instance's, and true.
func TestOverloadIsRefusedBeforeTheTargets(t *testing.T) {
	asked, answered, refused, seen, ran := overload(t, false)
	_, _, _, without, _ := overload(t, true)
	t.Logf("asked %d, answered %d, refused %d, seen by targets %d, run %d; seen without the decision %d", asked, answered, refused, seen, ran, without)
	if answered+refused != asked || refused == 0 || ran < answered {
		t.Errorf("answered %d and refused %d of %d, run %d", answered, refused, asked, ran)
	}
	if seen >= asked || without < asked {
		t.Errorf("targets saw %d of %d requests, %d without the decision", seen, asked, without)
	}
}

// Symptom: 502 for a request that a target could still have taken.
// Sequence: the first target breaks off under it; the second refuses it once, as it is full,
// and takes it a moment later.
// Cause: a target that did not run the request was not tried again.
func TestRequestThatMayHaveRunWaitsForAFullTarget(t *testing.T) {
	var full atomic.Int64
	first := cf.InstanceID("")
	to := targets{send: func(x cf.Target, _ cf.TargetCall) (cf.TargetAnswer, error) {
		switch {
		case first == "":
			first = x.ID
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrMaybeRan, "connection lost")
		case full.Add(1) == 1:
			return cf.TargetAnswer{Status: http.StatusServiceUnavailable, NotRun: true}, nil
		}
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 3, Timeout: 2000, SLO: 1000}, "a", "b")
	if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusOK {
		t.Errorf("status %d, want 200", w.Code)
	}
}

// Symptom: a request whose caller has left while it waited counts as refused.
// Sequence: the only target refuses; the request waits for it; the caller leaves.
// Cause: the end of a wait was taken for a refusal, whatever had ended it.
func TestCallerThatLeavesTheQueueIsNotRefused(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	lost := false
	to := targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		if !lost {
			lost = true
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrMaybeRan, "connection lost")
		}
		time.AfterFunc(10*time.Millisecond, leave)
		return cf.TargetAnswer{Status: http.StatusServiceUnavailable, NotRun: true}, nil
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 4, Timeout: 2000, SLO: 1000}, "a", "b")
	w := httptest.NewRecorder()
	defer func() {
		if recover() == nil {
			t.Errorf("status %d for a caller that has left", w.Code)
		}
	}()
	in.Forward(ctx, &cf.Request{ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime()}, w)
}

// Symptom: requests are refused as their service is full, which has one idle target.
// Sequence: another target's address answers 421, as another process is there.
// Cause: each answer "not run" was taken for a full target, and the other was not tried, as
// callers that give themselves less time than the route had no retry budget.
func TestTargetThatIsAnotherIsNotFull(t *testing.T) {
	to := targets{send: func(x cf.Target, _ cf.TargetCall) (cf.TargetAnswer, error) {
		if x.ID == "a" {
			return cf.TargetAnswer{Status: http.StatusMisdirectedRequest, NotRun: true}, nil
		}
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindOnce, MaxAttempts: 2, Timeout: 2000, SLO: 150}, "a", "b")
	for range 10 {
		if w, _ := ask(in, cf.Request{ID: "r", Timeout: 1500}); w.Code != http.StatusOK {
			t.Fatalf("status %d", w.Code)
		}
	}
}

// Guards against answers without room that count as in flight at their target for good: once
// its limit acts, such a target is sent nothing more.
func TestAnswerWithoutRoomIsNotInFlight(t *testing.T) {
	noRoom := true
	to := targets{send: func(cf.Target, cf.TargetCall) (cf.TargetAnswer, error) {
		if noRoom {
			return cf.TargetAnswer{}, eris.Wrap(cf.ErrNoRoom, "answer too large")
		}
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}, Load: &cf.TargetLoad{Running: 4, Waiting: 12, Slots: 4}}, nil
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindIdempotent, MaxAttempts: 1, Timeout: 8000, SLO: 4000}, "a")
	for range 100 {
		if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusBadGateway {
			t.Fatalf("status %d for an answer without room", w.Code)
		}
	}
	noRoom = false
	for n := range 2 { // limits act from the first answer on
		if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusOK {
			t.Errorf("request %d: status %d", n, w.Code)
		}
	}
}
