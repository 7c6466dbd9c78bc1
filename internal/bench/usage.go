package bench

import (
	"time"

	"golang.org/x/sys/unix"
)

// CPUTime returns the user and system CPU time consumed by this process.
func CPUTime() (time.Duration, error) {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0, err
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), nil
}
