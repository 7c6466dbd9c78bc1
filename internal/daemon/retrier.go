package daemon

import (
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/retry"
	"github.com/bluebellfield/bluebellfield/routing"
)

// retrier allows further attempts within the budgets of the entry and of the
// account.
type retrier struct {
	policy *retry.Policy
	random *routing.Source
}

func newRetrier(seed uint64) *retrier {
	return &retrier{policy: retry.New(retry.Config{}, time.Now()), random: routing.NewSource(seed)}
}

// First implements caller.Retrier.
func (r *retrier) First(w *caller.Work) { r.policy.First(time.Now(), w.Account.ID) }

// Next implements caller.Retrier.
func (r *retrier) Next(w *caller.Work, attempt int, outcome fault.Outcome) (time.Duration, bool) {
	d := r.policy.Decide(time.Now(), r.random, retry.Attempt{
		Account: w.Account.ID, Idempotent: w.Route.Idempotent, Outcome: retry.Outcome(outcome), Number: attempt, Deadline: w.Deadline,
	})
	return d.After, d.Retry
}
