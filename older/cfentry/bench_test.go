package cfentry_test

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPlatformCalls measures the object API calls per second of idle entries (heartbeat, watch
// of the instance list, lease of one pool) for sites with 1, 2 and 3 entries. docs/CAPACITY.md uses
// the increase per entry.
func BenchmarkPlatformCalls(b *testing.B) {
	for _, n := range []int{1, 2, 3} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			for b.Loop() {
				ts := startSite(b, n, nil)
				time.Sleep(time.Second) // until the leases are held
				before := ts.platform.Calls()
				const span = 2 * time.Second
				time.Sleep(span)
				calls := float64(ts.platform.Calls() - before)
				b.ReportMetric(calls/span.Seconds(), "calls/s")
				b.ReportMetric(calls/span.Seconds()/float64(n), "calls/s/entry")
			}
		})
	}
}
