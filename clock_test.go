package currantford

import "testing"

func TestPausesDoubleUpToTheirBound(t *testing.T) {
	for _, c := range []struct {
		first       Millis
		times       int
		most, after Millis
	}{
		{50, 0, 1600, 50}, {50, 1, 1600, 100}, {50, 5, 1600, 1600}, {50, 6, 1600, 1600},
		{50, 1 << 40, 1600, 1600}, {300, 3, 2000, 2000}, {300, 0, 200, 200}, {0, 1 << 40, 200, 0},
	} {
		if got := c.first.Backoff(c.times, c.most); got != c.after {
			t.Errorf("%d doubled %d times up to %d is %d, want %d", c.first, c.times, c.most, got, c.after)
		}
	}
}
