package cfnode

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	cf "currantford"
	"currantford/core/cflease"
	"currantford/core/cfmember"
	"currantford/testbed/cfstandin"
)

// awayStore answers nothing, and counts what it is asked.
type awayStore struct {
	*cfstandin.MemStore
	asked atomic.Int64
}

func (s *awayStore) Get(context.Context, string, string) (cf.Record, error) {
	s.asked.Add(1)
	return cf.Record{}, cf.ErrUnavailable
}

func (s *awayStore) Replace(context.Context, string, string, cf.Revision, any) (cf.Record, error) {
	s.asked.Add(1)
	return cf.Record{}, cf.ErrUnavailable
}

// Symptom: the store is asked 360 times a second while it is away, and 1,200 times in the two
// seconds of its return.
// Sequence: an outage on a deployment of 72 instances, of which each notices that the
// coordinator has no news.
// Cause: each looked after the store by itself, as one does on a deployment of seven.
func TestOutagesAreLeftToScouts(t *testing.T) {
	ctx := context.Background()
	var members []cfmember.Entry
	for i := range 40 {
		members = append(members, cfmember.Entry{ID: cf.EntryID(fmt.Sprint("strong-", i)), Capacity: 9})
	}
	for _, c := range []struct {
		name    string
		members []cfmember.Entry
		silent  cf.Millis // since the last current word
		alive   bool      // the coordinator answers
		asks    bool
	}{
		{"small deployment", members[:7], 1000, true, true},
		{"large, a moment", members, 1000, false, false},
		{"large, coordinator silent", members, 1600, false, true},
		{"large, coordinator has no news", members, 5000, true, false},
		{"large, no news for long", members, 9000, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			store := &awayStore{MemStore: cfstandin.NewMemStore()}
			n := newTestNode(t, store)
			now := cf.Uptime()
			n.started = now - 60_000
			n.feed.members = c.members
			n.feed.heard.Store(int64(now - c.silent))
			if c.alive {
				n.candidate.heard()
			}
			n.candidate.observe(5, cflease.Holder{Entry: "strong-0", Term: 1})
			if got := n.alone(now); got != c.asks {
				t.Errorf("watches the store itself: %v, want %v", got, c.asks)
			}
			n.candidate.step(ctx)
			if got := store.asked.Load() > 0; got != c.asks {
				t.Errorf("reads the lease: %v, want %v", got, c.asks)
			}
			asked := store.asked.Load()
			n.candidate.step(ctx)
			if store.asked.Load() > asked {
				t.Error("reads it again at once")
			}
		})
	}
	// A starting instance has heard nothing; it waits for the coordinator that the lease
	// names.
	n := newTestNode(t, cfstandin.NewMemStore())
	if n.alone(cf.Uptime()) {
		t.Error("a starting instance lists all targets before it has asked the coordinator")
	}
	n.started -= startGrace
	if !n.alone(cf.Uptime()) {
		t.Error("one that hears nothing does not look by itself")
	}
}

// Symptom: after each change of the coordinator all instances read the lease, and some hear
// nothing for a second.
// Sequence: a new holder tells those next to it; each passes it on once.
func TestTheHolderIsTold(t *testing.T) {
	n := newTestNode(t, cfstandin.NewMemStore())
	n.candidate.observe(5, cflease.Holder{Entry: "x", Term: 5})
	for _, m := range []holderMessage{
		{cflease.Holder{Entry: "y", Term: 8}, 8},
		{cflease.Holder{Entry: "x", Term: 5}, 6}, // late word of the one before
	} {
		if _, err := n.serveHolder(context.Background(), m); err != nil {
			t.Fatal(err)
		}
	}
	if h, rev := n.candidate.holder(); h.Entry != "y" || rev != 8 {
		t.Errorf("holder %s at %d, want y at 8", h.Entry, rev)
	}
}
