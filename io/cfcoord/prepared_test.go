package cfcoord

import (
	"fmt"
	"testing"

	cf "currantford"
)

func TestPreparedBatchAndAcceptanceInEitherOrder(t *testing.T) {
	p := newPreparedBatches()
	sub := cf.Submission{ID: "b", Accepted: 7}
	if _, known := p.add(sub); known {
		t.Error("accepted before anybody said so")
	}
	if _, ok := p.take("b", 8); ok {
		t.Error("taken for another acceptance")
	}
	if got, ok := p.take("b", 7); !ok || got.ID != "b" {
		t.Error("not taken")
	}
	if _, ok := p.take("b", 7); ok {
		t.Error("taken twice")
	}
	p.recordAcceptance("b", 7)
	if at, known := p.add(sub); !known || at != 7 {
		t.Errorf("the word that came first: %v %v", at, known)
	}
	for i := range 3 * maxPrepared {
		p.add(cf.Submission{ID: cf.BatchID(fmt.Sprint(i))})
		p.recordAcceptance(cf.BatchID(fmt.Sprint(i)), 1)
	}
	if len(p.batches) > maxPrepared || len(p.accepted) > maxPrepared {
		t.Errorf("%d batches and %d acceptances wait", len(p.batches), len(p.accepted))
	}
}
