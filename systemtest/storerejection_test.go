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

// visibilityDelay is the time after an acceptance, or after a read of a result, by which all
// instances must know of it.
const visibilityDelay = time.Second

// batchReaders reads batches at all instances repeatedly and checks that no instance denies what
// was accepted or read before.
type batchReaders struct {
	*deployment
	mu      sync.Mutex
	batches []*observedBatch
}

// observedBatch is a batch with the results that were read so far.
type observedBatch struct {
	batch
	accepted time.Time
	results  []result
	readAt   []time.Time
}

func (r *batchReaders) add(b batch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches = append(r.batches, &observedBatch{batch: b, accepted: time.Now()})
}

// run reads at one instance until ctx ends.
func (r *batchReaders) run(ctx context.Context, e *entry, seed uint64) {
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
			r.checkBody(e, b, b.Items[random.IntN(len(b.Items))])
		} else {
			r.checkPage(e, b, at, time.Duration(random.IntN(2))*300*time.Millisecond)
		}
	}
}

func (r *batchReaders) checkPage(e *entry, b *observedBatch, at int, wait time.Duration) {
	sent := time.Now()
	p, answer, err := e.readResults(b.id, at, wait)
	if err != nil || answer.status == http.StatusServiceUnavailable || answer.status == http.StatusGatewayTimeout {
		return // the instance cannot answer reliably
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case answer.status != http.StatusOK:
		if sent.Sub(b.accepted) > visibilityDelay {
			r.t.Errorf("%s answers with status %d for %s, which was accepted %s before", e.id, answer.status, b.id, sent.Sub(b.accepted))
		}
		return
	case p.Total != len(b.Items) || p.Next != at+len(p.Results):
		r.t.Errorf("%s: total %d, want %d; next position %d after position %d with %d results", e.id, p.Total, len(b.Items), p.Next, at, len(p.Results))
	case len(p.Results) == 0 && at < len(b.results) && sent.Sub(b.readAt[at]) > visibilityDelay:
		r.t.Errorf("%s has no result at position %d of %s, which was read %s before", e.id, at, b.id, sent.Sub(b.readAt[at]))
	}
	for i, x := range p.Results {
		switch n := at + i; {
		case n == len(b.results):
			b.results, b.readAt = append(b.results, x), append(b.readAt, time.Now())
		case n < len(b.results) && fmt.Sprint(b.results[n]) != fmt.Sprint(x):
			r.t.Errorf("%s: result at position %d of %s is %v, was %v", e.id, n, b.id, x, b.results[n])
		}
	}
}

func (r *batchReaders) checkBody(e *entry, b *observedBatch, it item) {
	sent := time.Now()
	answer, err := e.do(http.MethodGet, "/currantford/items/"+b.id+"?id="+it.ID, "", nil)
	switch {
	case err != nil || sent.Sub(b.accepted) < visibilityDelay:
	case answer.status == http.StatusNotFound || answer.status == http.StatusGone:
		r.t.Errorf("%s answers with status %d for the body of %s", e.id, answer.status, it.ID)
	case answer.status == http.StatusOK && !bytes.Equal(answer.body, it.Body):
		r.t.Errorf("%s returned a wrong body of %s", e.id, it.ID)
	}
}

// TestBatchesWhileStoreRejectsInstances guards against an accepted batch, a result that was read,
// or an item's body that is denied by an instance whose store calls are rejected. It also guards
// against an item that is not completed after the coordinator's store calls are rejected and, in
// the cases with replaced set, the coordinator is killed as well. Meanwhile the configuration
// changes and an engine is drained.
func TestBatchesWhileStoreRejectsInstances(t *testing.T) {
	for name, rejection := range map[string]standin.Rejection{
		"busy": standin.RejectBusy, "limited": standin.RejectLimited, "reset": standin.RejectReset, "silent": standin.RejectNoResponse,
	} {
		for _, replaced := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/replaced=%v", name, replaced), func(t *testing.T) {
				t.Parallel()
				o := options{entries: 6, engines: 6, models: []string{"m0", "m1"}, storeProxies: true, eventInterval: 15 * time.Millisecond}
				if replaced {
					o.cores = weakCores // instances hold streams for each other
				} else {
					o.policy = map[string]any{"no_store_relay": true} // no instance can relay store calls for another
				}
				s := startDeployment(t, o)
				playRejections(t, s, rejection, replaced)
			})
		}
	}
}

// playRejections submits a step every 300 ms while batches are read at all instances. It rejects
// the store calls of half of the instances, and then those of the coordinator alone, which is
// killed if replaced is set.
func playRejections(t *testing.T, s *deployment, rejection standin.Rejection, replaced bool) {
	s.awaitMembership()
	r := &batchReaders{deployment: s}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i, e := range s.entries {
		wg.Go(func() { r.run(ctx, e, uint64(i)) })
	}
	n := 0
	submit := func() {
		b := newStep(fmt.Sprintf("b%d", n), fmt.Sprintf("m%d", n%2), 3, 4, 10+n%20)
		for i := range b.Items {
			b.Items[i].Body = bytes.Repeat([]byte{byte(i)}, 3000) // the bodies are stored in parts
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
			e.storeProxy.SetRejection(rejection)
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
		e.storeProxy.SetRejection(standin.RejectNone)
	}
	c := s.coordinator()
	c.storeProxy.SetRejection(rejection)
	submit()
	if replaced {
		c.kill()
	}
	for range 5 {
		submit()
	}
	c.storeProxy.SetRejection(standin.RejectNone)
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
		t.Errorf("%d of %d steps were accepted", len(r.batches), n)
	}
	for _, b := range r.batches {
		s.checkResults(b.batch, b.results)
	}
}

// TestCoordinatorRelaysThroughConnectedInstance guards against a step whose runs start again
// because the lease moves while the store rejects the calls of the coordinator and of all other
// instances but one.
func TestCoordinatorRelaysThroughConnectedInstance(t *testing.T) {
	t.Parallel()
	s := startDeployment(t, options{entries: 6, engines: 3, storeProxies: true, eventInterval: 60 * time.Millisecond})
	s.awaitMembership()
	b := newStep("b1", "m0", 3, 4, 60)
	s.submitUntilAccepted(b)
	s.awaitRuns(b)
	c, connected := s.coordinator(), s.nonCoordinator()
	for _, e := range s.entries {
		if e != connected {
			e.storeProxy.SetRejection(standin.RejectLimited)
		}
	}
	s.readAll(b)
	if after := s.coordinator(); after != c {
		t.Errorf("the lease moved from %s to %s", c.id, after.id)
	}
	s.checkRanOnce()
}
