package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against traffic that differs between runs with the same seed and
// topology, and against daemons that do not learn of all upstreams.
func TestFleetIsDeterministic(t *testing.T) {
	size := topology{domains: 2, daemons: 4, upstreams: 20}
	var first traffic
	for i := range 2 {
		f := newFleet(1, size)
		require.NoError(t, f.run(2*warmup))
		for _, d := range f.daemons {
			require.Equal(t, size.domains*size.upstreams, d.registry.View().Len())
		}
		if i == 0 {
			first = f.batchTraffic
		}
		require.Equal(t, first, f.batchTraffic)
	}
	require.NotZero(t, first.messages[sent])
}

// Guards against share reports that get no grants, which would understate the
// traffic.
func TestShareFleetGrants(t *testing.T) {
	f := newShareFleet(5, 30)
	require.NoError(t, f.run(sharesWarmup))
	f.total = traffic{}
	require.NoError(t, f.run(sharesWarmup))
	require.NotZero(t, f.total.messages[sent])
	require.Equal(t, f.total, traffic{
		messages: [2]int{f.total.messages[sent], f.total.messages[sent]},
		payload:  [2]int{f.total.payload[sent], f.total.payload[sent]},
		framed:   [2]int{f.total.framed[sent], f.total.framed[sent]},
	})
}

// Guards against a settings tree whose size differs from the reported one.
func TestTreeSize(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		tree, err := buildTree(n)
		require.NoError(t, err)
		require.InDelta(t, n, len(tree.Paths()), 2)
	}
}
