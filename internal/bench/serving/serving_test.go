package serving

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// Guards against answers through the daemon that lack tokens, and against a
// run that does not give all its figures.
func TestShortRun(t *testing.T) {
	r, err := run(t.Context(), bench.Options{Seed: 1, Short: true})
	require.NoError(t, err)
	require.Len(t, r.Targets, 5)
	require.Len(t, r.Tables, 2)
	require.Len(t, r.Tables[0].Rows, 9)
	require.Len(t, r.Tables[1].Rows, 6)
}

// BenchmarkStream is one streamed answer through the daemon, for profiles.
func BenchmarkStream(b *testing.B) {
	benchmark(b, func(r *rig) error { _, err := r.through.stream(b.Context(), longTokens); return err })
}

// BenchmarkWhole is one short answer through the daemon, for profiles.
func BenchmarkWhole(b *testing.B) {
	benchmark(b, func(r *rig) error { _, err := r.through.whole(b.Context(), shortTokens); return err })
}

func benchmark(b *testing.B, call func(r *rig) error) {
	r, err := start(b.TempDir())
	require.NoError(b, err)
	b.Cleanup(func() { _ = r.close() })
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, call(r))
	}
}
