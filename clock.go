package currantford

import "golang.org/x/sys/unix"

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
