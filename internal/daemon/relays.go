package daemon

import (
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/relay"
	"github.com/bluebellfield/bluebellfield/reach"
)

// startRelay makes the connections to upstreams go through other entry instances where
// this daemon cannot reach them, and helps the others in the same way.
func (d *Daemon) startRelay() {
	domains := map[string]string{}
	for _, p := range d.cfg.Peers {
		domains[p.ID] = p.FailureDomain
	}
	helpers := func() []reach.Helper {
		var all []reach.Helper
		for _, id := range d.members.Live() {
			if id != d.cfg.ID {
				all = append(all, reach.Helper{ID: id, FailureDomain: domains[id]})
			}
		}
		return all
	}
	known := func(address string) bool {
		for _, u := range d.members.View().All() {
			if u.Address == address {
				return true
			}
		}
		return false
	}
	d.relay = relay.New(relay.Options{FailureDomain: d.cfg.FailureDomain, Network: d.network, Direct: d.client.Direct, Helpers: helpers, Known: known,
		OnChange: d.client.Retire, MaxHelped: d.limit.HelpedConnections(), Logger: d.logger, Registry: d.registry})
	d.client.SetVia(upstream.Via{Dial: d.relay.Dial, Silent: d.relay.Check})
}
