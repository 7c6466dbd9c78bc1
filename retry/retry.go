// Package retry decides whether to retry or hedge a request. A retry is allowed
// only if it cannot run a non-idempotent request twice, finishes before the
// deadline and fits the retry budgets. During an outage the budgets limit the
// added load to a tenth of the first attempts plus a fixed rate and burst.
//
// Callers pass the current time; the package starts no goroutines. A Policy is
// safe for concurrent use.
package retry

import (
	"cmp"
	"sync"
	"time"
)

// Outcome states whether the upstream executed an attempt.
type Outcome string

// Outcomes of an attempt.
const (
	NotRun  Outcome = "not-run"
	Ran     Outcome = "ran"
	Unknown Outcome = "unknown"
)

// Reason states why a request is not retried or hedged.
type Reason string

// Reasons for denying a retry or hedge.
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

// Budget configures a token bucket for retries. Each first attempt adds Ratio
// tokens and each second adds PerSecond tokens, up to Burst.
type Budget struct {
	Ratio     float64
	PerSecond float64
	Burst     float64
}

// Config configures a Policy. Zero fields take their values from DefaultConfig.
type Config struct {
	// Entry limits all retries and hedges of this entry; Account limits those
	// of one account.
	Entry, Account Budget
	// MaxAttempts is the maximum number of attempts, including the first.
	MaxAttempts int
	// BaseBackoff is the upper bound of the first delay. The bound doubles with
	// each attempt up to MaxBackoff.
	BaseBackoff, MaxBackoff time.Duration
	// MaxAccounts limits the number of tracked account budgets; the least
	// recently used one is evicted.
	MaxAccounts int
	// HedgeSamples is the minimum number of latencies required for a hedging
	// delay.
	HedgeSamples int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		// The crash of an engine with a batch of 32 fails about five requests
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

// Attempt describes an attempt that ended without an answer.
type Attempt struct {
	Account    string
	Idempotent bool
	Outcome    Outcome
	// Number is the number of the attempt, starting at 1.
	Number   int
	Deadline time.Time
	// MinAnswerTime is the minimum time that an answer takes; a retry that would
	// leave less before the deadline is denied.
	MinAnswerTime time.Duration
	// RetryAfter is the delay requested by the upstream, if any.
	RetryAfter time.Duration
}

// Decision states whether to send a request again and after which delay.
type Decision struct {
	Retry  bool
	After  time.Duration
	Reason Reason
}

// bucket is a token bucket; each retry or hedge consumes one token.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

func (b *bucket) refill(now time.Time, budget *Budget, tokens float64) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		tokens += elapsed * budget.PerSecond
		b.refilledAt = now
	}
	b.tokens = min(b.tokens+tokens, budget.Burst)
}

// accountBucket is the token bucket of an account and an element of the LRU
// list.
type accountBucket struct {
	bucket
	id           string
	newer, older *accountBucket
}

// Policy decides on the retries and hedges of one entry.
type Policy struct {
	cfg Config

	mu        sync.Mutex
	entry     bucket
	accounts  map[string]*accountBucket
	lru       accountBucket // list sentinel: newer is the least, older the most recently used
	latencies map[string]*latencyWindow
}
