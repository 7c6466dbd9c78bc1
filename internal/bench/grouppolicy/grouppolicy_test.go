package grouppolicy

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a policy that costs more than a simple one, and against runs
// that differ for one seed.
func TestPolicyBeatsBaselinesAndIsDeterministic(t *testing.T) {
	for _, profile := range []Weights{Cascade, PiecePerdue} {
		o := Options{Seed: 7, Size: Today, Days: 7, Profile: profile}
		first, err := Run(o)
		require.NoError(t, err)
		second, err := Run(o)
		require.NoError(t, err)
		require.Equal(t, first, second)
		data, err := json.MarshalIndent(first, "", " ")
		require.NoError(t, err)
		t.Log(string(data))
		require.True(t, first.Better, "policy %+v, baselines %+v", first.Policy, first.Baselines)
	}
	_, err := Run(Options{Size: "other", Days: 1})
	require.Error(t, err)
}
