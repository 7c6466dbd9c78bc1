package daemon

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/outlier"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/routing"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	// routingTick is how often loads, ages and groups reach the routing table
	// of a small deployment. A table of 2,100 upstreams takes 3.4 ms to build,
	// so the time grows with the number of upstreams.
	routingTick     = 100 * time.Millisecond
	perUpstreamTick = 500 * time.Microsecond
	// crashProbe bounds the question whether an upstream that broke a
	// connection is still there.
	crashProbe = 500 * time.Millisecond
	// suspectPause is the wait before a suspect is ruled on again.
	suspectPause = 50 * time.Millisecond
	// pickTries bounds the picks whose upstream was lost between the pick and
	// the dispatch.
	pickTries = 8
)

// picker chooses upstreams for the requests of this entry.
type picker struct {
	cfg     *config.Daemon
	logger  *zap.Logger
	shared  inForce
	members *members
	client  *upstream.Client
	router  *routing.Router
	random  *routing.Source
	crashes *crashWatch
	regions map[string]string
	heard   map[string]time.Time
	known   map[string]int
	watched atomic.Pointer[membership.View]
	// lost holds the upstreams that quarantine was not told of.
	lost map[string]bool
	next atomic.Uint64

	mu sync.Mutex
	// detectors watch the upstreams of each service.
	detectors map[string]detector
}

// inForce is what this daemon has in force.
type inForce interface {
	Tree() *settings.Tree
	Groups() map[string]*group.State
}

// detector is the outlier detector of a service under its present limit.
type detector struct {
	*outlier.Detector
	maxEjected float64
}

func newPicker(cfg *config.Daemon, seed uint64, shared inForce, m *members, client *upstream.Client, crashes *crashWatch, logger *zap.Logger) *picker {
	p := &picker{
		cfg: cfg, logger: logger, shared: shared, members: m, client: client, crashes: crashes,
		router: routing.New(routing.Config{FailureDomain: cfg.FailureDomain, Region: cfg.Region, Entries: entryCount(cfg)}, nil),
		random: routing.NewSource(seed), detectors: map[string]detector{},
		regions: map[string]string{cfg.FailureDomain: cfg.Region}, heard: map[string]time.Time{}, lost: map[string]bool{}, known: map[string]int{},
	}
	for _, peer := range cfg.Peers {
		p.regions[peer.FailureDomain] = peer.Region
	}
	return p
}

// entryCount returns the number of entry instances of the deployment.
func entryCount(cfg *config.Daemon) int {
	n := 0
	for _, p := range cfg.Peers {
		if p.Has(config.RoleEntry) {
			n++
		}
	}
	return max(n, 1)
}

// Pick implements caller.Picker.
func (p *picker) Pick(ctx context.Context, w *caller.Work, _ int, tried []string) (caller.Choice, error) {
	tree := p.shared.Tree()
	req := &routing.Request{
		Service: w.Route.Service, Paying: w.Account.Class == caller.Paying, Excluded: slices.Clone(tried),
		NeedsGroup: p.needsGroup(tree, w.Route),
	}
	if w.Prompt != "" {
		req.Prefix = routing.BlockHashes(nil, w.Route.Model, []byte(w.Prompt), routing.DefaultBlockBytes, routing.DefaultMaxBlocks)
	}
	for try := 0; ; try++ {
		if err := p.obeyRuling(ctx, w, req); err != nil {
			return nil, err
		}
		c, err := p.choose(w, req)
		if err == nil {
			return c, nil
		}
		var again *retryPick
		if !errors.As(err, &again) || try >= pickTries && !again.suspect || !time.Now().Before(w.Deadline) {
			return nil, pickError(err)
		}
		if again.suspect {
			wait(ctx, nil, suspectPause)
			continue
		}
		req.Excluded = append(req.Excluded, again.upstream)
	}
}

// retryPick says that a picked upstream cannot be used after all.
type retryPick struct {
	upstream string
	suspect  bool
}

func (e *retryPick) Error() string { return "upstream " + e.upstream + " can no longer be used" }

func pickError(err error) error {
	if fault.CodeOf(err) != fault.Internal {
		return err
	}
	return fault.Wrap(err, fault.NoUpstream, fault.At{Step: caller.StepPick}, fault.NotRun)
}

// obeyRuling applies what quarantine says of the request.
func (p *picker) obeyRuling(ctx context.Context, w *caller.Work, req *routing.Request) error {
	ruling, err := p.crashes.await(ctx, w)
	if err != nil {
		return err
	}
	req.Pinned, req.Isolate = ruling.Pin, nil
	if ruling.Action == quarantine.Isolate {
		req.Isolate = p.crashes.book.Isolation(time.Now(), w.Route.Service, digestOf(w))
	}
	return nil
}

