package cfnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

const (
	fleetSize    = 150
	fleetDomains = 3
	fleetLogs    = 60  // targets of the service log
	fleetEngines = 600 // targets of the service engines
)

// countingStore is a store whose watches wait for changes. It counts all calls, and the lists of
// targets and of configurations.
type countingStore struct {
	*cfstandin.MemStore
	targetLists, configLists, calls atomic.Int64
}

func (s *countingStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	s.calls.Add(1)
	return s.MemStore.Get(ctx, kind, name)
}

func (s *countingStore) List(ctx context.Context, kind string) (cf.Records, error) {
	s.calls.Add(1)
	switch kind {
	case cfstandin.Codec{}.Kinds().Targets:
		s.targetLists.Add(1)
	case cfstandin.Codec{}.Kinds().Config:
		s.configLists.Add(1)
	}
	return s.MemStore.List(ctx, kind)
}

func (s *countingStore) Watch(ctx context.Context, kind string, since cf.Revision, wait cf.Millis) (cf.Records, error) {
	s.calls.Add(1)
	for deadline := cf.Uptime() + wait; ; {
		out, err := s.MemStore.Watch(ctx, kind, since, 0)
		if err != nil || len(out.Items) > 0 || cf.Uptime() >= deadline || !cf.Sleep(ctx, 10*time.Millisecond) {
			return out, err
		}
	}
}

// outageStore is the store as seen by one instance. While it is unavailable, lists and watches are
// not answered.
type outageStore struct {
	*countingStore
	unavailable atomic.Bool
	delay       *storeDelay
}

// storeDelay holds the additional latencies of a store.
type storeDelay struct {
	// lease applies to reads of the lease, lists to lists of targets, in nanoseconds.
	lease, lists atomic.Int64
}

// awaitTimeout blocks a call while the store is unavailable, until the call times out.
func (s *outageStore) awaitTimeout(ctx context.Context, timeout time.Duration) error {
	if !s.unavailable.Load() {
		return nil
	}
	cf.Sleep(ctx, timeout)
	return cf.ErrUnavailable
}

func (s *outageStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	if kind == cf.KindLease {
		cf.Sleep(ctx, time.Duration(s.delay.lease.Load()))
	}
	return s.countingStore.Get(ctx, kind, name)
}

func (s *outageStore) List(ctx context.Context, kind string) (cf.Records, error) {
	if err := s.awaitTimeout(ctx, 750*time.Millisecond); err != nil {
		return cf.Records{}, err
	}
	list, err := s.countingStore.List(ctx, kind)
	if kind == (cfstandin.Codec{}).Kinds().Targets && !cf.Sleep(ctx, time.Duration(s.delay.lists.Load())) {
		return cf.Records{}, cf.ErrUnavailable
	}
	return list, err
}

func (s *outageStore) Watch(ctx context.Context, kind string, since cf.Revision, wait cf.Millis) (cf.Records, error) {
	out, err := s.countingStore.Watch(ctx, kind, since, wait)
	if err := s.awaitTimeout(ctx, 700*time.Millisecond); err != nil {
		return cf.Records{}, err
	}
	return out, err
}

// testFleet is a deployment of many instances in one process with one store.
type testFleet struct {
	t      *testing.T
	store  *countingStore
	nodes  map[cf.EntryID]*Node
	stop   map[cf.EntryID]func()
	stores map[cf.EntryID]*outageStore
	// link is the rate of an instance's link in bytes per second, zero for no limit.
	link  int
	delay *storeDelay
}

func newTestFleet(t *testing.T, size, link int) *testFleet {
	t.Helper()
	return newDelayedFleet(t, size, link, &storeDelay{})
}

// newDelayedFleet returns a fleet whose store is slow from its start.
func newDelayedFleet(t *testing.T, size, link int, delay *storeDelay) *testFleet {
	t.Helper()
	f := &testFleet{t: t, store: &countingStore{MemStore: cfstandin.NewMemStore()}, nodes: map[cf.EntryID]*Node{}, stop: map[cf.EntryID]func(){}, stores: map[cf.EntryID]*outageStore{}, link: link, delay: delay}
	kinds := cfstandin.Codec{}.Kinds()
	f.create(kinds.Config, "main", fleetConfig(1))
	for i := range fleetLogs {
		f.create(kinds.Targets, fmt.Sprintf("log-%03d", i), f.logTarget(i))
	}
	for i := range fleetEngines {
		id := fmt.Sprintf("engine-%03d", i)
		f.create(kinds.Targets, id, cf.Target{ID: cf.InstanceID(id), Service: "engines", Slots: 4, Models: []cf.ModelState{{Name: "m", Version: 1}}})
	}
	for i := range size {
		f.start(i)
	}
	t.Cleanup(func() {
		var wg sync.WaitGroup
		for _, stop := range f.stop {
			wg.Go(stop)
		}
		wg.Wait()
	})
	return f
}

