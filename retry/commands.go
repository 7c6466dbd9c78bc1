package retry

import (
	"math/rand/v2"
	"time"
)

// New returns a policy that starts with a full entry budget.
func New(cfg Config, now time.Time) *Policy {
	p := &Policy{cfg: cfg.withDefaults(), accounts: map[string]*accountBucket{}, latencies: map[string]*latencyWindow{}}
	p.entry = bucket{p.cfg.Entry.Burst, now}
	p.lru.newer, p.lru.older = &p.lru, &p.lru
	return p
}

// RecordFirstAttempt records a first attempt and credits both budgets with
// their ratio.
func (p *Policy) RecordFirstAttempt(now time.Time, account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.refill(now, &p.cfg.Entry, p.cfg.Entry.Ratio)
	p.touchAccount(now, account).refill(now, &p.cfg.Account, p.cfg.Account.Ratio)
}

// Decide reports whether to retry a request after a failed attempt and, if so,
// consumes a token from both budgets. The delay is the one requested by the
// upstream plus a random backoff, drawn uniformly from zero to a bound that
// doubles with each attempt up to MaxBackoff.
func (p *Policy) Decide(now time.Time, random rand.Source, a Attempt) Decision {
	if reason := p.denyReason(a); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	after := a.RetryAfter + p.backoff(random, a.Number)
	if !now.Add(after + a.MinAnswerTime).Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if reason := p.takeTokens(now, a.Account); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, After: after}
}

// HedgeRequest describes an attempt that is still in progress.
type HedgeRequest struct {
	Account    string
	Idempotent bool
	// AnswerStarted reports whether the first byte of the answer has arrived.
	AnswerStarted bool
	Deadline      time.Time
	// MinAnswerTime is the minimum time that an answer takes.
	MinAnswerTime time.Duration
}

// Hedge reports whether to send a second copy of a request now and, if so,
// consumes a token from both budgets. The caller waits for HedgeDelay first.
func (p *Policy) Hedge(now time.Time, h HedgeRequest) Decision {
	switch {
	case !h.Idempotent:
		return Decision{Reason: ReasonNotIdempotent}
	case h.AnswerStarted:
		return Decision{Reason: ReasonFirstByte}
	case !now.Add(h.MinAnswerTime).Before(h.Deadline):
		return Decision{Reason: ReasonDeadline}
	}
	if reason := p.takeTokens(now, h.Account); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true}
}

// ObserveLatency records the first-byte latency of a successful attempt. It
// ignores services that are not in the set given to SetServices.
func (p *Policy) ObserveLatency(service string, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.latencies[service]; l != nil {
		l.add(latency)
	}
}

// SetServices replaces the set of services whose latencies are tracked.
func (p *Policy) SetServices(services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*latencyWindow, len(services))
	for _, s := range services {
		if kept[s] = p.latencies[s]; kept[s] == nil {
			kept[s] = &latencyWindow{}
		}
	}
	p.latencies = kept
}

// takeTokens consumes a token from both budgets, or from neither if one of them
// is exhausted.
func (p *Policy) takeTokens(now time.Time, account string) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.refill(now, &p.cfg.Entry, 0)
	accountBudget := p.touchAccount(now, account)
	accountBudget.refill(now, &p.cfg.Account, 0)
	switch {
	case p.entry.tokens < 1:
		return ReasonEntryBudget
	case accountBudget.tokens < 1:
		return ReasonAccountBudget
	}
	p.entry.tokens--
	accountBudget.tokens--
	return ReasonNone
}

// touchAccount returns the bucket of an account and marks it as the most
// recently used. It evicts the least recently used account at the limit.
func (p *Policy) touchAccount(now time.Time, id string) *accountBucket {
	a := p.accounts[id]
	if a == nil {
		if len(p.accounts) >= p.cfg.MaxAccounts {
			oldest := p.lru.newer
			oldest.unlink()
			delete(p.accounts, oldest.id)
		}
		a = &accountBucket{id: id, bucket: bucket{p.cfg.Account.Burst, now}}
		p.accounts[id] = a
	} else {
		a.unlink()
	}
	a.older, a.newer = p.lru.older, &p.lru
	a.older.newer, a.newer.older = a, a
	return a
}

func (a *accountBucket) unlink() {
	a.older.newer, a.newer.older = a.newer, a.older
}
