package cfnode

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/testbed/cfstandin"
)

// unavailableStore answers no call, and counts the reads and writes.
type unavailableStore struct {
	*cfstandin.MemStore
	calls atomic.Int64
}

func (s *unavailableStore) Get(context.Context, string, string) (cf.Record, error) {
	s.calls.Add(1)
	return cf.Record{}, cf.ErrUnavailable
}

func (s *unavailableStore) List(context.Context, string) (cf.Records, error) {
	return cf.Records{}, cf.ErrUnavailable
}

func (s *unavailableStore) Replace(context.Context, string, string, cf.Revision, any) (cf.Record, error) {
	s.calls.Add(1)
	return cf.Record{}, cf.ErrUnavailable
}

// TestInstanceLeavesAnOutageToFallbackWatchers guards against a store that gets 360 calls per
// second while it is unavailable, and 1,200 in the two seconds of its return. In an outage each of
// 72 instances notices that the coordinator has no current view; only a small deployment, such as
// one of seven instances, can let each of them query the store.
func TestInstanceLeavesAnOutageToFallbackWatchers(t *testing.T) {
	ctx := context.Background()
	var members []cfmember.Entry
	for i := range 40 {
		members = append(members, cfmember.Entry{ID: cf.EntryID(fmt.Sprint("strong-", i)), Capacity: 9})
	}
	for _, c := range []struct {
		name      string
		members   []cfmember.Entry
		silence   cf.Millis // since the last current update
		uncertain bool      // the coordinator answers that it has no current view
		confirmed bool      // another instance confirms the outage
		denied    bool      // the instance named as the coordinator denies that it is
		want      bool
	}{
		{"small deployment", members[:7], 1000, true, true, false, true},
		{"large, updates missing for a moment", members, 1000, false, false, false, false},
		{"large, coordinator silent", members, 1600, false, false, false, true},
		{"large, outage confirmed", members, 5000, true, true, false, false},
		{"large, outage confirmed, no updates for long", members, 9000, true, true, false, true},
		{"large, only coordinator has no current view", members, 1600, true, false, false, true},
		{"large, coordinator denies its role", members, 1600, false, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &unavailableStore{MemStore: cfstandin.NewMemStore()}
			n := newTestNode(t, store)
			now := cf.Uptime()
			n.startedAt = now - 60_000
			n.members.Apply(cfmember.RosterUpdate{Full: true, Entries: c.members})
			n.feed.asOf.Store(int64(now - c.silence))
			if c.uncertain {
				n.feed.uncertainAt.Store(int64(now))
			}
			if c.confirmed {
				n.feed.outageConfirmedAt.Store(int64(now))
			}
			if c.denied {
				n.candidate.recordDenial()
			}
			n.candidate.observe(5, cflease.Holder{Entry: "strong-0", Term: 1})
			if got := n.watchDue(now); got != c.want {
				t.Errorf("watches the store itself: %v, want %v", got, c.want)
			}
			n.candidate.step(ctx)
			if got := store.calls.Load() > 0; got != c.want {
				t.Errorf("reads the lease: %v, want %v", got, c.want)
			}
			calls := store.calls.Load()
			n.candidate.step(ctx)
			if store.calls.Load() > calls {
				t.Error("the lease is read again immediately")
			}
		})
	}
}

// lostReadStore does not answer the first read.
type lostReadStore struct {
	*cfstandin.MemStore
	reads atomic.Int64
}

func (s *lostReadStore) Get(ctx context.Context, kind, name string) (cf.Record, error) {
	if s.reads.Add(1) == 1 {
		<-ctx.Done()
		return cf.Record{}, cf.ErrUnavailable
	}
	return s.MemStore.Get(ctx, kind, name)
}

// TestStartingInstanceReadsTheLeaseAgain guards against an instance that finds the coordinator only
// seconds after its start because its first read of the lease had no answer.
func TestStartingInstanceReadsTheLeaseAgain(t *testing.T) {
	store := &lostReadStore{MemStore: cfstandin.NewMemStore()}
	n := newTestNode(t, store)
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	n.candidate.step(ctx)
	if _, rev := n.candidate.holder(); rev == 0 || ctx.Err() != nil {
		t.Errorf("the lease is unknown after %d reads", store.reads.Load())
	}
}

// TestInstanceWithoutUpdatesWatchesTheStore checks that a hub without updates, in a fleet with
// hubs, and a starting instance that finds no coordinator each watch the store once their view is
// too old.
func TestInstanceWithoutUpdatesWatchesTheStore(t *testing.T) {
	n := newTestNode(t, &unavailableStore{MemStore: cfstandin.NewMemStore()})
	entries := []cfmember.Entry{n.self()}
	for i := range 120 {
		entries = append(entries, cfmember.Entry{ID: cf.EntryID(fmt.Sprint("weak-", i)), Capacity: 0.2})
	}
	n.members.Apply(cfmember.RosterUpdate{Full: true, Entries: entries})
	n.candidate.observe(5, cflease.Holder{Entry: "weak-0", Term: 1})
	now := cf.Uptime()
	n.startedAt = now - 60_000
	for silence, want := range map[cf.Millis]bool{1200: false, 1800: true} {
		n.feed.asOf.Store(int64(now - silence))
		if got := n.watchDue(now); !n.isFallbackWatcher() || got != want {
			t.Errorf("a hub without updates for %d ms watches the store: %v", silence, got)
		}
	}
	n = newTestNode(t, cfstandin.NewMemStore())
	if n.watchDue(cf.Uptime()) {
		t.Error("a starting instance watches the store before it has polled the coordinator")
	}
	n.startedAt -= 300
	if !n.watchDue(cf.Uptime()) {
		t.Error("a starting instance that finds no coordinator does not watch the store")
	}
}