// fleetConfig returns a configuration with two routes, and with others.
func fleetConfig(version cfsite.ConfigVersion, others ...cfsite.Route) cfsite.Config {
	return cfsite.Config{Version: version, Routes: append([]cfsite.Route{
		{Host: "h", Prefix: "/log/", Kind: cfsite.KindIdempotent, Split: []cfsite.Share{{Service: "log", Weight: 1}}},
		{Host: "h", Prefix: "/step/", Kind: cfsite.KindBatch, Split: []cfsite.Share{{Service: "engines", Weight: 1}}},
	}, others...), Services: []cfsite.Service{{Name: "log"}, {Name: "engines", Models: []cf.ModelName{"m"}}}}
}

func (f *testFleet) logTarget(i int) cf.Target {
	return cf.Target{ID: cf.InstanceID(fmt.Sprintf("log-%03d", i)), Service: "log", Slots: 4, Addr: fmt.Sprintf("10.0.0.%d:1", i)}
}

func (f *testFleet) create(kind, name string, v any) {
	f.t.Helper()
	if _, err := f.store.Create(context.Background(), kind, name, v); err != nil {
		f.t.Fatal(err)
	}
}

// start starts an instance; one in five has a high capacity.
func (f *testFleet) start(i int) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	addr := l.Addr().String()
	s := Settings{
		Entry: cf.EntryID(fmt.Sprintf("front-%03d", i)), Domain: cf.FailureDomain(fmt.Sprint("d", i%fleetDomains)),
		Listen: ListenSettings{Peers: addr, Callers: addr}, Bounds: Bounds{GraceS: 1, KeepResultsS: 1, LeaseMs: 3000}, Members: MemberSettings{HubThreshold: cfmember.DefaultHubThreshold}, Machine: MachineSettings{Cores: 1, CPUShare: 0.2},
	}
	if i/fleetDomains%5 == 0 {
		s.Machine.CPUShare = 1
	}
	f.stores[s.Entry] = &outageStore{countingStore: f.store, delay: f.delay}
	n := New(s, Adapter{Store: f.stores[s.Entry], Codec: cfstandin.Codec{}, Relay: noRelay{}}, prometheus.NewRegistry(), zap.NewNop())
	if f.link > 0 {
		l = &sharedLink{Listener: l, rate: f.link}
	}
	srv := &http.Server{Handler: n.PeerHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }() // ends with the server
	n.Start()
	f.nodes[s.Entry] = n
	f.stop[s.Entry] = sync.OnceFunc(func() {
		_ = srv.Close()
		_ = n.Close()
	})
}

// kill ends an instance that does not announce its stop.
func (f *testFleet) kill(id cf.EntryID) {
	f.stop[id]()
	delete(f.nodes, id)
}

// awaitSettled waits until all instances know all others and the targets to which they forward.
func (f *testFleet) awaitSettled(what string, logs int) {
	f.t.Helper()
	behind := func() string {
		for id, n := range f.nodes {
			if n.coord.Load() == nil && !n.feed.current(cf.Uptime()) {
				return fmt.Sprint(id, " has no current view")
			}
			if live := n.Live(); len(live) != len(f.nodes) {
				return fmt.Sprint(id, " knows ", len(live), " instances")
			}
			if usable := n.site.Usable("log"); len(usable) != logs {
				return fmt.Sprint(id, " knows ", len(usable), " targets")
			}
		}
		return ""
	}
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		reason := behind()
		if reason == "" {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%s: %s", what, reason)
		}
	}
}

func (f *testFleet) holder() *Node {
	f.t.Helper()
	for _, n := range f.nodes {
		if n.coord.Load() != nil {
			return n
		}
	}
	f.t.Fatal("no instance has the coordinator's duty")
	return nil
}

// hub returns an instance that relays updates to others.
func (f *testFleet) hub() cf.EntryID {
	f.t.Helper()
	for id, n := range f.nodes {
		if n.members.ClientCount(cf.Uptime()) > 0 && n.coord.Load() == nil {
			return id
		}
	}
	f.t.Fatal("no instance acts as a hub")
	return ""
}

