// Package daemon assembles the decision packages, the protocol adapters and
// the peer network into one process.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/callerconn"
	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/edge/platform"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/limitreport"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/processlimit"
	"github.com/bluebellfield/bluebellfield/internal/relay"
	"github.com/bluebellfield/bluebellfield/internal/tlsfiles"
	"github.com/bluebellfield/bluebellfield/internal/tracing"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	readHeaderTimeout         = 10 * time.Second
	maxHeaderBytes            = 64 << 10
	leadershipTransferTimeout = 3 * time.Second
	// answerReserve is the time in which requests that are cancelled at the end of
	// the drain timeout are answered.
	answerReserve = 200 * time.Millisecond
)

// Options are the parameters of a daemon that are not in its settings file.
type Options struct {
	Logger *zap.Logger
	// Dial opens the connections to peers and upstreams; nil means TCP.
	Dial upstream.DialFunc
	// ElectionTimeout of the logs; zero means the default.
	ElectionTimeout time.Duration
}

// Daemon is a running daemon.
type Daemon struct {
	cfg      *config.Daemon
	limit    processlimit.Limits
	logger   *zap.Logger
	registry metrics.Registry
	recorder *tracing.Recorder
	probe    *platform.Probe
	system   *actor.ActorSystem
	network  *peer.Network
	client   *upstream.Client
	relay    *relay.Relay
	logs     *hostedLogs
	shared   *sharedState
	members  *members
	admitter *admitter
	picker   *picker
	crashes  *crashTracker
	limits   *limitreport.Reporter
	verdicts *verdictStore
	claimer  *claimer
	groups   []*groupManager
	callers  *caller.Handler
	stats    *requestStats
	ops      *operations
	// operatorTLS is nil when operators are served without TLS.
	operatorTLS *tls.Config

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
	servers    []*http.Server
	failures   chan error
}