// TestHolderMessagesApplyByRevision guards against all instances reading the lease after each
// change of the coordinator, and some being without updates for a second. A new holder notifies its
// gossip peers, and each forwards the message once; a late message about the previous holder must
// have no effect.
func TestHolderMessagesApplyByRevision(t *testing.T) {
	n := newTestNode(t, cfstandin.NewMemStore())
	n.candidate.observe(5, cflease.Holder{Entry: "x", Term: 5})
	for _, m := range []holderMessage{
		{cflease.Holder{Entry: "y", Term: 8}, 8},
		{cflease.Holder{Entry: "x", Term: 5}, 6}, // a late message about the previous holder
	} {
		if _, err := n.serveHolder(context.Background(), m); err != nil {
			t.Fatal(err)
		}
	}
	if h, rev := n.candidate.holder(); h.Entry != "y" || rev != 8 {
		t.Errorf("holder %s at revision %d, want y at 8", h.Entry, rev)
	}
}

// TestDenialLeadsToTheNewHolder guards against an instance that serves with a configuration that
// was replaced six seconds before. It has missed the message of a new holder, and the previous
// holder, which has restarted, denies each of its calls. A denial must not count as the answer of a
// coordinator whose store is unavailable, and the denying instance must be asked who the holder is.
func TestDenialLeadsToTheNewHolder(t *testing.T) {
	peer := newTestNode(t, cfstandin.NewMemStore())
	peer.candidate.observe(8, cflease.Holder{Entry: "y", Term: 8, Addr: "127.0.0.1:1"})
	addr := servePeers(t, peer)
	n := newTestNode(t, cfstandin.NewMemStore())
	n.candidate.observe(5, cflease.Holder{Entry: "x", Term: 5, Addr: addr})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.runFeed(ctx)
	}()
	defer func() { cancel(); <-done }()
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if h, _ := n.candidate.holder(); h.Entry == "y" {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the instance does not learn the new holder")
		}
	}
}

// TestOutageIsConfirmedByAnotherInstance guards against an instance that serves with a
// configuration that was replaced six seconds before, because its holder is cut off from the store,
// answers that it has no current view, and has been replaced. Another instance first gets no answer
// from the store, and then has a current view.
func TestOutageIsConfirmedByAnotherInstance(t *testing.T) {
	peer := newTestNode(t, &unavailableStore{MemStore: cfstandin.NewMemStore()})
	peer.startedAt -= 60_000
	peer.candidate.observe(8, cflease.Holder{Entry: "y", Term: 8, Addr: "127.0.0.1:1"})
	addr := servePeers(t, peer)
	n := newFollower(t, addr, 9)
	pollUntil := func(done func() bool) {
		t.Helper()
		for deadline := time.Now().Add(10 * time.Second); !done(); time.Sleep(5 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatal("the peer's answer has not arrived after 10 s")
			}
			n.receiveUncertainAnswer()
		}
	}
	peer.watchers.Store(peer.startWatchers()) // The peer queries the store, which does not answer.
	pollUntil(func() bool { return n.feed.outageConfirmedAt.Load() > 0 })
	peer.feed.asOf.Store(int64(cf.Uptime()) + 60_000)
	pollUntil(func() bool { return n.feed.outageConfirmedAt.Load() == 0 && n.feed.outageDeniedAt.Load() > 0 })
	if h, _ := n.candidate.holder(); h.Entry != "y" {
		t.Errorf("the holder is %s, want y, which the peer knows", h.Entry)
	}
}

// newFollower returns a node that follows a holder x; each of the other instances is reached at
// addr.
func newFollower(t *testing.T, addr string, others int) *Node {
	t.Helper()
	n := newTestNode(t, cfstandin.NewMemStore())
	var members []cfmember.Entry
	for i := range others {
		members = append(members, cfmember.Entry{ID: cf.EntryID(fmt.Sprint("strong-", i)), Capacity: 9, PeerAddr: addr})
	}
	n.members.Apply(cfmember.RosterUpdate{Full: true, Entries: members})
	n.candidate.observe(5, cflease.Holder{Entry: "x", Term: 5, Addr: "127.0.0.1:1"})
	return n
}

// receiveUncertainAnswer simulates an answer of x that it has no current view, and lets the node
// ask another instance.
func (n *Node) receiveUncertainAnswer() {
	n.feed.outageAskedAt.Store(0)
	_ = n.applyFeed(feedAnswer{Holder: cflease.Holder{Entry: "x", Term: 5}, Rev: 5, Uncertain: true}, cf.Uptime(), cf.Uptime())
}

// servePeers serves a node's handler for other instances and returns its address.
func servePeers(t *testing.T, n *Node) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: n.PeerHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(l) }() // ends with the server
	t.Cleanup(func() { _ = srv.Close() })
	return l.Addr().String()
}
