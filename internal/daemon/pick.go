package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/admission"
	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/limitreport"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/outlier"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/routing"
	"github.com/bluebellfield/bluebellfield/settings"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

const (
	// minRoutingInterval is how often the routing table of a small
	// deployment is rebuilt with new loads, ages and groups. A table of
	// 2,100 upstreams takes 3.4 ms to build, so the interval grows with the
	// number of upstreams.
	minRoutingInterval         = 100 * time.Millisecond
	routingIntervalPerUpstream = 500 * time.Microsecond
	// crashProbeTimeout limits the check whether an upstream that broke a
	// connection is still running.
	crashProbeTimeout = 500 * time.Millisecond
	// suspectPollInterval is the interval between two quarantine decisions on
	// a suspect.
	suspectPollInterval = 50 * time.Millisecond
	// maxPickAttempts limits the picks of a request whose upstream becomes
	// unavailable between the pick and the dispatch.
	maxPickAttempts = 8
)

// picker chooses upstreams for the requests of this entry.
type picker struct {
	cfg     *config.Daemon
	logger  *zap.Logger
	state   currentState
	members *members
	client  *upstream.Client
	router  *routing.Router
	random  *routing.Source
	crashes *crashTracker
	limits  *limitreport.Reporter
	// regions maps failure domains to their regions.
	regions map[string]string
	// lastReports holds the time of the last report of each upstream.
	lastReports map[string]time.Time
	// knownServices counts the upstreams of each service at the last
	// setUpstreams.
	knownServices map[string]int
	// trackedView is the view that setUpstreams last processed; nil makes
	// the next publish process the view again.
	trackedView atomic.Pointer[membership.View]
	// lostUpstreams holds the upstreams that quarantine must not assign.
	lostUpstreams map[string]bool
	// lastRun is the number of the last run, by which quarantine identifies it.
	lastRun atomic.Uint64

	mu sync.Mutex
	// detectors holds the outlier detector of each service.
	detectors map[string]detector
}

// currentState returns the settings and replica groups in force.
type currentState interface {
	Tree() *settings.Tree
	Groups() map[string]*group.State
}

// detector is the outlier detector of a service with the limit that it was
// created for.
type detector struct {
	*outlier.Detector
	maxEjected float64
}

func newPicker(cfg *config.Daemon, seed uint64, state currentState, m *members, client *upstream.Client, crashes *crashTracker, limits *limitreport.Reporter, logger *zap.Logger) *picker {
	p := &picker{
		cfg: cfg, logger: logger, state: state, members: m, client: client, crashes: crashes, limits: limits,
		router: routing.New(routing.Config{FailureDomain: cfg.FailureDomain, Region: cfg.Region, Entries: entryCount(cfg)}, nil),
		random: routing.NewSource(seed), detectors: map[string]detector{},
		regions: map[string]string{cfg.FailureDomain: cfg.Region}, lastReports: map[string]time.Time{}, lostUpstreams: map[string]bool{}, knownServices: map[string]int{},
	}
	for _, peer := range cfg.Peers {
		p.regions[peer.FailureDomain] = peer.Region
	}
	return p
}

