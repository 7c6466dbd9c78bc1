package retry

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Tokens returns the number of tokens in the entry budget.
func (p *Policy) Tokens(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.entry
	b.refill(now, &p.cfg.Entry, 0)
	return b.tokens
}

// HedgeDelay returns the 95th percentile of the recent latencies of a service,
// after which an unanswered idempotent request may be hedged. It returns false
// if there are fewer than HedgeSamples latencies.
func (p *Policy) HedgeDelay(service string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.latencies[service]
	if l == nil || l.count() < p.cfg.HedgeSamples {
		return 0, false
	}
	return l.p95(), true
}

// denyReason returns why an attempt must not be retried regardless of budget
// and deadline, or ReasonNone.
func (p *Policy) denyReason(a Attempt) Reason {
	switch {
	case a.Outcome == Ran:
		return ReasonRan
	case a.Outcome != NotRun && !a.Idempotent:
		return ReasonNotIdempotent
	case a.Number >= p.cfg.MaxAttempts:
		return ReasonAttempts
	}
	return ReasonNone
}

// backoff returns a random delay from zero to the upper bound of the attempt
// (exponential backoff with full jitter).
func (p *Policy) backoff(random rand.Source, attempt int) time.Duration {
	bound := p.cfg.BaseBackoff
	for i := 1; i < attempt && bound < p.cfg.MaxBackoff; i++ {
		bound *= 2
	}
	return time.Duration(rand.New(random).Int64N(int64(min(bound, p.cfg.MaxBackoff)) + 1))
}

// latencySamples is the number of most recent latencies kept for each service.
const latencySamples = 256

// p95RefreshCount is the number of new latencies after which the cached
// percentile is recomputed; sorting for each request would cost about 10 µs.
const p95RefreshCount = 32

// latencyWindow is a ring buffer of the recent latencies of a service, with a
// cached 95th percentile.
type latencyWindow struct {
	recent        [latencySamples]time.Duration
	added         int
	cachedP95     time.Duration
	p95ComputedAt int
}

func (l *latencyWindow) count() int { return min(l.added, latencySamples) }

func (l *latencyWindow) add(latency time.Duration) {
	l.recent[l.added%latencySamples] = latency
	l.added++
}

func (l *latencyWindow) p95() time.Duration {
	if l.p95ComputedAt != 0 && l.added-l.p95ComputedAt < p95RefreshCount {
		return l.cachedP95
	}
	sorted := append([]time.Duration(nil), l.recent[:l.count()]...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	l.cachedP95, l.p95ComputedAt = sorted[len(sorted)*95/100], l.added
	return l.cachedP95
}
