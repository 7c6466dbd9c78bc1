package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// forgetAfter is the time without a report after which a record is dropped. It
// is longer than any delay of a report, so that a late one finds the record of
// its successor.
const forgetAfter = 60 * time.Second

// Announce takes in a report that an upstream sent to this instance. What it
// changes is sent to all subscribers at once, or with the next changes of a
// burst.
func (c *Control) Announce(u fleet.Upstream) {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	accepted, changed := c.table.Observe(now, u)
	if !accepted {
		c.o.Logger.Debug("report ignored: a newer one is known", zap.String("upstream", u.ID), zap.Uint64("sequence", u.Sequence))
		return
	}
	if changed {
		c.o.Logger.Info("upstream changed", zap.String("upstream", u.ID), zap.Stringer("phase", u.Phase), zap.String("service", u.Service),
			zap.String("group", u.Member.Group), zap.Uint64("epoch", u.Member.Epoch), zap.Int("rank", u.Member.Rank), zap.Uint8("member", uint8(u.Member.State)))
	}
	c.relay(&u, changed)
	if changed {
		c.wakeController()
	}
}

// Leave takes in that an upstream ends. Born is zero when it was not told.
func (c *Control) Leave(id string, born int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u, ok := c.table.Leave(time.Now(), id, born)
	if !ok {
		return
	}
	c.o.Logger.Info("upstream left", zap.String("upstream", id), zap.String("service", u.Service))
	c.relay(&u, true)
}

// relay passes a report on: control instances get each one, since they need
// to know which upstreams are heard of, entries only those that change
// something. The caller holds mu.
func (c *Control) relay(u *fleet.Upstream, changed bool) {
	encoded := mesh.EncodeUpstream(u)
	for _, s := range c.subscribers {
		switch {
		case changed:
			s.pending = append(s.pending, encoded)
			c.wakePublisher()
		case s.control:
			// Unchanged reports only prove life and can wait for the next update.
			s.pending = append(s.pending, encoded)
		}
	}
}

// serveUpdate applies the updates of another control instance. Changes reach
// entries from here as well, since an entry subscribes to some instances only.
func (c *Control) serveUpdate(_ context.Context, from string, payload []byte) ([]byte, error) {
	var update mesh.Update
	if err := proto.Unmarshal(payload, &update); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.At{Step: mesh.ChannelUpdate, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.sources[from]
	if !update.Complete && (update.Source != last.source || update.Number != last.number+1) {
		// An update was lost: the next subscription asks for all upstreams.
		c.sources[from] = position{heard: now}
		return nil, nil
	}
	c.sources[from] = position{source: update.Source, number: update.Number, heard: now}
	if update.Leader == from {
		c.leaderEntries = update.Entries
	}
	for _, encoded := range update.Upstreams {
		u := mesh.DecodeUpstream(encoded)
		if accepted, changed := c.table.Observe(now, u); accepted && changed {
			c.relayToEntries(encoded)
			c.wakeController()
		}
	}
	return nil, nil
}

func (c *Control) relayToEntries(encoded *mesh.Upstream) {
	for _, s := range c.subscribers {
		if !s.control {
			s.pending = append(s.pending, encoded)
			c.wakePublisher()
		}
	}
}

// upstreams returns the records of a service, or of all with an empty name.
func (c *Control) upstreams(service string) []fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.table.All()
	if service == "" {
		return all
	}
	kept := all[:0]
	for _, u := range all {
		if u.Service == service {
			kept = append(kept, u)
		}
	}
	return kept
}
