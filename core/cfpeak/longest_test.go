package cfpeak

import "testing"

// TestLongestForgetsOldDurations guards against a duration that counts for good, and against keys
// that are kept after they have gone out of use.
func TestLongestForgetsOldDurations(t *testing.T) {
	l := NewLongest[string](100)
	l.Observe("gone", 7, 0)
	l.Observe("a", 5, 0)
	l.Observe("a", 3, 100)
	if longest, count := l.Get("a", 199); longest != 5 || count != 2 {
		t.Errorf("after one span: %d, %d observations; want 5 and 2", longest, count)
	}
	if longest, count := l.Get("a", 200); longest != 3 || count != 1 {
		t.Errorf("after two spans: %d, %d observations; want 3 and 1", longest, count)
	}
	if longest, count := l.Get("a", 400); longest != 0 || count != 0 {
		t.Errorf("long after: %d, %d observations; want none", longest, count)
	}
	l.Observe("new", 1, 400)
	if _, kept := l.byKey["gone"]; kept {
		t.Error("a key without observations is kept")
	}
}
