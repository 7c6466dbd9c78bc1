package deploymentstate

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func recordDepartures(t *testing.T, m *Machine, now int64, all ...*Departure) {
	command, err := EncodeRecordDepartures(time.UnixMilli(now), all)
	require.NoError(t, err)
	require.NotNil(t, m.Apply(1, command))
}

// Guards against departures that are forgotten too early, reverted by an older one, or
// kept without an end.
func TestDeparturesAreKeptUntilTheirEnd(t *testing.T) {
	m := New()
	recordDepartures(t, m, 0, &Departure{Upstream: "a", StartUnixMillis: 10, UntilUnixMillis: 100})
	require.True(t, m.HasDeparture("a", 10, false))
	require.True(t, m.HasDeparture("a", 9, true), "an earlier incarnation")
	require.False(t, m.HasDeparture("a", 10, true), "draining is not gone")
	require.False(t, m.HasDeparture("a", 11, false), "a later incarnation")
	require.False(t, m.HasDeparture("b", 10, false))

	recordDepartures(t, m, 1, &Departure{Upstream: "a", StartUnixMillis: 10, Gone: true, UntilUnixMillis: 110})
	recordDepartures(t, m, 2, &Departure{Upstream: "a", StartUnixMillis: 10, UntilUnixMillis: 200}, &Departure{Upstream: "a", StartUnixMillis: 9, Gone: true, UntilUnixMillis: 200})
	require.True(t, m.HasDeparture("a", 10, true), "a late report of the drain")

	snapshot, err := m.Snapshot()
	require.NoError(t, err)
	restored := New()
	require.NoError(t, restored.Restore(snapshot))
	require.True(t, restored.HasDeparture("a", 10, true))
	for _, m := range []*Machine{m, restored} {
		recordDepartures(t, m, 109, &Departure{Upstream: "b", StartUnixMillis: 5, UntilUnixMillis: 300})
		require.Equal(t, 2, m.DepartureCount())
		recordDepartures(t, m, 110)
		require.Equal(t, 1, m.DepartureCount())
		require.True(t, m.HasDeparture("b", 5, false))
	}
}

// Guards against applying all departures again after each new one, and against missing
// one.
func TestOnlyNewDeparturesAreListed(t *testing.T) {
	m := New()
	changes, all := m.Departures(0)
	require.Empty(t, all)
	recordDepartures(t, m, 0, &Departure{Upstream: "b", StartUnixMillis: 1, UntilUnixMillis: 9}, &Departure{Upstream: "a", StartUnixMillis: 1, UntilUnixMillis: 9})
	changes, all = m.Departures(changes)
	require.Len(t, all, 2)
	require.Equal(t, "a", all[0].Upstream)
	recordDepartures(t, m, 1, &Departure{Upstream: "c", StartUnixMillis: 1, UntilUnixMillis: 9})
	changes, all = m.Departures(changes)
	require.Len(t, all, 1)
	require.Equal(t, "c", all[0].Upstream)
	_, all = m.Departures(changes)
	require.Empty(t, all)
}
