package daemon

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Guards against a restarted entry that tells callers their key is unknown
// while it does not know any settings yet.
func TestAccountNeedsSettings(t *testing.T) {
	_, err := policy{tree: settings.Empty}.Account("some-key")
	require.Equal(t, fault.Unavailable, fault.CodeOf(err))
	require.Equal(t, fault.NotRun, fault.OutcomeOf(err))
}
