package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// historySlots times historyStep is 4 s: the default maximum report age of
	// 3 s plus a margin of 1 s.
	historySlots = 64
	historyStep  = 62500 * time.Microsecond
	// latencySmoothing is the weight of the newest observation in the
	// exponential moving average of the first-token latency.
	latencySmoothing = 0.2
	// fullShare is the traffic share, in permille, of an upstream that is neither
	// ejected nor being readmitted.
	fullShare = 1000
)

// Counters hold what this entry has observed of an upstream incarnation through
// its own requests. They are shared by successive tables.
type Counters struct {
	inFlight       atomic.Int64
	latency        atomic.Uint64 // float64 bits, seconds; 0 without observations
	share          atomic.Int32  // traffic share in permille
	exhaustedUntil atomic.Int64  // Unix nanoseconds
	// history is a ring buffer of the requests in flight at the end of each time
	// step: the step number in the upper 32 bits and the count in the lower.
	history [historySlots]atomic.Uint64
}

func newCounters() *Counters {
	c := &Counters{}
	c.share.Store(fullShare)
	return c
}

// InFlight returns the number of this entry's requests at the upstream.
func (c *Counters) InFlight() int { return int(c.inFlight.Load()) }

// Latency returns the moving average of the first-token latency in seconds, or 0
// without observations.
func (c *Counters) Latency() float64 { return math.Float64frombits(c.latency.Load()) }

// Share returns the traffic share of the upstream in permille.
func (c *Counters) Share() int { return int(c.share.Load()) }

func (c *Counters) addInFlight(now time.Time, n int64) {
	count := c.inFlight.Add(n)
	step := now.UnixNano() / int64(historyStep)
	c.history[step%historySlots].Store(uint64(uint32(step))<<32 | uint64(uint32(count)))
}

// inFlightAt returns the number of requests in flight before the step that
// contains at, which must be within the last 4 s. A request that began shortly
// before a report is thus counted twice rather than not at all. The result is 0
// before the first change.
func (c *Counters) inFlightAt(at time.Time) int64 {
	step := uint32(at.UnixNano() / int64(historyStep))
	var count int64
	nearest := int32(-1 << 31)
	for i := range c.history {
		packed := c.history[i].Load()
		// The signed difference of the truncated step numbers stays correct
		// when they wrap around, every 8.5 years.
		if age := int32(uint32(packed>>32) - step); packed != 0 && age < 0 && age > nearest {
			nearest, count = age, int64(int32(uint32(packed)))
		}
	}
	return count
}

func (c *Counters) observeLatency(latency time.Duration) {
	seconds := latency.Seconds()
	for {
		old := c.latency.Load()
		value := seconds
		if old != 0 {
			value = math.Float64frombits(old)*(1-latencySmoothing) + seconds*latencySmoothing
		}
		if c.latency.CompareAndSwap(old, math.Float64bits(value)) {
			return
		}
	}
}
