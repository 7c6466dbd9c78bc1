package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.UnixMilli(1_000_000)

func observe(t *Table, u Upstream) bool {
	accepted, _ := t.Observe(start, u)
	return accepted
}

// Guards against a delayed report overwriting a newer one.
func TestOlderReportsAreIgnored(t *testing.T) {
	table := NewTable()
	require.True(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 5, Phase: Draining}))
	require.False(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 4, Phase: Ready}))
	require.False(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 5, Phase: Ready}))
	u, ok := table.Get("a")
	require.True(t, ok)
	require.Equal(t, Draining, u.Phase)
}

// Guards against ignoring the reports of a restarted upstream, whose sequence
// starts again at a lower number.
func TestLaterIncarnationReplacesEarlier(t *testing.T) {
	table := NewTable()
	require.True(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 90}))
	require.True(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 20, Sequence: 1}))
	require.False(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 91}))
}

// Guards against a delayed heartbeat restoring an upstream that has left.
func TestDepartureIsFinal(t *testing.T) {
	table := NewTable()
	observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 5})
	_, ok := table.Leave(start, "a", 0)
	require.True(t, ok)
	require.False(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 6}))
	_, ok = table.Leave(start, "a", 10)
	require.False(t, ok, "a second departure changes nothing")
	require.True(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 11, Sequence: 1}))
	_, ok = table.Leave(start, "a", 10)
	require.False(t, ok, "the departure of an earlier incarnation is ignored")
}

// Guards against two upstreams with the same address. The one that started
// earlier is gone, in whichever order the reports arrive.
func TestLatestProcessOwnsAddress(t *testing.T) {
	old := Upstream{ID: "old", Address: "1", StartMillis: 10, Sequence: 7}
	newer := Upstream{ID: "young", Address: "1", StartMillis: 20, Sequence: 1}
	for _, order := range [][]Upstream{{old, newer}, {newer, old}} {
		table := NewTable()
		for _, u := range order {
			observe(table, u)
		}
		u, ok := table.Get("young")
		require.True(t, ok)
		require.Equal(t, Ready, u.Phase)
		if u, ok := table.Get("old"); ok {
			require.Equal(t, Gone, u.Phase)
		}
	}
}

// Guards against taking an upstream for ended because a process uses an address that
// it had before it restarted elsewhere. Its replica group would be dissolved.
func TestFormerAddressIsNotHeld(t *testing.T) {
	before := Upstream{ID: "head", Address: "1", StartMillis: 10, Sequence: 7}
	restarted := Upstream{ID: "head", Address: "2", StartMillis: 20, Sequence: 1}
	moved := Upstream{ID: "head", Address: "2", StartMillis: 10, Sequence: 8}
	other := Upstream{ID: "other", Address: "1", StartMillis: 30, Sequence: 1}
	for _, test := range []struct {
		name    string
		reports []Upstream
	}{
		{"restarted", []Upstream{before, restarted, other}},
		{"restarted, reported last", []Upstream{before, other, restarted}},
		{"moved without a restart", []Upstream{before, moved, other}},
		{"an old report in between", []Upstream{before, restarted, before, other}},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			for _, u := range test.reports {
				observe(table, u)
			}
			u, _ := table.Get("head")
			require.Equal(t, "2", u.Address)
			require.Equal(t, Ready, u.Phase)
			require.False(t, u.Replaced)
			u, _ = table.Get("other")
			require.Equal(t, Ready, u.Phase)
		})
	}
}

// Guards against taking an upstream for ended without a later process at the address
// that it reports itself, whatever reports arrive and in whichever order.
func TestReplacedNeedsLaterProcessAtAddress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable()
		var seen []Upstream
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			u := Upstream{
				ID: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "id"), Address: rapid.SampledFrom([]string{"1", "2"}).Draw(t, "address"),
				StartMillis: rapid.Int64Range(1, 4).Draw(t, "start"), Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"),
			}
			observe(table, u)
			seen = append(seen, u)
			for _, known := range table.All() {
				replaced := slices.ContainsFunc(seen, func(u Upstream) bool {
					return u.ID != known.ID && u.Address == known.Address && u.StartMillis >= known.StartMillis
				})
				require.True(t, replaced || !known.Replaced, "%+v after %+v", known, seen)
			}
		}
	})
}

