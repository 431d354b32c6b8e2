package cfbatch_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

// TestStartGateWaitsForPredecessors guards against a batch that starts while it is not yet known
// that its predecessor, which has the same items, has ended.
func TestStartGateWaitsForPredecessors(t *testing.T) {
	const startTimeout cf.Millis = 1000
	for _, c := range []struct {
		name string
		// endKnownAt and notEndedAt hold, for each of two predecessors, when its end becomes known
		// and when the store answers that it has not ended. Zero means never.
		endKnownAt, notEndedAt [2]cf.Millis
		startsAt               cf.Millis
	}{
		{"no predecessors left", [2]cf.Millis{1, 1}, [2]cf.Millis{}, 1},
		{"the end becomes known", [2]cf.Millis{1, 30}, [2]cf.Millis{}, 30},
		{"both ends become known", [2]cf.Millis{70, 30}, [2]cf.Millis{}, 70},
		{"neither has ended", [2]cf.Millis{}, [2]cf.Millis{20, 40}, 40},
		{"one has ended and one has not", [2]cf.Millis{90, 0}, [2]cf.Millis{0, 20}, 90},
		{"the store is unavailable", [2]cf.Millis{50, 0}, [2]cf.Millis{}, 1 + startTimeout},
	} {
		var s cfbatch.StartGate
		queries := map[cf.BatchID]int{}
		ids := []cf.BatchID{"a", "b"}
		for now := cf.Millis(1); ; now++ {
			var predecessors []cf.BatchID
			for i, id := range ids {
				if c.endKnownAt[i] == 0 || now < c.endKnownAt[i] {
					predecessors = append(predecessors, id)
				}
				if now == c.notEndedAt[i] {
					s.MarkOpen(id)
				}
			}
			begin, query := s.Check(predecessors, now)
			for _, id := range query {
				queries[id]++
			}
			if begin {
				if now != c.startsAt {
					t.Errorf("%s: started at %d, want %d", c.name, now, c.startsAt)
				}
				break
			}
			if now > 2*startTimeout {
				t.Fatalf("%s: did not start", c.name)
			}
		}
		for id, n := range queries {
			if n != 1 {
				t.Errorf("%s: the store was queried for batch %s %d times, want once", c.name, id, n)
			}
		}
	}
}

func TestSharesItems(t *testing.T) {
	a, b := cfbatch.New(submission(3, 2)), cfbatch.New(submission(1, 1))
	other := cfbatch.New(cf.Submission{Items: []cf.Item{{ID: "x"}}})
	if !a.SharesItems(b) || !b.SharesItems(a) || a.SharesItems(other) || other.SharesItems(a) {
		t.Error("SharesItems is wrong for a pair of batches")
	}
}
