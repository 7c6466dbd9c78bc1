package grouppolicy

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a policy that costs more than a baseline, against results that
// differ between runs with the same seed, and against an unknown size that is
// accepted.
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

// BenchmarkRun logs the results of traces of one week at both sizes.
func BenchmarkRun(b *testing.B) {
	week := func(size string, seed int64, profile Weights) {
		b.Run(fmt.Sprintf("%s/seed=%d/downtime=%g", size, seed, profile.Downtime), func(b *testing.B) {
			for range b.N {
				r, err := Run(Options{Seed: seed, Size: size, Days: 7, Profile: profile})
				require.NoError(b, err)
				data, err := json.Marshal(r)
				require.NoError(b, err)
				b.Log(string(data))
			}
		})
	}
	for _, profile := range []Weights{Cascade, PiecePerdue} {
		for seed := range int64(10) {
			week(Today, seed+1, profile)
		}
		week(Planned, 1, profile)
	}
}
