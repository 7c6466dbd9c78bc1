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
	// lost change is noticed after this time, well within the 2 s in which a
	// departing upstream must be known everywhere.
	UpdateInterval = 400 * time.Millisecond
	// SubscribeInterval is the time between renewals of a subscription.
	SubscribeInterval = 500 * time.Millisecond
	// subscriptionTimeout is the time without renewal after which a subscriber
	// is dropped.
	subscriptionTimeout = 5 * time.Second
	// reachableTimeout is the time without renewal after which the entries no
	// longer wait for a subscriber when they share what they know of a crash. All
	// of them must act on a crash within 3 s.
	reachableTimeout = 3 * SubscribeInterval
	// resyncTimeout is the time without an update from another control instance
	// after which all of its records are requested again.
	resyncTimeout = 3 * UpdateInterval
	// flushDelayPerSubscriber, multiplied by the number of subscribers, is the
	// minimum time between two rounds of updates. An update takes 67 to 84 µs
	// of processor time at both ends together (BenchmarkUpdate), so that a
	// burst of changes costs the sender an eighth of a core. When 160 changes
	// were sent one by one to 74 subscribers, the leader missed its heartbeats
	// until it lost its lease.
	flushDelayPerSubscriber = 300 * time.Microsecond
	// maxFlushDelay limits the delay for any number of subscribers.
	maxFlushDelay = 100 * time.Millisecond
)

// subscriber is an instance that receives updates.
type subscriber struct {
	control       bool
	failureDomain string
	renewed       time.Time
	lastSent      time.Time
	lastNumber    uint64
	// pending holds the records for the next update.
	pending []*mesh.Upstream
	offered []modelDemand
	// loads holds the requests that an entry has in flight, by upstream.
	loads   map[string]int
	loadsAt time.Time
	// withdrawnVersion is the version of the withdrawn groups that was last sent.
	withdrawnVersion uint64
	// reachableVersion is the version of the reachable entries that was last
	// sent.
	reachableVersion uint64
	// verdictChanges is the number of changes of the verdicts that was last sent.
	verdictChanges uint64
}

// modelDemand is the offered load that an entry last reported for a model of a
// service.
type modelDemand struct {
	service, model                       string
	requests, promptTokens, answerTokens float64 // per second
}

// serveSubscribe handles a subscription or its renewal.
func (c *Control) serveSubscribe(_ context.Context, from string, payload []byte) ([]byte, error) {
	var request mesh.Subscribe
	if err := proto.Unmarshal(payload, &request); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelSubscribe, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.subscribers[from]
	if s == nil {
		s = &subscriber{control: request.Control, failureDomain: request.FailureDomain}
		c.subscribers[from] = s
		c.opts.Logger.Info("subscriber joined", zap.String("peer", from), zap.Bool("control", request.Control))
	}
	s.renewed = now
	c.refreshReachable(now)
	s.offered = demandRates(&request)
	if len(request.Alive) > 0 {
		c.opts.System.Root.Send(c.controller, aliveMessage{request.Alive})
	}
	if request.Number == 0 || request.Source != c.runID {
		c.sendUpdate(from, s, true)
	}
	return nil, nil
}

// demandRates converts the counts of a subscription request to rates.
func demandRates(request *mesh.Subscribe) []modelDemand {
	seconds := float64(request.IntervalMillis) / 1000
	if seconds <= 0 {
		return nil
	}
	rates := make([]modelDemand, 0, len(request.Demands))
	for _, d := range request.Demands {
		rates = append(rates, modelDemand{service: d.Service, model: d.Model, requests: float64(d.Requests) / seconds,
			promptTokens: float64(d.PromptTokens) / seconds, answerTokens: float64(d.AnswerTokens) / seconds})
	}
	return rates
}

