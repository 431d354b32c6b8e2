package cfnode

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/io/cfroom"
	"currantford/platform"
	"currantford/testbed/cfstandin"
)

const memoryLimit = 128 << 20

type (
	// noMembers lists no instances.
	noMembers struct{}

	// testSite is an instance with a target.
	testSite struct {
		addr    string
		metrics *cfroom.Metrics
		srv     *Server
		ingress *cfingress.Ingress
		stopped bool
		logs    *observer.ObservedLogs
	}
)

func (noMembers) Live() []cfmember.Entry { return nil }

// newTestSite starts an instance whose routes lead to a target that is served by handler.
func newTestSite(t *testing.T, policy cfhold.Policy, handler http.HandlerFunc) *testSite {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Currantford-Request-Id", r.Header.Get("Currantford-Request-Id"))
		w.Header().Set("Currantford-Response-Stamp", "s")
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	site := cfsite.New(cfstandin.Codec{})
	routes := []cfsite.Route{
		{Host: "h", Prefix: "/x/", Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 20000, MaxAttempts: 1},
		{Host: "h", Prefix: "/s/", Kind: cfsite.KindStream, Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 20000, MaxAttempts: 1},
	}
	config := cfsite.Config{Version: 1, Routes: routes}
	config.Limits.BodyBytes = 8 << 20
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, config)); err != nil {
		t.Fatal(err)
	}
	target := cf.Target{ID: "t", Service: "s", Slots: 99, Addr: strings.TrimPrefix(server.URL, "http://")}
	if _, _, err := site.ApplyTarget(cfstandin.Record("t", 1, target), cf.Uptime()); err != nil {
		t.Fatal(err)
	}
	targets := platform.NewTargets(4, prometheus.NewRegistry())
	t.Cleanup(func() { _ = targets.Close() })
	core, logs := observer.New(zap.InfoLevel)
	log := zap.New(core)
	s := &testSite{logs: logs, metrics: cfroom.NewMetrics(prometheus.NewRegistry())}
	in := cfingress.New(cfingress.Options{
		Members: noMembers{}, Targets: targets, Site: site, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: log,
		Rooms: cfroom.New(cfroom.Options{MemoryBytes: memoryLimit, Policy: policy, Metrics: s.metrics, Log: log}),
	})
	s.listen(t, in, log)
	return s
}

// listen starts the server for callers.
func (s *testSite) listen(t *testing.T, in *cfingress.Ingress, log *zap.Logger) {
	t.Helper()
	srv, err := listen("127.0.0.1:0", platform.NewCallerAPI(in, log), serverOptions{idle: func() cf.Millis { return 0 }, rooms: in.Rooms, log: log})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if s.stopped {
			return
		}
		if err := srv.Shutdown(ctx); err != nil {
			t.Error(err)
		}
	})
	s.ingress = in
	s.srv, s.addr = srv, srv.ln.Addr().String()
}

// send sends a request on a connection of its own.
func (s *testSite) send(t *testing.T, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Error(err)
		return nil
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nCurrantford-Request-Id: r\r\n\r\n", path)
	return conn
}

// writeSized writes as many bytes as the last part of the path says.
func writeSized(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(make([]byte, n))
}

// readSlowly reads a kilobyte per second until the connection ends.
func readSlowly(conn net.Conn, stop <-chan struct{}) {
	go func() {
		<-stop
		_ = conn.Close()
	}()
	buf := make([]byte, 1<<10)
	for {
		if _, err := conn.Read(buf); err != nil {
			return
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}

// TestSlowReadersDoNotStarveOthers guards against an instance that is killed because it exceeds its
// memory limit, which ends the requests of all its callers. 60 callers read answers of 2 MB at a
// kilobyte per second, alongside another caller.
func TestSlowReadersDoNotStarveOthers(t *testing.T) {
	s := newTestSite(t, cfhold.Policy{}, writeSized)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 60 {
		if conn := s.send(t, "/x/2000000"); conn != nil {
			wg.Go(func() { readSlowly(conn, stop) })
		}
	}
	maxHeld, served := 0.0, 0
	for began := time.Now(); time.Since(began) < 4*time.Second; {
		conn := s.send(t, "/x/300000")
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatal(err)
		}
		n, err := io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK || n != 300000 {
			t.Fatalf("another caller got %d bytes with status %d: %v", n, resp.StatusCode, err)
		}
		_ = resp.Body.Close()
		_ = conn.Close()
		served++
		maxHeld = max(maxHeld, testutil.ToFloat64(s.metrics.Held))
	}
	close(stop)
	wg.Wait()
	cut := testutil.ToFloat64(s.metrics.Cut.WithLabelValues(string(cfhold.Slowest)))
	t.Logf("%d other requests served, at most %.0f bytes held, %.0f slow readers cut off", served, maxHeld, cut)
	if bound := cfhold.BoundsFor(memoryLimit).Total; maxHeld > float64(bound) || cut == 0 {
		t.Errorf("%.0f bytes were held, want at most %d; %.0f slow readers were cut off, want some", maxHeld, bound, cut)
	}
	for deadline := time.Now().Add(5 * time.Second); testutil.ToFloat64(s.metrics.Held) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("memory is still accounted for callers that have disconnected")
		}
	}
}

// TestStreamToASlowCallerEnds guards against a target that ends a stream, or is blocked for
// seconds, because the stream's caller does not read. The stream is cut off for the caller, and its
// target is free within two seconds.
func TestStreamToASlowCallerEnds(t *testing.T) {
	ended := make(chan time.Duration, 1)
	s := newTestSite(t, cfhold.Policy{}, func(w http.ResponseWriter, _ *http.Request) {
		var blocked time.Duration
		data := strings.Repeat("x", 60<<10)
		for id := 1; ; id++ {
			began := time.Now()
			if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data); err != nil {
				break
			}
			blocked = max(blocked, time.Since(began))
		}
		ended <- blocked
	})
	conn := s.send(t, "/s/a")
	defer func() { _ = conn.Close() }()
	select {
	case blocked := <-ended:
		t.Logf("the target was blocked for up to %s", blocked)
	case <-time.After(20 * time.Second):
		t.Fatal("the stream has not ended after 20 s")
	}
	// What the caller then reads must not look complete.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		t.Error("a stream that was cut off looks complete")
	}
	if testutil.ToFloat64(s.metrics.Cut.WithLabelValues(string(cfhold.SlowStream))) != 1 {
		t.Error("the cut is not counted in the metrics")
	}
}

// TestSendEndsWhenTheTargetDoesNotRead guards against a request whose bytes are held by the
// instance until the deadline because the target does not read them. The write ends if nothing has
// been read for 1.5 s.
func TestSendEndsWhenTheTargetDoesNotRead(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var accepted atomic.Pointer[net.Conn]
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted.Store(&c) // Nothing is read from the connection.
		}
	}()
	targets := platform.NewTargets(1, prometheus.NewRegistry())
	defer func() { _ = targets.Close() }()
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	_, err = targets.Send(ctx, cf.Target{ID: "t", Addr: l.Addr().String()}, cf.TargetCall{
		ID: "r", Method: http.MethodPost, Host: "h", Path: "/x", Header: http.Header{}, Body: make([]byte, 32<<20),
	})
	t.Logf("Send returned %v after %s", err, time.Since(began))
	if err == nil || ctx.Err() != nil {
		t.Errorf("the write did not end before the deadline: %v", err)
	}
	if c := accepted.Load(); c != nil {
		_ = (*c).Close()
	}
}
