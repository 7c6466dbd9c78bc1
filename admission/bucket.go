package admission

import (
	"math"
	"time"
)

// tokenBucket is a token bucket rate limiter. A negative rate means unlimited.
// The level drops below zero if a request used more than its estimate.
type tokenBucket struct {
	rate, size, level float64
	updatedAt         time.Time
}

// configure sets the rate in units per second and reports whether it was
// lowered. The level is capped at the new size.
func (b *tokenBucket) configure(now time.Time, rate float64, burst time.Duration) (tightened bool) {
	if rate == b.rate && !b.updatedAt.IsZero() {
		return false
	}
	size := math.Max(1, rate*burst.Seconds())
	if rate == 0 {
		size = 0
	}
	fresh := b.updatedAt.IsZero() || b.rate < 0
	b.refill(now)
	tightened = rate >= 0 && (b.rate < 0 || rate < b.rate)
	b.rate, b.size = rate, size
	if fresh {
		b.level = size
	}
	b.level = math.Min(b.level, size)
	return tightened
}

func (b *tokenBucket) refill(now time.Time) {
	if b.rate > 0 && now.After(b.updatedAt) {
		b.level = math.Min(b.size, b.level+b.rate*now.Sub(b.updatedAt).Seconds())
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// waitTime returns the time until n can be taken from the bucket. A request
// larger than the bucket is allowed when the bucket is full. A rate of zero
// yields waitForever.
func (b *tokenBucket) waitTime(now time.Time, n float64) time.Duration {
	if b.rate < 0 || n <= 0 {
		return 0
	}
	if b.rate == 0 {
		return waitForever
	}
	b.refill(now)
	deficit := math.Min(n, b.size) - b.level
	// Repeated refills accumulate floating-point rounding errors.
	if deficit <= 1e-9*b.size {
		return 0
	}
	return time.Duration(math.Ceil(deficit / b.rate * float64(time.Second)))
}

// charge takes n from the bucket; a negative n is a refund.
func (b *tokenBucket) charge(now time.Time, n float64) {
	if b.rate < 0 {
		return
	}
	b.refill(now)
	b.level = math.Min(b.size, b.level-n)
}

// decayingRate is an exponentially decaying average of a rate.
type decayingRate struct {
	perSecond float64
	updatedAt time.Time
}

// rateTimeConstant is the time constant of decayingRate. It spans a few demand
// reports, and is short enough to release a share soon after demand stops.
const rateTimeConstant = 2 * time.Second

func (r *decayingRate) add(now time.Time, n float64) {
	r.perSecond = r.value(now) + n/rateTimeConstant.Seconds()
	r.updatedAt = now
}

func (r *decayingRate) value(now time.Time) float64 {
	if r.perSecond == 0 {
		return 0
	}
	return r.perSecond * math.Exp(-max(0, now.Sub(r.updatedAt).Seconds())/rateTimeConstant.Seconds())
}

const waitForever = time.Duration(math.MaxInt64)

// limiter enforces the limits of one account, over all services or at one.
type limiter struct {
	concurrent int
	running    int
	queued     int
	requests   tokenBucket
	tokens     tokenBucket
	// Rates of submitted requests, admitted or not.
	offeredRequests, offeredTokens decayingRate
}

func (lim *limiter) configure(now time.Time, l Limits, burst time.Duration) (tightened bool) {
	lim.concurrent = l.Concurrent
	perSecond := l.TokensPerMinute
	if perSecond > 0 {
		perSecond /= 60
	}
	requests := lim.requests.configure(now, l.RequestsPerSecond, burst)
	// Token limits are per minute, so the bucket holds one minute of tokens.
	tokens := lim.tokens.configure(now, perSecond, time.Minute)
	return requests || tokens
}

// availableConcurrency returns how many more requests the limit allows to run.
func (lim *limiter) availableConcurrency() int {
	if lim.concurrent < 0 {
		return math.MaxInt
	}
	return max(0, lim.concurrent-lim.running)
}

func (lim *limiter) waitTime(now time.Time, tokens int) time.Duration {
	return max(lim.requests.waitTime(now, 1), lim.tokens.waitTime(now, float64(tokens)))
}

func (lim *limiter) charge(now time.Time, requests, tokens float64) {
	lim.requests.charge(now, requests)
	lim.tokens.charge(now, tokens)
}
