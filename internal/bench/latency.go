package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// LatencyHistogram records durations from 100 ns to 10 min with three
// significant digits.
type LatencyHistogram struct{ h *hdrhistogram.Histogram }

// NewLatencyHistogram returns an empty histogram.
func NewLatencyHistogram() *LatencyHistogram {
	return &LatencyHistogram{hdrhistogram.New(100, int64(10*time.Minute), 3)}
}

// Record adds a duration, clamped to the range of the histogram.
func (l *LatencyHistogram) Record(d time.Duration) {
	// RecordValue fails only for values outside the range.
	_ = l.h.RecordValue(min(max(int64(d), 100), int64(10*time.Minute)))
}

// Count returns the number of recorded durations.
func (l *LatencyHistogram) Count() int64 { return l.h.TotalCount() }

// Quantile returns the value at a percentile q from 0 to 100.
func (l *LatencyHistogram) Quantile(q float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(q))
}

// Max returns the longest recorded duration.
func (l *LatencyHistogram) Max() time.Duration { return time.Duration(l.h.Max()) }

// Milliseconds converts a duration to fractional milliseconds.
func Milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
