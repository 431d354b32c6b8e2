package cfcoord

import (
	"fmt"
	"testing"

	cf "currantford"
)

func TestPreparedBatchAndAcceptanceInEitherOrder(t *testing.T) {
	p := newPreparedBatches(0)
	sub := cf.Submission{ID: "b", Accepted: 7}
	if _, known := p.add(sub); known {
		t.Error("the batch counts as accepted before its acceptance")
	}
	if _, ok := p.take("b", 8); ok {
		t.Error("the batch is returned for another acceptance time")
	}
	if got, ok := p.take("b", 7); !ok || got.ID != "b" {
		t.Error("the batch is not returned")
	}
	if _, ok := p.take("b", 7); ok {
		t.Error("the batch is returned twice")
	}
	p.recordAcceptance("b", 7)
	if at, known := p.add(sub); !known || at != 7 {
		t.Errorf("an acceptance that arrived first: time %v, known %v, want 7, true", at, known)
	}
	for i := range 3 * maxPrepared {
		p.add(cf.Submission{ID: cf.BatchID(fmt.Sprint(i))})
		p.recordAcceptance(cf.BatchID(fmt.Sprint(i)), 1)
	}
	if len(p.batches) > maxPrepared || len(p.accepted) > maxPrepared {
		t.Errorf("%d batches and %d acceptances are kept", len(p.batches), len(p.accepted))
	}
}