// Start starts a daemon. The configuration must already be validated.
func Start(cfg *config.Daemon, o Options) (*Daemon, error) {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	limit := processlimit.New(cfg.MemoryMB, cfg.MaxDescriptors)
	limit.LimitRuntime()
	d := &Daemon{
		cfg: cfg, limit: limit, logger: o.Logger, registry: metrics.NewRegistry(), recorder: tracing.NewRecorder(tracing.DefaultCapacity),
		system: actor.NewActorSystem(actor.WithLoggerFactory(discardActorLogs)), client: upstream.NewClientWith(upstream.ClientOptions{Dial: o.Dial, MaxIdle: limit.IdleUpstreamConnections()}),
		ctx: ctx, cancel: cancel, failures: make(chan error, 8),
	}
	d.probe = platform.NewProbe(d.registry)
	tracing.InstallPropagator()
	if err := d.start(o); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// discardActorLogs keeps the actor library's output out of the daemon's log.
func discardActorLogs(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

func (d *Daemon) start(o Options) error {
	if err := d.listenPeers(o); err != nil {
		return err
	}
	hosted, err := openLogs(d.cfg, d.network, o.ElectionTimeout, d.logger)
	if err != nil {
		return err
	}
	d.logs = hosted
	d.buildComponents()
	d.startActors()
	if err := d.serveAll(); err != nil {
		return err
	}
	d.runAll()
	d.logger.Info("daemon started", zap.String("id", d.cfg.ID), zap.String("caller", d.cfg.Listen.Caller),
		zap.Int64("memoryBytes", d.limit.MemoryBytes), zap.Int("descriptors", d.limit.Descriptors), zap.Int("maxConnections", d.limit.Connections()))
	return nil
}

// listenPeers starts the network for connections between daemons.
func (d *Daemon) listenPeers(o Options) error {
	options := peer.Options{ID: d.cfg.ID, Addresses: map[string]string{}, Dial: o.Dial, Logger: d.logger, Registry: d.registry}
	for _, p := range d.cfg.Peers {
		options.Addresses[p.ID] = p.Address
	}
	if d.cfg.TLS.CertFile != "" {
		source, err := tlsfiles.Open(tlsfiles.Files{Cert: d.cfg.TLS.CertFile, Key: d.cfg.TLS.KeyFile, CA: d.cfg.TLS.CAFile})
		if err != nil {
			return err
		}
		options.TLS = source.Config()
		d.operatorTLS = source.ServerConfig()
	}
	address := d.cfg.Listen.Peer
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	d.network = peer.Listen(listener, options)
	return nil
}

// buildComponents creates the components and connects them.
func (d *Daemon) buildComponents() {
	// A restart gets a higher incarnation, unless the clock was set back by
	// more than the time in between.
	incarnation := uint64(time.Now().UnixNano())
	d.members = newMembers(d.cfg, incarnation, d.network, d.client, d.logger)
	d.startRelay()
	d.shared = newSharedState(d.cfg, d.network, d.logs, d.logger, func(t *settings.Tree) {
		d.logger.Info("settings in force", zap.Uint64("revision", t.Revision()))
	}, func(stored *quarantine.Stored) { d.verdicts.setStored(stored) })
	d.crashes = newCrashTracker(d.network, d.client, d.members, d.shared.Tree, d.logger)
	d.verdicts = newVerdictStore(d.cfg, d.network, d.logs, d.crashes.tracker, d.logger)
	d.limits = newLimitReporter(d.cfg, incarnation, d.network, d.members.Live, d.logger)
	d.picker = newPicker(d.cfg, incarnation, d.shared, d.members, d.client, d.crashes, d.limits, d.logger)
	d.members.onEvents = d.crashes.onEvents
	d.members.onCacheEvents = d.picker.applyCacheEvents
	d.admitter = newAdmitter(d.cfg, incarnation, d.network, d.shared.Tree, d.logger)
	d.admitter.liveEntries = d.members.Live
	d.admitter.capacity = d.picker.capacity
	d.claimer = &claimer{global: d.shared.global, logs: d.logs, entry: d.cfg.ID, incarnation: incarnation, logger: d.logger}
	for _, log := range d.logs.domains {
		d.groups = append(d.groups, newGroupManager(d.cfg, log, d.members, d.client, d.shared.Tree, d.registry, d.logger))
	}
	d.stats = newRequestStats(d.registry)
	d.ops = newOperations(d)
	d.callers = caller.NewHandler(caller.Options{
		Deps: caller.Deps{
			Policy: policy{d.shared.Tree, d.picker.slotCount}, Admitter: d.admitter, Picker: d.picker,
			Retrier:    newRetrier(incarnation, d.shared.Tree),
			Quarantine: d.crashes, Claimer: d.claimer, Client: d.client,
		},
		Logger: d.logger, Tracer: d.recorder.Provider().Tracer("bluebellfield"), Observe: d.stats.observe,
		Bodies: bodybudget.New(d.limit.BodyBytes(), d.registry),
	})
}

// startActors starts the actors that requests are passed to. It must run before
// serveAll, because an upstream may announce itself as soon as a listener is
// open.
func (d *Daemon) startActors() {
	d.members.start(d.system)
	for _, g := range d.groups {
		g.start(d.system)
	}
}

func (d *Daemon) serveAll() error {
	if d.cfg.Listen.Caller != "" {
		if err := d.serveCallers(); err != nil {
			return err
		}
	}
	for _, s := range []struct {
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{d.cfg.Listen.Upstream, upstream.NewHandler(d.members), nil},
		{d.cfg.Listen.Operator, operator.New(d.ops.options()), d.operatorTLS},
		{d.cfg.Listen.Platform, d.probe.Handler(), nil},
	} {
		if s.address == "" {
			continue
		}
		if err := d.serve(s.address, s.handler, s.tls); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) serve(address string, handler http.Handler, tlsConfig *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	d.runServer(listener, &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes})
	return nil
}

// serveCallers starts the server for callers.
func (d *Daemon) serveCallers() error {
	listener, err := callerconn.Listen(d.cfg.Listen.Caller, callerconn.Options{Limits: callerconn.Limits{Header: readHeaderTimeout},
		MaxConnections: d.limit.Connections(), Registry: d.registry})
	if err != nil {
		return err
	}
	server := &http.Server{Handler: d.callers, MaxHeaderBytes: maxHeaderBytes}
	callerconn.Configure(server)
	d.runServer(listener, server)
	return nil
}

// runServer serves a listener in the background.
func (d *Daemon) runServer(listener net.Listener, server *http.Server) {
	d.servers = append(d.servers, server)
	d.background.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.failures <- err
		}
	})
}

