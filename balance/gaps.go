package balance

import (
	"slices"
	"time"
)

// GapTracker tracks the average gap between the events of an upstream's streams.
type GapTracker struct {
	averageGap time.Duration
	updatedAt  time.Time
}

const (
	// gapSmoothing is the weight of a new gap in the moving average. An entry sees
	// about 30 events per second from a group, so the average covers about one
	// second.
	gapSmoothing = 0.04
	// gapTTL is the time after which the average is discarded. A slow upstream
	// then receives requests again and is measured again.
	gapTTL = 3 * time.Second
	// slowThreshold is the ratio to the median gap from which an upstream counts
	// as slow. Prompts that are read between events cause smaller differences.
	slowThreshold = 1.6
)

// Observe records the time between two events of a stream.
func (t *GapTracker) Observe(now time.Time, gap time.Duration) {
	if t.averageGap == 0 || now.Sub(t.updatedAt) > gapTTL {
		t.averageGap = gap
	}
	t.averageGap += time.Duration(gapSmoothing * float64(gap-t.averageGap))
	t.updatedAt = now
}

// Gap returns the average time between events, or zero if there is no recent
// measurement.
func (t *GapTracker) Gap(now time.Time) time.Duration {
	if now.Sub(t.updatedAt) > gapTTL {
		return 0
	}
	return t.averageGap
}

// SlowdownFactors returns the slowdown factor of each upstream: the ratio of its
// gap to the median for slow upstreams, and 1 for all others, including those
// without a known gap.
func SlowdownFactors(gaps []time.Duration) []float64 {
	known := slices.DeleteFunc(slices.Clone(gaps), func(g time.Duration) bool { return g == 0 })
	factors := make([]float64, len(gaps))
	for i := range factors {
		factors[i] = 1
	}
	if len(known) == 0 {
		return factors
	}
	slices.Sort(known)
	median := float64(known[(len(known)-1)/2])
	for i, gap := range gaps {
		if factor := float64(gap) / max(median, 1); factor >= slowThreshold {
			factors[i] = factor
		}
	}
	return factors
}
