package control

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against traffic that depends on anything but the seed and the size,
// and against a fleet whose daemons know only a part of the upstreams.
func TestFleetIsDeterministic(t *testing.T) {
	s := shape{domains: 2, daemons: 4, upstreams: 20}
	var first traffic
	for i := range 2 {
		f := newFleet(1, s)
		require.NoError(t, f.run(2*settleTime))
		for _, d := range f.daemons {
			require.Equal(t, s.domains*s.upstreams, d.registry.View().Len())
		}
		if i == 0 {
			first = f.batches
		}
		require.Equal(t, first, f.batches)
	}
	require.NotZero(t, first.messages[sent])
}

// Guards against shares whose reports get no grants, which would look cheap.
func TestShareFleetGrants(t *testing.T) {
	f := newShareFleet(5, 30)
	require.NoError(t, f.run(sharesSettle))
	f.total = traffic{}
	require.NoError(t, f.run(sharesSettle))
	require.NotZero(t, f.total.messages[sent])
	require.Equal(t, f.total, traffic{
		messages: [2]int{f.total.messages[sent], f.total.messages[sent]},
		payload:  [2]int{f.total.payload[sent], f.total.payload[sent]},
		framed:   [2]int{f.total.framed[sent], f.total.framed[sent]},
	})
}

// Guards against a tree of another size than the one that is reported.
func TestTreeHasTheNodes(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		tree, err := tree(n)
		require.NoError(t, err)
		require.InDelta(t, n, len(tree.Paths()), 2)
	}
}
