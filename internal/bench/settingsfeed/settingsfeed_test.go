package settingsfeed

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/bench"
)

// Guards against a condition under which a change does not reach an entry, and
// against a condition that is missing in the result.
func TestShortRun(t *testing.T) {
	r, err := run(t.Context(), bench.Options{Seed: 1, Short: true})
	require.NoError(t, err)
	require.Len(t, r.Tables[0].Rows, 9)
}
