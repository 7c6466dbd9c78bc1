package processlimit

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against shares that exceed the descriptors together: each request of a caller
// takes one of its own and one at an upstream.
func TestDescriptorsAddUp(t *testing.T) {
	for _, descriptors := range []int{256, 512, 1024, 4100, 20000} {
		l := Limits{Descriptors: descriptors}
		require.LessOrEqual(t, 2*l.Connections()+l.IdleUpstreamConnections()+reservedDescriptors, descriptors)
		require.Greater(t, l.Connections(), descriptors/6)
	}
}

// Guards against connections that take more than their part of the memory.
func TestConnectionsByMemory(t *testing.T) {
	l := Limits{Descriptors: 20000, MemoryBytes: 284 << 20}
	require.LessOrEqual(t, l.Connections()*connectionBytes, 284<<20/5)
	require.Greater(t, l.Connections(), 1000)
	require.Positive(t, New(0, 0).Descriptors)
	require.LessOrEqual(t, New(0, 64).Descriptors, 64)
}

// Guards against parts of the memory that exceed it together: bodies, connections and
// the process itself.
func TestMemoryAddsUp(t *testing.T) {
	require.Zero(t, Limits{}.BodyBytes())
	for _, megabytes := range []int64{96, 128, 284, 1024, 16384} {
		l := Limits{Descriptors: 1 << 20, MemoryBytes: megabytes << 20}
		connections := int64(l.Connections()) * connectionBytes
		require.Less(t, l.BodyBytes()+connections+baseBytes, l.MemoryBytes, "%d MiB", megabytes)
		require.Greater(t, l.BodyBytes(), l.MemoryBytes/8)
	}
}
