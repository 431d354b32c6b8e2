package systemtest

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"currantford/platform/standin"
)

// settle is how long after an acceptance, or a read, all instances must know of it.
const settle = time.Second

// readers read batches at all instances, over and over, and check that nothing which was
// accepted or read is denied by any.
type readers struct {
	*site
	mu      sync.Mutex
	batches []*readBatch
}

// readBatch is a batch with what was read of it.
type readBatch struct {
	batch
	accepted time.Time
	results  []result
	readAt   []time.Time
}

func (r *readers) add(b batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches = append(r.batches, &readBatch{batch: b, accepted: time.Now()})
}

// run reads at one instance until ctx ends.
func (r *readers) run(ctx context.Context, e *entry, seed uint64) {
	random := rand.New(rand.NewPCG(seed, 1))
	for ctx.Err() == nil {
		time.Sleep(30 * time.Millisecond)
		r.mu.Lock()
		if len(r.batches) == 0 {
			r.mu.Unlock()
			continue
		}
		b := r.batches[random.IntN(len(r.batches))]
		at := random.IntN(len(b.results) + 1)
		r.mu.Unlock()
		if random.IntN(3) == 0 {
			r.body(e, b, b.Items[random.IntN(len(b.Items))])
		} else {
			r.page(e, b, at, time.Duration(random.IntN(2))*300*time.Millisecond)
		}
	}
}

func (r *readers) page(e *entry, b *readBatch, at int, wait time.Duration) {
	sent := time.Now()
	p, answer, err := e.read(b.id, at, wait)
	if err != nil || answer.status == http.StatusServiceUnavailable || answer.status == http.StatusGatewayTimeout {
		return // it can't be sure
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answer.status != http.StatusOK:
		if sent.Sub(b.accepted) > settle {
			r.t.Errorf("%s answers %d for %s, accepted %s before", e.id, answer.status, b.id, sent.Sub(b.accepted))
		}
		return
	case p.Total != len(b.Items) || p.Next != at+len(p.Results):
		r.t.Errorf("%s: total %d of %d, next %d after %d and %d results", e.id, p.Total, len(b.Items), p.Next, at, len(p.Results))
	case len(p.Results) == 0 && at < len(b.results) && sent.Sub(b.readAt[at]) > settle:
		r.t.Errorf("%s has nothing at position %d of %s, which was read %s before", e.id, at, b.id, sent.Sub(b.readAt[at]))
	}
	for i, x := range p.Results {
		switch n := at + i; {
		case n == len(b.results):
			b.results, b.readAt = append(b.results, x), append(b.readAt, time.Now())
		case n < len(b.results) && fmt.Sprint(b.results[n]) != fmt.Sprint(x):
			r.t.Errorf("%s: position %d of %s is %v, was %v", e.id, n, b.id, x, b.results[n])
		}
	}
}

func (r *readers) body(e *entry, b *readBatch, it item) {
	sent := time.Now()
	answer, err := e.do(http.MethodGet, "/currantford/items/"+b.id+"?id="+it.ID, "", nil)
	switch {
	case err != nil || sent.Sub(b.accepted) < settle:
	case answer.status == http.StatusNotFound || answer.status == http.StatusGone:
		r.t.Errorf("%s answers %d for the body of %s", e.id, answer.status, it.ID)
	case answer.status == http.StatusOK && !bytes.Equal(answer.body, it.Body):
		r.t.Errorf("%s: another body of %s", e.id, it.ID)
	}
}

// Guards against: an accepted batch, a result that was read, or an item's body that is denied
// by an instance which the store turns away, or an item that is left when the coordinator is
// turned away, or lost besides (replaced). The configuration changes meanwhile and an engine leaves.
func TestBatchesWhileTheStoreTurnsInstancesAway(t *testing.T) {
	for name, how := range map[string]standin.Rejection{
		"busy": standin.RejectBusy, "limited": standin.RejectLimited, "reset": standin.RejectReset, "silent": standin.RejectNoResponse,
	} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/replaced=%v", name, replaced), func(t *testing.T) {
				t.Parallel()
				o := options{entries: 6, engines: 6, models: []string{"m0", "m1"}, gates: true, event: 15 * time.Millisecond}
				if replaced {
					o.cores = weak // they hold streams for each other
				} else {
					o.policy = map[string]any{"no_store_relay": true} // nobody can pass calls on
				}
				s := startSite(t, o)
				rejectedDay(t, s, how, replaced)
			})
		}
	}
}

// rejectedDay hands in a step every 300 ms, turns half of the instances away and then the
// coordinator alone, which is killed if replaced, and reads all the while.
func rejectedDay(t *testing.T, s *site, how standin.Rejection, replaced bool) {
	s.awaitMembers()
	r := &readers{site: s}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, e := range s.entries {
		wg.Go(func() { r.run(ctx, e, uint64(i)) })
	}
	n := 0
	submit := func() {
		b := step(fmt.Sprintf("b%d", n), fmt.Sprintf("m%d", n%2), 3, 4, 10+n%20)
		for i := range b.Items {
			b.Items[i].Body = bytes.Repeat([]byte{byte(i)}, 3000) // they lie in parts
		}
		for try := range 40 {
			if s.entries[(n+try)%len(s.entries)].submit(b).status == http.StatusAccepted {
				r.add(b)
				break
			}
		}
		n++
		time.Sleep(300 * time.Millisecond)
	}
	submit()
	for i, e := range s.entries {
		if i%2 == 0 {
			e.storeGate.SetRejection(how)
		}
	}
	for i := range 8 {
		if i < 4 {
			s.config["version"] = s.config["version"].(int) + 1
			s.store.Put("config", "main", s.config)
		}
		if i == 2 {
			s.engines[0].Drain()
		}
		submit()
	}
	for _, e := range s.entries {
		e.storeGate.SetRejection(standin.RejectNone)
	}
	c := s.coordinator()
	c.storeGate.SetRejection(how)
	submit()
	if replaced {
		c.kill()
	}
	for range 5 {
		submit()
	}
	c.storeGate.SetRejection(standin.RejectNone)
	eventually(t, "all results", func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, b := range r.batches {
			if len(b.results) < len(b.Items) {
				return false
			}
		}
		return true
	})
	cancel()
	wg.Wait()
	if len(r.batches) != n {
		t.Errorf("%d of %d steps accepted", len(r.batches), n)
	}
	for _, b := range r.batches {
		s.check(b.batch, b.results)
	}
}

// Guards against: a step whose runs begin again, as the duty moves while the store turns the
// coordinator and most others away.
func TestCoordinatorFindsTheInstanceThatReachesTheStore(t *testing.T) {
	t.Parallel()
	s := startSite(t, options{entries: 6, engines: 3, gates: true, event: 60 * time.Millisecond})
	s.awaitMembers()
	b := step("b1", "m0", 3, 4, 60)
	s.accept(b)
	s.awaitRuns(b)
	c, open := s.coordinator(), s.other()
	for _, e := range s.entries {
		if e != open {
			e.storeGate.SetRejection(standin.RejectLimited)
		}
	}
	s.readAll(b)
	if after := s.coordinator(); after != c {
		t.Errorf("the duty moved from %s to %s", c.id, after.id)
	}
	s.checkRunOnce()
}
