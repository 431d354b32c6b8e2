package cfbatch_test

import (
	"testing"

	cf "currantford"
	"currantford/core/cfbatch"
)

// Guards against: a batch that begins beside one that has ended, whose word of the end is late.
func TestBatchWaitsForTheEndOfThoseBefore(t *testing.T) {
	const patience cf.Millis = 1000
	for _, c := range []struct {
		name string
		// ended and open are when the end of each batch before is known, and when the store
		// says that it is open; zero is never.
		ended, open [2]cf.Millis
		begins      cf.Millis
	}{
		{"none before", [2]cf.Millis{1, 1}, [2]cf.Millis{}, 1},
		{"word comes", [2]cf.Millis{1, 30}, [2]cf.Millis{}, 30},
		{"both words come", [2]cf.Millis{70, 30}, [2]cf.Millis{}, 70},
		{"one has not ended", [2]cf.Millis{}, [2]cf.Millis{20, 40}, 40},
		{"one of each", [2]cf.Millis{90, 0}, [2]cf.Millis{0, 20}, 90},
		{"the store is away", [2]cf.Millis{50, 0}, [2]cf.Millis{}, 1 + patience},
	} {
		var s cfbatch.StartGate
		asked := map[cf.BatchID]int{}
		ids := []cf.BatchID{"a", "b"}
		for now := cf.Millis(1); ; now++ {
			var holders []cf.BatchID
			for i, id := range ids {
				if c.ended[i] == 0 || now < c.ended[i] {
					holders = append(holders, id)
				}
				if now == c.open[i] {
					s.MarkOpen(id)
				}
			}
			begin, ask := s.Check(holders, now)
			for _, id := range ask {
				asked[id]++
			}
			if begin {
				if now != c.begins {
					t.Errorf("%s: begins at %d, want %d", c.name, now, c.begins)
				}
				break
			}
			if now > 2*patience {
				t.Fatalf("%s: never begins", c.name)
			}
		}
		for id, n := range asked {
			if n != 1 {
				t.Errorf("%s: the store is asked for %s %d times", c.name, id, n)
			}
		}
	}
}

func TestShares(t *testing.T) {
	a, b := cfbatch.New(submission(3, 2)), cfbatch.New(submission(1, 1))
	other := cfbatch.New(cf.Submission{Items: []cf.Item{{ID: "x"}}})
	if !a.SharesItems(b) || !b.SharesItems(a) || a.SharesItems(other) || other.SharesItems(a) {
		t.Error("batches share items that they don't have, or none that they have")
	}
}
