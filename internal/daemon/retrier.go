package daemon

import (
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/retry"
	"github.com/bluebellfield/bluebellfield/routing"
	"github.com/bluebellfield/bluebellfield/settings"
)

// retrier permits further attempts within the retry budgets of the entry and
// of the account at each service.
type retrier struct {
	tree   func() *settings.Tree
	random *routing.Source

	mu       sync.Mutex
	policies map[string]servicePolicy
}

// servicePolicy is the retry policy of a service with the ratio that it was
// created for.
type servicePolicy struct {
	*retry.Policy
	ratio float64
}

func newRetrier(seed uint64, tree func() *settings.Tree) *retrier {
	return &retrier{tree: tree, random: routing.NewSource(seed), policies: map[string]servicePolicy{}}
}

// policy returns the retry policy of a service. A changed ratio creates a new
// policy.
func (r *retrier) policy(service string) *retry.Policy {
	config := retry.DefaultConfig()
	if s, ok := r.tree().Service(service); ok {
		config.Entry.Ratio, config.Account.Ratio = s.RetryBudget, s.RetryBudget
	}
	if config.Entry.Ratio == 0 {
		// Zero selects the default in retry.Config.
		config.Entry.Ratio, config.Account.Ratio = minRetryRatio, minRetryRatio
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.policies[service]
	if p.Policy == nil || p.ratio != config.Entry.Ratio {
		p = servicePolicy{retry.New(config, time.Now()), config.Entry.Ratio}
		r.policies[service] = p
	}
	return p.Policy
}

// minRetryRatio permits practically no retries beyond the policy's minimum.
const minRetryRatio = 1e-9

// RecordFirstAttempt implements caller.Retrier.
func (r *retrier) RecordFirstAttempt(info *caller.RequestInfo) {
	r.policy(info.Route.Service).RecordFirstAttempt(time.Now(), info.Account.ID)
}

// Next implements caller.Retrier.
func (r *retrier) Next(info *caller.RequestInfo, attempt int, outcome fault.Outcome) (time.Duration, bool) {
	d := r.policy(info.Route.Service).Decide(time.Now(), r.random, retry.Attempt{
		Account: info.Account.ID, Idempotent: info.Route.Idempotent, Outcome: retry.Outcome(outcome), Number: attempt, Deadline: info.Deadline,
	})
	return d.After, d.Retry
}
