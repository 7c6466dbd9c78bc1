package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// Guards against totals that include the requests of an entry that is gone, and
// against computing the totals separately for each subscriber.
func TestLoadTotals(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	c := &Control{subscribers: map[string]*subscriber{
		"one":   {loads: map[string]int{"u": 2, "v": 1}, loadsAt: now},
		"two":   {loads: map[string]int{"u": 3}, loadsAt: now.Add(-LoadReportTimeout / 2)},
		"gone":  {loads: map[string]int{"u": 40}, loadsAt: now.Add(-2 * LoadReportTimeout)},
		"quiet": {},
	}}
	total := c.loadTotals(now)
	require.Equal(t, map[string]int{"u": 5, "v": 1}, mesh.DecodeLoads(total))
	require.Same(t, total, c.loadTotals(now.Add(LoadReportInterval/4)))
	c.subscribers["one"].loads = nil
	require.Equal(t, map[string]int{"u": 3}, mesh.DecodeLoads(c.loadTotals(now.Add(LoadReportInterval))))
}
