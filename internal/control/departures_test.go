package control

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/fault"
)

// Guards against an upstream that is used again after its departure was acknowledged,
// because all processes ended before a report arrived that it had sent earlier.
func TestDepartureOutlivesAllProcesses(t *testing.T) {
	for _, test := range []struct {
		name   string
		depart func(t *testing.T, c *Control, u fleet.Upstream) error
		want   fleet.Phase
	}{
		{"deregistered", func(t *testing.T, c *Control, u fleet.Upstream) error {
			return c.HandleDeparture(t.Context(), u.ID, u.StartMillis)
		}, fleet.Gone},
		{"deregistered without a start", func(t *testing.T, c *Control, u fleet.Upstream) error {
			return c.HandleDeparture(t.Context(), u.ID, 0)
		}, fleet.Gone},
		{"deregistered again", func(t *testing.T, c *Control, u fleet.Upstream) error {
			require.NoError(t, c.HandleDeparture(t.Context(), u.ID, 0))
			return c.HandleDeparture(t.Context(), u.ID, 0)
		}, fleet.Gone},
		{"draining", func(t *testing.T, c *Control, u fleet.Upstream) error {
			u.Phase, u.Sequence = fleet.Draining, u.Sequence+2
			return c.HandleReport(t.Context(), u)
		}, fleet.Draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			c, stop := startControlAt(t, folder, nil, "127.0.0.1")
			listServices(t, c, 1, "s")
			report := fleet.Upstream{ID: "u", Service: "s", Address: "10.0.0.1:80", FailureDomain: "z", StartMillis: time.Now().UnixMilli(), Sequence: 1}
			require.NoError(t, c.HandleReport(t.Context(), report))
			require.NoError(t, test.depart(t, c, report))
			stop()

			c, stop = startControlAt(t, folder, nil, "127.0.0.1")
			defer stop()
			report.Sequence++
			require.NoError(t, c.HandleReport(t.Context(), report))
			require.Eventually(t, func() bool { u, known := registered(c, "u"); return known && u.Phase == test.want }, 10*time.Second, time.Millisecond)
			time.Sleep(100 * time.Millisecond)
			report.Sequence++
			require.NoError(t, c.HandleReport(t.Context(), report))
			u, _ := registered(c, "u")
			require.Equal(t, test.want, u.Phase)
			report.StartMillis, report.Sequence = report.StartMillis+1, 1
			require.NoError(t, c.HandleReport(t.Context(), report))
			u, _ = registered(c, "u")
			require.Equal(t, fleet.Ready, u.Phase, "a new incarnation")
		})
	}
}

// Guards against acknowledging a departure that only this process knows. It takes
// effect nevertheless.
func TestDepartureWithoutMajorityIsNotAcknowledged(t *testing.T) {
	c := startControl(t, "127.0.0.1", "10.0.0.2", "10.0.0.3")
	born := time.Now().UnixMilli()
	err := c.HandleDeparture(t.Context(), "u", born)
	require.Equal(t, fault.Unavailable, fault.CodeOf(err))
	u, known := registered(c, "u")
	require.True(t, known)
	require.Equal(t, fleet.Gone, u.Phase)
}

// Guards against departures that are not acknowledged in time because each waits for a
// sync of its own, as when a service is shut down at once.
func TestManyDeparturesAreAcknowledgedInTime(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	listServices(t, c, 1, "s")
	born := time.Now().UnixMilli()
	var wg sync.WaitGroup
	errs := make([]error, 1000)
	for n := range errs {
		wg.Go(func() { errs[n] = c.HandleDeparture(t.Context(), fmt.Sprint("u", n), born) })
	}
	wg.Wait()
	for _, err := range errs {
		require.NoError(t, err)
	}
	require.Equal(t, len(errs), c.machine.DepartureCount())
}
