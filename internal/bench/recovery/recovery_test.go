package recovery

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// Guards against claims that are not granted, a restarted voter that does not
// catch up, and a snapshot that cannot be restored.
func TestShortRun(t *testing.T) {
	r, err := run(t.Context(), bench.Options{Seed: 1, Short: true})
	require.NoError(t, err)
	require.Len(t, r.Tables, 3)
	require.Len(t, r.Tables[0].Rows, 4)
}
