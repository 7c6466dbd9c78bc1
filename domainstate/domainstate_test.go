package domainstate

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// history applies n changes and returns their records and the tree at every
// revision, starting with the empty one.
func history(t require.TestingT, n int) ([]settings.Record, []*settings.Tree) {
	store := settings.New()
	trees := []*settings.Tree{store.Tree()}
	for i := range n {
		r := store.Apply(settings.Change{ID: fmt.Sprint(i), Base: uint64(i), At: time.Unix(int64(i), 0), Ops: []settings.Op{
			{Op: settings.OpSet, Path: "/accounts/a", Key: settings.KeyWeight, Value: settings.Number(float64(i + 1))},
		}})
		require.Equal(t, settings.Applied, r.Code)
		trees = append(trees, store.Tree())
	}
	return store.History(0), trees
}

// Guards against settings that revert or skip a change when records and trees
// arrive late, duplicated, out of order or after a restart.
func TestSettingsNeverRevert(t *testing.T) {
	records, trees := history(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			before := m.Tree().Revision()
			var command []byte
			var err error
			if rapid.Bool().Draw(t, "whole tree") {
				command, err = EncodeTree(trees[rapid.IntRange(0, len(trees)-1).Draw(t, "tree")])
			} else {
				from := rapid.IntRange(0, len(records)-1).Draw(t, "from")
				to := rapid.IntRange(from, len(records)).Draw(t, "to")
				command, err = EncodeRecords(records[from:to])
			}
			require.NoError(t, err)
			m.Apply(1, command)
			if rapid.Bool().Draw(t, "restart") {
				data, err := m.Snapshot()
				require.NoError(t, err)
				m = New()
				require.NoError(t, m.Restore(data))
			}
			now := m.Tree().Revision()
			require.GreaterOrEqual(t, now, before)
			want, got := trees[now], m.Tree()
			require.Empty(t, settings.Diff(want, got))
		}
	})
}

// Guards against verdicts that are lost with a snapshot, that are kept after their
// end, or whose change followers do not notice.
func TestVerdictsAreStored(t *testing.T) {
	m := New()
	at := time.Unix(1000, 0).UTC()
	a, b := quarantine.DigestOf("account", "service", []byte("a")), quarantine.PartDigest("service", "b")
	add := func(now time.Time, verdicts ...quarantine.Verdict) {
		command, err := EncodeVerdicts(now, verdicts)
		require.NoError(t, err)
		_, err = DecodeResult(m.Apply(1, command))
		require.NoError(t, err)
	}
	add(at, quarantine.Verdict{Digest: a, Until: at.Add(time.Minute)}, quarantine.Verdict{Digest: b, Until: at.Add(time.Hour)})
	add(at, quarantine.Verdict{Digest: a, Until: at.Add(time.Second)})
	data, err := m.Snapshot()
	require.NoError(t, err)
	m = New()
	require.NoError(t, m.Restore(data))
	require.Equal(t, map[quarantine.Digest]time.Time{a: at.Add(time.Minute), b: at.Add(time.Hour)}, m.Verdicts().Ends())
	before := m.Verdicts().Revision
	add(at.Add(time.Minute))
	require.Equal(t, map[quarantine.Digest]time.Time{b: at.Add(time.Hour)}, m.Verdicts().Ends())
	require.Greater(t, m.Verdicts().Revision, before)

	// Snapshots of daemons that stored no verdicts lack them.
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(data, &fields))
	delete(fields, "verdicts")
	data, err = json.Marshal(fields)
	require.NoError(t, err)
	require.NoError(t, m.Restore(data))
	require.Empty(t, m.Verdicts().Verdicts)
}

// Guards against a malformed or newer command or snapshot being accepted or
// causing a panic.
func TestUnknownCommands(t *testing.T) {
	m := New()
	for _, command := range [][]byte{nil, {1}, {9, 1}, {1, 9}, {1, 1, '{'}, {1, 2, '['}, {1, 3, '['}, {1, 4, '['}, {1, 5, '{'}} {
		_, err := DecodeResult(m.Apply(1, command))
		require.Error(t, err)
	}
	require.Error(t, m.Restore([]byte(`{"version":9}`)))
}