// Guards against instances with different tables after receiving the same
// reports in a different order.
func TestOrderOfReportsDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		reports := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Upstream {
			return Upstream{
				ID: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "id"), Address: "", StartMillis: rapid.Int64Range(1, 3).Draw(t, "born"),
				Sequence: rapid.Uint64Range(1, 4).Draw(t, "sequence"), Phase: rapid.SampledFrom([]Phase{Ready, Draining}).Draw(t, "phase"),
			}
		}), 1, 10).Draw(t, "reports")
		for i := range reports {
			// Reports with the same ID, StartMillis and Sequence have the same content.
			u := &reports[i]
			u.Address = u.ID
			u.Slots = int(u.StartMillis)*10 + int(u.Sequence)
		}
		shuffled := rapid.Permutation(reports).Draw(t, "shuffled")
		one, two := NewTable(), NewTable()
		for i := range reports {
			observe(one, reports[i])
			observe(two, shuffled[i])
		}
		require.Equal(t, one.All(), two.All())
	})
}

// Guards against unbounded growth of the table.
func TestRemoveOlderThan(t *testing.T) {
	table := NewTable()
	table.Observe(start, Upstream{ID: "a", Address: "1", StartMillis: 1})
	table.Observe(start.Add(time.Minute), Upstream{ID: "b", Address: "2", StartMillis: 1})
	table.RemoveOlderThan(start.Add(30 * time.Second))
	_, ok := table.Get("a")
	require.False(t, ok)
	_, ok = table.Get("b")
	require.True(t, ok)
}

// Guards against an upstream that is used again because a heartbeat says that it is
// ready after it was told to be leaving, or because its departure was reported late.
func TestDrainingIsFinalForAnIncarnation(t *testing.T) {
	table := NewTable()
	phase := func() Phase { u, _ := table.Get("a"); return u.Phase }
	observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 5})
	require.False(t, table.Drain("a", 9, Draining), "an earlier incarnation")
	require.False(t, table.Drain("a", 10, Ready))
	require.True(t, table.Drain("a", 10, Draining))
	require.False(t, table.Drain("a", 10, Draining))
	require.True(t, observe(table, Upstream{ID: "a", Address: "1", StartMillis: 10, Sequence: 6, Slots: 7}))
	require.Equal(t, Draining, phase())
	observe(table, Upstream{ID: "a", Address: "1", StartMillis: 20, Sequence: 1})
	require.Equal(t, Ready, phase(), "a new incarnation starts clean")
	accepted, changed := table.Observe(start, Upstream{ID: "a", Address: "1", StartMillis: 20, Sequence: 0, Phase: Draining})
	require.True(t, accepted && changed, "a departure that is reported late")
	require.Equal(t, Draining, phase())
}

// Guards against taking one of two upstreams for ended because the records of their
// departures have no address. What is known of an upstream is kept.
func TestDeparturesWithoutAddress(t *testing.T) {
	table := NewTable()
	observe(table, Upstream{ID: "known", Address: "1", Service: "s", StartMillis: 10, Sequence: 5})
	for _, id := range []string{"a", "b", "known"} {
		require.True(t, observe(table, Upstream{ID: id, StartMillis: 10, Phase: Draining}))
	}
	for _, u := range table.All() {
		require.Equal(t, Draining, u.Phase, u.ID)
		require.False(t, u.Replaced, u.ID)
	}
	u, _ := table.Get("known")
	require.Equal(t, "1", u.Address)
	require.True(t, observe(table, Upstream{ID: "a", Address: "2", Service: "s", StartMillis: 10, Sequence: 4}))
	u, _ = table.Get("a")
	require.Equal(t, Draining, u.Phase, "a report that was sent before")
	require.Equal(t, "2", u.Address)
}
