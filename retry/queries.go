package retry

import (
	"math/rand/v2"
	"sort"
	"time"
)

// Tokens returns the retries that the budget of the entry allows at once.
func (p *Policy) Tokens(now time.Time) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.entry
	b.refill(now, &p.cfg.Entry, 0)
	return b.tokens
}

// HedgeDelay returns the 95th percentile of the newest latencies of a service,
// after which an idempotent request without an answer may be hedged. It reports
// false without enough latencies.
func (p *Policy) HedgeDelay(service string) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.delays[service]
	if l == nil || l.count() < p.cfg.HedgeSamples {
		return 0, false
	}
	return l.p95(), true
}

// refuse returns the reason against any retry of an attempt.
func (p *Policy) refuse(a Attempt) Reason {
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

// backoff returns a delay that is uniform below the bound of the attempt.
func (p *Policy) backoff(random rand.Source, attempt int) time.Duration {
	bound := p.cfg.BaseBackoff
	for i := 1; i < attempt && bound < p.cfg.MaxBackoff; i++ {
		bound *= 2
	}
	return time.Duration(rand.New(random).Int64N(int64(min(bound, p.cfg.MaxBackoff)) + 1))
}

// latencySamples is the number of newest latencies kept of a service.
const latencySamples = 256

// refreshEvery is the number of new latencies after which the percentile is
// computed again; sorting for each request would cost about 10 µs.
const refreshEvery = 32

// latencies holds the newest latencies of a service.
type latencies struct {
	ring     [latencySamples]time.Duration
	taken    int
	quantile time.Duration
	asOf     int
}

func (l *latencies) count() int { return min(l.taken, latencySamples) }

func (l *latencies) add(latency time.Duration) {
	l.ring[l.taken%latencySamples] = latency
	l.taken++
}

func (l *latencies) p95() time.Duration {
	if l.asOf != 0 && l.taken-l.asOf < refreshEvery {
		return l.quantile
	}
	sorted := append([]time.Duration(nil), l.ring[:l.count()]...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] < sorted[j] })
	l.quantile, l.asOf = sorted[len(sorted)*95/100], l.taken
	return l.quantile
}
