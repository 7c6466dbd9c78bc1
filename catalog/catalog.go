// Package catalog defines the configuration of a deployment: its routes,
// services, client accounts and limits. Operators always replace the whole
// catalog and choose its version; the highest version is in effect.
//
// A Catalog is immutable after New has validated and indexed it.
package catalog

import (
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// Kind defines how often a request may run and how it is answered.
type Kind uint8

// Kinds of routes.
const (
	// Idempotent requests may run any number of times.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Stream requests are answered by a stream of events. They run at most
	// once unless the route is resumable.
	Stream
)

func (k Kind) String() string {
	return [...]string{"idempotent", "non-idempotent", "stream"}[k]
}

// Target is a service that receives a weighted share of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name, Host, PathPrefix string
	Kind                   Kind
	// Timeout is the maximum time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the target for the time to the answer or, for streams,
	// to the first event.
	LatencyObjective time.Duration
	// GapObjective is the target for the gap between two events of a stream.
	GapObjective time.Duration
	// SilenceTimeout is the time that callers of a stream wait for the next
	// event, including the first one, before they disconnect. It is zero if
	// unknown.
	SilenceTimeout time.Duration
	// Priority is the default priority of the requests; 0 is the highest.
	Priority int
	Targets  []Target
	// MaxAttempts is the maximum number of upstreams that may run a request.
	MaxAttempts int
	// Public is set for routes that require no key.
	Public bool
	// Resumable is set if a stream may be continued by another upstream.
	Resumable bool
}

// Retryable reports whether a request can be sent again after it may have run.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is set for services that run on model engines.
	Engine *enginemodel.Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits defines the size limits and timeouts of requests and connections.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Content is the catalog as sent by an operator.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Catalog is a validated and indexed Content.
type Catalog struct {
	Content
	// byHost holds the routes of each host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Account
}
