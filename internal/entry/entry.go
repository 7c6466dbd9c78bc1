// Package entry runs an entry instance: it serves callers by the catalog and
// the upstreams that control instances tell it of, and holds no durable state.
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
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
)

// Options of an entry instance.
type Options struct {
	ID            string
	FailureDomain string
	// Seeds are the ids of control instances to join through.
	Seeds   []string
	Network *peer.Network
	// Decode checks a catalog document.
	Decode   func(document []byte) (*catalog.Catalog, error)
	Protocol Protocol
	Client   *upstream.Client
	Budget   Budget
	Logger   *zap.Logger
	Registry metrics.Registry
}

// Entry is a running entry instance.
type Entry struct {
	o    Options
	view atomic.Pointer[view]
	// configured is closed when the first catalog is in force.
	configured chan struct{}
	draining   atomic.Bool
	demand     demandCounter
	usual      usualTimes
	stats      *stats
	started    time.Time

	mu      sync.Mutex
	table   *fleet.Table
	targets map[targetKey]*target
	content *catalog.Catalog
	version uint64
	// fetches holds when the running fetches of the catalog began, by source.
	fetches  map[string]time.Time
	sources  map[string]*source
	controls []string
	leader   string
	entries  int
	// told is what this entry last told the leader to have in flight.
	told    map[string]int
	toldAt  time.Time
	budgets map[string]*budget

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// Start starts an entry instance. It serves callers once a catalog is in force.
func Start(o Options) *Entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{o: o, configured: make(chan struct{}), table: fleet.NewTable(), targets: map[targetKey]*target{},
		sources: map[string]*source{}, budgets: map[string]*budget{}, fetches: map[string]time.Time{}, stats: newStats(o.Registry), started: time.Now(), ctx: ctx, cancel: cancel}
	o.Network.Handle(mesh.ChannelUpdate, e.serveUpdate)
	e.done.Go(e.follow)
	e.done.Go(e.expire)
	e.done.Go(e.tellLoads)
	return e
}

// Configured is closed when the first catalog is in force.
func (e *Entry) Configured() <-chan struct{} { return e.configured }

// Ready reports whether the load balancer may send callers here.
func (e *Entry) Ready() bool {
	v := e.view.Load()
	return v != nil && v.catalog != nil && len(v.services) > 0 && !e.draining.Load()
}

// Limits returns what callers may send, once a catalog is in force.
func (e *Entry) Limits() catalog.Limits {
	if v := e.view.Load(); v != nil && v.catalog != nil {
		return v.catalog.Limits
	}
	return catalog.Limits{}
}

// Drain makes the instance not ready; requests are served as before.
func (e *Entry) Drain() { e.draining.Store(true) }

// Close ends the background work.
func (e *Entry) Close() {
	e.cancel()
	e.done.Wait()
}

// budget returns the budget of repeated sends of a service.
func (e *Entry) budget(service string) *budget {
	e.mu.Lock()
	defer e.mu.Unlock()
	b := e.budgets[service]
	if b == nil {
		b = &budget{}
		e.budgets[service] = b
	}
	return b
}

// reportStall tells the control instances that a group stands still.
func (e *Entry) reportStall(t *target) {
	payload, err := proto.Marshal(&mesh.Stall{Service: t.upstream.Service, Group: t.upstream.Member.Group, Epoch: t.upstream.Member.Epoch})
	if err != nil {
		e.o.Logger.Error("stall report cannot be encoded", zap.Error(err))
		return
	}
	e.mu.Lock()
	controls := distinct(slices.Concat(e.o.Seeds, e.controls))
	e.mu.Unlock()
	e.stats.stalls.Inc(1)
	e.o.Logger.Info("group stands still", zap.String("group", t.upstream.Member.Group), zap.Uint64("epoch", t.upstream.Member.Epoch),
		zap.String("upstream", t.upstream.ID))
	for _, id := range controls {
		e.o.Network.Send(id, mesh.ChannelStall, payload)
	}
}

// ServeHTTP implements http.Handler for callers.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &exchange{e: e, w: w, r: r, started: time.Now(), view: e.view.Load(), position: -1, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))}
	defer x.finish()
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	x.serve()
}
