package routing

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// historySlots times historyStep covers the 3 s for which a report may be
	// used, with a margin of a second.
	historySlots = 64
	historyStep  = 62500 * time.Microsecond
	// latencyWeight is the weight of the newest observation in the moving
	// average of the first-token latency.
	latencyWeight = 0.2
	// fullShare is the share, in permille, of an upstream that is not ejected.
	fullShare = 1000
)

// Counters hold what this entry knows of an incarnation of an upstream by its
// own requests. They outlive the tables that refer to them.
type Counters struct {
	inFlight       atomic.Int64
	latency        atomic.Uint64 // float64 bits, seconds; 0 without observations
	share          atomic.Int32  // permille of its traffic that an upstream gets
	exhaustedUntil atomic.Int64  // Unix nanoseconds
	// history holds the requests in flight at the end of each step, as the
	// step's number in the upper and the count in the lower 32 bits.
	history [historySlots]atomic.Uint64
}

func newCounters() *Counters {
	c := &Counters{}
	c.share.Store(fullShare)
	return c
}

// InFlight returns the number of this entry's requests at the upstream.
func (c *Counters) InFlight() int { return int(c.inFlight.Load()) }

// Latency returns the moving average of the first-token latency in seconds, 0
// without observations.
func (c *Counters) Latency() float64 { return math.Float64frombits(c.latency.Load()) }

// Share returns the permille of its traffic that the upstream gets.
func (c *Counters) Share() int { return int(c.share.Load()) }

func (c *Counters) add(now time.Time, n int64) {
	count := c.inFlight.Add(n)
	step := now.UnixNano() / int64(historyStep)
	c.history[step%historySlots].Store(uint64(uint32(step))<<32 | uint64(uint32(count)))
}

// inFlightAt returns the requests in flight before the step that contains a
// time of the last 4 s, so that a request begun shortly before a report is
// counted twice rather than not at all. Before the first change it is 0.
func (c *Counters) inFlightAt(at time.Time) int64 {
	step := uint32(at.UnixNano() / int64(historyStep))
	var count int64
	nearest := int32(-1 << 31)
	for i := range c.history {
		packed := c.history[i].Load()
		// The difference of truncated step numbers is right across their
		// wrap-around, which comes every 8.5 years.
		if age := int32(uint32(packed>>32) - step); packed != 0 && age < 0 && age > nearest {
			nearest, count = age, int64(int32(uint32(packed)))
		}
	}
	return count
}

func (c *Counters) observe(latency time.Duration) {
	seconds := latency.Seconds()
	for {
		old := c.latency.Load()
		value := seconds
		if old != 0 {
			value = math.Float64frombits(old)*(1-latencyWeight) + seconds*latencyWeight
		}
		if c.latency.CompareAndSwap(old, math.Float64bits(value)) {
			return
		}
	}
}
