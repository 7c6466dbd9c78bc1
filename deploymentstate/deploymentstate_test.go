package deploymentstate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
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
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				command, _ = EncodeStartGeneration()
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
