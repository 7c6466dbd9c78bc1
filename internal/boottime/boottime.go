// Package boottime reads a clock that never goes back and that counts the time in
// which the machine was suspended. The steady clock of package time does not count it,
// so that a lease measured by it would still be valid on a machine that wakes up,
// although the other machines have let it expire.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// start is the reading of the clock when the process started, and origin the time that
// Now returned then. origin has no reading of the steady clock, which time.Time would
// prefer in comparisons.
var (
	start, supported = read()
	origin           = time.Now().Round(0)
)

// Now returns the time. It is comparable with other results of Now in this process
// only. Where the clock cannot be read, it is the steady clock.
func Now() time.Time {
	now, ok := read()
	if !ok || !supported {
		return time.Now()
	}
	return origin.Add(now - start)
}

func read() (sinceBoot time.Duration, ok bool) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, false
	}
	return time.Duration(ts.Nano()), true
}
