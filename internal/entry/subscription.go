package entry

import (
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

const (
	// maxSources is the number of control instances that an entry subscribes
	// to. With three, one may be lost and another may lag.
	maxSources = 3
	// joinInterval is the time between subscription requests of an entry that
	// has no catalog yet.
	joinInterval = 100 * time.Millisecond
	// resyncTimeout is the time without an update after which an entry requests
	// all upstream records again.
	resyncTimeout = 3 * control.UpdateInterval
	// sourceTimeout is the time without an update after which a control
	// instance is replaced by another one.
	sourceTimeout = 3 * time.Second
	// currentCatalogTimeout is how long after its start an entry insists on a
	// catalog that is proven to be the newest. It then accepts the newest
	// catalog of any control instance, because there may be no majority to
	// prove it.
	currentCatalogTimeout = 3 * time.Second
	// fetchTimeout is the timeout of one catalog request.
	fetchTimeout = time.Second
	// fetchHedgeDelay is the time without a response after which the catalog is
	// also requested from another control instance. It is about a tenth of the
	// time within which a change must take effect, so that every source can be
	// tried in that time.
	fetchHedgeDelay = 250 * time.Millisecond
	// goneRetention is how long records of departed upstreams are kept, the
	// same as at control instances.
	goneRetention = 60 * time.Second
)

// updateSource is a control instance that sends updates.
type updateSource struct {
	// id identifies the run of the control instance; lastNumber is the number
	// of its last update. Both are zero if all records must be requested again.
	id         uint64
	lastNumber uint64
	lastUpdate time.Time
	// triedSince is the time of the first subscription request that was not
	// answered.
	triedSince time.Time
	// reachable lists the entries that the control instance last reported as
	// reachable, reachableDomains their failure domains.
	reachable        []string
	reachableDomains map[string]string
}

// runSubscriptions subscribes to control instances and renews the
// subscriptions.
func (e *Entry) runSubscriptions() {
	last := time.Now()
	for {
		now := time.Now()
		e.subscribe(now, now.Sub(last))
		last = now
		pause := control.SubscribeInterval
		if !e.hasCatalog() {
			pause = joinInterval
		}
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (e *Entry) hasCatalog() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.activeCatalog != nil
}

// subscribe renews the subscriptions and reports the offered load.
func (e *Entry) subscribe(now time.Time, interval time.Duration) {
	demands := e.demand.take()
	e.storeVerdicts(now)
	e.reportDepartures(now)
	e.mu.Lock()
	e.expireWithdrawn(now)
	alive := e.aliveGroups(now.Add(-interval))
	chosen := e.chooseSources(now)
	e.mu.Unlock()
	for _, id := range chosen {
		request := &mesh.Subscribe{FailureDomain: e.opts.FailureDomain, IntervalMillis: uint32(interval.Milliseconds()), Demands: demands, Alive: alive}
		e.mu.Lock()
		if s := e.sources[id]; s != nil && now.Sub(s.lastUpdate) < resyncTimeout {
			request.Source, request.Number = s.id, s.lastNumber
		}
		e.mu.Unlock()
		payload, err := proto.Marshal(request)
		if err != nil {
			e.opts.Logger.Error("failed to encode subscription", zap.Error(err))
			return
		}
		e.opts.Network.Send(id, mesh.ChannelSubscribe, payload)
	}
}

// aliveGroups lists the groups that have made progress after the given time.
// The caller holds mu.
func (e *Entry) aliveGroups(since time.Time) []string {
	var alive []string
	for key, t := range e.targets {
		if key.group != "" && t.progressSince(since) {
			alive = append(alive, key.group)
		}
	}
	slices.Sort(alive)
	return alive
}

// chooseSources selects up to maxSources control instances: those that send
// updates, then untried ones, then silent ones. The caller holds mu.
func (e *Entry) chooseSources(now time.Time) []string {
	known := sortedUnique(slices.Concat(e.opts.Seeds, e.controls))
	var active, untried, silent []string
	for _, id := range known {
		s := e.sources[id]
		switch {
		case s == nil:
			untried = append(untried, id)
		case now.Sub(s.lastUpdate) < sourceTimeout:
			active = append(active, id)
		case now.Sub(s.triedSince) < sourceTimeout:
			untried = append(untried, id)
		default:
			silent = append(silent, id)
		}
	}
	// Silent instances are tried in turn, so that one that recovers is found.
	slices.SortStableFunc(silent, func(a, b string) int { return e.sources[a].triedSince.Compare(e.sources[b].triedSince) })
	chosen := slices.Concat(active, untried, silent)
	// The leader plans from the reports of the entries, so it is always
	// included.
	if at := slices.Index(chosen, e.leader); at > 0 {
		chosen = slices.Insert(slices.Delete(chosen, at, at+1), 0, e.leader)
	}
	chosen = chosen[:min(len(chosen), maxSources)]
	for _, id := range chosen {
		s := e.sources[id]
		if s == nil {
			s = &updateSource{}
			e.sources[id] = s
		}
		if now.Sub(s.lastUpdate) >= sourceTimeout && now.Sub(s.triedSince) >= sourceTimeout {
			s.triedSince = now
		}
	}
	return chosen
}

// serveUpdate applies an update from a control instance.
func (e *Entry) serveUpdate(_ context.Context, from string, payload []byte) ([]byte, error) {
	var update mesh.Update
	if err := proto.Unmarshal(payload, &update); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelUpdate, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sources[from]
	if s == nil {
		s = &updateSource{}
		e.sources[from] = s
	}
	if now.Sub(s.lastUpdate) > sourceTimeout {
		e.opts.Logger.Info("control instance regained", zap.String("peer", from))
	}
	if update.Complete && update.Source != s.id {
		// The control instance has started. If all have, the entries are the only
		// ones that remember departures.
		e.sendDepartures(from, e.departed())
	}
	if !update.Complete && (update.Source != s.id || update.Number != s.lastNumber+1) {
		// An update was lost. The next subscription request asks for all
		// records.
		*s = updateSource{lastUpdate: now, reachable: s.reachable, reachableDomains: s.reachableDomains}
	} else {
		s.id, s.lastNumber, s.lastUpdate = update.Source, update.Number, now
	}
	if update.Reachable != nil {
		s.reachable, s.reachableDomains = update.Reachable.Instances, instanceDomains(update.Reachable)
		e.crashes.EntriesChanged()
	}
	e.controls, e.entries = update.Controls, int(update.Entries)
	if update.Leader != "" {
		e.leader = update.Leader
	}
	changed := e.applyUpstreams(now, from, &update)
	if update.Verdicts != nil {
		e.applyVerdicts(now, from, update.Verdicts)
	}
	if update.Withdrawn != nil {
		changed = e.applyWithdrawn(now, update.Withdrawn.Groups) || changed
	}
	if changed {
		e.rebuildView()
	}
	if update.Loads != nil {
		e.applyLoads(now, update.Loads.Loads)
	}
	if update.CatalogVersion > e.catalogVersion {
		e.startFetch(from)
	}
	return nil, nil
}

// instanceDomains returns the failure domains of instances by id.
func instanceDomains(list *mesh.InstanceList) map[string]string {
	domains := make(map[string]string, len(list.FailureDomains))
	for i, id := range list.Instances {
		if i < len(list.FailureDomains) {
			domains[id] = list.FailureDomains[i]
		}
	}
	return domains
}

// reachableEntries lists the other entries that a control instance with current
// updates reports as reachable.
func (e *Entry) reachableEntries() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	var all []string
	for _, s := range e.sources {
		if now.Sub(s.lastUpdate) < resyncTimeout {
			all = append(all, s.reachable...)
		}
	}
	return slices.DeleteFunc(sortedUnique(all), func(id string) bool { return id == e.opts.ID })
}

// applyUpstreams merges the upstream records of an update. It reports whether
// the content of a record changed. The caller holds mu.
func (e *Entry) applyUpstreams(now time.Time, from string, update *mesh.Update) bool {
	changed := false
	for _, encoded := range update.Upstreams {
		u := mesh.DecodeUpstream(encoded)
		if _, different := e.table.Observe(now, u); different {
			changed = true
			e.opts.Logger.Debug("upstream changed", zap.String("upstream", u.ID), zap.String("peer", from), zap.Stringer("phase", u.Phase))
		}
	}
	return changed
}

// applyWithdrawn replaces the list of groups that the leader has given up. It
// reports whether the list changed. The caller holds mu.
func (e *Entry) applyWithdrawn(now time.Time, groups []string) bool {
	e.withdrawnAt = now
	withdrawn := make(map[string]bool, len(groups))
	for _, name := range groups {
		withdrawn[name] = true
	}
	if maps.Equal(withdrawn, e.withdrawn) {
		return false
	}
	e.withdrawn = withdrawn
	return true
}

// expireWithdrawn forgets the withdrawn groups when the leader has been silent,
// because it may have taken a group back since. The caller holds mu.
func (e *Entry) expireWithdrawn(now time.Time) {
	if len(e.withdrawn) > 0 && now.Sub(e.withdrawnAt) > sourceTimeout {
		e.withdrawn = nil
		e.rebuildView()
	}
}

// rebuildView publishes a new view. The caller holds mu.
func (e *Entry) rebuildView() {
	upstreams := e.table.All()
	pruneTargets(e.targets, upstreams)
	e.view.Store(buildView(e.activeCatalog, upstreams, e.targets, e.withdrawn, e.entries))
}

// startFetch requests the catalog from a control instance, unless a recent
// request is still in flight. The caller holds mu.
func (e *Entry) startFetch(id string) {
	now := time.Now()
	if _, running := e.fetches[id]; running {
		return
	}
	for _, began := range e.fetches {
		if now.Sub(began) < fetchHedgeDelay {
			return
		}
	}
	e.fetches[id] = now
	current := e.activeCatalog == nil && time.Since(e.started) < currentCatalogTimeout
	// An entry that ends needs no catalog.
	_ = e.wg.Go(func() {
		err := e.fetchCatalog(id, current)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.fetches, id)
		if err != nil {
			e.opts.Logger.Warn("failed to fetch catalog", zap.String("peer", id), zap.Bool("current", current), zap.Error(err))
		}
	})
}

