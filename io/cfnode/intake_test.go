package cfnode

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/core/cfintake"
	"currantford/io/cfgate"
	"currantford/platform"
)

// intakeServer is a server whose requests are limited.
type intakeServer struct {
	addr    string
	gate    *cfgate.Gate
	metrics *cfgate.Metrics
}

// startIntake starts a server with a gate.
func startIntake(t testing.TB, o cfgate.Options, h http.Handler) *intakeServer {
	t.Helper()
	s := &intakeServer{metrics: cfgate.NewMetrics(prometheus.NewRegistry())}
	o.Metrics, o.Log = s.metrics, zap.NewNop()
	if o.HeaderLimit == nil {
		o.HeaderLimit = func() int64 { return 16384 }
	}
	s.gate = cfgate.New(o)
	s.addr = startServer(t, h, s.gate)
	return s
}

// startServer starts a server and returns its address.
func startServer(t testing.TB, h http.Handler, gate *cfgate.Gate) string {
	t.Helper()
	srv, err := listen("127.0.0.1:0", h, serverOptions{address: "callers", idle: func() cf.Millis { return 0 }, gate: gate, log: zap.NewNop()})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		_ = srv.Shutdown(ctx) // connections of the test may be open
	})
	return srv.ln.Addr().String()
}

// gatedOptions returns options like those of a process, with a gate.
func gatedOptions() serverOptions {
	gate := cfgate.New(cfgate.Options{
		Bounds: cfintake.BoundsFor(memoryLimit, 2000), HeaderLimit: func() int64 { return 0 },
		Metrics: cfgate.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	return serverOptions{address: "callers", idle: func() cf.Millis { return 0 }, gate: gate, log: zap.NewNop()}
}

// dial connects to the server and sends raw bytes.
func (s *intakeServer) dial(t testing.TB, raw string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if _, err := io.WriteString(conn, raw); err != nil {
		t.Fatal(err)
	}
	return conn
}

// status reads an answer and returns its status, 0 if the connection is closed without one.
func status(t testing.TB, conn net.Conn) (int, http.Header) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			t.Fatal("neither an answer nor the end of the connection")
		}
		return 0, nil
	}
	resp.Body.Close()
	return resp.StatusCode, resp.Header
}

// awaitEmpty waits until no connection is left in the account.
func (s *intakeServer) awaitEmpty(t testing.TB) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(time.Millisecond) {
		b, n := s.gate.Used()
		if b == 0 && n == 0 {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("%d bytes and %d connections are left in the account", b, n)
		}
	}
}

func answerOK(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(w, "ok")
}

// TestHeadOverTheLimitIsRefused guards against heads that are parsed beyond the configured limit.
func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := startIntake(t, cfgate.Options{}, http.HandlerFunc(answerOK))
	for name, raw := range map[string]string{
		"headers":      "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 4096) + "\r\n",
		"without end":  "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 5000),
		"request line": "GET /" + strings.Repeat("x", 16384) + " HTTP/1.1\r\nHost: a\r\n\r\n",
	} {
		if got, _ := status(t, s.dial(t, raw)); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("%s: status %d, want 431", name, got)
		}
	}
	if got, _ := status(t, s.dial(t, strings.Repeat("\r\n", 100))); got != http.StatusBadRequest {
		t.Errorf("empty lines: status %d, want 400", got)
	}
	if n := testutil.ToFloat64(s.metrics.Refused.WithLabelValues("callers", "head_size")); n != 3 {
		t.Errorf("%v refusals are counted, want 3", n)
	}
}

// TestLargestHeadIsForwardedUnchanged guards against a limit that a single request inside the limits
// of the configuration meets: 16 KB of two-byte lines.
func TestLargestHeadIsForwardedUnchanged(t *testing.T) {
	const names = "bcdefgijklmnopqrsuvwxyz0123456789!#$%&'*+-.^_`|~"
	var want, got http.Header
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		answerOK(w, r)
	})
	s := startIntake(t, cfgate.Options{Bounds: cfintake.BoundsFor(80<<20, 100)}, handler)
	lines := "Host: a\r\n"
	want = http.Header{}
	for i := 0; len(lines)+4 <= 16384; i++ {
		name := names[i%len(names) : i%len(names)+1]
		lines += name + ":\r\n"
		want.Add(name, "")
	}
	if code, _ := status(t, s.dial(t, "GET / HTTP/1.1\r\n"+lines+"\r\n")); code != http.StatusOK {
		t.Fatalf("status %d", code)
	}
	if !maps.EqualFunc(got, want, slices.Equal) {
		t.Errorf("%d names arrived, want %d with all their values", len(got), len(want))
	}
}