// choose picks an upstream and checks, at the moment of dispatch, that its
// group is whole and that the request may run there.
func (p *picker) choose(w *caller.Work, req *routing.Request) (*choice, error) {
	now := time.Now()
	picked, err := p.router.Pick(now, p.random, req)
	if errors.Is(err, routing.ErrNoUpstream) && (req.Isolate != nil || req.Pinned != "") {
		return nil, &retryPick{suspect: true}
	}
	if err != nil && len(req.Excluded) > 0 {
		// Every other upstream was tried or is unfit, so one may be tried again.
		second := *req
		second.Excluded = nil
		picked, err = p.router.Pick(now, p.random, &second)
	}
	if err != nil {
		return nil, err
	}
	u := picked.Upstream
	view := p.members.View()
	known := view.Get(u.ID)
	maxAge := p.maxAge(w.Route.Service)
	if known == nil || known.Incarnation != u.Incarnation || !view.Dispatchable(known, now) || known.Age(now) >= maxAge ||
		req.NeedsGroup && !p.confirmed(u, now, maxAge) {
		// The table is older than the view, in which the upstream may have
		// left or its group may have lost a member.
		return nil, &retryPick{upstream: u.ID}
	}
	target := quarantine.Target{Upstream: u.ID, Incarnation: u.Incarnation}
	run := p.next.Add(1)
	ruling, ok := p.crashes.book.Start(now, w.Route.Service, run, digestOf(w), target)
	if !ok {
		return nil, &retryPick{upstream: u.ID, suspect: true}
	}
	load := u.EstimatedLoad()
	p.router.Begin(now, u, req.Prefix)
	return &choice{
		picker: p, upstream: u, features: known.Features, service: w.Route.Service, run: run, begun: now, target: target,
		isolated: ruling.Action == quarantine.Isolate,
		load:     load, blocks: picked.Blocks, sticky: picked.Sticky,
	}, nil
}

// maxAge returns the age from which information about an upstream of a service
// no longer permits a dispatch.
func (p *picker) maxAge(service string) time.Duration {
	if s, ok := p.shared.Tree().Service(service); ok {
		return s.ConfirmationMaxAge
	}
	return membership.DefaultAgeBound
}

// confirmed reports whether the group of an upstream is whole now.
func (p *picker) confirmed(u *routing.Upstream, now time.Time, maxAge time.Duration) bool {
	for _, state := range p.shared.Groups() {
		// The engines know a group that was formed again by its new epoch.
		if g := state.Groups[u.Group.ID]; g != nil && g.Epoch == u.Group.Epoch {
			servable, ok := g.Servable(p.members.View(), now)
			return ok && g.Epoch == u.Group.Epoch && servable.Leader.ID == u.ID && now.Sub(servable.Confirmed) < maxAge
		}
	}
	return false
}

// needsGroup reports whether a service is served by replica groups anywhere.
func (p *picker) needsGroup(tree *settings.Tree, route caller.Route) bool {
	return route.Kind == membership.ModelEngine && tree.GroupPolicy(p.cfg.FailureDomain, route.Service).GroupSize > 1
}

// RoutingPeriod returns the time between two routing tables of a number of
// upstreams.
func RoutingPeriod(upstreams int) time.Duration {
	return max(routingTick, time.Duration(upstreams)*perUpstreamTick)
}

// run keeps the routing table up to date.
func (p *picker) run(ctx context.Context) {
	timer := time.NewTimer(routingTick)
	defer timer.Stop()
	seconds := time.NewTicker(time.Second)
	defer seconds.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			p.publish(now)
			timer.Reset(RoutingPeriod(p.router.Table().Len()))
		case now := <-seconds.C:
			p.share(p.tickDetectors(now))
			p.watchLost(now)
		}
	}
}

// publish builds the table from the views of members and groups.
func (p *picker) publish(now time.Time) {
	view := p.members.View()
	groups := map[string]routing.Group{}
	for _, state := range p.shared.Groups() {
		addGroups(groups, state, view, now)
	}
	all := view.All()
	candidates := make([]routing.Candidate, 0, len(all))
	for _, u := range all {
		candidates = append(candidates, p.candidate(u, groups[u.ID]))
	}
	p.router.Publish(now, candidates)
	p.watch(view, all)
}

