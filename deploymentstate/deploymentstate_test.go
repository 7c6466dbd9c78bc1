package deploymentstate

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

func put(t require.TestingT, m *Machine, version uint64, document string) *Result {
	command, err := EncodePut(version, []byte(document))
	require.NoError(t, err)
	result, err := DecodeResult(m.Apply(1, command))
	require.NoError(t, err)
	return result
}

// Guards against applying an outdated version, or the same version with
// different content.
func TestHighestVersionIsKept(t *testing.T) {
	m := New()
	require.True(t, put(t, m, 5, "five").Replaced)
	require.False(t, put(t, m, 5, "other").Replaced)
	require.False(t, put(t, m, 4, "four").Replaced)
	version, document := m.Catalog()
	require.EqualValues(t, 5, version)
	require.Equal(t, "five", string(document))
	require.True(t, put(t, m, 9, "nine").Replaced)
}

// Guards against two leaders with the same generation, including after a
// restore from a snapshot.
func TestGenerationsIncrease(t *testing.T) {
	m := New()
	command, err := EncodeStartGeneration()
	require.NoError(t, err)
	first, err := DecodeResult(m.Apply(1, command))
	require.NoError(t, err)
	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	second, err := DecodeResult(restored.Apply(2, command))
	require.NoError(t, err)
	require.Greater(t, second.Generation, first.Generation)
}

// Guards against replicas that differ after the same commands, when one of them
// is restored from snapshots, and against invalid commands breaking a replica.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, two := New(), New()
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			var command []byte
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0:
				command, _ = EncodeStartGeneration()
			case 4:
				var verdicts []*Verdict
				for range rapid.IntRange(0, 3).Draw(t, "verdicts") {
					verdicts = append(verdicts, &Verdict{Digest: []byte{rapid.Byte().Draw(t, "digest")}, UntilUnixMillis: rapid.Int64Range(0, 9).Draw(t, "until")})
				}
				command, _ = EncodeAddVerdicts(time.UnixMilli(rapid.Int64Range(0, 9).Draw(t, "now")), verdicts)
			case 5:
				var departures []*Departure
				for range rapid.IntRange(0, 3).Draw(t, "departures") {
					departures = append(departures, &Departure{Upstream: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "upstream"),
						StartUnixMillis: rapid.Int64Range(1, 3).Draw(t, "start"), Gone: rapid.Bool().Draw(t, "gone"), UntilUnixMillis: rapid.Int64Range(0, 9).Draw(t, "until")})
				}
				command, _ = EncodeRecordDepartures(time.UnixMilli(rapid.Int64Range(0, 9).Draw(t, "now")), departures)
			case 1:
				command = rapid.SliceOfN(rapid.Byte(), 0, 20).Draw(t, "bytes")
			default:
				command, _ = EncodePut(rapid.Uint64Range(0, 9).Draw(t, "version"), rapid.SliceOfN(rapid.Byte(), 0, 5).Draw(t, "document"))
			}
			require.Equal(t, one.Apply(1, command), two.Apply(1, command))
			if rapid.Bool().Draw(t, "restore") {
				snapshot, err := two.Snapshot()
				require.NoError(t, err)
				two = New()
				require.NoError(t, two.Restore(snapshot))
			}
		}
		first, err := one.Snapshot()
		require.NoError(t, err)
		second, err := two.Snapshot()
		require.NoError(t, err)
		require.Equal(t, first, second)
	})
}

// Guards against verdicts that are lost with a change of the catalog or a new
// generation, that end early, and that are kept for ever.
func TestVerdictsAreKeptUntilTheyEnd(t *testing.T) {
	m := New()
	add := func(now int64, verdicts ...*Verdict) {
		command, err := EncodeAddVerdicts(time.UnixMilli(now), verdicts)
		require.NoError(t, err)
		m.Apply(1, command)
	}
	ends := func() map[string]int64 {
		_, verdicts := m.Verdicts()
		all := map[string]int64{}
		for _, v := range verdicts {
			all[string(v.Digest)] = v.UntilUnixMillis
		}
		return all
	}
	add(0, &Verdict{Digest: []byte("b"), UntilUnixMillis: 50}, &Verdict{Digest: []byte("a"), UntilUnixMillis: 100})
	before, _ := m.Verdicts()
	put(t, m, 1, "one")
	generation, err := EncodeStartGeneration()
	require.NoError(t, err)
	m.Apply(1, generation)
	after, _ := m.Verdicts()
	require.Equal(t, before, after, "no change")
	require.Equal(t, map[string]int64{"a": 100, "b": 50}, ends())
	add(20, &Verdict{Digest: []byte("b"), UntilUnixMillis: 40}, &Verdict{Digest: []byte("a"), UntilUnixMillis: 120})
	require.Equal(t, map[string]int64{"a": 120, "b": 50}, ends())
	add(60)
	require.Equal(t, map[string]int64{"a": 120}, ends())
	changed, _ := m.Verdicts()
	require.Greater(t, changed, after)

	var many []*Verdict
	for i := range quarantine.MaxStored + 1 {
		many = append(many, &Verdict{Digest: binary.BigEndian.AppendUint32(nil, uint32(i)), UntilUnixMillis: int64(1000 + i)})
	}
	add(60, many...)
	require.Len(t, ends(), quarantine.MaxStored)
	require.NotContains(t, ends(), "a", "the verdict that ends first gives way")
}
