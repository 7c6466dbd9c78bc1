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
