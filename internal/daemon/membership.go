package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/membership/wire"
)

const (
	channelMembership = "membership"
	// The registry is ticked when its next work is due, but at most once per
	// minTickInterval. Peer liveness is refreshed at least once per
	// maxTickInterval.
	minTickInterval = 10 * time.Millisecond
	maxTickInterval = 250 * time.Millisecond
	probeTimeout    = 700 * time.Millisecond
	// replyTimeout limits the wait for a reply of the membership actor.
	replyTimeout = 2 * time.Second
)

// Messages of the membership actor.
type (
	announceMessage  struct{ announcement membership.Announcement }
	heartbeatMessage struct{ heartbeat membership.Heartbeat }
	batchMessage     struct {
		from  string
		batch membership.Batch
	}
	probedMessage struct {
		sent  time.Time
		reply upstream.StateReply
	}
	tickMessage      struct{}
	stopMessage      struct{}
	peerQueryMessage struct{}
)

// members owns the registry of upstreams and publishes its view.
type members struct {
	cfg     *config.Daemon
	network messenger
	client  *upstream.Client
	logger  *zap.Logger
	system  *actor.ActorSystem
	pid     *actor.PID
	view    atomic.Pointer[membership.View]
	live    atomic.Pointer[[]string]
	// nextDue is when the registry's next work is due, in Unix nanoseconds.
	// wakeup receives a value when nextDue moves to an earlier time.
	nextDue atomic.Int64
	wakeup  chan struct{}
	// onEvents is called by the actor with the events of each message.
	onEvents func([]membership.Event)
	// onCacheEvents is called by the HTTP handler with each batch.
	onCacheEvents func(upstream.CacheEvents)

	registry *membership.Registry
}

func newMembers(cfg *config.Daemon, incarnation uint64, network messenger, client *upstream.Client, logger *zap.Logger) *members {
	now := time.Now()
	m := &members{
		wakeup: make(chan struct{}, 1), cfg: cfg, network: network, client: client, logger: logger,
		registry: membership.New(membership.Config{
			ID: cfg.ID, Address: cfg.Listen.Upstream, FailureDomain: cfg.FailureDomain, Incarnation: incarnation,
		}, now),
	}
	var peers []membership.Peer
	for _, p := range cfg.Peers {
		if p.ID != cfg.ID && p.Has(config.RoleEntry) {
			peers = append(peers, membership.Peer{ID: p.ID, Address: p.UpstreamAddress, FailureDomain: p.FailureDomain})
		}
	}
	m.registry.SetPeers(now, peers)
	m.view.Store(m.registry.View())
	m.publishPeers(now)
	return m
}

// start creates the actor and connects it to the network.
func (m *members) start(system *actor.ActorSystem) {
	m.system = system
	m.pid = system.Root.Spawn(actor.PropsFromFunc(m.receive))
	m.network.Handle(channelMembership, func(_ context.Context, from string, payload []byte) ([]byte, error) {
		batch, err := wire.Decode(payload)
		if err != nil {
			return nil, err
		}
		m.system.Root.Send(m.pid, &batchMessage{from, batch})
		return nil, nil
	})
}

// run ticks the actor until ctx ends.
func (m *members) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.system.Root.Send(m.pid, &tickMessage{})
		// Discard a stale wakeup. A message that makes the next work due
		// earlier sends a new one, which ends the wait.
		select {
		case <-m.wakeup:
		default:
		}
		due := time.Until(time.Unix(0, m.nextDue.Load()))
		wait(ctx, m.wakeup, min(max(due, minTickInterval), maxTickInterval))
	}
}

// schedule records when the registry's next work is due, and wakes run if
// that is earlier than before.
func (m *members) schedule() {
	due := m.registry.NextTick().UnixNano()
	if m.nextDue.Swap(due) <= due {
		return
	}
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// View returns the current view of the upstreams.
func (m *members) View() *membership.View { return m.view.Load() }

// Live returns the other entry instances that were heard from recently.
func (m *members) Live() []string { return *m.live.Load() }

// Announce implements upstream.Registry.
func (m *members) Announce(a membership.Announcement) (membership.Lease, error) {
	return m.request(&announceMessage{a})
}

// Heartbeat implements upstream.Registry.
func (m *members) Heartbeat(h membership.Heartbeat) (membership.Lease, error) {
	return m.request(&heartbeatMessage{h})
}

// CacheEvents implements upstream.Registry.
func (m *members) CacheEvents(e upstream.CacheEvents) error {
	m.onCacheEvents(e)
	return nil
}

func (m *members) request(message any) (membership.Lease, error) {
	reply, err := m.system.Root.RequestFuture(m.pid, message, replyTimeout).Result()
	if err != nil {
		return membership.Lease{}, fault.Wrap(err, fault.Unavailable, fault.Location{Step: "membership"}, fault.NotRun)
	}
	return *reply.(*membership.Lease), nil
}

// Peers returns the status of the other entry instances, or nil if the actor
// does not reply in time.
func (m *members) Peers() []membership.PeerStatus {
	reply, err := m.system.Root.RequestFuture(m.pid, &peerQueryMessage{}, replyTimeout).Result()
	if err != nil {
		return nil
	}
	return reply.([]membership.PeerStatus)
}

// Stop announces that this daemon shuts down and must no longer be chosen as
// a registrar.
func (m *members) Stop() { m.system.Root.Send(m.pid, &stopMessage{}) }

// receive is the actor's message handler. Only the actor accesses the
// registry.
func (m *members) receive(c actor.Context) {
	now := time.Now()
	switch msg := c.Message().(type) {
	case *announceMessage:
		lease := m.registry.Announce(now, msg.announcement)
		c.Respond(&lease)
	case *heartbeatMessage:
		lease := m.registry.Heartbeat(now, msg.heartbeat)
		c.Respond(&lease)
	case *batchMessage:
		m.registry.Merge(now, msg.from, msg.batch)
	case *probedMessage:
		m.registry.RecordProbe(now, msg.sent, msg.reply.Announcement, msg.reply.Heartbeat)
	case *stopMessage:
		m.registry.Stop(now)
	case *peerQueryMessage:
		c.Respond(m.registry.Peers(now))
	case *tickMessage:
		m.publishPeers(now)
	default:
		return
	}
	m.execute(now, m.registry.Tick(now))
	m.schedule()
	m.view.Store(m.registry.View())
}

// execute sends the batches, starts the probes and delivers the events that
// the registry returned.
func (m *members) execute(now time.Time, out membership.Output) {
	for _, o := range out.Batches {
		payload, err := wire.Encode(o.Batch)
		if err != nil {
			m.logger.Error("encode membership batch", zap.Error(err))
			continue
		}
		m.network.Send(o.To, channelMembership, payload)
	}
	for _, p := range out.Probes {
		go m.probe(p)
	}
	if len(out.Events) > 0 && m.onEvents != nil {
		m.onEvents(out.Events)
	}
}

// probe queries the state of an upstream.
func (m *members) probe(p membership.Probe) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	reply, err := m.client.State(ctx, upstream.Target{ID: p.ID, Address: p.Address})
	if err != nil {
		m.logger.Debug("probe failed", zap.String("upstream", p.ID), zap.Error(err))
		return
	}
	m.system.Root.Send(m.pid, &probedMessage{sent, reply})
}

func (m *members) publishPeers(now time.Time) {
	var live []string
	for _, p := range m.registry.Peers(now) {
		if p.Live {
			live = append(live, p.ID)
		}
	}
	m.live.Store(&live)
}
