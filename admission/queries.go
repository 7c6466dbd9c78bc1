package admission

import "time"

// Demand is the number of requests of one class at a service.
type Demand struct {
	Queued, Running int
}

// Demand returns the number of requests at a service by class. It is reported
// to the owner of the service's slots, which leases them to entries.
func (c *Controller) Demand(service string) (paying, free Demand) {
	s := c.services[service]
	if s == nil {
		return Demand{}, Demand{}
	}
	demand := func(class Class) Demand {
		return Demand{Queued: s.queues[class].queued, Running: s.queues[class].running}
	}
	return demand(Paying), demand(Free)
}

// Offered is the load that callers submit for an account at this entry, whether
// admitted or not.
type Offered struct {
	RequestsPerSecond, TokensPerMinute float64
	Queued, Running                    int
}

// Offered returns the recent offered load of an account at a service, or over
// all services if service is empty.
func (c *Controller) Offered(now time.Time, accountID, service string) Offered {
	a := c.accounts[accountID]
	if a == nil {
		return Offered{}
	}
	lim := &a.limiter
	if service != "" {
		s := c.services[service]
		if s == nil || s.flows[accountID] == nil {
			return Offered{}
		}
		lim = &s.flows[accountID].limiter
	}
	return Offered{RequestsPerSecond: lim.offeredRequests.value(now), TokensPerMinute: 60 * lim.offeredTokens.value(now), Queued: lim.queued, Running: lim.running}
}

// MeanRunTime returns the moving average of run times at a service. It is zero
// until the first request has ended.
func (c *Controller) MeanRunTime(service string) time.Duration {
	if s := c.services[service]; s != nil {
		return s.meanRunTime
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

// OpenTickets returns the number of tickets that have not ended.
func (c *Controller) OpenTickets() int { return len(c.tickets) }

// NextDeadline returns when Expire and Next must be called next if no other
// event occurs: at the earliest latest start of a queued request or refill of a
// token bucket. It returns the zero time if there is none.
func (c *Controller) NextDeadline() time.Time {
	var next time.Time
	earlier := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(c.deadlines) > 0 {
		earlier(c.deadlines[0].latestStart)
	}
	for _, f := range c.throttled {
		earlier(f.throttledUntil)
	}
	return next
}

// Bounds of Retry-After.
const (
	minRetryAfter = time.Second
	maxRetryAfter = time.Minute
)

// retryAfter estimates how long it takes to serve the requests that are queued
// ahead of a new request of a class.
func (c *Controller) retryAfter(s *service, class Class) time.Duration {
	ahead := 0
	for other := Paying; other <= class; other++ {
		ahead += s.queues[other].queued
	}
	estimate := time.Duration(float64(s.meanRunTime) * float64(ahead) / max(1, s.share()))
	return min(max(estimate, minRetryAfter), maxRetryAfter)
}
