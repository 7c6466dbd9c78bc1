package grouppolicy

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a policy that costs more than a simple one, and against runs
// that differ for one seed.
func TestPolicyBeatsBaselinesAndIsDeterministic(t *testing.T) {
	var last Result
	for _, profile := range []Weights{Cascade, PiecePerdue, PiecePerdue} {
		r, err := Run(Options{Seed: 7, Size: Today, Days: 3, Profile: profile})
		require.NoError(t, err)
		require.True(t, r.Better, "policy %+v, baselines %+v", r.Policy, r.Baselines)
		if last.Profile == r.Profile {
			require.Equal(t, last, r)
		}
		last = r
	}
	_, err := json.Marshal(last)
	require.NoError(t, err)
	_, err = Run(Options{Size: "other", Days: 1})
	require.Error(t, err)
}
