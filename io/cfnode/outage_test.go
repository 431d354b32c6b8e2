package cfnode

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/core/cfsite"
	"currantford/testbed/cfstandin"
)

// sharedLink is a listener whose connections share the rate of one link.
type sharedLink struct {
	net.Listener
	rate int // bytes per second

	mu     sync.Mutex
	freeAt time.Time // when all bytes written so far have been sent
}

func (l *sharedLink) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &linkConn{Conn: c, link: l}, nil
}

type linkConn struct {
	net.Conn
	link *sharedLink
}

// packet is how many bytes the link sends at once; its connections take turns.
const packet = 16 << 10

func (c *linkConn) Write(p []byte) (sent int, err error) {
	for part := range slices.Chunk(p, packet) {
		c.link.mu.Lock()
		now := time.Now()
		if c.link.freeAt.Before(now) {
			c.link.freeAt = now
		}
		c.link.freeAt = c.link.freeAt.Add(time.Duration(len(part)) * time.Second / time.Duration(c.link.rate))
		wait := c.link.freeAt.Sub(now)
		c.link.mu.Unlock()
		time.Sleep(wait)
		n, err := c.Conn.Write(part)
		sent += n
		if err != nil {
			return sent, err
		}
	}
	return sent, nil
}

// manyRoutes returns n similar routes with different names, as an operator adds them.
func manyRoutes(n int) []cfsite.Route {
	out := make([]cfsite.Route, n)
	for i := range out {
		name := fmt.Sprintf("%08x", uint32(i)*2654435761)
		out[i] = cfsite.Route{
			Name: "r-" + name, Host: name + ".example", Prefix: "/" + name + "/", Kind: cfsite.KindIdempotent,
			Split: []cfsite.Share{{Service: "log", Weight: 1}}, Timeout: 800, SLO: 150, MaxAttempts: 2, Priority: 2,
		}
	}
	return out
}

// configure replaces the configuration and waits until it is in force at all instances whose store
// is available. It calls meanwhile while it waits.
func (f *testFleet) configure(c cfsite.Config, meanwhile func()) {
	f.t.Helper()
	kind := cfstandin.Codec{}.Kinds().Config
	r, err := f.store.Get(context.Background(), kind, "main")
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := f.store.Replace(context.Background(), kind, "main", r.Rev, c); err != nil {
		f.t.Fatal(err)
	}
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		behind := 0
		for id, n := range f.nodes {
			if now := n.site.Config(); !f.stores[id].unavailable.Load() && (now == nil || now.Version < c.Version) {
				behind++
			}
		}
		meanwhile()
		if behind == 0 {
			return
		}
		if time.Now().After(deadline) {
			f.t.Fatalf("%d instances do not have configuration version %d", behind, c.Version)
		}
	}
}

// sent returns how many bytes of configurations the instances have sent to each other.
func (f *testFleet) sent() (bytes float64) {
	for _, n := range f.nodes {
		for _, part := range []string{"whole", "change"} {
			bytes += testutil.ToFloat64(n.feedMetrics.configBytes.WithLabelValues(part))
		}
	}
	return bytes
}

// awaitStrongHolder waits until an instance of high capacity has the coordinator's duty and all
// others follow it.
func (f *testFleet) awaitStrongHolder() {
	f.t.Helper()
	for deadline := time.Now().Add(60 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		for _, n := range f.nodes {
			if n.coord.Load() != nil && cfmember.HighCapacity(n.self().Capacity, n.Live()) {
				f.awaitSettled("a strong coordinator", fleetLogs)
				return
			}
		}
		if time.Now().After(deadline) {
			f.t.Fatal("no instance of high capacity has the coordinator's duty")
		}
	}
}

// maxConfigBytes is how many bytes an instance may receive for a changed route. Control traffic may
// use as much per second, and there are changes nearly every second.
const maxConfigBytes = 3 << 10

// TestChangeOfALargeConfigurationReachesAllInTime changes one route of a configuration of many
// routes, with many instances on slow links. If each instance received the whole configuration, the
// coordinator's link would be saturated, its calls would time out and be repeated, and all
// instances would query the store at once.
func TestChangeOfALargeConfigurationReachesAllInTime(t *testing.T) {
	const size = 72
	f := newTestFleet(t, size, 750_000)
	f.awaitSettled("start", fleetLogs)
	routes := manyRoutes(140)
	f.configure(fleetConfig(2, routes...), func() {})
	f.awaitSettled("a large configuration", fleetLogs)
	f.awaitStrongHolder() // A new coordinator reads the configuration, and a weak one is replaced.
	lists, sent := f.store.configLists.Load(), f.sent()
	for i := range 3 {
		routes = slices.Clone(routes)
		routes[70+i].Timeout = 900
		f.configure(fleetConfig(cfsite.ConfigVersion(3+i), routes...), func() {})
	}
	if sent := f.sent() - sent; sent > 3*size*maxConfigBytes {
		t.Errorf("%.0f bytes were sent to %d instances for three changes of a route", sent, size)
	}
	if lists := f.store.configLists.Load() - lists; lists > 0 {
		t.Errorf("the configuration was read from the store %d times", lists)
	}
}

