package cfnode

import (
	"bufio"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfhold"
	"currantford/core/cfsite"
	"currantford/io/cfingress"
	"currantford/io/cfroom"
	"currantford/platform"
	"currantford/platform/standin"
	"currantford/testbed/cfstandin"
)

// TestEndlessAnswersDoNotStarveOthers guards against the endless answers of one target using up the
// memory for other answers, whose callers would wait for seconds and get 502 although another
// target would answer.
func TestEndlessAnswersDoNotStarveOthers(t *testing.T) {
	for _, shape := range []standin.EndlessShape{standin.EndlessBody, standin.EndlessChunks} {
		t.Run(string(shape), func(t *testing.T) {
			s, endless := newEndlessSite(t, shape, 0)
			var served, failed, wrong atomic.Int64
			var wg sync.WaitGroup
			for range 32 {
				wg.Go(func() {
					for began := time.Now(); time.Since(began) < 5*time.Second; {
						status, n := s.ask(t, "/x/300000")
						switch {
						case status == http.StatusOK && n == 300000:
							served.Add(1)
						case status == http.StatusOK:
							wrong.Add(1)
						default:
							failed.Add(1)
						}
					}
				})
			}
			wg.Wait()
			t.Logf("%d served, %d failed, %d wrong, %d sent to the endless target", served.Load(), failed.Load(), wrong.Load(), endless.Requests())
			if wrong.Load() > 0 || failed.Load() > 0 || endless.Requests() == 0 {
				t.Errorf("%d of %d requests failed although another target answers; %d got a wrong answer", failed.Load(), served.Load()+failed.Load(), wrong.Load())
			}
			for deadline := time.Now().Add(5 * time.Second); testutil.ToFloat64(s.metrics.Held) > 0; time.Sleep(10 * time.Millisecond) {
				if time.Now().After(deadline) {
					t.Fatal("memory is still accounted for answers that have ended")
				}
			}
		})
	}
}

// ask sends a request and reads its answer; the status is zero if there is no complete answer.
func (s *testSite) ask(t *testing.T, path string) (status int, n int64) {
	t.Helper()
	conn := s.send(t, path)
	if conn == nil {
		return 0, 0
	}
	defer func() { _ = conn.Close() }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	if n, err = io.Copy(io.Discard, resp.Body); err != nil {
		return 0, n
	}
	return resp.StatusCode, n
}

// newEndlessSite starts an instance with two targets, one of which sends endless answers.
func newEndlessSite(t *testing.T, shape standin.EndlessShape, pause time.Duration) (*testSite, *standin.EndlessServer) {
	t.Helper()
	finite := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Currantford-Request-Id", r.Header.Get("Currantford-Request-Id"))
		w.Header().Set("Currantford-Response-Stamp", "s")
		writeSized(w, r)
	}))
	t.Cleanup(finite.Close)
	endless, err := standin.NewEndlessServer(shape, pause)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(endless.Close)
	site := cfsite.New(cfstandin.Codec{})
	config := cfsite.Config{Version: 1, Routes: []cfsite.Route{
		{Host: "h", Prefix: "/x/", Kind: cfsite.KindIdempotent, Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 4000, SLO: 1000, MaxAttempts: 3},
		{Host: "h", Prefix: "/u/", Split: []cfsite.Share{{Service: "s", Weight: 1}}, Timeout: 4000, SLO: 1000, MaxAttempts: 3},
	}}
	config.Limits.BodyBytes = 1 << 20
	if _, err := site.ApplyConfig(cfstandin.Record("main", 1, config)); err != nil {
		t.Fatal(err)
	}
	for id, addr := range map[cf.InstanceID]string{"good": strings.TrimPrefix(finite.URL, "http://"), "bad": endless.Addr()} {
		target := cf.Target{ID: id, Service: "s", Slots: 99, Addr: addr}
		if _, _, err := site.ApplyTarget(cfstandin.Record(string(id), 1, target), cf.Uptime()); err != nil {
			t.Fatal(err)
		}
	}
	targets := platform.NewTargets(4, prometheus.NewRegistry())
	t.Cleanup(func() { _ = targets.Close() })
	s := &testSite{metrics: cfroom.NewMetrics(prometheus.NewRegistry())}
	in := cfingress.New(cfingress.Options{
		Members: noMembers{}, Targets: targets, Site: site, Metrics: cfingress.NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
		Rooms: cfroom.New(cfroom.Options{MemoryBytes: memoryLimit, Policy: cfhold.Policy{}, Metrics: s.metrics, Log: zap.NewNop()}),
	})
	s.listen(t, in, zap.NewNop())
	return s, endless
}
