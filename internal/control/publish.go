package control

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

const (
	// UpdateInterval is the longest time between two updates to a subscriber. A
	// lost change is noticed after it, well within the 2 s in which an upstream
	// that leaves must be known everywhere.
	UpdateInterval = 400 * time.Millisecond
	// SubscribeInterval is the time between renewals of a subscription.
	SubscribeInterval = 500 * time.Millisecond
	// subscriptionLife is the time without renewal after which a subscriber is
	// dropped.
	subscriptionLife = 5 * time.Second
	// sourceSilence is the time without an update from another control instance
	// after which all of its records are asked for again.
	sourceSilence = 3 * UpdateInterval
	// pausePerSubscriber, times the subscribers, is the time between two rounds
	// of updates. An update takes 67 to 84 µs of processor time at both ends
	// together (BenchmarkUpdate), so that a burst of changes costs the sender an
	// eighth of a core. Sent one by one, 160 changes for 74 subscribers kept a
	// leader from its heartbeats until it lost its lease.
	pausePerSubscriber = 300 * time.Microsecond
	// maxPause bounds the pause, whatever the number of subscribers.
	maxPause = 100 * time.Millisecond
)

// subscriber is an instance that receives updates.
type subscriber struct {
	control bool
	// failureDomain is where the instance runs.
	failureDomain string
	heard         time.Time
	sent          time.Time
	number        uint64
	pending       []*mesh.Upstream
	demand        []serviceDemand
	// loads is what an entry has in flight, by upstream.
	loads   map[string]int
	loadsAt time.Time
}

// serviceDemand is the offered work that an entry reported last.
type serviceDemand struct {
	service, model                       string
	requests, promptTokens, answerTokens float64 // for each second
}

func (c *Control) serveSubscribe(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request mesh.Subscribe
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.At{Step: mesh.ChannelSubscribe, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.subscribers[from]
	if s == nil {
		s = &subscriber{control: request.Control, failureDomain: request.FailureDomain}
		c.subscribers[from] = s
		c.o.Logger.Info("subscriber joined", zap.String("peer", from), zap.Bool("control", request.Control))
	}
	s.heard = now
	s.demand = demandRates(&request)
	if len(request.Alive) > 0 {
		c.o.System.Root.Send(c.controller, aliveMessage{request.Alive})
	}
	if request.Number == 0 || request.Source != c.source {
		c.send(from, s, true)
	}
	return nil, nil
}

func demandRates(request *mesh.Subscribe) []serviceDemand {
	seconds := float64(request.IntervalMillis) / 1000
	if seconds <= 0 {
		return nil
	}
	rates := make([]serviceDemand, 0, len(request.Demands))
	for _, d := range request.Demands {
		rates = append(rates, serviceDemand{service: d.Service, model: d.Model, requests: float64(d.Requests) / seconds,
			promptTokens: float64(d.PromptTokens) / seconds, answerTokens: float64(d.AnswerTokens) / seconds})
	}
	return rates
}

// send sends the pending records, or all. The caller holds mu.
func (c *Control) send(id string, s *subscriber, complete bool) {
	version, _ := c.machine.Catalog()
	update := &mesh.Update{Source: c.source, Complete: complete, Upstreams: s.pending, CatalogVersion: version,
		Controls: append(c.controls(), c.o.ID), Entries: c.entries(), Leader: c.replica.Status().Leader.Instance}
	if complete {
		update.Upstreams = nil
		for _, u := range c.table.All() {
			update.Upstreams = append(update.Upstreams, mesh.EncodeUpstream(&u))
		}
	}
	if !s.control && c.leads() {
		update.Loads = c.totalLoads(time.Now())
	}
	s.number++
	update.Number = s.number
	s.pending, s.sent = nil, time.Now()
	payload, err := proto.Marshal(update)
	if err != nil {
		c.o.Logger.Error("update cannot be encoded", zap.String("peer", id), zap.Error(err))
		return
	}
	// A dropped update leaves a gap in the numbers, and the subscriber asks again.
	c.o.Network.Send(id, mesh.ChannelUpdate, payload)
}

// entries is the number of entries. Every entry subscribes to the leader, and to
// some of the other control instances.
func (c *Control) entries() uint32 {
	n := uint32(0)
	if !c.leads() {
		n = c.leaderEntries
	}
	own := uint32(0)
	for _, s := range c.subscribers {
		if !s.control {
			own++
		}
	}
	return max(n, own)
}

func (c *Control) leads() bool { return c.replica.Status().Leads() }

// publish sends due updates, renews subscriptions at other control instances
// and drops what is silent.
func (c *Control) publish() {
	ticker := time.NewTicker(UpdateInterval / 2)
	defer ticker.Stop()
	var renewed, flushed time.Time
	var flush <-chan time.Time
	for {
		applied := c.replica.Watch()
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		case <-applied:
			c.announceVersion()
			continue
		case <-c.changed:
			if flush == nil {
				flush = time.After(time.Until(flushed.Add(c.sendPause())))
			}
			continue
		case <-flush:
			flush, flushed = nil, time.Now()
			c.sendPending()
			continue
		}
		now := time.Now()
		c.sendDue(now)
		if now.Sub(renewed) >= SubscribeInterval {
			renewed = now
			c.subscribe(now)
		}
	}
}

func (c *Control) wakePublisher() {
	select {
	case c.changed <- struct{}{}:
	default:
	}
}

// sendPause is the time between two rounds of updates.
func (c *Control) sendPause() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(time.Duration(len(c.subscribers))*pausePerSubscriber, maxPause)
}

// sendPending sends the changes that wait for subscribers.
func (c *Control) sendPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, s := range c.subscribers {
		if len(s.pending) > 0 {
			c.send(id, s, false)
		}
	}
}

// announceVersion tells all subscribers of a catalog that has just taken
// effect here.
func (c *Control) announceVersion() {
	version, _ := c.machine.Catalog()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.announced {
		return
	}
	c.announced = version
	for id, s := range c.subscribers {
		c.send(id, s, false)
	}
}

func (c *Control) sendDue(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.Forget(now.Add(-forgetAfter))
	interval := UpdateInterval
	if c.leads() && len(c.totalLoads(now).Loads) > 0 {
		interval = LoadInterval
	}
	for id, s := range c.subscribers {
		switch {
		case now.Sub(s.heard) > subscriptionLife:
			delete(c.subscribers, id)
			c.o.Logger.Info("subscriber dropped", zap.String("peer", id), zap.Duration("silent", now.Sub(s.heard)))
		case now.Sub(s.sent) >= interval || len(s.pending) > 0:
			c.send(id, s, false)
		}
	}
}

// subscribe asks all known control instances for their updates.
func (c *Control) subscribe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.controls() {
		at := c.sources[id]
		if now.Sub(at.heard) > sourceSilence {
			at = position{}
		}
		payload, err := proto.Marshal(&mesh.Subscribe{Control: true, FailureDomain: c.o.FailureDomain, Source: at.source, Number: at.number})
		if err != nil {
			c.o.Logger.Error("subscription cannot be encoded", zap.Error(err))
			return
		}
		c.o.Network.Send(id, mesh.ChannelSubscribe, payload)
	}
	for id, at := range c.sources {
		if now.Sub(at.heard) > forgetAfter && !slices.Contains(c.o.Seeds, id) {
			delete(c.sources, id)
		}
	}
}
