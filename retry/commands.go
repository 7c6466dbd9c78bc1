package retry

import (
	"math/rand/v2"
	"time"
)

// New returns a policy whose entry budget is full.
func New(cfg Config, now time.Time) *Policy {
	p := &Policy{cfg: cfg.withDefaults(), accounts: map[string]*accountBucket{}, delays: map[string]*latencies{}}
	p.entry = bucket{p.cfg.Entry.Burst, now}
	p.list.newer, p.list.older = &p.list, &p.list
	return p
}

// First counts a first attempt, which adds to the budgets.
func (p *Policy) First(now time.Time, account string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.refill(now, &p.cfg.Entry, p.cfg.Entry.Ratio)
	p.account(now, account).refill(now, &p.cfg.Account, p.cfg.Account.Ratio)
}

// Decide says whether to send a request again after an attempt, and takes the
// retry from the budgets if so. The delay is uniform between zero and a bound
// that doubles with each attempt.
func (p *Policy) Decide(now time.Time, random rand.Source, a Attempt) Decision {
	if reason := p.refuse(a); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	after := a.RetryAfter + p.backoff(random, a.Number)
	if !now.Add(after + a.Needed).Before(a.Deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if reason := p.take(now, a.Account); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true, After: after}
}

// HedgeRequest describes an attempt that has no answer yet.
type HedgeRequest struct {
	Account    string
	Idempotent bool
	// Begun says that the first byte of the answer has arrived.
	Begun    bool
	Deadline time.Time
	Needed   time.Duration
}

// Hedge says whether a second copy of a request is sent now, after the delay
// of HedgeDelay has passed without an answer, and takes it from the budgets if
// so.
func (p *Policy) Hedge(now time.Time, h HedgeRequest) Decision {
	switch {
	case !h.Idempotent:
		return Decision{Reason: ReasonNotIdempotent}
	case h.Begun:
		return Decision{Reason: ReasonFirstByte}
	case !now.Add(h.Needed).Before(h.Deadline):
		return Decision{Reason: ReasonDeadline}
	}
	if reason := p.take(now, h.Account); reason != ReasonNone {
		return Decision{Reason: reason}
	}
	return Decision{Retry: true}
}

// ObserveLatency takes in the first-byte latency of a successful attempt at a
// service. SetServices bounds the services that are tracked.
func (p *Policy) ObserveLatency(service string, latency time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if l := p.delays[service]; l != nil {
		l.add(latency)
	}
}

// SetServices replaces the set of services for which latencies are kept.
func (p *Policy) SetServices(services []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := make(map[string]*latencies, len(services))
	for _, s := range services {
		if kept[s] = p.delays[s]; kept[s] == nil {
			kept[s] = &latencies{}
		}
	}
	p.delays = kept
}

// take withdraws a token from both budgets or from none.
func (p *Policy) take(now time.Time, account string) Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entry.refill(now, &p.cfg.Entry, 0)
	own := p.account(now, account)
	own.refill(now, &p.cfg.Account, 0)
	switch {
	case p.entry.tokens < 1:
		return ReasonEntryBudget
	case own.tokens < 1:
		return ReasonAccountBudget
	}
	p.entry.tokens--
	own.tokens--
	return ReasonNone
}

// account returns the bucket of an account and makes it the newest.
func (p *Policy) account(now time.Time, id string) *accountBucket {
	a := p.accounts[id]
	if a == nil {
		if len(p.accounts) >= p.cfg.MaxAccounts {
			oldest := p.list.newer
			oldest.unlink()
			delete(p.accounts, oldest.id)
		}
		a = &accountBucket{id: id, bucket: bucket{p.cfg.Account.Burst, now}}
		p.accounts[id] = a
	} else {
		a.unlink()
	}
	a.older, a.newer = p.list.older, &p.list
	a.older.newer, a.newer.older = a, a
	return a
}

func (a *accountBucket) unlink() {
	a.older.newer, a.newer.older = a.newer, a.older
}
