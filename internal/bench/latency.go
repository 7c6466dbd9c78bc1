package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Latencies is a histogram of times from 100 ns to 10 min with three digits.
type Latencies struct{ h *hdrhistogram.Histogram }

// NewLatencies returns an empty histogram.
func NewLatencies() *Latencies {
	return &Latencies{hdrhistogram.New(100, int64(10*time.Minute), 3)}
}

// Record adds a time. Times out of range count as the nearest bound.
func (l *Latencies) Record(d time.Duration) {
	// The value is inside the range, so there is no error.
	_ = l.h.RecordValue(min(max(int64(d), 100), int64(10*time.Minute)))
}

// Count returns the number of recorded times.
func (l *Latencies) Count() int64 { return l.h.TotalCount() }

// At returns a quantile between 0 and 100.
func (l *Latencies) At(q float64) time.Duration { return time.Duration(l.h.ValueAtQuantile(q)) }

// Max returns the longest time.
func (l *Latencies) Max() time.Duration { return time.Duration(l.h.Max()) }

// Millis returns a time in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
