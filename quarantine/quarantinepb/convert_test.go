package quarantinepb

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Encoding and decoding must preserve every field.
func TestRoundTrip(t *testing.T) {
	x, y := quarantine.DigestOf("a", "s", []byte("x")), quarantine.DigestOf("a", "s", []byte("y"))
	m := quarantine.Message{
		From: "e1",
		Evidence: []quarantine.Evidence{{
			Target:    quarantine.Target{Upstream: "u1", Incarnation: 3},
			Requests:  []quarantine.ReportedRequest{{Digest: x, Presence: quarantine.RecentlyEnded}, {Digest: y, Presence: quarantine.Isolated, Depth: 2}},
			Truncated: true, Depths: []quarantine.PartDepth{{Digest: y, Depth: 17}}, Cleared: []quarantine.Digest{y}, Elsewhere: []quarantine.Placement{{Upstream: "u2", Digest: x}}, Sum: 1 << 63, ReportSum: 1, Open: true,
		}},
		Verdicts: []quarantine.Verdict{{Digest: x, Until: time.UnixMilli(1_700_000_000_123)}},
	}
	data, err := Encode(m)
	require.NoError(t, err)
	got, err := Decode(data)
	require.NoError(t, err)
	require.Equal(t, m, got)
}

// Malformed messages must be rejected rather than merged as evidence.
func TestDecodeFaults(t *testing.T) {
	cases := map[string]*Message{
		"short digest":     {Evidence: []*Evidence{{Digests: make([]byte, 15)}}},
		"missing presence": {Evidence: []*Evidence{{Digests: make([]byte, 16)}}},
		"unknown presence": {Evidence: []*Evidence{{Digests: make([]byte, 16), Presences: []byte{9}}}},
		"missing depth":    {Evidence: []*Evidence{{Parts: make([]byte, 16)}}},
		"short cleared":    {Evidence: []*Evidence{{Cleared: make([]byte, 17)}}},
		"short placement":  {Evidence: []*Evidence{{Elsewhere: []*Placement{{Digest: make([]byte, 2)}}}}},
		"short verdict":    {Verdicts: []*Verdict{{Digest: make([]byte, 3)}}},
	}
	for name, in := range cases {
		data, err := proto.Marshal(in)
		require.NoError(t, err)
		_, err = Decode(data)
		require.Error(t, err, name)
	}
	_, err := Decode([]byte{0xff})
	require.Error(t, err)
}