// sendUpdate sends the pending records to a subscriber, or all records if
// complete is set. The caller holds mu.
func (c *Control) sendUpdate(id string, s *subscriber, complete bool) {
	version, _ := c.machine.Catalog()
	update := &mesh.Update{Source: c.runID, Complete: complete, Upstreams: s.pending, CatalogVersion: version,
		Controls: append(c.knownControls(), c.opts.ID), Entries: c.entryCount(), Leader: c.replica.Status().Leader.Instance}
	if complete {
		update.Upstreams = nil
		for _, u := range c.table.All() {
			update.Upstreams = append(update.Upstreams, mesh.EncodeUpstream(&u))
		}
	}
	if !s.control && c.leads() {
		update.Loads = c.loadTotals(time.Now())
		update.Withdrawn, s.withdrawnVersion = c.withdrawn, c.withdrawnVersion
	}
	if !s.control && (complete || s.reachableVersion != c.reachableVersion) {
		update.Reachable, s.reachableVersion = c.reachableList(), c.reachableVersion
	}
	if changes, _ := c.machine.Verdicts(); !s.control && (complete || s.verdictChanges != changes) {
		s.verdictChanges, update.Verdicts = c.verdictList()
	}
	s.lastNumber++
	update.Number = s.lastNumber
	s.pending, s.lastSent = nil, time.Now()
	payload, err := c.encodeUpdate(update)
	if err != nil {
		c.opts.Logger.Error("failed to encode update", zap.String("peer", id), zap.Error(err))
		return
	}
	// A dropped update leaves a gap in the numbers, after which the subscriber
	// requests all records.
	c.opts.Network.Send(id, mesh.ChannelUpdate, payload)
}

// encodeUpdate encodes an update. It leaves out records that cannot be encoded, so
// that one of them does not keep all others from the subscribers.
func (c *Control) encodeUpdate(update *mesh.Update) ([]byte, error) {
	payload, err := proto.Marshal(update)
	if err == nil {
		return payload, nil
	}
	var encodable []*mesh.Upstream
	for _, u := range update.Upstreams {
		if _, err := proto.Marshal(u); err != nil {
			c.opts.Logger.Error("record left out of an update", zap.String("upstream", u.Id), zap.Error(err))
			continue
		}
		encodable = append(encodable, u)
	}
	update.Upstreams = encodable
	return proto.Marshal(update)
}

// entryCount returns the number of entries. Every entry subscribes to the
// leader, and to some of the other control instances, so that only the leader's
// count is complete. The caller holds mu.
func (c *Control) entryCount() uint32 {
	n := uint32(0)
	if !c.leads() {
		n = c.leaderEntries
	}
	subscribed := uint32(0)
	for _, s := range c.subscribers {
		if !s.control {
			subscribed++
		}
	}
	return max(n, subscribed)
}

func (c *Control) leads() bool { return c.replica.Status().IsLeader() }

// runPublisher sends updates when they are due, renews the subscriptions at
// other control instances and drops silent subscribers.
func (c *Control) runPublisher() {
	ticker := time.NewTicker(UpdateInterval / 2)
	defer ticker.Stop()
	var renewed, flushed time.Time
	var flush <-chan time.Time
	for {
		applied := c.replica.Watch()
		// Departures go first: a catalog releases reports that were kept back.
		c.applyDepartures()
		c.listServices()
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
		case <-applied:
			c.announceVersion()
			c.announceVerdicts()
			continue
		case <-c.flushRequested:
			if flush == nil {
				flush = time.After(time.Until(flushed.Add(c.flushDelay())))
			}
			continue
		case <-flush:
			flush, flushed = nil, time.Now()
			c.sendPending()
			continue
		}
		now := time.Now()
		c.sendDueUpdates(now)
		if now.Sub(renewed) >= SubscribeInterval {
			renewed = now
			c.renewSubscriptions(now)
		}
	}
}

// requestFlush wakes the publisher to send the pending changes.
func (c *Control) requestFlush() {
	select {
	case c.flushRequested <- struct{}{}:
	default:
	}
}

// flushDelay returns the minimum time between two rounds of updates.
func (c *Control) flushDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return min(time.Duration(len(c.subscribers))*flushDelayPerSubscriber, maxFlushDelay)
}

