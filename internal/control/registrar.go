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
// upstream sends it to another instance. It returns nil for an upstream that drains
// only once that is kept by a majority of the log's members.
func (c *Control) HandleReport(ctx context.Context, u fleet.Upstream) error {
	recorded, err := c.receiveReport(u)
	if err != nil || !recorded || u.Phase != fleet.Draining {
		return err
	}
	return c.storeDeparture(ctx, u.ID, u.StartMillis, false)
}

// receiveReport records a report, or keeps it back until the catalog lists its
// service. Recorded tells which.
func (c *Control) receiveReport(u fleet.Upstream) (recorded bool, err error) {
	now := time.Now()
	if startsAhead(now, u.StartMillis) {
		c.opts.Logger.Warn("report ignored: it starts in the future", zap.String("upstream", u.ID), zap.Int64("startMillis", u.StartMillis))
		return false, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isUnlisted(&u) {
		if !c.unlisted.hasCatalog() && (u.Phase != fleet.Ready || !c.opts.Bootstrap) {
			// Instances that have the catalog may use the upstream, and must be told
			// that it is alive or leaves.
			return false, fault.New(fault.Unavailable, fault.Location{Step: stepReport, Peer: u.ID}, fault.NotRun, "no catalog is known yet")
		}
		c.opts.Logger.Debug("report kept back: the catalog does not list its service", zap.String("upstream", u.ID), zap.String("service", u.Service))
		c.unlisted.keep(now, u)
		return false, nil
	}
	c.recordReport(now, u)
	return true, nil
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
