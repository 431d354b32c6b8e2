package cfcoord

import (
	"fmt"
	"testing"

	cf "currantford"
)

func TestPreparedArrivesEitherWay(t *testing.T) {
	p := newPrepared()
	sub := cf.Submission{ID: "b", Accepted: 7}
	if _, known := p.offer(sub); known {
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
	p.accept("b", 7)
	if at, known := p.offer(sub); !known || at != 7 {
		t.Errorf("the word that came first: %v %v", at, known)
	}
	for i := range 3 * preparedMost {
		p.offer(cf.Submission{ID: cf.BatchID(fmt.Sprint(i))})
		p.accept(cf.BatchID(fmt.Sprint(i)), 1)
	}
	if len(p.batches) > preparedMost || len(p.accepted) > preparedMost {
		t.Errorf("%d batches and %d acceptances wait", len(p.batches), len(p.accepted))
	}
}