// TestHalfHeadIsAnswered guards against a caller that is not told that its request was not run.
func TestHalfHeadIsAnswered(t *testing.T) {
	s := startIntake(t, cfgate.Options{HeadTimeout: 50}, http.HandlerFunc(answerOK))
	if got, _ := status(t, s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n")); got != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", got)
	}
	conn := s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	if got, _ := status(t, conn); got != http.StatusOK {
		t.Fatalf("status %d", got)
	}
	if _, err := io.WriteString(conn, "G"); err != nil {
		t.Fatal(err)
	}
	if got, _ := status(t, conn); got != http.StatusRequestTimeout {
		t.Errorf("first byte of a second request: status %d, want 408", got)
	}
	ahead := s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\nG")
	r := bufio.NewReader(ahead)
	for _, want := range []int{http.StatusOK, http.StatusRequestTimeout} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("first byte of a request sent ahead: status %d, want %d", resp.StatusCode, want)
		}
	}
}

// TestWithheldBodyIsAnswered guards against a request without its last byte that is held beyond its
// deadline.
func TestWithheldBodyIsAnswered(t *testing.T) {
	site := newIntakeSite(t, cfgate.Options{Bounds: cfintake.BoundsFor(80<<20, 100)})
	conn := site.dial(t, "POST /x/ HTTP/1.1\r\nHost: h\r\nCurrantford-Deadline-Ms: 50\r\nContent-Length: 10\r\n\r\n123456789")
	if got, _ := status(t, conn); got != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", got)
	}
}

// TestTimeOfBodyEndsWithIt guards against the time limit of a body that breaks off the connection
// while the request waits for its target.
func TestTimeOfBodyEndsWithIt(t *testing.T) {
	s := newTestSite(t, cfhold.Policy{}, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		select {
		case <-r.Context().Done():
		case <-time.After(5 * time.Second):
		}
	})
	gated := startIntake(t, cfgate.Options{Bounds: cfintake.BoundsFor(80<<20, 100)}, platform.NewCallerAPI(s.ingress, zap.NewNop()))
	for _, addr := range []string{gated.addr, s.addr} {
		for _, body := range []string{"\r\n", "Content-Length: 1\r\n\r\nx", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"} {
			conn := (&intakeServer{addr: addr}).dial(t, "POST /x/ HTTP/1.1\r\nHost: h\r\nCurrantford-Deadline-Ms: 100\r\n"+body)
			if got, _ := status(t, conn); got != http.StatusGatewayTimeout {
				t.Errorf("%q: status %d, want 504", body, got)
			}
		}
	}
}

// TestUnsizedBodiesAreCounted guards against bodies without a length that take more memory than is
// left.
func TestUnsizedBodiesAreCounted(t *testing.T) {
	site := newIntakeSite(t, cfgate.Options{Bounds: cfintake.WithSpare(4<<20, 100)})
	const head = "POST /x/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 3<<20, strings.Repeat("x", 3<<20))
	first := site.dial(t, head+chunk)
	for {
		if n, _ := site.gate.Used(); n > 3<<20 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	second := site.dial(t, head)
	go func() { _, _ = io.WriteString(second, chunk+"0\r\n\r\n") }() // it fails once the request is refused
	got, header := status(t, second)
	if got != http.StatusServiceUnavailable || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, want 503 with a retry delay", got, header.Get("Retry-After"))
	}
	if _, err := io.WriteString(first, "0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if got, _ := status(t, first); got != http.StatusOK {
		t.Errorf("the first request: status %d, want 200", got)
	}
}

