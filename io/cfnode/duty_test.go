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

// noRelay reaches no other instance.
type noRelay struct{}

func (noRelay) SetRelay(func(context.Context, cf.Millis, bool, any, any) error) {}
func (noRelay) HandleRelayed(context.Context, []byte) (any, error)              { return nil, cf.ErrRefused }

func newTestNode(t *testing.T, store cf.Store) *Node {
	t.Helper()
	s := Settings{Entry: "a", Listen: ListenSettings{Peers: "127.0.0.1:1"}, Bounds: Bounds{GraceS: 1, KeepResultsS: 1, LeaseMs: 3000}, Members: MemberSettings{HubsFrom: cfmember.DefaultHubThreshold}}
	n := New(s, Adapter{Store: store, Codec: cfstandin.Codec{}, Relay: noRelay{}}, prometheus.NewRegistry(), zap.NewNop())
	t.Cleanup(func() { _ = n.Close() })
	return n
}

// Symptom: the duty stays at an instance that has given it to a stronger one, and
// each of its tries stops all runs.
// Sequence: the holder releases its lease to a named successor; before that one
// has looked at the store, the holder looks itself.
// Cause: it took the lease for its own from before a restart.
func TestReleasedDutyIsLeftToItsSuccessor(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	n := newTestNode(t, store)
	n.candidate.write(ctx)
	if !n.candidate.held || !n.candidate.release(ctx, "b") {
		t.Fatal("the lease was not taken and released")
	}
	n.candidate.doubt()
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
		t.Errorf("the lease is %+v", h)
	}
}

// Symptom: callers are sent to a machine that has been off for fifteen seconds.
// Sequence: an instance takes the duty over, with the list of instances that the
// holder before had told it; one of them is dead and drops out; the instance loses
// the duty and takes it again.
// Cause: it began with the same list once more, as if all in it had just been
// heard of.
func TestDeadInstancesStayForgottenWhenTheDutyReturns(t *testing.T) {
	n := newTestNode(t, cfstandin.NewMemStore())
	n.members.Apply(cfmember.RosterUpdate{Full: true, Entries: []cfmember.Entry{{ID: "dead", Addr: "10.0.0.9:1", Ready: true}}})
	names := func() bool {
		for _, e := range n.Live() {
			if e.ID == "dead" {
				return true
			}
		}
		return false
	}
	n.beginDuty(cflease.Holder{}, nil)
	if !names() {
		t.Fatal("the list of the holder before is not taken")
	}
	for deadline := time.Now().Add(20 * time.Second); names(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the dead instance never drops out")
		}
	}
	n.endDuty()
	n.beginDuty(cflease.Holder{}, nil)
	if names() {
		t.Error("the dead instance is named again")
	}
	n.endDuty()
}

// Symptom: after an outage of the store a coordinator renews its lease 2.5 s late,
// and all instances list and watch for themselves meanwhile.
// Load: the store is away for all; each call is passed on to others in vain, for as
// long as a call may take.
// Cause: the pause after such a call was short, whatever the calls before it came to.
func TestCallsThatNobodyCanRelayArePassedOnLessAndLess(t *testing.T) {
	var r relays
	tries := 0
	for now := cf.Millis(0); now < 10000; now += 100 {
		if !r.resting(now) {
			tries++
			r.failed(now)
		}
	}
	if tries > 9 {
		t.Errorf("%d calls were passed on in vain within 10 s", tries)
	}
	r.worked("a", 20000)
	r.failed(20000)
	if !r.resting(20100) || r.resting(20300) {
		t.Error("one failure after a success costs more than the first pause")
	}
}
