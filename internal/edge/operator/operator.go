// Package operator serves the operators' HTTP API of a daemon: changes of the
// settings, orders to daemons, and queries of what the daemon knows.
//
// Every request needs the bearer token of an operator. Code that changes state
// is in commands.go, code that reads it in queries.go.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Proposer commits a settings change to the global log. Its error carries a
// fault code, the step and the peer; the outcome is not-run when the change is
// known not to be proposed, and unknown otherwise.
type Proposer interface {
	ProposeChange(ctx context.Context, c settings.Change) (settings.Result, error)
}

// Reader reads the settings store, on this daemon or on a control instance.
type Reader interface {
	Tree(ctx context.Context) (*settings.Tree, error)
	TreeAt(ctx context.Context, revision uint64) (*settings.Tree, error)
	History(ctx context.Context, after uint64) ([]settings.Record, error)
	Diff(ctx context.Context, from, to uint64) ([]settings.Difference, error)
	Rollback(ctx context.Context, revision uint64) (ops []settings.Op, base uint64, err error)
}

// Sources are what queries read. A daemon leaves out those that its role does
// not have.
type Sources struct {
	Status      func(ctx context.Context) (Status, error)
	Upstreams   func(ctx context.Context) ([]Upstream, error)
	Groups      func(ctx context.Context) ([]Group, error)
	Queues      func(ctx context.Context) ([]Queue, error)
	Limits      func(ctx context.Context) ([]Limit, error)
	Quarantines func(ctx context.Context) ([]Quarantine, error)
	Peers       func(ctx context.Context) ([]Peer, error)
	Traces      func(ctx context.Context) ([]Trace, error)
	Voters      func(ctx context.Context) ([]Voter, error)
	// Propagation lists every daemon of the deployment with the revision that
	// it has in force.
	Propagation func(ctx context.Context) ([]Propagation, error)
}

// Orders are what commands call apart from settings changes. Each order may
// arrive more than once and must then have the effect of one.
type Orders struct {
	Drain        func(ctx context.Context, r DrainRequest) error
	ChangeVoters func(ctx context.Context, r VoterRequest) error
}

// Options configure the API.
type Options struct {
	// Daemon is the id of this daemon, given as the peer of errors that arise
	// on it.
	Daemon    string
	Operators []config.Operator
	Proposer  Proposer
	Reader    Reader
	Sources   Sources
	Orders    Orders
	// Now returns the time that is recorded with a change.
	Now func() time.Time
	// PollInterval is how often a wait reads Propagation.
	PollInterval time.Duration
}

// Bounds of requests.
const (
	maxBodyBytes        = 4 << 20
	defaultPollInterval = 100 * time.Millisecond
	defaultWait         = 12 * time.Second
	maxWait             = 10 * time.Minute
	defaultRows         = 100
)

type api struct {
	Options
	operators []operator
}

// New returns the handler of the API.
func New(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	a := &api{Options: o, operators: parseOperators(o.Operators)}
	mux := http.NewServeMux()
	a.commands(mux)
	a.queries(mux)
	return a.authenticate(mux)
}
