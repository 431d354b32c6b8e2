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

// busyTarget is a target with two slots and a queue of 24. It counts the requests that arrive and
// those that it runs.
type busyTarget struct {
	slots     chan struct{}
	held      atomic.Int64 // running and queued
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

// overload sends several times the capacity of two targets to two instances over real connections,
// and returns the resulting counts.
func overload(t *testing.T, noAdmission bool) (asked, answered, refused, seen, ran int64) {
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
			Members: noMembers{}, Targets: to, Site: site, NoAdmission: noAdmission, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
		})
		server := httptest.NewServer(platform.NewCallerAPI(in, zap.NewNop()))
		t.Cleanup(server.Close)
		addrs = append(addrs, server.URL)
	}
	var wg sync.WaitGroup
	var answeredCount, refusedCount atomic.Int64
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
					answeredCount.Add(1)
				case resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") != "":
					refusedCount.Add(1)
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
	return 1000, answeredCount.Load(), refusedCount.Load(), seen, ran
}

// TestOverloadIsRefusedBeforeTheTargets sends the requests of a hundred callers at once to targets
// with four slots. Without admission control the targets receive requests that they must refuse.
// With admission control the instances refuse the requests, and a refused request has not run.
func TestOverloadIsRefusedBeforeTheTargets(t *testing.T) {
	asked, answered, refused, seen, ran := overload(t, false)
	_, _, _, seenWithout, _ := overload(t, true)
	t.Logf("requests %d, answered %d, refused %d, received by targets %d, run %d; received without admission control %d", asked, answered, refused, seen, ran, seenWithout)
	if answered+refused != asked || refused == 0 || ran < answered {
		t.Errorf("answered %d and refused %d of %d requests, run %d", answered, refused, asked, ran)
	}
	if seen >= asked || seenWithout < asked {
		t.Errorf("targets received %d of %d requests, %d without admission control", seen, asked, seenWithout)
	}
}

// TestRequestThatMayHaveRunWaitsForAFullTarget guards against 502 for a request that a target could
// still have run. The first target breaks the connection; the second refuses the request once
// because it is full, and would accept it a moment later. The fault arises if a target that did not
// run the request is not tried again.
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

// TestCallerThatLeavesTheQueueIsNotRefused guards against counting a request as refused whose
// caller disconnected while it waited. The only target left refuses the request, which then waits
// for it until the caller disconnects. The fault arises if every end of the wait is treated as a
// refusal.
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
			t.Errorf("status %d for a caller that has disconnected", w.Code)
		}
	}()
	in.Forward(ctx, &cf.Request{ID: "r", Method: http.MethodPost, Host: host, Route: "/x/a", Path: "/x/a", Received: cf.Uptime()}, w)
}

// TestMisdirectedTargetDoesNotCountAsFull guards against refusing requests because their service is
// full although it has an idle target. At the address of another target a different process answers
// 421. The fault arises if each answer "not run" counts as a full target, and the idle target is
// not tried because callers with a deadline shorter than the route's have no retry budget.
func TestMisdirectedTargetDoesNotCountAsFull(t *testing.T) {
	to := targets{send: func(x cf.Target, _ cf.TargetCall) (cf.TargetAnswer, error) {
		if x.ID == "a" {
			return cf.TargetAnswer{Status: http.StatusMisdirectedRequest, NotRun: true}, nil
		}
		return cf.TargetAnswer{Status: http.StatusOK, Header: http.Header{}}, nil
	}}
	in := newIngress(t, to, cfsite.Route{Kind: cfsite.KindOnce, MaxAttempts: 2, Timeout: 2000, SLO: 150}, "a", "b")
	for range 10 {
		if w, _ := ask(in, cf.Request{ID: "r", Timeout: 1500}); w.Code != http.StatusOK {
			t.Fatalf("status %d, want 200", w.Code)
		}
	}
}

// TestAnswerWithoutRoomIsNotInFlight guards against counting answers for which there was no memory
// as in flight for ever: once the limit of their target is active, nothing more would be sent to
// it.
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
			t.Fatalf("status %d for an answer without memory, want 502", w.Code)
		}
	}
	noRoom = false
	for n := range 2 { // the limits are active from the first answer on
		if w, _ := ask(in, cf.Request{ID: "r"}); w.Code != http.StatusOK {
			t.Errorf("request %d: status %d, want 200", n, w.Code)
		}
	}
}
