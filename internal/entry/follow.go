package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

const (
	// maxSources bounds the control instances that an entry subscribes to. With
	// three, one of them may be lost and one behind.
	maxSources = 3
	// joinInterval is the time between subscriptions of an entry that cannot
	// serve yet.
	joinInterval = 100 * time.Millisecond
	// sourceSilence is the time without an update after which all upstreams
	// are asked for again.
	sourceSilence = 3 * control.UpdateInterval
	// sourceLife is the time without an update after which another control
	// instance is tried in place of a silent one.
	sourceLife = 3 * time.Second
	// currentCatalogWait bounds the wait of a starting entry for a catalog that
	// is proven to be the newest. Without a majority the entry goes on with the
	// newest that any control instance holds.
	currentCatalogWait = 3 * time.Second
	// fetchTimeout bounds one request for the catalog.
	fetchTimeout = time.Second
	// fetchHedge is the time without an answer after which the catalog is asked
	// for at another control instance as well: a tenth of the time in which a
	// change must be in force, so that each source can be tried in it.
	fetchHedge = 250 * time.Millisecond
	// forgetAfter is as at control instances.
	forgetAfter = 60 * time.Second
)

// source is a control instance that sends updates.
type source struct {
	id     uint64
	number uint64
	heard  time.Time
	// tried is when a subscription was first sent without an answer.
	tried time.Time
}

// follow subscribes to control instances and keeps the subscriptions.
func (e *Entry) follow() {
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
	return e.content != nil
}

// subscribe renews the subscriptions and reports the offered work.
func (e *Entry) subscribe(now time.Time, interval time.Duration) {
	demands := e.demand.take()
	e.mu.Lock()
	alive := e.aliveGroups(now.Add(-interval))
	chosen := e.chooseSources(now)
	e.mu.Unlock()
	for _, id := range chosen {
		request := &mesh.Subscribe{FailureDomain: e.o.FailureDomain, IntervalMillis: uint32(interval.Milliseconds()), Demands: demands, Alive: alive}
		e.mu.Lock()
		if s := e.sources[id]; s != nil && now.Sub(s.heard) < sourceSilence {
			request.Source, request.Number = s.id, s.number
		}
		e.mu.Unlock()
		payload, err := proto.Marshal(request)
		if err != nil {
			e.o.Logger.Error("subscription cannot be encoded", zap.Error(err))
			return
		}
		e.o.Network.Send(id, mesh.ChannelSubscribe, payload)
	}
}

// aliveGroups lists the groups that made progress since a time. The caller
// holds mu.
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

// chooseSources keeps the control instances that answer and fills up with
// others. The caller holds mu.
func (e *Entry) chooseSources(now time.Time) []string {
	known := distinct(slices.Concat(e.o.Seeds, e.controls))
	var kept, fresh, silent []string
	for _, id := range known {
		s := e.sources[id]
		switch {
		case s == nil:
			fresh = append(fresh, id)
		case now.Sub(s.heard) < sourceLife:
			kept = append(kept, id)
		case now.Sub(s.tried) < sourceLife:
			fresh = append(fresh, id)
		default:
			silent = append(silent, id)
		}
	}
	// Silent ones are tried in turn, so that one that returns is found.
	slices.SortStableFunc(silent, func(a, b string) int { return e.sources[a].tried.Compare(e.sources[b].tried) })
	chosen := slices.Concat(kept, fresh, silent)
	// The leader plans by what entries report, so that it is always among them.
	if at := slices.Index(chosen, e.leader); at > 0 {
		chosen = slices.Insert(slices.Delete(chosen, at, at+1), 0, e.leader)
	}
	chosen = chosen[:min(len(chosen), maxSources)]
	for _, id := range chosen {
		s := e.sources[id]
		if s == nil {
			s = &source{}
			e.sources[id] = s
		}
		if now.Sub(s.heard) >= sourceLife && now.Sub(s.tried) >= sourceLife {
			s.tried = now
		}
	}
	return chosen
}