// sendPending sends the pending changes to all subscribers.
func (c *Control) sendPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	verdictChanges, _ := c.machine.Verdicts()
	for id, s := range c.subscribers {
		outdated := s.withdrawnVersion != c.withdrawnVersion || s.reachableVersion != c.reachableVersion || s.verdictChanges != verdictChanges
		if len(s.pending) > 0 || !s.control && outdated {
			c.sendUpdate(id, s, false)
		}
	}
}

// setWithdrawn replaces the list of withdrawn groups and sends it to the entries
// if it has changed. A nil list means that this instance does not lead.
func (c *Control) setWithdrawn(groups []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if groups == nil {
		c.withdrawn = nil
		return
	}
	if c.withdrawn != nil && slices.Equal(c.withdrawn.Groups, groups) {
		return
	}
	c.withdrawn = &mesh.GroupList{Groups: groups}
	c.withdrawnVersion++
	c.requestFlush()
}

// refreshReachable updates the list of reachable entries and sends it to them if
// it has changed. The caller holds mu.
func (c *Control) refreshReachable(now time.Time) {
	var reachable []string
	for id, s := range c.subscribers {
		if !s.control && now.Sub(s.renewed) <= reachableTimeout {
			reachable = append(reachable, id)
		}
	}
	slices.Sort(reachable)
	if slices.Equal(reachable, c.reachable) {
		return
	}
	c.reachable = reachable
	c.reachableVersion++
	c.requestFlush()
}

// reachableList returns the reachable entries with their failure domains. The
// caller holds mu.
func (c *Control) reachableList() *mesh.InstanceList {
	list := &mesh.InstanceList{Instances: c.reachable}
	for _, id := range c.reachable {
		domain := ""
		if s := c.subscribers[id]; s != nil {
			domain = s.failureDomain
		}
		list.FailureDomains = append(list.FailureDomains, domain)
	}
	return list
}

// announceVersion sends an update to all subscribers after a new catalog
// version has taken effect here.
func (c *Control) announceVersion() {
	version, _ := c.machine.Catalog()
	c.mu.Lock()
	defer c.mu.Unlock()
	if version <= c.announcedVersion {
		return
	}
	c.announcedVersion = version
	for id, s := range c.subscribers {
		c.sendUpdate(id, s, false)
	}
}

// sendDueUpdates sends an update to each subscriber whose interval has elapsed,
// and drops silent subscribers.
func (c *Control) sendDueUpdates(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.RemoveOlderThan(now.Add(-recordRetention))
	c.unlisted.removeOlderThan(now.Add(-recordRetention))
	c.refreshReachable(now)
	interval := UpdateInterval
	if c.leads() && len(c.loadTotals(now).Loads) > 0 {
		interval = LoadReportInterval
	}
	for id, s := range c.subscribers {
		switch {
		case now.Sub(s.renewed) > subscriptionTimeout:
			delete(c.subscribers, id)
			c.opts.Logger.Info("subscriber dropped", zap.String("peer", id), zap.Duration("silent", now.Sub(s.renewed)))
		case now.Sub(s.lastSent) >= interval || len(s.pending) > 0:
			c.sendUpdate(id, s, false)
		}
	}
}

// renewSubscriptions subscribes to all known control instances.
func (c *Control) renewSubscriptions(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.knownControls() {
		at := c.sources[id]
		if now.Sub(at.lastUpdate) > resyncTimeout {
			at = sourceState{}
		}
		payload, err := proto.Marshal(&mesh.Subscribe{Control: true, FailureDomain: c.opts.FailureDomain, Source: at.runID, Number: at.lastNumber})
		if err != nil {
			c.opts.Logger.Error("failed to encode subscription", zap.Error(err))
			return
		}
		c.opts.Network.Send(id, mesh.ChannelSubscribe, payload)
	}
	for id, at := range c.sources {
		if now.Sub(at.lastUpdate) > recordRetention && !slices.Contains(c.opts.Seeds, id) {
			delete(c.sources, id)
		}
	}
}
