package cfnode

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/testbed/cfstandin"
)

// noRelay is a relay that reaches no other instance.
type noRelay struct{}

func (noRelay) SetRelay(func(context.Context, cf.Millis, bool, any, any) error) {}
func (noRelay) HandleRelayed(context.Context, []byte) (any, error)              { return nil, cf.ErrRefused }

func newTestNode(t *testing.T, store cf.Store) *Node {
	t.Helper()
	s := Settings{Entry: "a", Listen: ListenSettings{Peers: "127.0.0.1:1"}, Bounds: Bounds{GraceS: 1, KeepResultsS: 1, LeaseMs: 3000}, Members: MemberSettings{HubThreshold: cfmember.DefaultHubThreshold}}
	n := New(s, Adapter{Store: store, Codec: cfstandin.Codec{}, Relay: noRelay{}}, prometheus.NewRegistry(), zap.NewNop())
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// TestReleasedLeaseIsLeftToTheSuccessor guards against an instance that keeps the duty after it has
// released the lease to a stronger one, so that each further handover stops all streams. The
// releasing instance reads the lease before the named successor does, and must not mistake it for
// its own lease from before a restart.
func TestReleasedLeaseIsLeftToTheSuccessor(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	n := newTestNode(t, store)
	n.candidate.write(ctx)
	if !n.candidate.held || !n.candidate.release(ctx, "b") {
		t.Fatal("the instance did not acquire and release the lease")
	}
	n.candidate.recordDenial()
	n.candidate.step(ctx)
	r, err := store.Get(ctx, cf.KindLease, leaseName)
	if err != nil {
		t.Fatal(err)
	}
	var h cflease.Holder
	if err := json.Unmarshal(r.Spec, &h); err != nil {
		t.Fatal(err)
	}
	if !h.Released || h.Successor != "b" || n.candidate.held {
		t.Errorf("after the release the lease is %+v, want one released to b and not held here", h)
	}
}

// TestReleaseLeavesTheLeaseOfAnother guards against two instances that order the same engines: one that
// was replaced while it lived releases the lease of its successor when it stops, and a third one takes it.
func TestReleaseLeavesTheLeaseOfAnother(t *testing.T) {
	ctx := t.Context()
	store := cfstandin.NewMemStore()
	n := newTestNode(t, store)
	n.candidate.write(ctx)
	held, err := store.Get(ctx, cf.KindLease, leaseName)
	if err != nil {
		t.Fatal(err)
	}
	taken, err := store.Replace(ctx, cf.KindLease, leaseName, held.Rev, leaseObject{Holder: cflease.Holder{Entry: "b", Term: held.Rev + 1, Addr: "127.0.0.1:2"}})
	if err != nil {
		t.Fatal(err)
	}
	n.candidate.applyRecord(taken) // by an answer of another instance, for example
	if !n.candidate.held {
		t.Fatal("the instance has given the duty up by itself")
	}
	if n.candidate.release(ctx, "c") {
		t.Error("the lease counts as released")
	}
	if now, err := store.Get(ctx, cf.KindLease, leaseName); err != nil || now.Rev != taken.Rev {
		t.Errorf("the lease is now %s, error %v; want it as its holder wrote it", now.Spec, err)
	}
}

// TestDeadInstancesStayRemovedWhenTheDutyReturns guards against callers being sent to a machine
// that has been off for fifteen seconds. An instance takes the duty over with the previous holder's
// list; a dead instance in it is removed; the instance loses the duty and takes it again. It must
// not start with the same list once more, as if all instances in it had just reported.
func TestDeadInstancesStayRemovedWhenTheDutyReturns(t *testing.T) {
	n := newTestNode(t, cfstandin.NewMemStore())
	n.members.Apply(cfmember.RosterUpdate{Full: true, Entries: []cfmember.Entry{{ID: "dead", Addr: "10.0.0.9:1", Ready: true}}})
	listed := func() bool {
		for _, e := range n.Live() {
			if e.ID == "dead" {
				return true
			}
		}
		return false
	}
	n.beginDuty(cflease.Holder{}, nil)
	if !listed() {
		t.Fatal("the instance does not use the previous holder's list")
	}
	for deadline := time.Now().Add(20 * time.Second); listed(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the dead instance is never removed from the list")
		}
	}
	n.endDuty()
	n.beginDuty(cflease.Holder{}, nil)
	if listed() {
		t.Error("the dead instance is listed again")
	}
	n.endDuty()
}

// TestFailedRelayCallsBackOff guards against a coordinator that renews its lease 2.5 s late after
// an outage of the store, while all instances list and watch for themselves. During the outage each
// call is relayed to no avail, for as long as a call may take; the pause after such calls must grow
// with their number.
func TestFailedRelayCallsBackOff(t *testing.T) {
	var r relayTable
	tries := 0
	for now := cf.Millis(0); now < 10000; now += 100 {
		if !r.paused(now) {
			tries++
			r.pause(now)
		}
	}
	if tries > 9 {
		t.Errorf("%d failed calls were relayed within 10 s, want at most 9", tries)
	}
	r.recordSuccess("a", 20000)
	r.pause(20000)
	if !r.paused(20100) || r.paused(20300) {
		t.Error("a failure after a success does not pause for the first interval")
	}
}