// serveUpdate applies an update of a control instance.
func (e *Entry) serveUpdate(_ context.Context, from string, payload []byte) ([]byte, error) {
	var update mesh.Update
	if err := proto.Unmarshal(payload, &update); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.At{Step: mesh.ChannelUpdate, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.sources[from]
	if s == nil {
		s = &source{}
		e.sources[from] = s
	}
	if now.Sub(s.heard) > sourceLife {
		e.o.Logger.Info("control instance regained", zap.String("peer", from))
	}
	if !update.Complete && (update.Source != s.id || update.Number != s.number+1) {
		// An update was lost; the next subscription asks for all upstreams.
		*s = source{heard: now}
	} else {
		s.id, s.number, s.heard = update.Source, update.Number, now
	}
	e.controls, e.entries = update.Controls, int(update.Entries)
	if update.Leader != "" {
		e.leader = update.Leader
	}
	e.apply(now, from, &update)
	if update.Loads != nil {
		e.shareLoads(now, update.Loads.Loads)
	}
	if update.CatalogVersion > e.version {
		e.fetchFrom(from)
	}
	return nil, nil
}

// apply merges the records of an update. The caller holds mu.
func (e *Entry) apply(now time.Time, from string, update *mesh.Update) {
	changed := 0
	for _, encoded := range update.Upstreams {
		u := mesh.DecodeUpstream(encoded)
		if _, different := e.table.Observe(now, u); different {
			changed++
			e.o.Logger.Debug("upstream changed", zap.String("upstream", u.ID), zap.String("peer", from), zap.Stringer("phase", u.Phase))
		}
	}
	if changed > 0 {
		e.rebuild()
	}
}

// rebuild publishes a new view. The caller holds mu.
func (e *Entry) rebuild() {
	upstreams := e.table.All()
	prune(e.targets, upstreams)
	e.view.Store(buildView(e.content, upstreams, e.targets, e.entries))
}

// fetchFrom gets the catalog from a control instance, one request at a time
// while they are answered soon. The caller holds mu.
func (e *Entry) fetchFrom(id string) {
	now := time.Now()
	if _, running := e.fetches[id]; running {
		return
	}
	for _, began := range e.fetches {
		if now.Sub(began) < fetchHedge {
			return
		}
	}
	e.fetches[id] = now
	current := e.content == nil && time.Since(e.started) < currentCatalogWait
	e.done.Go(func() {
		err := e.fetch(id, current)
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.fetches, id)
		if err != nil {
			e.o.Logger.Warn("catalog not fetched", zap.String("peer", id), zap.Bool("current", current), zap.Error(err))
		}
	})
}

func (e *Entry) fetch(id string, current bool) error {
	payload, err := proto.Marshal(&mesh.CatalogRequest{Current: current})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(e.ctx, fetchTimeout)
	defer cancel()
	answer, err := e.o.Network.Call(ctx, id, mesh.ChannelCatalog, payload)
	if err != nil {
		return err
	}
	var reply mesh.CatalogReply
	if err := proto.Unmarshal(answer, &reply); err != nil {
		return fault.Wrap(err, fault.Internal, fault.At{Step: mesh.ChannelCatalog, Peer: id}, fault.NotRun)
	}
	document, err := mesh.Decompress(reply.Document)
	if err != nil {
		return fault.Wrap(err, fault.Internal, fault.At{Step: mesh.ChannelCatalog, Peer: id}, fault.NotRun)
	}
	return e.install(id, reply.Version, document)
}

// install puts a catalog in force unless a newer one is.
func (e *Entry) install(from string, version uint64, document []byte) error {
	if version == 0 {
		return nil
	}
	content, err := e.o.Decode(document)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, fault.At{Step: "decode catalog", Peer: from}, fault.NotRun)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if version <= e.version {
		return nil
	}
	first := e.content == nil
	e.version, e.content = version, content
	e.rebuild()
	e.o.Logger.Info("catalog in force", zap.Uint64("version", version), zap.String("peer", from), zap.Int("routes", len(content.Routes)))
	if first {
		close(e.configured)
	}
	return nil
}

// expire drops records that were not heard of for long. Control instances
// repeat every record to a new subscriber, not regularly, so that only those
// that have left are dropped.
func (e *Entry) expire() {
	ticker := time.NewTicker(forgetAfter)
	defer ticker.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case now := <-ticker.C:
			e.mu.Lock()
			for _, u := range e.table.All() {
				if u.Phase == fleet.Gone && now.Sub(u.Heard) > forgetAfter {
					e.table.Drop(u.ID)
				}
			}
			e.mu.Unlock()
		}
	}
}
