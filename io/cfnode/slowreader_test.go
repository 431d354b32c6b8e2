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

const slowLimit = 128 << 20

type (
	// alone is an instance alone.
	alone struct{}

	// slowSite is an instance before a target.
	slowSite struct {
		addr    string
		metrics *cfroom.Metrics
		srv     *Server
		stopped bool
		logs    *observer.ObservedLogs
	}
)

func (alone) Live() []cfmember.Entry { return nil }

// newSlowSite starts an instance whose routes lead to a target that is answered by handler.
func newSlowSite(t *testing.T, policy cfhold.Policy, handler http.HandlerFunc) *slowSite {
	t.Helper()
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Currantford-Request-Id", r.Header.Get("Currantford-Request-Id"))
		w.Header().Set("Currantford-Response-Stamp", "s")
		handler(w, r)
	}))
	t.Cleanup(back.Close)
	site := cfsite.New(cfstandin.Codec{})
	routes := []cfsite.Route{
		{Host: "h", Prefix: "/x/", Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 20000, MaxAttempts: 1},
		{Host: "h", Prefix: "/s/", Kind: cfsite.KindStream, Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 20000, MaxAttempts: 1},
	}
	config := cfsite.Config{Version: 1, Routes: routes}
	config.Limits.BodyBytes = 1 << 20
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, config)); err != nil {
		t.Fatal(err)
	}
	target := cf.Target{ID: "t", Service: "s", Slots: 99, Addr: strings.TrimPrefix(back.URL, "http://")}
	if _, _, err := site.ApplyTarget(cfstandin.Record("t", 1, target), cf.Uptime()); err != nil {
		t.Fatal(err)
	}
	targets := platform.NewTargets(4, prometheus.NewRegistry())
	t.Cleanup(func() { _ = targets.Close() })
	core, logs := observer.New(zap.InfoLevel)
	log := zap.New(core)
	s := &slowSite{logs: logs, metrics: cfroom.NewMetrics(prometheus.NewRegistry())}
	in := cfingress.New(cfingress.Options{
		Members: alone{}, Targets: targets, Site: site, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: log,
		Rooms: cfroom.New(cfroom.Options{MemoryBytes: slowLimit, Policy: policy, Metrics: s.metrics, Log: log}),
	})
	s.listen(t, in, log)
	return s
}

// listen serves callers.
func (s *slowSite) listen(t *testing.T, in *cfingress.Ingress, log *zap.Logger) {
	t.Helper()
	srv, err := listen("127.0.0.1:0", platform.NewCallerAPI(in, log), func() cf.Millis { return 0 }, in.Rooms, log)
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
	s.srv, s.addr = srv, srv.ln.Addr().String()
}

// send sends a request on a connection of its own.
func (s *slowSite) send(t *testing.T, path string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Error(err)
		return nil
	}
	_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\nCurrantford-Request-Id: r\r\n\r\n", path)
	return conn
}

// sized answers with as many bytes as the path's last part says.
func sized(w http.ResponseWriter, r *http.Request) {
	n, _ := strconv.Atoi(r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:])
	w.Header().Set("Content-Length", strconv.Itoa(n))
	_, _ = w.Write(make([]byte, n))
}

// trickle reads a kilobyte a second until the connection ends.
func trickle(conn net.Conn, stop <-chan struct{}) {
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

// Symptom: an instance is killed for its memory, and all its callers' requests end.
// Load: 60 callers that read a kilobyte a second, each of 2 MB, beside others.
func TestSlowReadersBesideOthers(t *testing.T) {
	s := newSlowSite(t, cfhold.Policy{}, sized)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range 60 {
		if conn := s.send(t, "/x/2000000"); conn != nil {
			wg.Go(func() { trickle(conn, stop) })
		}
	}
	most, served := 0.0, 0
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
		most = max(most, testutil.ToFloat64(s.metrics.Held))
	}
	close(stop)
	wg.Wait()
	cut := testutil.ToFloat64(s.metrics.Cut.WithLabelValues(string(cfhold.Slowest)))
	t.Logf("%d others served, %.0f bytes held at most, %.0f slow ones cut off", served, most, cut)
	if bound := cfhold.BoundsFor(slowLimit).Total; most > float64(bound) || cut == 0 {
		t.Errorf("%.0f bytes were held, want at most %d; %.0f cut off", most, bound, cut)
	}
	for deadline := time.Now().Add(5 * time.Second); testutil.ToFloat64(s.metrics.Held) > 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("bytes are held for callers that have gone")
		}
	}
}

// Symptom: a stream's target cuts it off, or is held up for seconds, as its caller does not
// read. The stream is broken off for the caller, and its target is free within two seconds.
func TestStreamOfASlowCallerEnds(t *testing.T) {
	ended := make(chan time.Duration, 1)
	s := newSlowSite(t, cfhold.Policy{}, func(w http.ResponseWriter, _ *http.Request) {
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
		t.Logf("the target was held up for %s", blocked)
	case <-time.After(20 * time.Second):
		t.Fatal("the stream goes on")
	}
	// What the caller reads then must not look complete.
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		t.Error("a stream that was cut off looks complete")
	}
	if testutil.ToFloat64(s.metrics.Cut.WithLabelValues(string(cfhold.SlowStream))) != 1 {
		t.Error("it is not counted")
	}
}

// Symptom: a target holds a request's bytes, and the instance too, until the deadline, as the
// target does not read. The write ends when nothing was read for 1.5 s.
func TestTargetThatDoesNotReadEndsTheSend(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	var accepted atomic.Pointer[net.Conn]
	go func() {
		if c, err := l.Accept(); err == nil {
			accepted.Store(&c) // and nothing is read of it
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
	t.Logf("%v after %s", err, time.Since(began))
	if err == nil || ctx.Err() != nil {
		t.Errorf("the write did not end by itself: %v", err)
	}
	if c := accepted.Load(); c != nil {
		_ = (*c).Close()
	}
}
