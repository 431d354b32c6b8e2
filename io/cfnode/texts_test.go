package cfnode

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/core/cfrollout"
	"currantford/io/cfcoord"
	"currantford/testbed/cfstandin"
)

// slowConn writes at the rate of a link of 60 Mbit/s.
type slowConn struct{ net.Conn }

func (c slowConn) Write(b []byte) (int, error) {
	const bytesPerMs = 7500
	time.Sleep(time.Duration(len(b)) * time.Millisecond / bytesPerMs)
	return c.Conn.Write(b)
}

type slowListener struct{ net.Listener }

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return slowConn{c}, err
}

// TestLargeTextsAreGatheredOverASlowLink guards against all texts starting again after the loss of
// a coordinator, with steps that take 11 s, although a neighbour had copies. Steps of 4 MB are in
// progress when the coordinator's machine is lost, and the successor's link carries 60 Mbit/s.
// Texts that came with the first answers would exceed their timeout of 0.3 s, which does not depend
// on the size.
func TestLargeTextsAreGatheredOverASlowLink(t *testing.T) {
	holder, successor := newTestNode(t, cfstandin.NewMemStore()), newTestNode(t, cfstandin.NewMemStore())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: holder.PeerHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(slowListener{ln}) }()
	t.Cleanup(func() { _ = srv.Close() })

	const texts, events, size = 160, 100, 260
	part := cfcoord.Mirror{Term: 3, Texts: map[cf.ItemID]cfrollout.Text{}}
	for i := range texts {
		var text cfrollout.Text
		for e := range events {
			if err := text.Append(cf.StreamEvent{ID: cf.EventID(e + 1), Data: strings.Repeat("x", size), Version: 1}); err != nil {
				t.Fatal(err)
			}
		}
		part.Texts[cf.ItemID(fmt.Sprint(i))] = text
	}
	holder.replicas.received.Apply(part)

	members := []cfmember.Entry{{ID: "b", PeerAddr: ln.Addr().String()}}
	got := successor.gatherTexts(context.Background(), cflease.Holder{Entry: "gone", Addr: "127.0.0.1:1"}, members)
	if len(got) != texts {
		t.Errorf("%d of %d texts were gathered", len(got), texts)
	}
	// An instance that was cut off until now only knows the addresses in the lease.
	got = successor.gatherTexts(context.Background(), cflease.Holder{Entry: "gone", Addr: "127.0.0.1:1", ReplicaAddr: ln.Addr().String()}, nil)
	if len(got) != texts {
		t.Errorf("%d of %d texts were gathered with only the addresses in the lease", len(got), texts)
	}
}

// TestDutyGoesToASuccessorThatAnswers guards against a duty without a holder for a second after a
// planned stop, and all texts starting again. The youngest instance with high capacity has just
// been cut off when the stopping coordinator chooses its successor.
func TestDutyGoesToASuccessorThatAnswers(t *testing.T) {
	n := newTestNode(t, cfstandin.NewMemStore())
	peer := newTestNode(t, cfstandin.NewMemStore())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: peer.PeerHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	silent, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and sends nothing
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	now := cf.Uptime()
	n.members.RecordReport(cfmember.Entry{ID: "cut", PeerAddr: silent.Addr().String(), Ready: true, Age: 1000}, nil, now)
	n.members.RecordReport(cfmember.Entry{ID: "old", PeerAddr: ln.Addr().String(), Ready: true, Age: 60000}, nil, now)
	if e := n.successor(); e.ID != "cut" {
		t.Fatalf("the first choice is %q, want cut", e.ID)
	}
	if e := n.reachableSuccessor(context.Background()); e.ID != "old" {
		t.Errorf("the successor is %q, want old", e.ID)
	}
}

// TestSuccessorStartsWithTheLearnedLoads guards against engines that are behind the ordered weights
// for ten seconds after each change of the coordinator, so that steps wait for them. 44 engines may
// load nine at a time, and the coordinator that has learned this limit is lost; a successor that
// does not inherit it would start with two at a time.
func TestSuccessorStartsWithTheLearnedLoads(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	n := newTestNode(t, store)
	n.candidate.write(ctx)
	n.candidate.dutyState = func() (int, string, json.RawMessage) { return 9, "10.0.0.7:1", nil }
	n.candidate.write(ctx) // a renewal
	successor := newTestNode(t, store)
	successor.candidate.probe(ctx)
	previous, _ := successor.candidate.holder()
	if previous.MaxLoads != 9 || previous.ReplicaAddr != "10.0.0.7:1" {
		t.Fatalf("the lease holds %d loads and replica address %q", previous.MaxLoads, previous.ReplicaAddr)
	}
	successor.beginDuty(previous, nil)
	if loads, _, _ := successor.dutyState(); loads != 9 {
		t.Errorf("the successor starts with %d loads, want 9", loads)
	}
	successor.endDuty()
}
