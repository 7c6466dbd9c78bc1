// Package retry decides whether a request is sent again. A retry is allowed
// only where it cannot run the request twice, before the deadline, and within
// budgets that keep the load added in an outage at a tenth of the first
// attempts plus a stated minimum.
//
// The package reads no clock and starts no goroutine. A Policy may be used by
// several goroutines.
package retry

import (
	"cmp"
	"sync"
	"time"
)

// Outcome states whether an attempt ran.
type Outcome string

// Outcomes of an attempt.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Reason says why a request is not sent again.
type Reason string

// Reasons.
const (
	ReasonNone          Reason = ""
	ReasonNotIdempotent Reason = "may have run and is not idempotent"
	ReasonRan           Reason = "ran"
	ReasonAttempts      Reason = "attempts used up"
	ReasonDeadline      Reason = "deadline too near"
	ReasonEntryBudget   Reason = "retry budget of the entry used up"
	ReasonAccountBudget Reason = "retry budget of the account used up"
	ReasonNoEstimate    Reason = "too few latencies for a hedging delay"
	ReasonFirstByte     Reason = "answer has begun"
)

// Budget bounds retries to Ratio times the first attempts, plus PerSecond for
// each second, plus Burst once.
type Budget struct {
	Ratio     float64
	PerSecond float64
	Burst     float64
}

// Config holds the constants of a policy. Zero fields get the defaults of
// DefaultConfig.
type Config struct {
	// Entry bounds all retries and hedges of this entry, Account those of one
	// account.
	Entry, Account Budget
	// MaxAttempts counts the first attempt.
	MaxAttempts int
	// BaseBackoff is the upper bound of the first delay. It doubles with each
	// attempt up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
	// MaxAccounts bounds the accounts with a budget of their own; the least
	// recently used one is forgotten.
	MaxAccounts int
	// HedgeSamples is the least number of latencies behind a hedging delay.
	HedgeSamples int
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		// A crash of an engine with a batch of 32 breaks about five requests
		// at each of seven entries; the burst covers four such crashes.
		Entry:       Budget{Ratio: 0.1, PerSecond: 0.2, Burst: 20},
		Account:     Budget{Ratio: 0.1, PerSecond: 0.1, Burst: 10},
		MaxAttempts: 4, BaseBackoff: 25 * time.Millisecond, MaxBackoff: time.Second,
		MaxAccounts: 4096, HedgeSamples: 50,
	}
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.Entry = cmp.Or(c.Entry, d.Entry)
	c.Account = cmp.Or(c.Account, d.Account)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, d.MaxAttempts)
	c.BaseBackoff = cmp.Or(c.BaseBackoff, d.BaseBackoff)
	c.MaxBackoff = cmp.Or(c.MaxBackoff, d.MaxBackoff)
	c.MaxAccounts = cmp.Or(c.MaxAccounts, d.MaxAccounts)
	c.HedgeSamples = cmp.Or(c.HedgeSamples, d.HedgeSamples)
	return c
}

// Attempt describes an attempt that has ended without an answer.
type Attempt struct {
	Account    string
	Idempotent bool
	Outcome    Outcome
	// Number counts from 1.
	Number   int
	Deadline time.Time
	// Needed is the least time that an answer takes; a retry that would leave
	// less is not made.
	Needed time.Duration
	// RetryAfter is the delay that the upstream asked for, if any.
	RetryAfter time.Duration
}

// Decision says whether and after which delay to send a request again.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// bucket holds the tokens of a budget; a retry takes one.
type bucket struct {
	tokens float64
	at     time.Time
}

func (b *bucket) refill(now time.Time, budget *Budget, tokens float64) {
	if elapsed := now.Sub(b.at).Seconds(); elapsed > 0 {
		tokens += elapsed * budget.PerSecond
		b.at = now
	}
	b.tokens = min(b.tokens+tokens, budget.Burst)
}

// accountBucket is an element of the list of accounts by last use.
type accountBucket struct {
	bucket
	id           string
	newer, older *accountBucket
}

// Policy decides on retries and hedges of one entry.
type Policy struct {
	cfg Config

	mu       sync.Mutex
	entry    bucket
	accounts map[string]*accountBucket
	list     accountBucket // sentinel: newer is the oldest, older the newest
	delays   map[string]*latencies
}