// inFlightMetric names the gauge of caller requests in progress.
const inFlightMetric = "requests.in_flight"

// runAll starts the background goroutines.
func (d *Daemon) runAll() {
	_ = d.registry.Register(inFlightMetric, metrics.NewFunctionalGauge(func() int64 { return int64(d.InFlight()) }))
	d.spawn(d.members.run)
	d.shared.run(d.spawn)
	d.spawn(d.picker.run)
	d.spawn(d.admitter.run)
	d.spawn(d.crashes.run)
	d.spawn(d.limits.Run)
	d.spawn(d.verdicts.run)
	d.spawn(d.claimer.abandonPreviousClaims)
	d.spawn(d.setReadyWhenCurrent)
	for _, g := range d.groups {
		d.spawn(g.run)
		if g.domain.failureDomain != d.cfg.FailureDomain {
			d.spawn(g.transferToLocalVoter)
		}
	}
}

func (d *Daemon) spawn(f func(context.Context)) {
	d.background.Go(func() { f(d.ctx) })
}

// setReadyWhenCurrent marks the daemon as ready once its settings are proven
// to be at least as new as those that were in force before.
func (d *Daemon) setReadyWhenCurrent(ctx context.Context) {
	select {
	case <-d.shared.client.Current():
		d.probe.SetReady(true)
	case <-ctx.Done():
	}
}

// Ready reports whether the daemon accepts caller requests.
func (d *Daemon) Ready() bool { return d.probe.Ready() }

// DrainRequested returns a channel that is closed when an operator requests a
// graceful shutdown.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.ops.drain }

// Failures delivers fatal errors of the daemon's servers.
func (d *Daemon) Failures() <-chan error { return d.failures }

// Shutdown stops the daemon without interrupting requests in flight: it fails
// the readiness check, keeps serving until load balancers have noticed,
// rejects new requests, waits for the running ones and transfers the
// leadership of its logs.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.probe.SetReady(false)
	d.members.Stop()
	d.relay.Drain()
	wait(ctx, nil, d.cfg.BalancerWait())
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DrainTimeout())
	defer cancel()
	var unfinished error
	select {
	case <-d.callers.Drain():
		d.claimer.pendingRecords.Wait()
	case <-ctx.Done():
		unfinished = fmt.Errorf("stopped with %d requests in flight", d.callers.InFlight())
		d.callers.CancelRequests()
		select {
		case <-d.callers.Drain():
			d.claimer.pendingRecords.Wait()
		case <-time.After(answerReserve):
		}
	}
	if err := d.relay.Wait(ctx); err != nil {
		unfinished = errors.Join(unfinished, fmt.Errorf("stopped while others used its connections: %w", err))
	}
	transferCtx, cancelTransfer := context.WithTimeout(context.Background(), leadershipTransferTimeout)
	defer cancelTransfer()
	d.logs.transferLeadership(transferCtx)
	return errors.Join(unfinished, d.Close())
}

// Close stops the daemon immediately.
func (d *Daemon) Close() error {
	var errs []error
	d.cancel()
	for _, server := range d.servers {
		errs = append(errs, server.Close())
	}
	if d.relay != nil {
		d.relay.Close()
	}
	if d.network != nil {
		errs = append(errs, d.network.Close())
	}
	d.background.Wait()
	if d.logs != nil {
		errs = append(errs, d.logs.close())
	}
	d.system.Shutdown()
	d.client.Close()
	return errors.Join(errs...)
}

// InFlight returns the number of caller requests in progress.
func (d *Daemon) InFlight() int { return d.callers.InFlight() }

// IsLeader reports whether this daemon leads the named log.
func (d *Daemon) IsLeader(log string) bool {
	r := d.logs.replicas()[log]
	return r != nil && r.Status().IsLeader()
}

// Revision returns the revision of the settings in force.
func (d *Daemon) Revision() uint64 { return d.shared.Tree().Revision() }

// Propose submits a settings change on behalf of an operator.
func (d *Daemon) Propose(ctx context.Context, c settings.Change) (settings.Result, error) {
	return d.ops.ProposeChange(ctx, c)
}
