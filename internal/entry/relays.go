package entry

import (
	"cmp"
	"context"

	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/relay"
	"github.com/bluebellfield/bluebellfield/reach"
)

// defaultMaxHelped is the number of connections that an entry holds for others if
// the options name none.
const defaultMaxHelped = 256

// startRelay makes the connections to upstreams go through other entries where this
// one cannot reach them, and helps the others in the same way.
func (e *Entry) startRelay() {
	client := e.opts.Client
	e.relay = relay.New(relay.Options{FailureDomain: e.opts.FailureDomain, Network: e.opts.Network, Direct: client.Direct,
		Helpers: e.helpers, Known: e.knowsAddress, OnChange: client.Retire, MaxHelped: cmp.Or(e.opts.MaxHelped, defaultMaxHelped),
		Logger: e.opts.Logger, Registry: e.opts.Registry})
	client.SetVia(upstream.Via{Dial: e.relay.Dial, Silent: e.relay.Check})
}

// helpers lists the other entries that a control instance reaches.
func (e *Entry) helpers() []reach.Helper {
	ids := e.reachableEntries()
	all := make([]reach.Helper, len(ids))
	for i, id := range ids {
		all[i] = reach.Helper{ID: id, FailureDomain: e.domainOf(id)}
	}
	return all
}

// knowsAddress reports whether an upstream that serves requests has an address.
func (e *Entry) knowsAddress(address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range e.targets {
		if t.upstream.Address == address {
			return true
		}
	}
	return false
}

// WaitHelped waits after Drain until no other entry uses a connection of this one, or
// ctx ends.
func (e *Entry) WaitHelped(ctx context.Context) error { return e.relay.Wait(ctx) }
