// Package processlimit divides the memory and the descriptors of a process among
// those that its callers can make it hold, so that all of it together stays within
// the limits.
package processlimit

import (
	"os"
	"runtime/debug"

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
	// helpedShare is the part for connections to upstreams that are held for other
	// instances, and helpedBytes the memory of one: its goroutines, its buffers and
	// what waits on its stream.
	helpedShare = 0.06
	helpedBytes = 96 << 10
	// helpedMemoryShare is the part of the memory for them.
	helpedMemoryShare = 0.08
	minHelped         = 4
	// connectionBytes is the memory of a connection of a caller: its goroutine and
	// buffers, and the bytes in its receive buffer.
	connectionBytes = 48 << 10
	// connectionMemoryShare is the part of the memory for connections of callers.
	connectionMemoryShare = 0.2
	minConnections        = 16
	// baseBytes is the memory of a process without requests, with its program and
	// its connections to others.
	baseBytes = 40 << 20
	// bodyShare is the part of the rest for the bodies of requests, and minBodyShare
	// their least part of all memory. The garbage collector needs room beside them.
	bodyShare    = 0.5
	minBodyShare = 0.125
	// collectorShare is the part of all memory that is the soft limit of the Go
	// runtime. The rest is for what the runtime does not manage: the program and the
	// buffers of the kernel.
	collectorShare = 0.75
)

// Limits are the limits of a process.
type Limits struct {
	// MemoryBytes is the memory that the process may use; 0 means that it is unknown.
	MemoryBytes int64
	// Descriptors is the number of descriptors that the process may open.
	Descriptors int
}

// New returns the limits of a process that may use a number of megabytes and of
// descriptors. For 0 it takes what the system allows, less a reserve of memory.
func New(megabytes float64, descriptors int) Limits {
	l := Limits{MemoryBytes: int64(megabytes * (1 << 20)), Descriptors: descriptors}
	if megabytes <= 0 {
		l.MemoryBytes = machineMemory(os.DirFS("/"))
	}
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

// HelpedConnections returns the number of connections to upstreams that are held for
// other instances.
func (l Limits) HelpedConnections() int {
	n := l.share(helpedShare)
	if l.MemoryBytes > 0 {
		n = min(n, int(helpedMemoryShare*float64(l.MemoryBytes)/helpedBytes))
	}
	return max(n, minHelped)
}

// BodyBytes returns the memory for the bodies of requests; 0 means no limit.
func (l Limits) BodyBytes() int64 {
	if l.MemoryBytes <= 0 {
		return 0
	}
	return int64(max(bodyShare*float64(l.MemoryBytes-baseBytes), minBodyShare*float64(l.MemoryBytes)))
}

// LimitRuntime makes the garbage collector keep to the memory.
func (l Limits) LimitRuntime() {
	if l.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(collectorShare * float64(l.MemoryBytes)))
	}
}

func (l Limits) share(part float64) int {
	return int(part * float64(max(l.Descriptors-reservedDescriptors, 0)))
}
