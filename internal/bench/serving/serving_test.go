package serving

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// Guards against answers through the daemon with missing tokens, and against a
// run that omits targets or rows of its tables.
func TestShortRun(t *testing.T) {
	result, err := run(t.Context(), bench.Options{Seed: 1, Short: true})
	require.NoError(t, err)
	require.Len(t, result.Targets, 5)
	require.Len(t, result.Tables, 2)
	require.Len(t, result.Tables[0].Rows, 9)
	require.Len(t, result.Tables[1].Rows, 6)
}

// BenchmarkStream requests a streamed answer through the daemon. It serves for
// profiling.
func BenchmarkStream(b *testing.B) {
	benchmark(b, func(bed *testbed) error { _, err := bed.viaDaemon.stream(b.Context(), longTokens); return err })
}

// BenchmarkWhole requests a short answer through the daemon that is not
// streamed. It serves for profiling.
func BenchmarkWhole(b *testing.B) {
	benchmark(b, func(bed *testbed) error { _, err := bed.viaDaemon.nonStreaming(b.Context(), shortTokens); return err })
}

func benchmark(b *testing.B, call func(bed *testbed) error) {
	bed, err := startTestbed(b.TempDir())
	require.NoError(b, err)
	b.Cleanup(func() { _ = bed.close() })
	b.ReportAllocs()
	for b.Loop() {
		require.NoError(b, call(bed))
	}
}
