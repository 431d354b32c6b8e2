package cfcoord

import (
	"fmt"
	"strconv"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	cf "currantford"
	"currantford/core/cfbatch"
	"currantford/testbed/cfstandin"
)

// manyHeaders returns a batch whose items have very many short headers.
func manyHeaders(id string) cf.Submission {
	sub := cf.Submission{ID: cf.BatchID(id), Host: "h", Path: "/", Model: "m", MinVersion: 1, TargetGroups: 1, Accepted: cf.Now()}
	for i := range 4 {
		it := cf.Item{ID: cf.ItemID(fmt.Sprint(id, i)), Headers: map[string]string{}}
		for n := range 2000 {
			it.Headers[strconv.Itoa(n)] = ""
		}
		sub.Items = append(sub.Items, it)
	}
	return sub
}

// TestBatchesBeyondTheMemoryAreRefused guards against a coordinator that is killed for its memory use
// because of accepted batches whose items have very many short headers.
func TestBatchesBeyondTheMemoryAreRefused(t *testing.T) {
	site := engineSite(t)
	c := New(Options{
		Store: cfstandin.NewMemStore(), Targets: &countingTargets{}, Site: site, Codec: cfstandin.Codec{}, Lease: heldLease{}, MemoryBytes: 20 << 20,
		Metrics: NewMetrics(prometheus.NewRegistry()), Log: zap.NewNop(),
	})
	c.takeover.done, c.checksSince = true, cf.Uptime()-checkGrace
	accepted := 0
	for n := range 20 {
		sub := manyHeaders(fmt.Sprint("b", n))
		cost := cfbatch.Cost(&sub)
		if a := c.CheckBatch(sub, cost); a.Refused {
			if a.InDoubt || a.RetryAfter <= 0 {
				t.Fatalf("a new batch: %+v, want a refusal with a retry delay", a)
			}
			break
		}
		c.batches[sub.ID] = newBatchState(cfbatch.New(sub))
		if accepted++; int64(accepted)*cost > c.MemoryBytes/4 {
			t.Fatalf("%d batches of %d bytes were accepted", accepted, cost)
		}
	}
	if accepted == 0 {
		t.Fatal("no batch was accepted")
	}
	again := manyHeaders("b0")
	if a := c.CheckBatch(again, cfbatch.Cost(&again)); a.Refused {
		t.Error("a batch that was accepted before was refused")
	}
	next := manyHeaders("next")
	c.CheckBatch(next, cfbatch.Cost(&next))
	if a := c.CheckBatch(next, cfbatch.Cost(&next)); !a.Refused || !a.InDoubt {
		t.Errorf("a batch that another instance has just checked: %+v, want a refusal in doubt", a)
	}
	c.endBatch(c.batches["b0"])
	c.endBatch(c.batches["b1"])
	last := manyHeaders("last")
	if a := c.CheckBatch(last, cfbatch.Cost(&last)); a.Refused {
		t.Error("a batch was refused though others had ended")
	}
	kept := 0
	for _, st := range c.batches {
		if st.batch.Ended {
			kept++
		}
	}
	if kept > 1 {
		t.Errorf("%d ended batches are kept, want at most 1", kept)
	}
}

// TestPreparedBatchesAreBounded guards against batches that wait for their acceptance and take more
// memory than is left.
func TestPreparedBatchesAreBounded(t *testing.T) {
	sub := manyHeaders("a")
	cost := cfbatch.Cost(&sub)
	p := newPreparedBatches(3 * cost)
	for n := range 10 {
		p.add(manyHeaders(fmt.Sprint("b", n)))
		if p.cost > p.maxCost || len(p.batches) > 3 {
			t.Fatalf("%d batches of %d bytes wait, %d are allowed", len(p.batches), p.cost, p.maxCost)
		}
	}
	for id := range p.batches {
		p.remove(id)
	}
	if p.cost != 0 {
		t.Errorf("%d bytes are left in the account", p.cost)
	}
}
