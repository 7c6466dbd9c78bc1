// Package processlimit divides the memory and the descriptors of a process among
// those that its callers can make it hold, so that all of it together stays within
// the limits.
package processlimit

import (
	"golang.org/x/sys/unix"
)

const (
	// reservedDescriptors are kept for files, listeners, peers and the ports of
	// upstreams and operators.
	reservedDescriptors = 128
	// callerDescriptorShare is the part of the other descriptors for connections of
	// callers. Each request needs a connection to an upstream as well, and some of
	// these are idle.
	callerDescriptorShare = 0.45
	// idleUpstreamShare is the part for idle connections to upstreams.
	idleUpstreamShare = 0.1
	// connectionBytes is the memory of a connection of a caller: its goroutine and
	// buffers, and the bytes in its receive buffer.
	connectionBytes = 48 << 10
	// connectionMemoryShare is the part of the memory for connections of callers.
	connectionMemoryShare = 0.2
	minConnections        = 16
)

// Limits are the limits of a process.
type Limits struct {
	// MemoryBytes is the memory that the process may use; 0 means no limit.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

// New returns the limits of a process that may use a number of megabytes, where 0
// means no limit, and of descriptors, where 0 means as many as the system allows.
func New(megabytes float64, descriptors int) Limits {
	l := Limits{MemoryBytes: int64(megabytes * (1 << 20)), Descriptors: descriptors}
	var allowed unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &allowed); err == nil && (descriptors <= 0 || allowed.Cur < uint64(descriptors)) {
		const most = 1 << 20 // a limit of the system may be "infinite"
		l.Descriptors = int(min(allowed.Cur, most))
	}
	return l
}

// Connections returns the number of connections of callers.
func (l Limits) Connections() int {
	n := l.share(callerDescriptorShare)
	if l.MemoryBytes > 0 {
		n = min(n, int(connectionMemoryShare*float64(l.MemoryBytes)/connectionBytes))
	}
	return max(n, minConnections)
}

// IdleUpstreamConnections returns the number of connections to upstreams that are
// kept open without a request.
func (l Limits) IdleUpstreamConnections() int { return max(l.share(idleUpstreamShare), 1) }

func (l Limits) share(part float64) int {
	return int(part * float64(max(l.Descriptors-reservedDescriptors, 0)))
}