// newIntakeSite starts an instance with a gate, whose target answers at once.
func newIntakeSite(t *testing.T, o cfgate.Options) *intakeServer {
	t.Helper()
	s := newTestSite(t, cfhold.Policy{}, answerOK)
	return startIntake(t, o, platform.NewCallerAPI(s.ingress, zap.NewNop()))
}

// TestRefusedHeadIsNotRun guards against a refusal for want of memory without a retry delay, and one
// of a request that is run all the same.
func TestRefusedHeadIsNotRun(t *testing.T) {
	release := make(chan struct{})
	var mu sync.Mutex
	runs := 0
	s := startIntake(t, cfgate.Options{Bounds: cfintake.WithSpare(2<<20, 0)}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		runs++
		mu.Unlock()
		<-release
		answerOK(w, r)
	}))
	head := "GET / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 4000) + "\r\n"
	var conns []net.Conn
	for range 4 {
		conns = append(conns, s.dial(t, head))
	}
	refused := 0
	results := make(chan int, len(conns))
	for _, conn := range conns {
		go func() {
			got, header := status(t, conn)
			if got == http.StatusServiceUnavailable && header.Get("Retry-After") == "" {
				t.Error("a refusal without a retry delay")
			}
			results <- got
		}()
	}
	for range conns {
		if got := <-results; got == http.StatusServiceUnavailable {
			refused++
			if refused == 3 {
				close(release)
			}
		}
	}
	if mu.Lock(); refused != 3 || runs != 1 {
		t.Errorf("%d requests were refused and %d run, want 3 and 1", refused, runs)
	}
	mu.Unlock()
}

// TestWithheldRequestsGiveWay guards against an ordinary request that is refused for those whose
// last byte never comes, and against one of those that is closed without an answer.
func TestWithheldRequestsGiveWay(t *testing.T) {
	s := startIntake(t, cfgate.Options{Bounds: cfintake.WithSpare(1<<20, 8)}, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			cfgate.WriteRefusal(w, err)
			return
		}
		answerOK(w, r)
	}))
	held := make(chan int)
	for range 8 {
		conn := s.dial(t, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nx")
		go func() {
			got, _ := status(t, conn)
			held <- got
		}()
	}
	time.Sleep(50 * time.Millisecond)
	if got, _ := status(t, s.dial(t, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")); got != http.StatusOK {
		t.Errorf("an ordinary request: status %d", got)
	}
	if got := <-held; got != http.StatusServiceUnavailable {
		t.Errorf("a withheld request: status %d, want 503", got)
	}
}

// invocation is what a handler saw of a request.
type invocation struct {
	line, header, body string
}

// recorder serves requests and records them.
type recorder struct {
	mu   sync.Mutex
	seen map[string][]invocation // by the address of the caller
}

func (r *recorder) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	var names []string
	for name, values := range req.Header {
		names = append(names, fmt.Sprintf("%q: %q", name, values))
	}
	slices.Sort(names)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen[req.RemoteAddr] = append(r.seen[req.RemoteAddr], invocation{
		fmt.Sprintf("%s %s %s %s", req.Method, req.RequestURI, req.Host, req.Proto), strings.Join(names, "\n"),
		fmt.Sprintf("%x %v", sha256.Sum256(body), err != nil),
	})
}

// exchange sends raw bytes in parts, ends the sending side and returns what the handler saw.
func (r *recorder) exchange(t *testing.T, addr string, raw []byte, part int) []invocation {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() {
		for b := raw; len(b) > 0; b = b[min(part, len(b)):] {
			if _, err := conn.Write(b[:min(part, len(b))]); err != nil {
				return
			}
			if part < len(raw) {
				time.Sleep(100 * time.Microsecond)
			}
		}
		_ = conn.(*net.TCPConn).CloseWrite()
	}()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	_, err = io.Copy(io.Discard, conn) // a reset ends the exchange as well
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		t.Fatalf("the connection did not end after %q", raw)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := r.seen[conn.LocalAddr().String()]
	delete(r.seen, conn.LocalAddr().String()) // the port may be used again
	return seen
}