// fetchCatalog requests the catalog and installs it. If current is set, the
// control instance must prove that it is the newest.
func (e *Entry) fetchCatalog(id string, current bool) error {
	payload, err := proto.Marshal(&mesh.CatalogRequest{Current: current})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
	defer cancel()
	response, err := e.opts.Network.Call(ctx, id, mesh.ChannelCatalog, payload)
	if err != nil {
		return err
	}
	var reply mesh.CatalogReply
	if err := proto.Unmarshal(response, &reply); err != nil {
		return fault.Wrap(err, fault.Internal, fault.Location{Step: mesh.ChannelCatalog, Peer: id}, fault.NotRun)
	}
	document, err := mesh.Decompress(reply.Document)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.Location{Step: mesh.ChannelCatalog, Peer: id}, fault.NotRun)
	}
	e.mu.Lock()
	e.applyVerdicts(time.Now(), id, reply.Verdicts)
	e.mu.Unlock()
	return e.installCatalog(id, reply.Version, document)
}

// installCatalog puts a catalog in force unless the same or a newer version
// already is.
func (e *Entry) installCatalog(from string, version uint64, document []byte) error {
	if version == 0 {
		return nil
	}
	content, err := e.opts.Decode(document)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, fault.Location{Step: "decode catalog", Peer: from}, fault.NotRun)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if version <= e.catalogVersion {
		return nil
	}
	first := e.activeCatalog == nil
	e.catalogVersion, e.activeCatalog = version, content
	e.rebuildView()
	if e.opts.OnLimits != nil {
		e.opts.OnLimits(content.Limits)
	}
	e.opts.Logger.Info("catalog in force", zap.Uint64("version", version), zap.String("peer", from), zap.Int("routes", len(content.Routes)))
	if first {
		close(e.configured)
	}
	return nil
}

// expireUpstreams drops the records of departed upstreams after goneRetention.
// Other records are kept however old they are, because control instances repeat
// unchanged records only to new subscribers.
func (e *Entry) expireUpstreams() {
	ticker := time.NewTicker(goneRetention)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			for _, u := range e.table.All() {
				if u.Phase == fleet.Gone && now.Sub(u.ReceivedAt) > goneRetention {
					e.table.Remove(u.ID)
				}
			}
			present := map[upstreamlimit.Target]bool{}
			for _, u := range e.table.All() {
				present[upstreamlimit.Target{Upstream: u.ID, Incarnation: uint64(u.StartMillis)}] = u.Phase != fleet.Gone
			}
			e.mu.Unlock()
			e.limits.Retain(func(t upstreamlimit.Target) bool { return present[t] })
		}
	}
}