// TestFleetIsToldByHubs starts a fleet at once that is too large for the coordinator to answer each
// instance, then loses a hub, and then the coordinator. The load on the store and on the
// coordinator must depend on the number of hubs, and an instance must only receive the targets to
// which it forwards.
func TestFleetIsToldByHubs(t *testing.T) {
	f := newTestFleet(t, fleetSize, 0)
	f.awaitSettled("start", fleetLogs)
	hubs := len(cfmember.Hubs(f.holder().Live(), cfmember.DefaultHubThreshold))
	if lists := f.store.targetLists.Load(); lists > int64(hubs) {
		t.Errorf("the targets were listed %d times at the start, want at most once per hub: %d", lists, hubs)
	}
	for id, n := range f.nodes {
		if n.coord.Load() == nil && len(n.site.Targets()) > fleetLogs {
			t.Errorf("%s knows %d targets and forwards to %d", id, len(n.site.Targets()), fleetLogs)
		}
	}
	drained := f.logTarget(7)
	drained.Draining = true
	r, err := f.store.Get(context.Background(), cfstandin.Codec{}.Kinds().Targets, "log-007")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := f.store.Replace(context.Background(), cfstandin.Codec{}.Kinds().Targets, "log-007", r.Rev, drained); err != nil {
		t.Fatal(err)
	}
	f.awaitSettled("a target drains", fleetLogs-1)
	f.kill(f.hub())
	f.awaitSettled("a hub is lost", fleetLogs-1)
	before := f.store.targetLists.Load()
	f.kill(f.holder().settings.Entry)
	f.awaitSettled("the coordinator is lost", fleetLogs-1)
	f.holder()
	if lists := f.store.targetLists.Load() - before; lists > int64(hubs)+1 {
		t.Errorf("the targets were listed %d times after the loss of the coordinator, by a fleet with %d hubs; want at most one list per hub and one more", lists, hubs)
	}
}

// TestSlowLeaseReadCausesNoExtraTargetLists guards against a start at which each instance lists all
// targets because the store takes longer to return the lease than an instance waits for it.
func TestSlowLeaseReadCausesNoExtraTargetLists(t *testing.T) {
	const size = 40
	for _, latency := range []time.Duration{350 * time.Millisecond, 600 * time.Millisecond, 900 * time.Millisecond} {
		delay := &storeDelay{}
		delay.lease.Store(int64(latency))
		f := newDelayedFleet(t, size, 0, delay)
		f.awaitSettled("start", fleetLogs)
		fallbacks := len(f.holder().members.FallbackWatchers(f.holder().self()))
		if lists := f.store.targetLists.Load(); lists > int64(fallbacks) {
			t.Errorf("lease read after %s: the targets were listed %d times by %d instances with %d fallback watchers", latency, lists, size, fallbacks)
		}
	}
}

// TestSlowTargetListsAfterTheLossOfTheCoordinator guards against a fleet in which each instance
// lists all targets after the loss of the coordinator, because the lists of the new coordinator and
// of the hubs are slow.
func TestSlowTargetListsAfterTheLossOfTheCoordinator(t *testing.T) {
	const size = 100
	f := newTestFleet(t, size, 0)
	f.awaitSettled("start", fleetLogs)
	hubs := len(cfmember.Hubs(f.holder().Live(), cfmember.DefaultHubThreshold))
	for _, n := range f.nodes {
		for !n.status(cf.Uptime()).StartupOver(cf.Uptime()) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.delay.lists.Store(int64(2500 * time.Millisecond))
	before := f.store.targetLists.Load()
	f.kill(f.holder().settings.Entry)
	f.awaitSettled("the coordinator is lost", fleetLogs)
	if lists := f.store.targetLists.Load() - before; lists > int64(hubs)+1 {
		t.Errorf("the targets were listed %d times after the loss of the coordinator, by a fleet with %d hubs; want at most one list per hub and one more", lists, hubs)
	}
}

// TestSlowFirstTargetListAtStartup guards against a start at which each instance lists all targets
// because the coordinator's first list takes longer than the others wait for it.
func TestSlowFirstTargetListAtStartup(t *testing.T) {
	const size = 40
	delay := &storeDelay{}
	delay.lists.Store(int64(4 * time.Second))
	f := newDelayedFleet(t, size, 0, delay)
	f.awaitSettled("start", fleetLogs)
	fallbacks := len(f.holder().members.FallbackWatchers(f.holder().self()))
	if lists := f.store.targetLists.Load(); lists > int64(fallbacks) {
		t.Errorf("the targets were listed %d times by %d instances with %d fallback watchers", lists, size, fallbacks)
	}
}