// addGroups lists the members of servable groups by id.
func addGroups(groups map[string]routing.Group, state *group.State, view *membership.View, now time.Time) {
	for _, s := range state.Servable(view, now) {
		for rank, m := range s.Group.Members {
			groups[m.ID] = routing.Group{ID: s.Group.ID, Epoch: s.Group.Epoch, Rank: rank, Complete: true, ConfirmedAt: s.Confirmed}
		}
	}
}

func (p *picker) candidate(u *membership.Upstream, g routing.Group) routing.Candidate {
	load := u.Load()
	at, _ := u.Reported()
	c := routing.Candidate{
		ID: u.ID, Incarnation: u.Incarnation, Address: u.Address, FailureDomain: u.FailureDomain, Region: p.regions[u.FailureDomain],
		Services: u.Services, State: routing.State(u.State), Role: routing.Role(u.Role), Priorities: u.Features.Priorities,
		MaxConcurrent: u.MaxConcurrent, Group: g,
		Load: routing.Load{Running: load.Running, Queued: load.Queued, KVUse: load.KVUse, At: at},
	}
	for _, m := range u.Models {
		c.Models = append(c.Models, routing.Model{Name: m.Name, Version: m.Version, Adapter: m.Adapter})
	}
	return c
}

// watch tells outlier detection and quarantine which upstreams there are and
// which gave a sign of life.
func (p *picker) watch(view *membership.View, all []*membership.Upstream) {
	if p.watched.Swap(view) != view {
		p.setUpstreams(view, all)
	}
	for _, u := range all {
		at, ok := u.Reported()
		if !ok || at.Equal(p.heard[u.ID]) {
			continue
		}
		p.heard[u.ID] = at
		for _, s := range u.Services {
			p.share(p.detector(s).Heard(at, s, u.ID))
		}
	}
}

// setUpstreams replaces the sets of upstreams by service. Quarantine assigns
// upstreams to entries for isolated runs, so it gets no lost ones: an entry whose
// upstreams are all lost could not run a suspect until they are forgotten.
func (p *picker) setUpstreams(view *membership.View, all []*membership.Upstream) {
	now := time.Now()
	services, present := map[string][]string{}, map[string][]string{}
	listed := map[string]bool{}
	clear(p.lost)
	for _, u := range all {
		listed[u.ID] = true
		if !view.Confirmed(u, now) {
			p.lost[u.ID] = true
		}
		for _, s := range u.Services {
			services[s] = append(services[s], u.ID)
			if !p.lost[u.ID] {
				present[s] = append(present[s], u.ID)
			}
		}
	}
	for s := range p.known {
		if _, ok := services[s]; !ok {
			services[s] = nil
		}
	}
	for s, ids := range services {
		p.share(p.detector(s).SetUpstreams(now, s, ids))
		p.crashes.book.SetUpstreams(s, present[s])
		p.known[s] = len(ids)
	}
	for id := range p.heard {
		if !listed[id] {
			delete(p.heard, id)
		}
	}
}

// watchLost sets the upstreams again when some were lost or came back, which
// does not change the view.
func (p *picker) watchLost(now time.Time) {
	view := p.members.View()
	for _, u := range view.All() {
		if view.Confirmed(u, now) == p.lost[u.ID] {
			p.watched.Store(nil)
			return
		}
	}
}

// detector returns the outlier detector of a service. A changed limit starts a
// new one, which learns of the upstreams at once.
func (p *picker) detector(service string) *outlier.Detector {
	limit := outlier.DefaultConfig().MaxEjected
	if s, ok := p.shared.Tree().Service(service); ok && s.EjectMax > 0 {
		limit = s.EjectMax
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.detectors[service]
	if d.Detector == nil || d.maxEjected != limit {
		d = detector{outlier.New(outlier.Config{MaxEjected: limit}), limit}
		p.detectors[service] = d
		p.watched.Store(nil)
	}
	return d.Detector
}

func (p *picker) tickDetectors(now time.Time) []outlier.Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	var changes []outlier.Change
	for _, d := range p.detectors {
		changes = append(changes, d.Tick(now)...)
	}
	return changes
}

// outliers lists the upstreams that have less than their full share.
func (p *picker) outliers() []outlier.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []outlier.Status
	for _, d := range p.detectors {
		all = append(all, d.Status()...)
	}
	return all
}

// share passes changed shares of upstreams on to the router.
func (p *picker) share(changes []outlier.Change) {
	for _, c := range changes {
		if c.Cause != "" {
			p.logger.Info("upstream ejected", zap.String("upstream", c.Upstream), zap.String("service", c.Service), zap.String("cause", string(c.Cause)))
		}
		if u := p.router.Table().Upstream(c.Upstream); u != nil {
			p.router.SetShare(c.Upstream, u.Incarnation, c.Share)
		}
	}
}

