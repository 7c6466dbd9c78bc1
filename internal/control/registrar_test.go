package control

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/fleet"
)

// Guards against one report of another writer, with a number that is no time, that
// outdates all reports of an upstream for good.
func TestReportFromTheFutureIsIgnored(t *testing.T) {
	c := startControl(t, "127.0.0.1")
	started := time.Now().UnixMilli()
	report := func(start int64, sequence uint64, address string) {
		c.HandleReport(fleet.Upstream{ID: "u", Service: "s", Address: address, FailureDomain: "z", StartMillis: start, Sequence: sequence})
	}
	known := func() fleet.Upstream {
		c.mu.Lock()
		defer c.mu.Unlock()
		u, found := c.table.Get("u")
		require.True(t, found)
		return u
	}
	report(started, 1, "10.0.0.1:80")
	for _, future := range []int64{math.MaxInt64, started + 24*time.Hour.Milliseconds()} {
		report(future, 1, "10.0.0.2:80")
		c.HandleDeparture("u", future)
	}
	report(started, 2, "10.0.0.3:80")
	require.Equal(t, "10.0.0.3:80", known().Address)
	require.Equal(t, fleet.Ready, known().Phase)
	report(started+time.Minute.Milliseconds(), 1, "10.0.0.4:80")
	require.Equal(t, "10.0.0.4:80", known().Address, "a clock that is ahead by a minute")
}
