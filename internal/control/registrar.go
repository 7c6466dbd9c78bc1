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

// recordRetention is the time without a report after which a record is dropped.
// It is longer than any delay of a report, so that a late report is still
// compared with the record of the upstream's successor.
const recordRetention = 60 * time.Second

// stepReport is the step of errors about the report of an upstream.
const stepReport = "record report"

// maxStartAhead is how far ahead of this instance's time the start of an upstream's
// process may lie. It is far above any difference between clocks. A report with a
// later start is of no process, and would outdate all reports of the upstream.
const maxStartAhead = time.Hour

// startsAhead reports whether the start of a process lies too far ahead.
func startsAhead(now time.Time, startMillis int64) bool {
	return startMillis > now.Add(maxStartAhead).UnixMilli()
}

// HandleReport handles a report that an upstream sent to this instance. A
// change is sent to all subscribers immediately, or together with other changes
// in a burst. After an error, the report must not be acknowledged, so that the
// upstream sends it to another instance.
func (c *Control) HandleReport(u fleet.Upstream) error {
	now := time.Now()
	if startsAhead(now, u.StartMillis) {
		c.opts.Logger.Warn("report ignored: it starts in the future", zap.String("upstream", u.ID), zap.Int64("startMillis", u.StartMillis))
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnlisted(&u) {
		if u.Phase != fleet.Ready && !c.unlisted.hasCatalog() {
			// Other instances may know the upstream and must be told that it leaves.
			return fault.New(fault.Unavailable, fault.Location{Step: stepReport, Peer: u.ID}, fault.NotRun, "no catalog is known yet")
		}
		c.opts.Logger.Debug("report kept back: the catalog does not list its service", zap.String("upstream", u.ID), zap.String("service", u.Service))
		c.unlisted.keep(now, u)
		return nil
	}
	c.recordReport(now, u)
	return nil
}

// recordReport records a report that was received at a time, and relays it. The
// caller holds mu.
func (c *Control) recordReport(receivedAt time.Time, u fleet.Upstream) {
	accepted, changed := c.table.Observe(receivedAt, u)
	if !accepted {
		c.opts.Logger.Debug("report ignored: a newer one is known", zap.String("upstream", u.ID), zap.Uint64("sequence", u.Sequence))
		return
	}
	if changed {
		c.opts.Logger.Info("upstream changed", zap.String("upstream", u.ID), zap.Stringer("phase", u.Phase), zap.String("service", u.Service),
			zap.String("group", u.Member.Group), zap.Uint64("epoch", u.Member.Epoch), zap.Int("rank", u.Member.Rank), zap.Uint8("member", uint8(u.Member.State)))
	}
	c.relay(&u, changed)
	if changed {
		c.wakeController()
	}
}

// HandleDeparture handles the departure of an upstream. startMillis is zero if
// the upstream did not report it.
func (c *Control) HandleDeparture(id string, startMillis int64) {
	if startsAhead(time.Now(), startMillis) {
		c.opts.Logger.Warn("departure ignored: it starts in the future", zap.String("upstream", id), zap.Int64("startMillis", startMillis))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlisted.leave(id, startMillis)
	u, ok := c.table.Leave(time.Now(), id, startMillis)
	if !ok {
		// An instance that has just started may not know an upstream that others do.
		u, ok = c.table.LeaveUnknown(time.Now(), id, startMillis)
	}
	if !ok {
		return
	}
	c.opts.Logger.Info("upstream left", zap.String("upstream", id), zap.String("service", u.Service))
	c.relay(&u, true)
}

// serveDepartures handles the departures that an entry knows: those that answers of
// upstreams have told it, and, after this instance has started, all others. The
// entries remember them when all control instances restart at once; a report that
// was sent before the departure may still arrive then.
func (c *Control) serveDepartures(_ context.Context, from string, payload []byte) ([]byte, error) {
	var update mesh.Update
	if err := proto.Unmarshal(payload, &update); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelDepartures, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, encoded := range update.Upstreams {
		c.recordDeparture(now, from, mesh.DecodeUpstream(encoded))
	}
	return nil, nil
}

// recordDeparture records that an upstream is draining or gone. The caller holds mu.
func (c *Control) recordDeparture(now time.Time, from string, u fleet.Upstream) {
	if u.Phase == fleet.Ready || startsAhead(now, u.StartMillis) {
		return
	}
	if _, changed := c.table.Observe(now, u); !changed {
		return
	}
	known, _ := c.table.Get(u.ID)
	c.opts.Logger.Info("departure reported by an entry", zap.String("upstream", u.ID), zap.Stringer("phase", known.Phase), zap.String("peer", from))
	c.relay(&known, true)
	c.wakeController()
}

// relay queues a report for the subscribers. Control instances receive every
// report, because they need to know which upstreams still send reports; entries
// receive only changes. The caller holds mu.
func (c *Control) relay(u *fleet.Upstream, changed bool) {
	encoded := mesh.EncodeUpstream(u)
	for _, s := range c.subscribers {
		switch {
		case changed:
			s.pending = append(s.pending, encoded)
			c.requestFlush()
		case s.control:
			// An unchanged report only shows that the upstream is alive. It
			// can wait for the next update.
			s.pending = append(s.pending, encoded)
		}
	}
}

// serveUpdate applies an update from another control instance. Changes are
// relayed to entries, because an entry subscribes to only some of the control
// instances.
func (c *Control) serveUpdate(_ context.Context, from string, payload []byte) ([]byte, error) {
	var update mesh.Update
	if err := proto.Unmarshal(payload, &update); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelUpdate, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	last := c.sources[from]
	if !update.Complete && (update.Source != last.runID || update.Number != last.lastNumber+1) {
		// An update was lost. The next subscription request asks for all
		// records.
		c.sources[from] = sourceState{lastUpdate: now}
		return nil, nil
	}
	c.sources[from] = sourceState{runID: update.Source, lastNumber: update.Number, lastUpdate: now}
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

// relayToEntries queues a changed record for the entries. The caller holds mu.
func (c *Control) relayToEntries(encoded *mesh.Upstream) {
	for _, s := range c.subscribers {
		if !s.control {
			s.pending = append(s.pending, encoded)
			c.requestFlush()
		}
	}
}

// upstreams returns the records of a service, or all records if service is
// empty.
func (c *Control) upstreams(service string) []fleet.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := c.table.All()
	if service == "" {
		return all
	}
	matching := all[:0]
	for _, u := range all {
		if u.Service == service {
			matching = append(matching, u)
		}
	}
	return matching
}
