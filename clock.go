package currantford

import (
	"context"
	"strconv"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits for d. It returns false if ctx ends before.
func Sleep(ctx context.Context, d time.Duration) bool {
	if ctx.Err() != nil {
		return false
	}
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Backoff returns the retry delay after the given number of consecutive failures: m doubled once
// per failure, up to limit.
func (m Millis) Backoff(failures int, limit Millis) Millis {
	for ; failures > 0 && 0 < m && m < limit; failures-- {
		m *= 2
	}
	return min(m, limit)
}

// Uptime returns the time since the machine booted. Unlike Go's monotonic clock it advances while
// the machine is suspended. Otherwise an instance that was suspended until after its lease had
// expired would consider the lease valid and act alongside its successor.
func Uptime() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that the project supports provides this clock.
		panic("currantford: no CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(ts.Nano() / 1e6)
}

// FormatSeconds returns the duration in seconds, with three decimals, as in a Retry-After header.
func (m Millis) FormatSeconds() string { return strconv.FormatFloat(float64(m)/1000, 'f', 3, 64) }
