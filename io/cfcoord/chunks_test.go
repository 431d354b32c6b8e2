package cfcoord

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/testbed/cfstandin"
)

type (
	// unansweredStore does not answer the first two writes of results. The first of them has no
	// effect, and the second one takes effect. From then on it counts the lists of results.
	unansweredStore struct {
		*cfstandin.MemStore
		writes atomic.Int64
		lists  atomic.Int64
	}

	// oneEventTargets generate a text of one event at once.
	oneEventTargets struct{ countingTargets }
)

func (s *unansweredStore) Create(ctx context.Context, kind, name string, spec any) (cf.Record, error) {
	if !strings.Contains(kind, "results") {
		return s.MemStore.Create(ctx, kind, name, spec)
	}
	switch s.writes.Add(1) {
	case 1:
		return cf.Record{}, cf.ErrUnavailable
	case 2:
		_, _ = s.MemStore.Create(ctx, kind, name, spec)
		return cf.Record{}, cf.ErrUnavailable
	default:
		return s.MemStore.Create(ctx, kind, name, spec)
	}
}

func (s *unansweredStore) List(ctx context.Context, kind string) (cf.Records, error) {
	if strings.Contains(kind, "results") && s.writes.Load() > 0 {
		s.lists.Add(1)
	}
	return s.MemStore.List(ctx, kind)
}

func (*oneEventTargets) Stream(_ context.Context, _ cf.Target, _ cf.TargetCall, sink cf.StreamSink) (cf.TargetAnswer, error) {
	if err := sink.Event(cf.StreamEvent{ID: 1, Data: "x", Version: 1}); err != nil {
		return cf.TargetAnswer{}, err
	}
	return cf.TargetAnswer{Status: 200}, nil
}

func (c *Coordinator) batchesListed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.takeover.listed
}

// TestUnansweredWriteRereadsOnlyItsChunk guards against listing the results of a complete step two
// seconds late while the coordinator reaches the store through another instance. A chunk's write is
// not answered and has no effect; the next one is not answered either but takes effect. After each
// of them, only the chunk of that write may be read again: all chunks of the batch together are a
// megabyte or more, over a link that is already congested.
func TestUnansweredWriteRereadsOnlyItsChunk(t *testing.T) {
	ctx := context.Background()
	store := &unansweredStore{MemStore: cfstandin.NewMemStore()}
	c := startCoordinator(t, store, &oneEventTargets{})
	// A batch that is in the initial list counts as one of a predecessor, whose chunks are read
	// again for another reason.
	for deadline := time.Now().Add(20 * time.Second); !c.batchesListed(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the batches from before the term are not listed")
		}
	}
	sub := cf.Submission{ID: "b", Host: "h", Path: "/", Model: "m", MinVersion: 1, TargetGroups: 1, Items: []cf.Item{{ID: "1"}, {ID: "2"}}}
	if err := cfbatch.Create(ctx, store, sub, 1<<20); err != nil {
		t.Fatal(err)
	}
	var page cf.ResultPage
	for deadline := time.Now().Add(20 * time.Second); len(page.Results) < 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d of 2 results are listed", len(page.Results))
		}
		if p, err := c.Results(ctx, "b", 0, 0); err == nil {
			page = p
		}
	}
	stored, err := store.MemStore.List(ctx, cf.KindResults("b"))
	if err != nil {
		t.Fatal(err)
	}
	b := cfbatch.New(sub)
	if err := b.ApplyAll(stored.Items); err != nil || b.ListedCount() != 2 {
		t.Errorf("the store holds %d of 2 results, error %v", b.ListedCount(), err)
	}
	if n := store.lists.Load(); n > 0 {
		t.Errorf("all chunks were read %d times, want 0", n)
	}
}
