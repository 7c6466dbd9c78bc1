// Package admission decides which requests an entry dispatches, which wait and
// which are refused, by class, client account and service. Paying work comes
// first, with weighted fair queueing among paying accounts; free work takes all
// capacity that is left. It reads no clock, starts no goroutine and opens no
// connection: callers pass the time in and execute what it returns.
package admission

import (
	"cmp"
	"time"
)

// Class orders the accounts of a service: paying work goes before free work.
type Class uint8

// Classes of client accounts.
const (
	Paying Class = iota
	Free
	classes
)

// String returns the class as it is written in settings.
func (c Class) String() string {
	if c == Paying {
		return "paying"
	}
	return "free"
}

// Ticket identifies a request from Submit to its end. Zero is no ticket.
type Ticket uint64

// Reason says why a request was refused. Its values are the codes that callers
// see.
type Reason string

// Reasons for refusal.
const (
	RateLimited      Reason = "rate_limited"
	QueueFull        Reason = "queue_full"
	QueueTimeout     Reason = "queue_timeout"
	TooManyStreams   Reason = "too_many_streams"
	DeadlineExceeded Reason = "deadline_exceeded"
	Refused          Reason = "unauthorized"
)

// Limits bound the work of an account at this entry. A negative value is no
// limit; zero admits nothing.
type Limits struct {
	RequestsPerSecond float64
	Concurrent        int
	TokensPerMinute   float64
}

// Unlimited returns limits that never refuse.
func Unlimited() Limits {
	return Limits{RequestsPerSecond: -1, Concurrent: -1, TokensPerMinute: -1}
}

// Rules are the settings in force for an account at a service. Account bounds
// the account over all services; AtService bounds it at one service.
type Rules struct {
	Class     Class
	Weight    float64
	Account   Limits
	AtService Limits
}

// Request asks to dispatch work to a service.
type Request struct {
	ID      string
	Account string
	Service string
	Rules   Rules
	// Tokens estimates prompt plus completion; it is the cost for fair queueing
	// and for the token limits until Done reports the actual use.
	Tokens int
	// Deadline is when the caller stops waiting; zero is none.
	Deadline time.Time
	// Expected estimates how long the request runs. It marks a deadline that
	// can no longer be met, and running work that is close to its end.
	Expected time.Duration
}

// ServiceRules bound the queues of a service.
type ServiceRules struct {
	// QueueSize bounds the queued requests of each class.
	QueueSize int
	// AccountQueueSize bounds the queued requests of each account.
	AccountQueueSize int
	// MaxQueue bounds the time in the queue; zero is no bound.
	MaxQueue time.Duration
}

// Capacity is what an entry knows of the upstreams of a service, from reports
// that lag.
type Capacity struct {
	// Slots is the number of requests that the dispatchable upstreams batch at
	// once.
	Slots int
	// Load is what the reports count as running or queued on them, from all
	// entries.
	Load int
	// OwnInLoad is how many of this entry's requests the reports include.
	OwnInLoad int
	// Entries is the number of live entries; values under 1 count as 1.
	Entries int
	// Share is the number of slots leased to this entry by demand. A negative
	// value means no lease: the entry then takes Slots / Entries.
	Share float64
	// Priorities is set when all of these upstreams run paying work before
	// free work, also work that arrived later.
	Priorities bool
}

// Verdict is the result of Submit.
type Verdict uint8

// Verdicts.
const (
	Admitted Verdict = iota
	Queued
	RejectedNow
)

// Decision answers Submit. Dropped lists other requests that were refused to
// make room; their callers are to be told.
type Decision struct {
	Verdict    Verdict
	Ticket     Ticket
	Reason     Reason
	RetryAfter time.Duration
	Dropped    []Rejected
}

// Rejected is a queued request that ended without being admitted.
type Rejected struct {
	Ticket     Ticket
	ID         string
	Reason     Reason
	RetryAfter time.Duration
}

// Usage is what a finished request consumed. Tokens under zero means unknown:
// the estimate stands.
type Usage struct {
	Tokens int
}

// Options configure a Controller. Zero values take the defaults.
type Options struct {
	// MaxStreams bounds queued plus dispatched requests of the entry.
	MaxStreams int
	// Backlog is the fraction of the entry's share of slots by which work may
	// exceed it on upstreams that honour priorities, so that a slot which frees
	// between two reports finds work waiting on the upstream. A negative value
	// is none.
	Backlog float64
	// BacklogInOrder is the same for upstreams that serve in order of arrival,
	// where paying work waits behind it.
	BacklogInOrder float64
	// PayingReserve is the fraction of the entry's share of slots that free
	// work leaves empty on upstreams that do not honour priorities.
	PayingReserve float64
	// MaxPreemptions is how often one request gives way before it keeps its
	// slot.
	MaxPreemptions int
	// NearEnd is the remaining run time under which a request keeps its slot.
	NearEnd time.Duration
	// Burst is how long a token bucket takes to fill: its size is rate × Burst.
	Burst time.Duration
	// Service holds the queue bounds of services that have none set.
	Service ServiceRules
}

// Defaults of Options.
const (
	DefaultMaxStreams       = 20000
	DefaultBacklog          = 0.2 // 0.1 left 1% of the slots idle at 5 times capacity
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