// TestInstanceThatDidNotAskTheStoreConfirmsNoOutage guards against an instance that waits for
// seconds with a configuration that is no longer in force. Its coordinator is cut off from the
// store, and the neighbours that follow the same coordinator have no updates either.
func TestInstanceThatDidNotAskTheStoreConfirmsNoOutage(t *testing.T) {
	peer := newTestNode(t, cfstandin.NewMemStore())
	peer.startedAt -= 60_000
	peer.candidate.observe(5, cflease.Holder{Entry: "x", Term: 5, Addr: "127.0.0.1:1"})
	addr := servePeers(t, peer)
	n := newFollower(t, addr, 40)
	for range 20 {
		n.receiveUncertainAnswer()
		time.Sleep(10 * time.Millisecond)
	}
	if n.feed.outageConfirmedAt.Load() > 0 {
		t.Error("an instance that did not query the store confirmed its outage")
	}
}

// awaitingStore returns how many instances consider the store unavailable and do not query it.
func (f *testFleet) awaitingStore() (n int) {
	for _, node := range f.nodes {
		if cfmember.AnswerIsRecent(cf.Millis(node.feed.outageConfirmedAt.Load()), cf.Uptime()) {
			n++
		}
	}
	return n
}

// watchingStore returns how many instances watch the store themselves.
func (f *testFleet) watchingStore() (n int) {
	for _, node := range f.nodes {
		if node.watchers.Load() != nil {
			n++
		}
	}
	return n
}

// TestUncertainCoordinatorIsNotTakenForAStoreOutage checks a coordinator that keeps its lease and
// receives no changes. It answers that it has no current view and is not replaced. The other
// instances must not consider the store unavailable, as it answers them.
func TestUncertainCoordinatorIsNotTakenForAStoreOutage(t *testing.T) {
	f := newTestFleet(t, 40, 0)
	f.awaitSettled("start", fleetLogs)
	f.stores[f.holder().settings.Entry].unavailable.Store(true)
	f.configure(fleetConfig(2), func() {
		if n := f.awaitingStore(); n > 0 {
			t.Fatalf("%d instances consider the store unavailable", n)
		}
	})
}

// TestFleetLeavesAnOutageToFallbackWatchers checks that in an outage of the store for all instances
// only the fallback watchers query the store, and the others rely on their answers.
func TestFleetLeavesAnOutageToFallbackWatchers(t *testing.T) {
	const size = 40
	f := newTestFleet(t, size, 0)
	f.awaitSettled("start", fleetLogs)
	fallbacks := len(f.holder().members.FallbackWatchers(f.holder().self()))
	for _, n := range f.nodes {
		for !n.status(cf.Uptime()).StartupOver(cf.Uptime()) {
			time.Sleep(10 * time.Millisecond)
		}
	}
	f.playOutages(func() bool { return f.awaitingStore() >= size-fallbacks-1 && f.watchingStore() <= fallbacks+1 })
}

// playOutages plays outages that are too short for any instance to give up waiting, until one
// reaches the given state.
func (f *testFleet) playOutages(reached func() bool) {
	f.t.Helper()
	for range 8 {
		for _, g := range f.stores {
			g.unavailable.Store(true)
		}
		for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if reached() {
				return
			}
		}
		for _, g := range f.stores {
			g.unavailable.Store(false)
		}
		f.awaitSettled("after an outage", fleetLogs)
	}
	f.t.Errorf("no outage reached the expected state: at last %d instances waited and %d watched the store", f.awaitingStore(), f.watchingStore())
}

// TestViewOfALateWatchReportsItsAge checks that a coordinator whose watch is late reports its view
// as of when the answer was due, and not as of now: a change may have been missed since.
func TestViewOfALateWatchReportsItsAge(t *testing.T) {
	f := newTestFleet(t, 3, 0)
	f.awaitSettled("start", fleetLogs)
	h := f.holder()
	f.playOutages(func() bool {
		fresh, age := h.servedView(cf.Uptime())
		return fresh && age > 0
	})
}

// TestFailedCallOfFollowerIsNoOutage guards against an instance that keeps targets which have left: one of
// its few calls to the store failed, and it made no other for seconds, while the coordinator's calls were
// answered.
func TestFailedCallOfFollowerIsNoOutage(t *testing.T) {
	f := newTestFleet(t, 6, 0)
	f.awaitSettled("start", fleetLogs)
	f.awaitStrongHolder()
	for id, n := range f.nodes {
		if n.coord.Load() != nil || n.watchers.Load() != nil {
			continue
		}
		f.stores[id].unavailable.Store(true)
		if _, err := n.adapter.Store.List(t.Context(), cf.KindUsage); err == nil {
			t.Fatal("the store answered, though it is unavailable to the instance")
		}
		f.stores[id].unavailable.Store(false)
		time.Sleep(2 * time.Second)
		if _, err := n.adapter.Store.List(t.Context(), cf.KindUsage); err != nil {
			t.Fatal(err)
		}
		removal := cf.Record{Name: "log-000", Rev: n.site.TargetsRevision() + 1, Deleted: true}
		if _, dropped, err := n.site.ApplyTarget(removal, cf.Uptime()); err != nil || !dropped {
			t.Errorf("%s keeps a target that has left: error %v", id, err)
		}
		return
	}
	t.Fatal("no instance follows the coordinator")
}
