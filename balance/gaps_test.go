package balance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a slow group that is not detected, and against normal
// differences between groups being reported as slowness.
func TestSlownessIsRelativeToTheOthers(t *testing.T) {
	ms := func(values ...int) []time.Duration {
		gaps := make([]time.Duration, len(values))
		for i, v := range values {
			gaps[i] = time.Duration(v) * time.Millisecond
		}
		return gaps
	}
	require.Equal(t, []float64{1, 1, 1, 1}, SlowdownFactors(ms(40, 46, 52, 60)))
	require.Equal(t, []float64{1, 4, 1}, SlowdownFactors(ms(40, 160, 40)))
	require.Equal(t, []float64{1, 1, 3}, SlowdownFactors(ms(0, 40, 120)))
	require.Equal(t, []float64{1, 1}, SlowdownFactors(ms(0, 0)))
	require.Equal(t, []float64{1, 1}, SlowdownFactors(ms(160, 160)), "no upstream is slow if all gaps are equal")
}

// Guards against a group that is avoided forever after it was slow for a while.
func TestPaceIsForgotten(t *testing.T) {
	now := time.UnixMilli(1_000_000)
	var tracker GapTracker
	for range 100 {
		now = now.Add(30 * time.Millisecond)
		tracker.Observe(now, 160*time.Millisecond)
	}
	require.Equal(t, 160*time.Millisecond, tracker.Gap(now))
	require.Zero(t, tracker.Gap(now.Add(gapTTL+time.Millisecond)))
	now = now.Add(2 * gapTTL)
	tracker.Observe(now, 40*time.Millisecond)
	require.Equal(t, 40*time.Millisecond, tracker.Gap(now), "the old average is discarded")
}
