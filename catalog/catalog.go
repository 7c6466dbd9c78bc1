// Package catalog describes what a deployment serves: its routes, services,
// client accounts and limits. Operators replace a catalog as a whole under a
// version of their own, and the highest version is in force.
//
// A Catalog is immutable once New has checked and indexed it.
package catalog

import (
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// Kind says how often a request may run and how it is answered.
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

// Target is a service that receives a part of a route's requests.
type Target struct {
	Service string
	Weight  int
}

// Route maps the requests of a host and a path prefix to services.
type Route struct {
	Name, Host, PathPrefix string
	Kind                   Kind
	// Timeout is the longest time that a request is kept waiting.
	Timeout time.Duration
	// LatencyObjective bounds the time to the answer, or to the first event.
	LatencyObjective time.Duration
	// PauseObjective bounds the pause between two events of a stream.
	PauseObjective time.Duration
	// SilencePatience is how long callers of a stream wait for its next event,
	// the first one included, before they leave; zero when it is not known.
	SilencePatience time.Duration
	// Priority ranks the route; 0 is the most urgent.
	Priority int
	Targets  []Target
	// MaxAttempts bounds the upstreams that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may continue on another upstream.
	Resumable bool
}

// MayRepeat reports whether a request that may have run can be sent again.
func (r *Route) MayRepeat() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is set for services of model engines.
	Engine *enginemodel.Engine
}

// Account is a client account.
type Account struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's when HasPriority is set.
	Priority    int
	HasPriority bool
}

// Limits bounds what a caller may send and how long it may stay idle.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int
	HeaderTimeout, IdleTimeout   time.Duration
}

// Content is what an operator sends.
type Content struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}

// Catalog is a checked and indexed Content.
type Catalog struct {
	Content
	// byHost holds the routes of a host, longest prefix first.
	byHost   map[string][]*Route
	services map[string]*Service
	byKey    map[string]*Account
}
