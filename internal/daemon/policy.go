package daemon

import (
	"crypto/sha256"
	"fmt"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	// maxBodyBytes limits a request body before its service is known. A
	// service may set a lower limit.
	maxBodyBytes = 16 << 20
	// idleTimeout limits the time without data within a stream. At the
	// planned 25 ms between tokens it corresponds to 400 missed tokens.
	idleTimeout = 10 * time.Second
)

// policy implements caller.Policy with the settings in force.
type policy struct {
	tree func() *settings.Tree
	// slots returns the number of batch slots on the dispatchable upstreams
	// of a service.
	slots func(service string) int
}

// Account implements caller.Policy.
func (p policy) Account(key string) (caller.Account, error) {
	tree := p.tree()
	if tree.Revision() == 0 {
		// Revision 0 lasts after a restart until the settings are proven to
		// be current.
		return caller.Account{}, fault.New(fault.Unavailable, fault.Location{Step: caller.StepAuthenticate}, fault.NotRun, "this entry instance has not received its settings yet")
	}
	account, known := tree.AccountByKeyHash(sha256.Sum256([]byte(key)))
	switch {
	case key == "":
		account = tree.Global().Anonymous
	case !known:
		account = tree.Global().UnknownKey
	}
	if account == nil {
		return caller.Account{}, fault.New(fault.Unauthorized, fault.Location{Step: caller.StepAuthenticate}, fault.NotRun, "the bearer key is missing or unknown")
	}
	class := caller.Free
	if account.Paying {
		class = caller.Paying
	}
	return caller.Account{ID: account.ID, Class: class}, nil
}

// Route implements caller.Policy.
func (p policy) Route(account caller.Account, method, path, model string) (caller.Route, error) {
	tree := p.tree()
	notFound := func(format string, args ...any) (caller.Route, error) {
		return caller.Route{}, fault.New(fault.NotFound, fault.Location{Step: caller.StepRoute}, fault.NotRun, fmt.Sprintf(format, args...))
	}
	match, ok := tree.Route(method, path)
	if !ok {
		return notFound("no service has the route %s %s", method, path)
	}
	service := match.Service
	if match.ByModel {
		if service, ok = tree.ServiceByModel(model); !ok {
			return notFound("no service serves the model %q", model)
		}
	}
	return callerRoute(p.withUpstreams(tree, service), method, path), nil
}

// withUpstreams returns the service, or its fallback while only the fallback
// has an available upstream.
func (p policy) withUpstreams(tree *settings.Tree, s *settings.Service) *settings.Service {
	if s.Fallback == "" || p.slots(s.ID) > 0 {
		return s
	}
	if fallback, ok := tree.Service(s.Fallback); ok && p.slots(fallback.ID) > 0 {
		return fallback
	}
	return s
}

func callerRoute(s *settings.Service, method, path string) caller.Route {
	route := caller.Route{
		Service: s.ID, Kind: membership.PlainService, Model: s.ModelName, Idempotent: s.Idempotent(method, path),
		ForwardKey: s.PassKeyHeader, Timeout: s.Timeout, FirstByteTimeout: s.Timeout, IdleTimeout: idleTimeout,
		MaxBodyBytes: s.MaxBodyBytes, MaxResponseBytes: s.MaxResponseBytes, MaxHeaderBytes: int(s.MaxHeaderBytes),
		NotStarted: s.ReplayContract, DropHeaders: s.DropHeaders,
	}
	if s.Model {
		route.Kind = membership.ModelEngine
	}
	return route
}

// MaxBodyBytes implements caller.Policy.
func (p policy) MaxBodyBytes() int64 { return maxBodyBytes }
