package boottime

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a clock that goes back, that runs at another speed than the steady
// clock, or that is compared by the steady clock.
func TestNow(t *testing.T) {
	first, steady := Now(), time.Now()
	last := first
	for time.Since(steady) < 50*time.Millisecond {
		now := Now()
		require.False(t, now.Before(last))
		last = now
	}
	require.InDelta(t, float64(time.Since(steady)), float64(Now().Sub(first)), float64(20*time.Millisecond))
	require.Equal(t, first, first.Round(0), "no reading of the steady clock")
}