// FuzzRequests sends bytes to a server with a gate and to one without. The gate must pass on the
// same requests, and its account must be empty once the connection has ended.
func FuzzRequests(f *testing.F) {
	const request = "POST /a?b HTTP/1.1\r\nHost: a\r\nX: y\r\n"
	for _, seed := range []string{
		request + "\r\n", request + "Content-Length: 3\r\n\r\nabc" + request + "Content-Length: 1\r\n\r\nx",
		request + "Transfer-Encoding: chunked\r\n\r\n3;a=b\r\nabc\r\n0\r\nT: u\r\n\r\n" + request + "\r\n",
		request + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n\r\n" + request + "\r\n",
		"\r\n" + request + "\r\n", "GET / HTTP/1.0\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\n", "GET / HTTP/1.1\nHost: a\n\nGET /2 HTTP/1.1\nHost: a\n\n",
		request + " folded\r\n\r\n", request + "Expect: 100-continue\r\nContent-Length: 1\r\n\r\nx", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n" + request + "\r\n",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", request + "Connection: upgrade\r\nUpgrade: x\r\n\r\n" + request + "\r\n", request + "\r\r\n\r\n", request + "Content-Length: 9\r\n\r\nx",
		"HEAD / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab" + request + "\r\n", request + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n0\r\n\r\n" + request + "\r\n",
		request + "Transfer-Encoding: chunked\r\n\r\n0x1\r\n", request + "Transfer-Encoding: chunked\r\n\r\n 1 \r\na\r\n0\r\n\r\n" + request + "\r\n",
		strings.Repeat(request+"Content-Length: 1\r\n\r\nx", 50), strings.Repeat("x", 20000), request + strings.Repeat("a:\n", 5000), request + strings.Repeat("a:\n", 6000),
	} {
		f.Add([]byte(seed), uint16(0))
		f.Add([]byte(seed), uint16(7))
	}
	gated, plain := &recorder{seen: map[string][]invocation{}}, &recorder{seen: map[string][]invocation{}}
	s := startIntake(f, cfgate.Options{Bounds: cfintake.BoundsFor(80<<20, 100)}, gated)
	plainAddr := startServer(f, plain, nil)
	f.Fuzz(func(t *testing.T, raw []byte, part uint16) {
		if len(raw) > 30000 {
			return
		}
		step := len(raw) + 1
		if part > 0 {
			step = max(int(part), len(raw)/50+1)
		}
		got := gated.exchange(t, s.addr, raw, step)
		s.awaitEmpty(t)
		want := plain.exchange(t, plainAddr, raw, len(raw)+1)
		if skipsEmptyLines(raw) || exceedsLimit(raw) || bytes.Contains(raw, []byte("*")) {
			return // the gate ignores empty lines before a request, limits heads, and passes OPTIONS *
		}
		if !slices.Equal(got, want) {
			t.Errorf("with the gate %q, without %q", got, want)
		}
	})
}

// skipsEmptyLines reports whether raw may have empty lines before a request.
func skipsEmptyLines(raw []byte) bool {
	return len(raw) > 0 && (raw[0] == '\r' || raw[0] == '\n') || bytes.Contains(raw, []byte("\n\n")) || bytes.Contains(raw, []byte("\n\r\n\r\n")) || bytes.Contains(raw, []byte("\n\r\n\n"))
}

// exceedsLimit reports whether raw may have a head over the limit.
func exceedsLimit(raw []byte) bool { return len(raw) > 16384 }

// BenchmarkRequests measures requests on a kept connection with and without a gate.
func BenchmarkRequests(b *testing.B) {
	request := "POST /x/1 HTTP/1.1\r\nHost: example\r\n" + strings.Repeat("Name-Of-A-Header: some value of it\r\n", 8) + "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800)
	for _, name := range []string{"Plain", "Gate"} {
		b.Run(name, func(b *testing.B) {
			s := &intakeServer{}
			if name == "Gate" {
				s = startIntake(b, cfgate.Options{Bounds: cfintake.BoundsFor(134<<20, 2000)}, http.HandlerFunc(answerOK))
			} else {
				s.addr = startServer(b, http.HandlerFunc(answerOK), nil)
			}
			conn, err := net.Dial("tcp", s.addr)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(conn, request); err != nil {
					b.Fatal(err)
				}
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		})
	}
}
