// Package operator implements the HTTP API for operators of a daemon: settings
// changes, orders to daemons, and queries of the daemon's state.
//
// Every request needs the bearer token of an operator. Endpoints that change
// state are in commands.go, endpoints that read it in queries.go.
package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/settings"
)

// Proposer commits a settings change to the global log. Its errors carry a fault
// code, the step and the peer. The outcome is not-run if the change is known not
// to have been proposed, and unknown otherwise.
type Proposer interface {
	ProposeChange(ctx context.Context, c settings.Change) (settings.Result, error)
}

// Reader reads the settings, from this daemon or from a control instance.
type Reader interface {
	Tree(ctx context.Context) (*settings.Tree, error)
	TreeAt(ctx context.Context, revision uint64) (*settings.Tree, error)
	History(ctx context.Context, after uint64) ([]settings.Record, error)
	Diff(ctx context.Context, from, to uint64) ([]settings.Difference, error)
	Rollback(ctx context.Context, revision uint64) (ops []settings.Op, base uint64, err error)
}

// Sources provide the data for queries. Those that do not apply to the role of a
// daemon are nil.
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
	// Propagation lists all daemons of the deployment with the settings
	// revision that each has in force.
	Propagation func(ctx context.Context) ([]Propagation, error)
}

// Orders are the commands other than settings changes. They must be idempotent,
// since an order may arrive more than once.
type Orders struct {
	Drain        func(ctx context.Context, r DrainRequest) error
	ChangeVoters func(ctx context.Context, r VoterRequest) error
}

// Options configures the API.
type Options struct {
	// Daemon is the id of this daemon. It is reported as the peer of errors
	// that occur here.
	Daemon    string
	Operators []config.Operator
	Proposer  Proposer
	Reader    Reader
	Sources   Sources
	Orders    Orders
	// Now returns the time to record with a change. Nil means time.Now.
	Now func() time.Time
	// PollInterval is the interval at which a wait polls Propagation. Zero
	// means defaultPollInterval.
	PollInterval time.Duration
}

// Limits and defaults of requests.
const (
	maxBodyBytes        = 4 << 20
	defaultPollInterval = 100 * time.Millisecond
	defaultWait         = 12 * time.Second
	maxWait             = 10 * time.Minute
	defaultRows         = 100
)

// api implements the endpoints.
type api struct {
	Options
	operators []operator
}

// New returns the HTTP handler of the API.
func New(o Options) http.Handler {
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.PollInterval <= 0 {
		o.PollInterval = defaultPollInterval
	}
	a := &api{Options: o, operators: parseOperators(o.Operators)}
	mux := http.NewServeMux()
	a.registerCommands(mux)
	a.registerQueries(mux)
	return a.authenticate(mux)
}
