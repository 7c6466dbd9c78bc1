package globalstate

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/claim"
	"github.com/bluebellfield/bluebellfield/settings"
)

var start = time.Date(2026, 3, 1, 0, 0, 0, 0, time.UTC)

func change(t require.TestingT, id string, base uint64, ops ...settings.Op) []byte {
	data, err := EncodeChange(settings.Change{ID: id, Base: base, At: start, Ops: ops})
	require.NoError(t, err)
	return data
}

func claimCommand(key byte, request string) []byte {
	return EncodeClaim(claim.Claim{Key: claim.Key{key}, Account: "a", Holder: claim.Holder{Entry: "e", Incarnation: 1, Request: request}, At: start})
}

func setMaxRecords(n float64) settings.Op {
	return settings.Op{Op: settings.OpSet, Path: "/", Key: settings.KeyClaimMaxRecords, Value: settings.Number(n)}
}

// Guards against a panic or a state change caused by a command that this
// version cannot execute.
func TestInvalidCommands(t *testing.T) {
	cases := []struct {
		name    string
		command []byte
		want    ErrorCode
	}{
		{"empty", nil, BadCommand},
		{"one byte", []byte{version}, BadCommand},
		{"unknown version", []byte{version + 1, byte(KindClaim), 1}, UnknownVersion},
		{"unknown kind", []byte{version, 99, 1}, UnknownKind},
		{"bad settings", append([]byte{version, byte(KindSettings)}, "{"...), BadCommand},
		{"bad claim", []byte{version, byte(KindClaim), 77}, BadCommand},
	}
	m := New()
	before, err := m.Snapshot()
	require.NoError(t, err)
	for i, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := DecodeChangeResult(m.Apply(uint64(i+1), c.command))
			var commandError *CommandError
			require.ErrorAs(t, err, &commandError)
			require.Equal(t, c.want, commandError.Code)
		})
	}
	after, err := m.Snapshot()
	require.NoError(t, err)
	require.Equal(t, before[2:], after[2:], "only the index may differ")
	_, err = DecodeClaimResult([]byte("x"))
	require.Error(t, err)
}

// Guards against claims that ignore the current settings, and against a command
// being applied twice at the same index.
func TestSettingsBoundClaims(t *testing.T) {
	m := New()
	r, err := DecodeChangeResult(m.Apply(1, change(t, "c", 0, setMaxRecords(1))))
	require.NoError(t, err)
	require.Equal(t, settings.Applied, r.Code)
	require.Equal(t, uint64(1), m.Tree().Revision())
	want := []claim.Code{claim.Granted, claim.AccountFull}
	for i, code := range want {
		r, err := DecodeClaimResult(m.Apply(uint64(2+i), claimCommand(byte(i), fmt.Sprint(i))))
		require.NoError(t, err)
		require.Equal(t, code, r.Code)
	}
	_, err = DecodeChangeResult(m.Apply(3, change(t, "d", 1, setMaxRecords(2))))
	require.Error(t, err)
	require.Equal(t, uint64(1), m.Tree().Revision())
}

// Guards against results that differ after a restore, and against a truncated
// snapshot being partially restored.
func TestRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		plain, restored := New(), New()
		for i := range uint64(rapid.IntRange(1, 20).Draw(t, "commands")) {
			command := claimCommand(rapid.Byte().Draw(t, "key")%4, fmt.Sprint(i))
			if rapid.Bool().Draw(t, "settings") {
				base := rapid.Uint64Range(0, plain.Tree().Revision()).Draw(t, "base")
				command = change(t, fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "id")), base, setMaxRecords(float64(1+i%3)))
			}
			require.Equal(t, plain.Apply(i+1, command), restored.Apply(i+1, command))
			if rapid.Bool().Draw(t, "restart") {
				data, err := restored.Snapshot()
				require.NoError(t, err)
				restored = New()
				require.NoError(t, restored.Restore(data))
			}
		}
		want, err := plain.Snapshot()
		require.NoError(t, err)
		got, err := restored.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want, got)
		cut := rapid.IntRange(0, len(got)-1).Draw(t, "cut")
		require.Error(t, restored.Restore(got[:cut]))
		again, err := restored.Snapshot()
		require.NoError(t, err)
		require.Equal(t, want, again)
	})
}
