package admission

import "time"

// Demand is the work of one class at a service.
type Demand struct {
	Queued, Running int
}

// Demand returns the work at a service by class, as reported to the owner of
// the service's slots.
func (c *Controller) Demand(service string) (paying, free Demand) {
	s := c.services[service]
	if s == nil {
		return Demand{}, Demand{}
	}
	of := func(class Class) Demand {
		return Demand{Queued: s.queues[class].queued, Running: s.queues[class].running}
	}
	return of(Paying), of(Free)
}

// Offered is what callers ask of an account's limits at this entry.
type Offered struct {
	RequestsPerSecond, TokensPerMinute float64
	Queued, Running                    int
}

// Offered returns the recent demand of an account at a service, or over all
// services when the service is empty.
func (c *Controller) Offered(now time.Time, accountID, service string) Offered {
	a := c.accounts[accountID]
	if a == nil {
		return Offered{}
	}
	g := &a.gate
	if service != "" {
		s := c.services[service]
		if s == nil || s.flows[accountID] == nil {
			return Offered{}
		}
		g = &s.flows[accountID].at
	}
	return Offered{RequestsPerSecond: g.offered.read(now), TokensPerMinute: 60 * g.offeredTokens.read(now), Queued: g.queued, Running: g.running}
}

// MeanRun returns the moving average of the run times at a service, zero before
// the first request has ended.
func (c *Controller) MeanRun(service string) time.Duration {
	if s := c.services[service]; s != nil {
		return s.meanRun
	}
	return 0
}

// Request returns the request of a ticket that has not ended.
func (c *Controller) Request(id Ticket) (Request, bool) {
	if t := c.tickets[id]; t != nil {
		return t.req, true
	}
	return Request{}, false
}

// Open returns the number of tickets that have not ended.
func (c *Controller) Open() int { return len(c.tickets) }

// NextDeadline returns when Expire and Next have work without any other event:
// the earliest deadline of queued work or refill of a token bucket. It returns
// zero when there is none.
func (c *Controller) NextDeadline() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(c.due) > 0 {
		earlier(c.due[0].latestStart)
	}
	for _, f := range c.parked {
		earlier(f.parkedUntil)
	}
	return next
}

// Bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter estimates when the queue ahead of a new request of a class will
// have been served.
func (c *Controller) retryAfter(s *service, class Class) time.Duration {
	ahead := 0
	for other := Paying; other <= class; other++ {
		ahead += s.queues[other].queued
	}
	estimate := time.Duration(float64(s.meanRun) * float64(ahead) / max(1, s.share()))
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}
