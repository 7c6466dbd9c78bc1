// Package admission decides which requests an entry dispatches, queues or
// rejects, by class, client account and service. Paying requests have strict
// priority over free ones, which use the remaining capacity. The accounts of a
// class share its capacity by weighted fair queueing. The package has no clock,
// goroutines or I/O: callers pass the time in and act on the results.
package admission

import (
	"cmp"
	"time"
)

// Class is the priority class of an account at a service.
type Class uint8

// Priority classes, highest first.
const (
	Paying Class = iota
	Free
	classCount
)

// String returns the name of the class in settings.
func (c Class) String() string {
	if c == Paying {
		return "paying"
	}
	return "free"
}

// Ticket identifies a submitted request until it ends. Zero is not a valid
// ticket.
type Ticket uint64

// Reason is the error code that a caller receives for a rejected request.
type Reason string

// Reasons for rejecting a request.
const (
	RateLimited      Reason = "rate_limited"
	QueueFull        Reason = "queue_full"
	QueueTimeout     Reason = "queue_timeout"
	TooManyStreams   Reason = "too_many_streams"
	DeadlineExceeded Reason = "deadline_exceeded"
	Unauthorized     Reason = "unauthorized"
)

// Limits are the limits of an account at this entry. A negative value means
// unlimited; zero admits nothing.
type Limits struct {
	RequestsPerSecond float64
	Concurrent        int
	TokensPerMinute   float64
}

// Unlimited returns Limits without any limit.
func Unlimited() Limits {
	return Limits{RequestsPerSecond: -1, Concurrent: -1, TokensPerMinute: -1}
}

// Rules are the current settings of an account at a service. Account limits
// the account over all services together, AtService at this service only.
type Rules struct {
	Class     Class
	Weight    float64
	Account   Limits
	AtService Limits
}

// Request describes a request to a service.
type Request struct {
	ID      string
	Account string
	Service string
	Rules   Rules
	// Tokens is the estimated number of prompt and completion tokens. It is the
	// cost for fair queueing, and for token limits until Done reports the
	// actual usage.
	Tokens int
	// Deadline is when the caller stops waiting; zero means no deadline.
	Deadline time.Time
	// ExpectedRunTime is the estimated run time. It is used to reject requests
	// that would miss their deadline and to avoid preempting requests that are
	// about to finish.
	ExpectedRunTime time.Duration
}

// ServiceRules limit the queues of a service.
type ServiceRules struct {
	// QueueSize is the maximum number of queued requests per class.
	QueueSize int
	// AccountQueueSize is the maximum number of queued requests per account.
	AccountQueueSize int
	// MaxQueue is the maximum time in the queue; zero means no limit.
	MaxQueue time.Duration
}

// Capacity is the capacity and load of the upstreams of a service, from load
// reports that may be out of date.
type Capacity struct {
	// Slots is the number of requests that the dispatchable upstreams can run
	// concurrently.
	Slots int
	// Load is the number of running and queued requests on these upstreams,
	// from all entries.
	Load int
	// OwnLoad is the part of Load that this entry dispatched.
	OwnLoad int
	// Entries is the number of live entries; values below 1 count as 1.
	Entries int
	// Share is the number of slots leased to this entry by demand. A negative
	// value means no lease, and the entry uses Slots / Entries.
	Share float64
	// Priorities is true if all of these upstreams run paying requests before
	// free ones, including free requests that arrived earlier.
	Priorities bool
}

// Verdict is the outcome of Submit.
type Verdict uint8

// Outcomes of Submit.
const (
	Admitted Verdict = iota
	Queued
	RejectedImmediately
)

// Decision is the result of Submit. Dropped lists queued requests that were
// rejected to make room; the caller of Submit must notify their clients.
type Decision struct {
	Verdict    Verdict
	Ticket     Ticket
	Reason     Reason
	RetryAfter time.Duration
	Dropped    []Rejected
}

// Rejected is a queued request that was rejected.
type Rejected struct {
	Ticket     Ticket
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Usage is the actual usage of a finished request. Tokens below zero means
// unknown, and the estimate is kept.
type Usage struct {
	Tokens int
}

// Options configure a Controller. Zero values take the defaults.
type Options struct {
	// MaxStreams is the maximum number of queued and dispatched requests of
	// the entry.
	MaxStreams int
	// Backlog is how far the entry may exceed its share of slots, as a fraction
	// of the share, on upstreams that honor priorities. The excess queues on
	// the upstream, so that a slot that is freed between two load reports is
	// reused at once. Zero takes the default; a tiny negative value disables the
	// backlog.
	Backlog float64
	// BacklogInOrder is the same for upstreams that serve requests in order of
	// arrival. Paying requests wait behind this backlog.
	BacklogInOrder float64
	// PayingReserve is the fraction of the entry's share of slots that is
	// reserved for paying requests on upstreams that do not honor priorities.
	PayingReserve float64
	// MaxPreemptions is how often one request can be preempted.
	MaxPreemptions int
	// NearEnd is the remaining run time below which a request is not
	// preempted.
	NearEnd time.Duration
	// Burst is the time to fill an empty token bucket: its size is rate ×
	// Burst.
	Burst time.Duration
	// Service holds the queue limits of services without their own.
	Service ServiceRules
}

// Defaults of Options.
const (
	DefaultMaxStreams       = 20000
	DefaultBacklog          = 0.2 // 0.1 leaves 1% of the slots idle at an offered load of 5 times the capacity
	DefaultBacklogInOrder   = 0.05
	DefaultMaxPreemptions   = 2
	DefaultNearEnd          = 500 * time.Millisecond
	DefaultBurst            = time.Second
	DefaultQueueSize        = 2000
	DefaultAccountQueueSize = 500
	DefaultMaxQueue         = 30 * time.Second
)

func (o Options) withDefaults() Options {
	o.MaxStreams = cmp.Or(o.MaxStreams, DefaultMaxStreams)
	o.Backlog = cmp.Or(o.Backlog, DefaultBacklog)
	o.BacklogInOrder = cmp.Or(o.BacklogInOrder, DefaultBacklogInOrder)
	o.MaxPreemptions = cmp.Or(o.MaxPreemptions, DefaultMaxPreemptions)
	o.NearEnd = cmp.Or(o.NearEnd, DefaultNearEnd)
	o.Burst = cmp.Or(o.Burst, DefaultBurst)
	if o.Service == (ServiceRules{}) {
		o.Service = ServiceRules{QueueSize: DefaultQueueSize, AccountQueueSize: DefaultAccountQueueSize, MaxQueue: DefaultMaxQueue}
	}
	return o
}
