// Package entry implements entry instances. An entry instance serves callers
// according to the catalog and the upstreams that it learns from control
// instances. It keeps no durable state.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/background"
	"github.com/bluebellfield/bluebellfield/internal/crashreport"
	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/edge/callerconn"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/limitreport"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/relay"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Options configures an entry instance.
type Options struct {
	ID            string
	FailureDomain string
	// Seeds are the ids of the control instances to contact first.
	Seeds   []string
	Network *peer.Network
	// Decode parses and validates a catalog document.
	Decode func(document []byte) (*catalog.Catalog, error)
	// OnLimits, if set, is called with the limits of each catalog that takes
	// effect, in order. It must return quickly.
	OnLimits    func(catalog.Limits)
	Protocol    Protocol
	Client      *upstream.Client
	RetryBudget RetryBudget
	// Bodies bounds the memory of request bodies. Nil means no limit.
	Bodies *bodybudget.Budget
	// MaxHelped is the number of connections to upstreams that are held for other
	// entries; 0 selects a default.
	MaxHelped int
	Logger    *zap.Logger
	Registry  metrics.Registry
}

// Entry is a running entry instance.
type Entry struct {
	opts Options
	view atomic.Pointer[view]
	// configured is closed when the first catalog takes effect.
	configured chan struct{}
	draining   atomic.Bool
	stop       *callerconn.Stop
	demand     demandCounter
	baselines  baselineLatencies
	mixes      mixes
	stats      *stats
	started    time.Time
	crashes    *crashreport.Reporter
	limits     *limitreport.Reporter
	relay      *relay.Relay
	// lastRun is the number of the last attempt, by which quarantine identifies
	// it.
	lastRun atomic.Uint64

	mu             sync.Mutex
	table          *fleet.Table
	targets        map[targetKey]*target
	activeCatalog  *catalog.Catalog
	catalogVersion uint64
	// fetches holds the start times of the catalog requests in flight, by
	// control instance.
	fetches  map[string]time.Time
	sources  map[string]*updateSource
	controls []string
	leader   string
	entries  int
	// reportedLoads is the number of requests in flight by upstream that this
	// entry last reported to the leader.
	reportedLoads   map[string]int
	loadsReportedAt time.Time
	// withdrawn holds the groups that the leader has given up, as of withdrawnAt.
	withdrawn   map[string]bool
	withdrawnAt time.Time
	// storedVerdicts holds the verdicts that the control instances have stored,
	// with their ends.
	storedVerdicts map[quarantine.Digest]time.Time
	// departures holds the departures that are being reported.
	departures    []departureReport
	retryLimiters map[string]*retryLimiter

	ctx    context.Context
	cancel context.CancelFunc
	wg     background.Group
}

// Start starts an entry instance. It refuses callers until a catalog is in
// force.
func Start(o Options) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{opts: o, configured: make(chan struct{}), stop: callerconn.NewStop(), table: fleet.NewTable(), targets: map[targetKey]*target{},
		sources: map[string]*updateSource{}, retryLimiters: map[string]*retryLimiter{}, fetches: map[string]time.Time{}, stats: newStats(o.Registry), started: time.Now(), ctx: ctx, cancel: cancel}
	e.crashes = newCrashReporter(&e.opts, e.reachableEntries)
	e.limits = limitreport.New(limitreport.Options{Self: o.ID, Incarnation: uint64(e.started.UnixNano()), Network: o.Network,
		LiveEntries: e.reachableEntries, Logger: o.Logger})
	e.startRelay()
	o.Network.Handle(mesh.ChannelUpdate, e.serveUpdate)
	e.wg.Go(func() { e.crashes.Run(ctx) })
	e.wg.Go(func() { e.limits.Run(ctx) })
	e.wg.Go(e.runSubscriptions)
	e.wg.Go(e.expireUpstreams)
	e.wg.Go(e.runLoadReports)
	return e
}

// Configured returns a channel that is closed when the first catalog takes
// effect.
func (e *Entry) Configured() <-chan struct{} { return e.configured }

// Ready reports whether the load balancer may route callers to this instance.
func (e *Entry) Ready() bool {
	v := e.view.Load()
	return v != nil && v.catalog != nil && len(v.services) > 0 && !e.draining.Load()
}

// Drain makes the instance report that it is not ready. It continues to serve
// requests.
func (e *Entry) Drain() {
	e.draining.Store(true)
	e.relay.Drain()
}

// Stop returns the state of the planned stop of this instance.
func (e *Entry) Stop() *callerconn.Stop { return e.stop }

// Close stops the background goroutines and waits for them.
func (e *Entry) Close() {
	e.cancel()
	e.wg.Wait()
	e.relay.Close()
}

// retryLimiter returns the retry limiter of a service.
func (e *Entry) retryLimiter(service string) *retryLimiter {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.retryLimiters[service]
	if b == nil {
		b = &retryLimiter{}
		e.retryLimiters[service] = b
	}
	return b
}

// reportStall reports a stalled group to the control instances.
func (e *Entry) reportStall(t *target) {
	payload, err := proto.Marshal(&mesh.Stall{Service: t.upstream.Service, Group: t.upstream.Member.Group, Epoch: t.upstream.Member.Epoch})
	if err != nil {
		e.opts.Logger.Error("failed to encode stall report", zap.Error(err))
		return
	}
	e.mu.Lock()
	controls := sortedUnique(slices.Concat(e.opts.Seeds, e.controls))
	e.mu.Unlock()
	e.stats.stalls.Inc(1)
	e.opts.Logger.Info("group stands still", zap.String("group", t.upstream.Member.Group), zap.Uint64("epoch", t.upstream.Member.Epoch),
		zap.String("upstream", t.upstream.ID))
	for _, id := range controls {
		e.opts.Network.Send(id, mesh.ChannelStall, payload)
	}
}

// ServeHTTP implements http.Handler for callers.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{e: e, w: w, r: r, started: time.Now(), view: e.view.Load(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	x.position.Store(-1)
	callerconn.WaitForBody(r)
	defer x.finish()
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}
