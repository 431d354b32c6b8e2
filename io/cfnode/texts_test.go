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

// Symptom: after the loss of a coordinator all texts begin anew, and its steps take 11
// s, though a neighbour held copies.
// Sequence: steps of 4 MB are under way when the coordinator's machine is lost; the
// successor's link carries 60 Mbit/s.
// Cause: the texts came with the first answers, which were waited for for 0.3 s
// whatever their size.
func TestLargeTextsAreGatheredOverAWeakLink(t *testing.T) {
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
	holder.mirrors.held.Take(part)

	members := []cfmember.Entry{{ID: "b", PeerAddr: ln.Addr().String()}}
	got := successor.gatherTexts(context.Background(), cflease.Holder{Entry: "gone", Addr: "127.0.0.1:1"}, members)
	if len(got) != texts {
		t.Errorf("%d of %d texts were gathered", len(got), texts)
	}
	// One that was cut off until now knows nobody but what the lease says.
	got = successor.gatherTexts(context.Background(), cflease.Holder{Entry: "gone", Addr: "127.0.0.1:1", ReplicaAddr: ln.Addr().String()}, nil)
	if len(got) != texts {
		t.Errorf("%d of %d texts were gathered by the lease alone", len(got), texts)
	}
}

// Symptom: after a planned stop the duty is nobody's for a second, and all texts begin
// anew.
// Sequence: the youngest strong instance has just been cut off; the coordinator that
// stops names it as its successor.
func TestDutyGoesToASuccessorThatAnswers(t *testing.T) {
	n := newTestNode(t, cfstandin.NewMemStore())
	there := newTestNode(t, cfstandin.NewMemStore())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: there.PeerHandler(), ReadHeaderTimeout: time.Second}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	silent, err := net.Listen("tcp", "127.0.0.1:0") // takes connections and says nothing
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	now := cf.Uptime()
	n.members.RecordReport(cfmember.Entry{ID: "cut", PeerAddr: silent.Addr().String(), Ready: true, Age: 1000}, nil, now)
	n.members.RecordReport(cfmember.Entry{ID: "old", PeerAddr: ln.Addr().String(), Ready: true, Age: 60000}, nil, now)
	if e := n.successor(); e.ID != "cut" {
		t.Fatalf("the youngest is %q", e.ID)
	}
	if e := n.reachedSuccessor(context.Background()); e.ID != "old" {
		t.Errorf("the duty goes to %q", e.ID)
	}
}

// Symptom: for ten seconds after each change of the coordinator engines are behind the
// weights that were named, and steps wait for them.
// Sequence: 44 engines may load nine at a time; the coordinator that has learned it is
// lost.
// Cause: each successor began with two at a time.
func TestSuccessorBeginsWithTheLoadsThatWereLearned(t *testing.T) {
	ctx := context.Background()
	store := cfstandin.NewMemStore()
	n := newTestNode(t, store)
	n.candidate.write(ctx)
	n.candidate.state = func() (int, string, json.RawMessage) { return 9, "10.0.0.7:1", nil }
	n.candidate.write(ctx) // a renewal
	successor := newTestNode(t, store)
	successor.candidate.probe(ctx)
	before, _ := successor.candidate.holder()
	if before.MaxLoads != 9 || before.ReplicaAddr != "10.0.0.7:1" {
		t.Fatalf("the lease says %d loads, copies at %q", before.MaxLoads, before.ReplicaAddr)
	}
	successor.beginDuty(before, nil)
	if loads, _, _ := successor.dutyState(); loads != 9 {
		t.Errorf("the successor begins with %d loads", loads)
	}
	successor.endDuty()
}
