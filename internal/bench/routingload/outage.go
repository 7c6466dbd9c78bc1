package routingload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellfield/bluebellfield/retry"
)

// Parameters of the outage simulation. Half of the requests belong to the
// first account, the others to accounts drawn at random.
const (
	outageAccounts = 10
	attemptTime    = 20 * time.Millisecond
	outageDeadline = 10 * time.Second
)

// OutageResult holds the results of a run in which a fixed fraction of all
// attempts fails for the whole duration.
type OutageResult struct {
	Budget bool `json:"budget"`
	// Failing is the fraction of attempts that fail.
	Failing       float64 `json:"failing"`
	FirstAttempts int     `json:"firstAttempts"`
	Retries       int     `json:"retries"`
	// Added is the ratio of retries to first attempts. Bound is the ratio that
	// the retry budgets allow, including their burst.
	Added float64 `json:"added"`
	Bound float64 `json:"bound"`
	// Succeeded is the fraction of requests that succeeded.
	Succeeded float64 `json:"succeeded"`
}

type outageSimulation struct {
	o         Options
	clock     *clock
	random    *rand.Rand
	policies  []*retry.Policy // by entry
	succeeded int
	result    OutageResult
}

func runOutage(o Options, withBudgets bool, failing float64) OutageResult {
	s := &outageSimulation{
		o: o, clock: &clock{}, random: rand.New(rand.NewPCG(o.Seed, 5)),
		result: OutageResult{Budget: withBudgets, Failing: failing},
	}
	cfg := retry.DefaultConfig()
	if !withBudgets {
		cfg.Entry, cfg.Account = retry.Budget{Burst: 1e12}, retry.Budget{Burst: 1e12}
	}
	for range o.Entries {
		s.policies = append(s.policies, retry.New(cfg, s.clock.time()))
	}
	s.scheduleArrival()
	s.clock.runUntil(o.Duration)
	first := float64(max(s.result.FirstAttempts, 1))
	s.result.Added = float64(s.result.Retries) / first
	s.result.Succeeded = float64(s.succeeded) / first
	if b := cfg.Entry; withBudgets {
		s.result.Bound = b.Ratio + float64(o.Entries)*(b.Burst+b.PerSecond*o.Duration.Seconds())/first
	}
	return s.result
}

func (s *outageSimulation) scheduleArrival() {
	rate := s.o.RequestsPerEngine * float64(s.o.Engines)
	s.clock.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		account := "account-0"
		if s.random.IntN(2) == 0 {
			account = fmt.Sprint("account-", s.random.IntN(outageAccounts))
		}
		policy := s.policies[s.random.IntN(s.o.Entries)]
		policy.RecordFirstAttempt(s.clock.time(), account)
		s.result.FirstAttempts++
		s.attempt(policy, retry.Attempt{
			Account: account, Idempotent: true, Outcome: retry.Unknown, Number: 1,
			Deadline: s.clock.time().Add(outageDeadline), MinAnswerTime: attemptTime,
		})
		s.scheduleArrival()
	})
}

func (s *outageSimulation) attempt(policy *retry.Policy, a retry.Attempt) {
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