// capacity returns what the upstreams of a service can take, as admission
// needs it.
func (p *picker) capacity(service string) admission.Capacity {
	grouped := p.needsGroup(p.shared.Tree(), caller.Route{Kind: membership.ModelEngine, Service: service})
	now := time.Now()
	c := admission.Capacity{Priorities: true}
	view := p.members.View()
	for _, u := range p.router.Table().Service(service) {
		if u.State != routing.Ready || grouped && (!u.Group.Complete || u.Group.Rank != 0) {
			continue
		}
		v := view.Get(u.ID)
		if v == nil || !view.Dispatchable(v, now) {
			continue
		}
		if v.Kind != membership.ModelEngine {
			grouped = false
		}
		load := u.Load.Running + u.Load.Queued
		c.Slots += max(1, u.MaxConcurrent)
		c.Load += load
		c.OwnInLoad += u.OwnInReport()
		c.Priorities = c.Priorities && u.Priorities
	}
	return c
}

// slots returns the batch slots of the upstreams of a service that may receive
// work.
func (p *picker) slots(service string) int { return p.capacity(service).Slots }

// learnCache takes the cache events of an engine.
func (p *picker) learnCache(e upstream.CacheEvents) {
	batch := routing.CacheEvents{Upstream: e.ID, Incarnation: e.Incarnation, First: e.FirstSequence}
	for _, event := range e.Events {
		kind := routing.BlockStored
		if event.Kind == upstream.CacheEvicted {
			kind = routing.BlockEvicted
		}
		batch.Events = append(batch.Events, routing.CacheEvent{Kind: kind, Hash: event.Hash})
	}
	p.router.Index().Apply(time.Now(), batch)
}

// choice is an attempt at an upstream.
type choice struct {
	picker   *picker
	upstream *routing.Upstream
	features membership.Features
	service  string
	run      uint64
	target   quarantine.Target
	begun    time.Time
	first    time.Duration
	// load, blocks and sticky are what the pick went by.
	load   float64
	blocks int
	sticky bool
	// isolated means that quarantine ruled that the run is apart from others.
	isolated bool
}

// Target implements caller.Choice.
func (c *choice) Target() upstream.Target {
	t := upstream.Target{ID: c.upstream.ID, Address: c.upstream.Address}
	if c.upstream.Group.Complete {
		t.Group = membership.GroupRef{Group: c.upstream.Group.ID, Epoch: c.upstream.Group.Epoch}
	}
	return t
}

// Reason implements caller.Choice.
func (c *choice) Reason() string {
	reason := fmt.Sprintf("load %.1f of %d, %d prompt blocks cached", c.load, c.upstream.MaxConcurrent, c.blocks)
	if c.sticky {
		reason += ", chosen for its cache"
	}
	return reason
}

// HonoursPriority implements caller.Choice.
func (c *choice) HonoursPriority() bool { return c.features.Priorities }

// CanResume implements caller.Choice.
func (c *choice) CanResume() bool { return c.features.Resume }

// OutlivesCaller implements caller.Choice. An isolated run goes on, since only
// a request that is certainly in flight at a crash is condemned for it.
func (c *choice) OutlivesCaller() bool { return c.isolated }

// FirstByte implements caller.Choice.
func (c *choice) FirstByte() { c.first = time.Since(c.begun) }

// Finish implements caller.Choice.
func (c *choice) Finish(r caller.Result) {
	p := c.picker
	now := time.Now()
	p.router.Done(now, c.upstream, routing.Observation{FirstToken: c.first, SlotFreed: r.OK || r.Cancelled})
	switch {
	case r.OK:
		p.share(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlier.Success, c.first))
		p.crashes.finish(c, quarantine.Completed)
	case r.NotSent && r.Cancelled:
		p.crashes.finish(c, quarantine.NotStarted)
	case r.NotSent:
		p.share(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlier.Failure, 0))
		p.crashes.finish(c, quarantine.NotStarted)
	case r.Cancelled:
		p.crashes.finish(c, quarantine.Cancelled)
	case r.Broken:
		p.share(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlier.Reset, 0))
		p.crashes.broken(c)
	default:
		p.share(p.detector(c.service).Observe(now, c.service, c.upstream.ID, resultOf(c, r.Err), 0))
		p.crashes.finish(c, quarantine.Broken)
	}
}

func resultOf(c *choice, err error) outlier.Result {
	switch {
	case fault.CodeOf(err) != fault.DeadlineExceeded:
		return outlier.Failure
	case c.first > 0:
		return outlier.Stall
	}
	return outlier.Timeout
}
