package admission

import (
	"math"
	"time"
)

// bucket is a token bucket. A negative rate is no limit. The level may fall
// under zero when a request used more than it was charged for.
type bucket struct {
	rate, size, level float64
	at                time.Time
}

// configure sets the rate in units per second and reports whether it fell. A
// level over the new size is cut.
func (b *bucket) configure(now time.Time, rate float64, burst time.Duration) (tightened bool) {
	if rate == b.rate && !b.at.IsZero() {
		return false
	}
	size := math.Max(1, rate*burst.Seconds())
	if rate == 0 {
		size = 0
	}
	fresh := b.at.IsZero() || b.rate < 0
	b.refill(now)
	tightened = rate >= 0 && (b.rate < 0 || rate < b.rate)
	b.rate, b.size = rate, size
	if fresh {
		b.level = size
	}
	b.level = math.Min(b.level, size)
	return tightened
}

func (b *bucket) refill(now time.Time) {
	if b.rate > 0 && now.After(b.at) {
		b.level = math.Min(b.size, b.level+b.rate*now.Sub(b.at).Seconds())
	}
	if now.After(b.at) {
		b.at = now
	}
}

// wait returns how long until the bucket can pay n. A request larger than the
// bucket passes when the bucket is full. Never is returned for rate zero.
func (b *bucket) wait(now time.Time, n float64) time.Duration {
	if b.rate < 0 || n <= 0 {
		return 0
	}
	if b.rate == 0 {
		return never
	}
	b.refill(now)
	missing := math.Min(n, b.size) - b.level
	// Refilling in steps accumulates rounding errors in the last digits.
	if missing <= 1e-9*b.size {
		return 0
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// charge takes n, or returns -n to the bucket.
func (b *bucket) charge(now time.Time, n float64) {
	if b.rate < 0 {
		return
	}
	b.refill(now)
	b.level = math.Min(b.size, b.level-n)
}

// meter is a rate over the recent past: an exponentially decaying average.
type meter struct {
	perSecond float64
	at        time.Time
}

// meterWindow is the time constant of meters. It smooths over a few reports of
// demand without keeping a share long after the demand has gone.
const meterWindow = 2 * time.Second

func (m *meter) add(now time.Time, n float64) {
	m.perSecond = m.read(now) + n/meterWindow.Seconds()
	m.at = now
}

func (m *meter) read(now time.Time) float64 {
	if m.perSecond == 0 {
		return 0
	}
	return m.perSecond * math.Exp(-max(0, now.Sub(m.at).Seconds())/meterWindow.Seconds())
}

const never = time.Duration(math.MaxInt64)

// gate holds the limits of one account, over all services or at one of them.
type gate struct {
	concurrent int
	running    int
	queued     int
	requests   bucket
	tokens     bucket
	// Offered work, whether it was admitted or not.
	offered, offeredTokens meter
}

func (g *gate) configure(now time.Time, l Limits, burst time.Duration) (tightened bool) {
	g.concurrent = l.Concurrent
	perSecond := l.TokensPerMinute
	if perSecond > 0 {
		perSecond /= 60
	}
	requests := g.requests.configure(now, l.RequestsPerSecond, burst)
	// Token limits are per minute, so the bucket holds a minute's worth.
	tokens := g.tokens.configure(now, perSecond, time.Minute)
	return requests || tokens
}

// room returns how many more requests may run.
func (g *gate) room() int {
	if g.concurrent < 0 {
		return math.MaxInt
	}
	return max(0, g.concurrent-g.running)
}

func (g *gate) wait(now time.Time, tokens int) time.Duration {
	return max(g.requests.wait(now, 1), g.tokens.wait(now, float64(tokens)))
}

func (g *gate) charge(now time.Time, requests, tokens float64) {
	g.requests.charge(now, requests)
	g.tokens.charge(now, tokens)
}
