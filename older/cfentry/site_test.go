package cfentry_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	cf "currantford"
	"currantford/older/cfconfig"
	"currantford/older/cfentry"
	"currantford/older/cfplatform"
	"currantford/testbed/cfengine"
	"currantford/testbed/cfobjects"
	"currantford/testbed/cfstandin"
)

// testSite is a small site in the test process: entries, and stand-ins for the platform, the
// engines, the services and the scorer. Each has its own port on the loopback interface and is
// called over HTTP as in production.
type testSite struct {
	site     cfconfig.Site
	platform *cfobjects.Server
	store    *cfplatform.Client
	entries  []*cfentry.Entry
	urls     []string
	services map[string]*cfstandin.Service
	engines  map[cf.EngineID]*http.Server
	wrap     map[string]func(http.Handler) http.Handler
}

func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func serve(t testing.TB, l net.Listener, h http.Handler) *http.Server {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return srv
}

// startSite starts a site with n entries. wrap can inject a fault before a service's handler; its
// keys are the names of the services.
func startSite(t testing.TB, n int, wrap map[string]func(http.Handler) http.Handler) *testSite {
	t.Helper()
	ts := &testSite{site: cfconfig.Default(), services: map[string]*cfstandin.Service{}, engines: map[cf.EngineID]*http.Server{}, wrap: wrap}
	s := &ts.site
	s.Platform.InstanceLag = 100
	s.Lease = cfconfig.Lease{TTL: 600, Renew: 150}
	s.LoadPoll = 50
	s.Drain = 300
	pl := listen(t)
	s.Platform.Addr = pl.Addr().String()
	ts.platform = cfobjects.NewServer(cfobjects.ServerSettings{InstanceLag: s.Platform.InstanceLag})
	serve(t, pl, ts.platform.Handler())
	ts.store = cfplatform.NewClient(s.PlatformURL())

	for i := range s.Engines {
		l := listen(t)
		s.Engines[i].Addr = l.Addr().String()
		e := cfengine.New(cfengine.Settings{ID: s.Engines[i].ID, Model: s.Engines[i].Model, ReportInterval: 20, SwapDelay: 10, CheckFencing: s.Engines[i].CheckFencing})
		t.Cleanup(func() { _ = e.Close() })
		ts.engines[s.Engines[i].ID] = serve(t, l, e.Handler())
	}
	for i := range s.Services {
		l := listen(t)
		s.Services[i].Addr = l.Addr().String()
		s.Services[i].Timeout = 2000
		svc := cfstandin.NewService(s.Services[i].Name, s.Services[i].Idempotent)
		ts.services[s.Services[i].Name] = svc
		h := svc.Handler()
		if w := wrap[s.Services[i].Name]; w != nil {
			h = w(h)
		}
		serve(t, l, h)
	}
	sl := listen(t)
	s.Scorer.Addr = sl.Addr().String()
	serve(t, sl, cfstandin.ScorerHandler())

	s.Entries = s.Entries[:n]
	listeners := make([]net.Listener, n)
	for i := range s.Entries {
		listeners[i] = listen(t)
		s.Entries[i].Addr = listeners[i].Addr().String()
	}
	for i := range s.Entries {
		e, err := cfentry.New(*s, s.Entries[i].ID, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		e.Run(context.Background())
		go func() { _ = e.Serve(listeners[i]) }()
		t.Cleanup(func() {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_ = e.Shutdown(ctx)
		})
		ts.entries = append(ts.entries, e)
		ts.urls = append(ts.urls, "http://"+s.Entries[i].Addr)
	}
	return ts
}

// eventually polls cond every 20 ms for up to 5 s, to wait for background work such as load polls
// and watches. The limit is not an assertion about speed.
func eventually(t testing.TB, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if cond() {
			return
		}
	}
	t.Fatalf("timed out waiting for %s", what)
}

// setInstance writes an element of the instance list, as the platform would.
func (ts *testSite) setInstance(t testing.TB, id, state string) {
	t.Helper()
	_, err := cfplatform.PutJSON(context.Background(), ts.store, cfplatform.KindInstance, id,
		cfentry.Instance{ID: id, Role: cfentry.RoleEngine, State: state, Heartbeat: cf.Now()}, cf.AnyVersion)
	if err != nil {
		t.Fatal(err)
	}
}

// bidCalls returns how many calls with key the bids service has received.
func (ts *testSite) bidCalls(t testing.TB, key string) int {
	t.Helper()
	resp, err := http.Get("http://" + ts.site.Services[0].Addr + "/calls")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var counts cfstandin.CallCounts
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		t.Fatal(err)
	}
	return counts.Calls[key]
}

// waitRoutable waits until the entry answers a completion of one token, that is until its first
// load poll has made an engine routable.
func (ts *testSite) waitRoutable(t testing.TB) {
	t.Helper()
	eventually(t, "an engine to be routable", func() bool {
		resp, err := http.Post(ts.urls[0]+"/v1/completions", "application/json", strings.NewReader(`{"prompt":"x","max_tokens":1}`))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}
