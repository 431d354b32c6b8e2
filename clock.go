package currantford

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Sleep waits for d, or until ctx ends; it returns false then.
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

// Backoff returns m doubled for each of times, up to most: the pause after so many
// failures in a row.
func (m Millis) Backoff(times int, most Millis) Millis {
	for ; times > 0 && 0 < m && m < most; times-- {
		m *= 2
	}
	return min(m, most)
}

// Uptime returns the span since the machine started. Unlike Go's monotonic
// clock it goes on while the machine is suspended: a lease holder that slept
// through its lease would otherwise believe itself still valid and act beside
// its successor.
func Uptime() Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel the project supports.
		panic("currantford: no CLOCK_BOOTTIME: " + err.Error())
	}
	return Millis(ts.Nano() / 1e6)
}
