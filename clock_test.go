package currantford

import "testing"

func TestBackoffDoublesUpToLimit(t *testing.T) {
	for _, c := range []struct {
		initial     Millis
		failures    int
		limit, want Millis
	}{
		{50, 0, 1600, 50}, {50, 1, 1600, 100}, {50, 5, 1600, 1600}, {50, 6, 1600, 1600},
		{50, 1 << 40, 1600, 1600}, {300, 3, 2000, 2000}, {300, 0, 200, 200}, {0, 1 << 40, 200, 0},
	} {
		if got := c.initial.Backoff(c.failures, c.limit); got != c.want {
			t.Errorf("Millis(%d).Backoff(%d, %d) = %d, want %d", c.initial, c.failures, c.limit, got, c.want)
		}
	}
}
