package upstreamlimitpb

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/admission/share"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

// Guards against messages that change on their way, or that are accepted although
// they cannot be read.
func TestRoundTrip(t *testing.T) {
	for _, m := range []upstreamlimit.Message{
		{},
		{Named: []upstreamlimit.Named{{Target: upstreamlimit.Target{Upstream: "u", Incarnation: 7}, Rate: 6.7, Version: 3}, {Target: upstreamlimit.Target{Upstream: "v", Incarnation: 1}, Rate: -1}}},
		{Share: &share.Message{Grant: &share.Grant{Incarnation: 1, Seq: 2, ReportIncarnation: 3, Report: 4, Shares: []float32{2, share.NoAuthority}}}},
	} {
		encoded, err := Encode(m)
		require.NoError(t, err)
		got, err := Decode(encoded)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
	_, err := Decode([]byte("not a message"))
	require.Error(t, err)
	_, err = Encode(upstreamlimit.Message{Share: &share.Message{}})
	require.Error(t, err)
}