// newLimitReporter returns the reporter for the limits that upstreams name.
func newLimitReporter(cfg *config.Daemon, incarnation uint64, network messenger, live func() []string, logger *zap.Logger) *limitreport.Reporter {
	var known []string
	for _, peer := range cfg.Peers {
		if peer.Has(config.RoleEntry) {
			known = append(known, peer.ID)
		}
	}
	return limitreport.New(limitreport.Options{Self: cfg.ID, Incarnation: incarnation, Network: network, LiveEntries: live,
		KnownEntries: func() []string { return known }, Logger: logger})
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
func (p *picker) Pick(ctx context.Context, info *caller.RequestInfo, _ int, tried []string) (caller.Choice, error) {
	tree := p.state.Tree()
	req := &routing.Request{
		Service: info.Route.Service, Paying: info.Account.Class == caller.Paying, Excluded: slices.Clone(tried),
		NeedsGroup: p.needsGroup(tree, info.Route),
	}
	// shortestWait is the time until one of the limited upstreams takes a request.
	var shortestWait time.Duration
	if p.limits.Any() {
		req.Limited = func(id string, incarnation uint64) bool {
			target := upstreamlimit.Target{Upstream: id, Incarnation: incarnation}
			wait := p.limits.Offer(target)
			if wait > 0 && !p.limits.Leaving(target) && (shortestWait == 0 || wait < shortestWait) {
				shortestWait = wait
			}
			return wait > 0
		}
	}
	if info.Prompt != "" {
		req.Prefix = routing.BlockHashes(nil, info.Route.Model, []byte(info.Prompt), routing.DefaultBlockBytes, routing.DefaultMaxBlocks)
	}
	for try := 0; ; try++ {
		if err := p.applyDecision(ctx, info, req); err != nil {
			return nil, err
		}
		c, err := p.tryPick(info, req)
		if err == nil {
			return c, nil
		}
		var retryErr *retryPickError
		if !errors.As(err, &retryErr) || try >= maxPickAttempts && !retryErr.suspect || !time.Now().Before(info.Deadline) {
			return nil, p.withReturn(pickError(err), shortestWait)
		}
		if retryErr.suspect {
			wait(ctx, nil, suspectPollInterval)
			continue
		}
		req.Excluded = append(req.Excluded, retryErr.upstream)
	}
}

// retryPickError reports that a picked upstream cannot be used and that
// another pick should be made. suspect is set when quarantine delays the
// request.
type retryPickError struct {
	upstream string
	suspect  bool
}

func (e *retryPickError) Error() string { return "upstream " + e.upstream + " is no longer available" }

// withReturn tells the caller to return when one of the upstreams that want no
// request now takes one again.
func (p *picker) withReturn(err error, wait time.Duration) error {
	if wait == 0 || fault.RetryAfterOf(err) > 0 {
		return err
	}
	return fault.WithRetryAfter(err, balance.SpreadReturn(rand.New(p.random), wait))
}

func pickError(err error) error {
	if fault.CodeOf(err) != fault.Internal {
		return err
	}
	return fault.Wrap(err, fault.NoUpstream, fault.Location{Step: caller.StepPick}, fault.NotRun)
}

// applyDecision waits for the quarantine decision on a request and applies it
// to the routing request.
func (p *picker) applyDecision(ctx context.Context, info *caller.RequestInfo, req *routing.Request) error {
	decision, err := p.crashes.awaitDecision(ctx, info)
	if err != nil {
		return err
	}
	req.Pinned, req.Isolate = decision.Pin, nil
	if decision.Action == quarantine.Isolate {
		req.Isolate = p.crashes.tracker.Isolation(time.Now(), info.Route.Service, requestDigest(info), promptParts(info)...)
	}
	return nil
}

// tryPick picks an upstream and checks, at the time of dispatch, that its
// group is complete and that quarantine permits the run.
func (p *picker) tryPick(info *caller.RequestInfo, req *routing.Request) (*choice, error) {
	now := time.Now()
	picked, err := p.router.Pick(now, p.random, req)
	if errors.Is(err, routing.ErrNoUpstream) && (req.Isolate != nil || req.Pinned != "") {
		return nil, &retryPickError{suspect: true}
	}
	if err != nil && len(req.Excluded) > 0 {
		// All upstreams were tried or are unavailable, so one may be tried
		// again.
		unrestricted := *req
		unrestricted.Excluded = nil
		picked, err = p.router.Pick(now, p.random, &unrestricted)
	}
	if err != nil {
		return nil, err
	}
	u := picked.Upstream
	view := p.members.View()
	known := view.Get(u.ID)
	maxAge := p.maxAge(info.Route.Service)
	if known == nil || known.Incarnation != u.Incarnation || !view.Dispatchable(known, now) || known.Age(now) >= maxAge ||
		req.NeedsGroup && !p.groupConfirmed(u, now, maxAge) {
		// The routing table is older than the view, in which the upstream
		// may have left or its group may have lost a member.
		return nil, &retryPickError{upstream: u.ID}
	}
	if !p.limits.Take(upstreamlimit.Target{Upstream: u.ID, Incarnation: u.Incarnation}) {
		return nil, &retryPickError{upstream: u.ID}
	}
	target := quarantine.Target{Upstream: u.ID, Incarnation: u.Incarnation}
	run := p.lastRun.Add(1)
	decision, ok := p.crashes.tracker.Start(now, info.Route.Service, run, requestDigest(info), target, promptParts(info)...)
	if !ok {
		return nil, &retryPickError{upstream: u.ID, suspect: true}
	}
	load := u.EstimatedLoad()
	p.router.Begin(now, u, req.Prefix)
	return &choice{
		picker: p, upstream: u, features: known.Features, service: info.Route.Service, run: run, startedAt: now, target: target,
		isolated: decision.Action == quarantine.Isolate,
		load:     load, cachedBlocks: picked.Blocks, sticky: picked.Sticky,
	}, nil
}

// maxAge returns the age from which information about a service's upstreams
// is too old for a dispatch.
func (p *picker) maxAge(service string) time.Duration {
	if s, ok := p.state.Tree().Service(service); ok {
		return s.ConfirmationMaxAge
	}
	return membership.DefaultAgeBound
}

// groupConfirmed reports whether the group of an upstream is complete now.
func (p *picker) groupConfirmed(u *routing.Upstream, now time.Time, maxAge time.Duration) bool {
	for _, state := range p.state.Groups() {
		// Engines tell a group that was formed again from the earlier one
		// by its epoch.
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

// RoutingTableInterval returns the interval between rebuilds of a routing table
// with the given number of upstreams.
func RoutingTableInterval(upstreams int) time.Duration {
	return max(minRoutingInterval, time.Duration(upstreams)*routingIntervalPerUpstream)
}

// run rebuilds the routing table and ticks the outlier detectors until ctx
// ends.
func (p *picker) run(ctx context.Context) {
	timer := time.NewTimer(minRoutingInterval)
	defer timer.Stop()
	seconds := time.NewTicker(time.Second)
	defer seconds.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-timer.C:
			p.publish(now)
			timer.Reset(RoutingTableInterval(p.router.Table().Len()))
		case now := <-seconds.C:
			p.applyShares(p.tickDetectors(now))
			p.detectLostUpstreams(now)
		}
	}
}

// publish builds the routing table from the current upstreams and groups.
func (p *picker) publish(now time.Time) {
	view := p.members.View()
	groups := map[string]routing.Group{}
	for _, state := range p.state.Groups() {
		addGroups(groups, state, view, now)
	}
	all := view.All()
	candidates := make([]routing.Candidate, 0, len(all))
	for _, u := range all {
		candidates = append(candidates, p.candidate(u, groups[u.ID]))
	}
	p.router.Publish(now, candidates)
	p.trackUpstreams(view, all)
}

// addGroups adds the members of servable groups, by instance id.
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

// trackUpstreams passes a changed set of upstreams to outlier detection and
// quarantine, and new reports of upstreams to outlier detection.
func (p *picker) trackUpstreams(view *membership.View, all []*membership.Upstream) {
	if p.trackedView.Swap(view) != view {
		p.setUpstreams(view, all)
	}
	for _, u := range all {
		at, ok := u.Reported()
		if !ok || at.Equal(p.lastReports[u.ID]) {
			continue
		}
		p.lastReports[u.ID] = at
		for _, s := range u.Services {
			p.applyShares(p.detector(s).RecordHeartbeat(at, s, u.ID))
		}
	}
}

// setUpstreams replaces the upstreams of each service in outlier detection
// and quarantine. Quarantine assigns upstreams to entries for isolated runs,
// so lost upstreams are left out: an entry whose assigned upstreams are all
// lost could not run a suspect until they are removed.
func (p *picker) setUpstreams(view *membership.View, all []*membership.Upstream) {
	now := time.Now()
	services, present := map[string][]string{}, map[string][]string{}
	listed := map[string]bool{}
	clear(p.lostUpstreams)
	for _, u := range all {
		listed[u.ID] = true
		if !view.Confirmed(u, now) {
			p.lostUpstreams[u.ID] = true
		}
		for _, s := range u.Services {
			services[s] = append(services[s], u.ID)
			if !p.lostUpstreams[u.ID] {
				present[s] = append(present[s], u.ID)
			}
		}
	}
	for s := range p.knownServices {
		if _, ok := services[s]; !ok {
			services[s] = nil
		}
	}
	for s, ids := range services {
		p.applyShares(p.detector(s).SetUpstreams(now, s, ids))
		p.crashes.tracker.SetUpstreams(s, present[s])
		p.knownServices[s] = len(ids)
	}
	for id := range p.lastReports {
		if !listed[id] {
			delete(p.lastReports, id)
		}
	}
	p.limits.Retain(func(t upstreamlimit.Target) bool { return listed[t.Upstream] })
}

// detectLostUpstreams triggers setUpstreams when upstreams were lost or came
// back, which does not change the view.
func (p *picker) detectLostUpstreams(now time.Time) {
	view := p.members.View()
	for _, u := range view.All() {
		if view.Confirmed(u, now) == p.lostUpstreams[u.ID] {
			p.trackedView.Store(nil)
			return
		}
	}
}

// detector returns the outlier detector of a service. A changed limit creates
// a new detector, which receives the upstreams when the next routing table is
// built.
func (p *picker) detector(service string) *outlier.Detector {
	limit := outlier.DefaultConfig().MaxEjected
	if s, ok := p.state.Tree().Service(service); ok && s.EjectMax > 0 {
		limit = s.EjectMax
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.detectors[service]
	if d.Detector == nil || d.maxEjected != limit {
		d = detector{outlier.New(outlier.Config{MaxEjected: limit}), limit}
		p.detectors[service] = d
		p.trackedView.Store(nil)
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

// outliers lists the upstreams that receive less than their full share.
func (p *picker) outliers() []outlier.Status {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []outlier.Status
	for _, d := range p.detectors {
		all = append(all, d.Status()...)
	}
	return all
}

// applyShares passes changed shares of upstreams to the router.
func (p *picker) applyShares(changes []outlier.Change) {
	for _, c := range changes {
		if c.Cause != "" {
			p.logger.Info("upstream ejected", zap.String("upstream", c.Upstream), zap.String("service", c.Service), zap.String("cause", string(c.Cause)))
		}
		if u := p.router.Table().Upstream(c.Upstream); u != nil {
			p.router.SetShare(c.Upstream, u.Incarnation, c.Share)
		}
	}
}

// capacity returns the capacity of a service's upstreams for admission.
func (p *picker) capacity(service string) admission.Capacity {
	grouped := p.needsGroup(p.state.Tree(), caller.Route{Kind: membership.ModelEngine, Service: service})
	now := time.Now()
	c := admission.Capacity{Priorities: true}
	view := p.members.View()
	for _, u := range p.router.Table().Service(service) {
		if u.State != routing.Ready || grouped && (!u.Group.Complete || u.Group.Rank != 0) {
			continue
		}
		v := view.Get(u.ID)
		if v == nil || !view.Dispatchable(v, now) || !p.router.Fresh(now, u, grouped) {
			// A request that admission releases must find an upstream. The view
			// may have a first report that the table lacks.
			continue
		}
		if v.Kind != membership.ModelEngine {
			grouped = false
		}
		load := u.Load.Running + u.Load.Queued
		c.Slots += max(1, u.MaxConcurrent)
		c.Load += load
		c.OwnLoad += u.OwnReportedLoad()
		c.Priorities = c.Priorities && u.Priorities
	}
	return c
}

// slotCount returns the number of batch slots on the dispatchable upstreams
// of a service.
func (p *picker) slotCount(service string) int { return p.capacity(service).Slots }

// applyCacheEvents adds the cache events of an engine to the prefix index.
func (p *picker) applyCacheEvents(e upstream.CacheEvents) {
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

// choice is one attempt on a picked upstream.
type choice struct {
	picker    *picker
	upstream  *routing.Upstream
	features  membership.Features
	service   string
	run       uint64
	target    quarantine.Target
	startedAt time.Time
	firstByte time.Duration
	// load, cachedBlocks and sticky are the reasons for the pick.
	load         float64
	cachedBlocks int
	sticky       bool
	// isolated means that quarantine requires the request to run in
	// isolation.
	isolated bool
	// paused is set if the upstream asked for a pause, which is no failure.
	paused bool
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
	reason := fmt.Sprintf("load %.1f of %d, %d prompt blocks cached", c.load, c.upstream.MaxConcurrent, c.cachedBlocks)
	if c.sticky {
		reason += ", chosen for its cache"
	}
	return reason
}

// HonoursPriority implements caller.Choice.
func (c *choice) HonoursPriority() bool { return c.features.Priorities }

// CanResume implements caller.Choice.
func (c *choice) CanResume() bool { return c.features.Resume }

// OutlivesCaller implements caller.Choice. An isolated run continues after
// its caller disconnects, since quarantine blames a crash only on a request
// that was certainly in flight.
func (c *choice) OutlivesCaller() bool { return c.isolated }

// Ended implements caller.Choice.
func (c *choice) Ended() bool {
	crashes := c.picker.crashes
	return crashes.tracker.KnownCrash(c.target) || crashes.hasCrashed(c)
}

// FirstByte implements caller.Choice.
func (c *choice) FirstByte() { c.firstByte = time.Since(c.startedAt) }

// process identifies the process of the upstream for what it says in its answers.
func (c *choice) process() upstreamlimit.Target {
	return upstreamlimit.Target{Upstream: c.target.Upstream, Incarnation: c.target.Incarnation}
}

// NamedLimit implements caller.Choice.
func (c *choice) NamedLimit(rate float64, named bool) {
	c.picker.limits.Observe(c.process(), rate, named)
}

// Leaving implements caller.Choice.
func (c *choice) Leaving() {
	if c.picker.limits.Leave(c.process()) {
		c.picker.logger.Info("upstream says that it is leaving", zap.String("upstream", c.target.Upstream), zap.Uint64("incarnation", c.target.Incarnation))
	}
}

// Pause implements caller.Choice.
func (c *choice) Pause(pause time.Duration) {
	c.paused = true
	if c.picker.limits.Pause(c.process(), pause) {
		c.picker.logger.Info("upstream asks for a pause", zap.String("upstream", c.target.Upstream), zap.Uint64("incarnation", c.target.Incarnation), zap.Duration("pause", pause))
	}
}

// Progressed implements caller.Choice.
func (c *choice) Progressed() { c.picker.crashes.reporter.Progressed(c.run) }

// Finish implements caller.Choice.
func (c *choice) Finish(r caller.Result) {
	p := c.picker
	now := time.Now()
	p.router.Done(now, c.upstream, routing.Observation{FirstToken: c.firstByte, SlotFreed: r.OK || r.Cancelled})
	switch {
	case r.OK:
		p.applyShares(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlier.Success, c.firstByte))
		p.crashes.finish(c, quarantine.Completed)
	case r.NotRun && r.Cancelled:
		p.crashes.finish(c, quarantine.NotStarted)
	case r.NotRun:
		if !c.paused {
			p.applyShares(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlier.Failure, 0))
		}
		p.crashes.finish(c, quarantine.NotStarted)
	case r.Cancelled:
		p.crashes.finish(c, quarantine.Cancelled)
	case r.Broken:
		p.applyShares(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlier.Reset, 0))
		p.crashes.handleBrokenConnection(c)
	default:
		if !c.paused {
			p.applyShares(p.detector(c.service).Observe(now, c.service, c.upstream.ID, outlierResult(c, r.Err), 0))
		}
		p.crashes.finish(c, quarantine.Failed)
	}
}

func outlierResult(c *choice, err error) outlier.Result {
	switch {
	case fault.CodeOf(err) != fault.DeadlineExceeded:
		return outlier.Failure
	case c.firstByte > 0:
		return outlier.Stall
	}
	return outlier.Timeout
}
