package sharepb

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// Guards against fields that are lost or changed by encoding. In particular, a
// share must not be rounded up.
func TestRoundTrip(t *testing.T) {
	for _, m := range []share.Message{
		{Report: &share.Report{Incarnation: 1, Seq: 2, AckIncarnation: 3, Ack: 4, Digest: 5, HasSet: true, Set: []share.LimitID{6, 7},
			Items: []share.Item{{Limit: 8, Paying: 1.5, Free: 2, Used: 3}, {Limit: 9}}}},
		{Report: &share.Report{Incarnation: 1, Seq: 2, Items: []share.Item{}}},
		{Grant: &share.Grant{Incarnation: 1, Seq: 2, ReportIncarnation: 3, Report: 4, NeedSet: true, Shares: []float32{0.1, 0, share.NoAuthority}}},
	} {
		data, err := Encode(m)
		require.NoError(t, err)
		got, err := Decode(data)
		require.NoError(t, err)
		require.Equal(t, m, got)
	}
}

// Guards against malformed messages that are accepted as valid demand.
func TestMalformed(t *testing.T) {
	marshal := func(r *Report) []byte {
		data, err := proto.Marshal(&Message{Kind: &Message_Report{Report: r}})
		require.NoError(t, err)
		return data
	}
	for name, data := range map[string][]byte{
		"neither":         {},
		"not protobuf":    {0xff},
		"missing values":  marshal(&Report{Limit: []uint64{1, 2}, Paying: []float32{1}}),
		"negative demand": marshal(&Report{Limit: []uint64{1}, Paying: []float32{-1}}),
		"not a number":    marshal(&Report{Limit: []uint64{1}, Used: []float32{float32(math.NaN())}}),
	} {
		_, err := Decode(data)
		require.Error(t, err, name)
	}
	_, err := Encode(share.Message{})
	require.Error(t, err)
}
