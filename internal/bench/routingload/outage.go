package routingload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellfield/bluebellfield/retry"
)

// Constants of the run with an outage. An account is drawn for each request;
// half of them belong to the first account.
const (
	outageAccounts = 10
	attemptTime    = 20 * time.Millisecond
	outageDeadline = 10 * time.Second
)

// OutageResult holds the figures of a run in which a share of all attempts
// fails for the whole duration.
type OutageResult struct {
	Budget bool `json:"budget"`
	// Failing is the share of attempts that fail.
	Failing       float64 `json:"failing"`
	FirstAttempts int     `json:"firstAttempts"`
	Retries       int     `json:"retries"`
	// Added is the load added by retries, Bound what the budgets allow, each
	// relative to the first attempts.
	Added float64 `json:"added"`
	Bound float64 `json:"bound"`
	// Succeeded is the share of requests that succeeded.
	Succeeded float64 `json:"succeeded"`
}

type outageRun struct {
	o         Options
	clock     *clock
	random    *rand.Rand
	policies  []*retry.Policy // of the entries
	succeeded int
	result    OutageResult
}

func runOutage(o Options, budgeted bool, failing float64) OutageResult {
	s := &outageRun{
		o: o, clock: &clock{}, random: rand.New(rand.NewPCG(o.Seed, 5)),
		result: OutageResult{Budget: budgeted, Failing: failing},
	}
	cfg := retry.DefaultConfig()
	if !budgeted {
		cfg.Entry, cfg.Account = retry.Budget{Burst: 1e12}, retry.Budget{Burst: 1e12}
	}
	for range o.Entries {
		s.policies = append(s.policies, retry.New(cfg, s.clock.time()))
	}
	s.arrive()
	s.clock.runUntil(o.Duration)
	first := float64(max(s.result.FirstAttempts, 1))
	s.result.Added = float64(s.result.Retries) / first
	s.result.Succeeded = float64(s.succeeded) / first
	if b := cfg.Entry; budgeted {
		s.result.Bound = b.Ratio + float64(o.Entries)*(b.Burst+b.PerSecond*o.Duration.Seconds())/first
	}
	return s.result
}

func (s *outageRun) arrive() {
	rate := s.o.RequestsPerEngine * float64(s.o.Engines)
	s.clock.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		account := "account-0"
		if s.random.IntN(2) == 0 {
			account = fmt.Sprint("account-", s.random.IntN(outageAccounts))
		}
		policy := s.policies[s.random.IntN(s.o.Entries)]
		policy.First(s.clock.time(), account)
		s.result.FirstAttempts++
		s.attempt(policy, retry.Attempt{
			Account: account, Idempotent: true, Outcome: retry.Unknown, Number: 1,
			Deadline: s.clock.time().Add(outageDeadline), Needed: attemptTime,
		})
		s.arrive()
	})
}

func (s *outageRun) attempt(policy *retry.Policy, a retry.Attempt) {
	s.clock.after(attemptTime, func() {
		if s.random.Float64() >= s.result.Failing {
			s.succeeded++
			return
		}
		decision := policy.Decide(s.clock.time(), s.random, a)
		if !decision.Retry {
			return
		}
		s.result.Retries++
		a.Number++
		s.clock.after(decision.After, func() { s.attempt(policy, a) })
	})
}
