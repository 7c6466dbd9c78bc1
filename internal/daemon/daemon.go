// Package daemon joins the decision packages, the protocol adapters and the
// network into one process.
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
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/operator"
	"github.com/bluebellfield/bluebellfield/internal/edge/platform"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/tlsfiles"
	"github.com/bluebellfield/bluebellfield/internal/tracing"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxHeaderBytes    = 64 << 10
	handOverTimeout   = 3 * time.Second
)

// Options of a daemon that its settings file does not hold.
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
	logger   *zap.Logger
	registry metrics.Registry
	recorder *tracing.Recorder
	probe    *platform.Probe
	system   *actor.ActorSystem
	network  *peer.Network
	client   *upstream.Client
	logs     *logs
	shared   *sharedState
	members  *members
	admitter *admitter
	picker   *picker
	crashes  *crashWatch
	claims   *claims
	groups   []*groupManager
	callers  *caller.Handler
	stats    *requestStats
	ops      *operations
	// operatorTLS is nil when operators are served without TLS.
	operatorTLS *tls.Config

	ctx      context.Context
	cancel   context.CancelFunc
	done     sync.WaitGroup
	servers  []*http.Server
	failures chan error
}

// Start starts a daemon with checked settings.
func Start(cfg *config.Daemon, o Options) (*Daemon, error) {
	if o.Logger == nil {
		o.Logger = zap.NewNop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		cfg: cfg, logger: o.Logger, registry: metrics.NewRegistry(), recorder: tracing.NewRecorder(tracing.DefaultCapacity),
		system: actor.NewActorSystem(actor.WithLoggerFactory(quietActors)), client: upstream.NewClient(o.Dial),
		ctx: ctx, cancel: cancel, failures: make(chan error, 8),
	}
	d.probe = platform.NewProbe(d.registry)
	tracing.InstallPropagator()
	if err := d.start(o); err != nil {
		return nil, errors.Join(err, d.Close())
	}
	return d, nil
}

// quietActors keeps the actor library's own lines out of the daemon's log.
func quietActors(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

func (d *Daemon) start(o Options) error {
	if err := d.listenPeers(o); err != nil {
		return err
	}
	hosted, err := openLogs(d.cfg, d.network, o.ElectionTimeout, d.logger)
	if err != nil {
		return err
	}
	d.logs = hosted
	d.assemble()
	if err := d.serveAll(); err != nil {
		return err
	}
	d.runAll()
	d.logger.Info("daemon started", zap.String("id", d.cfg.ID), zap.String("caller", d.cfg.Listen.Caller))
	return nil
}

// listenPeers opens the connections between daemons.
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

// assemble builds the parts and connects them.
func (d *Daemon) assemble() {
	// A restart a second later is a later incarnation on any sane clock.
	incarnation := uint64(time.Now().UnixNano())
	d.members = newMembers(d.cfg, incarnation, d.network, d.client, d.logger)
	d.shared = newSharedState(d.cfg, d.network, d.logs, d.logger, func(t *settings.Tree) {
		d.logger.Info("settings in force", zap.Uint64("revision", t.Revision()))
	})
	d.crashes = newCrashWatch(d.cfg.ID, d.network, d.client, d.members.Live, d.shared.Tree, d.logger)
	d.picker = newPicker(d.cfg, incarnation, d.shared, d.members, d.client, d.crashes, d.logger)
	d.members.onEvents = d.crashes.onEvents
	d.members.cache = d.picker.learnCache
	d.admitter = newAdmitter(d.cfg, incarnation, d.network, d.shared.Tree, d.logger)
	d.admitter.live = d.members.Live
	d.admitter.capacity = d.picker.capacity
	d.claims = &claims{global: d.shared.global, local: d.logs, entry: d.cfg.ID, incarnation: incarnation, logger: d.logger}
	for _, log := range d.logs.domains {
		d.groups = append(d.groups, newGroupManager(d.cfg, log, d.members, d.client, d.shared.Tree, d.registry, d.logger))
	}
	d.stats = newRequestStats(d.registry)
	d.ops = newOperations(d)
	d.callers = caller.NewHandler(caller.Options{
		Deps: caller.Deps{
			Policy: policy{d.shared.Tree, d.picker.slots}, Admitter: d.admitter, Picker: d.picker,
			Retrier:    newRetrier(incarnation, d.shared.Tree),
			Quarantine: d.crashes, Claimer: d.claims, Client: d.client,
		},
		Logger: d.logger, Tracer: d.recorder.Provider().Tracer("bluebellfield"), Observe: d.stats.observe,
	})
}

func (d *Daemon) serveAll() error {
	for _, s := range []struct {
		address string
		handler http.Handler
		tls     *tls.Config
	}{
		{d.cfg.Listen.Caller, d.callers, nil},
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

func (d *Daemon) serve(address string, handler http.Handler, secured *tls.Config) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if secured != nil {
		listener = tls.NewListener(listener, secured)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	d.servers = append(d.servers, server)
	d.done.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.failures <- err
		}
	})
	return nil
}

// inFlightGauge reports the callers' requests being served.
const inFlightGauge = "requests.in_flight"

// runAll starts the actors and everything that goes on in the background.
func (d *Daemon) runAll() {
	_ = d.registry.Register(inFlightGauge, metrics.NewFunctionalGauge(func() int64 { return int64(d.InFlight()) }))
	d.members.start(d.system)
	d.spawn(d.members.run)
	d.shared.run(d.spawn)
	d.spawn(d.picker.run)
	d.spawn(d.admitter.run)
	d.spawn(d.crashes.run)
	d.spawn(d.claims.abandonEarlier)
	d.spawn(d.becomeReady)
	for _, g := range d.groups {
		g.start(d.system)
		d.spawn(g.run)
		if g.domain.failureDomain != d.cfg.FailureDomain {
			d.spawn(g.preferLocal)
		}
	}
}

func (d *Daemon) spawn(f func(context.Context)) {
	d.done.Go(func() { f(d.ctx) })
}

// becomeReady lets callers in once the settings are proven to be no older than
// those that were in force before.
func (d *Daemon) becomeReady(ctx context.Context) {
	select {
	case <-d.shared.client.Current():
		d.probe.SetReady(true)
	case <-ctx.Done():
	}
}

// Ready reports whether the daemon lets callers in.
func (d *Daemon) Ready() bool { return d.probe.Ready() }

// DrainRequested is closed when an operator has asked for a planned stop.
func (d *Daemon) DrainRequested() <-chan struct{} { return d.ops.drain }

// Failures delivers errors that end the daemon's service.
func (d *Daemon) Failures() <-chan error { return d.failures }

// Shutdown stops the daemon without interrupting a request in flight: its
// readiness check fails, it goes on for the load balancer's sake, refuses new
// work, waits for the running requests and hands over what it leads.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.probe.SetReady(false)
	d.members.Stop()
	wait(ctx, nil, d.cfg.BalancerWait())
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DrainTimeout())
	defer cancel()
	var unfinished error
	select {
	case <-d.callers.Drain():
		d.claims.settling.Wait()
	case <-ctx.Done():
		unfinished = fmt.Errorf("stopped with %d requests in flight", d.callers.InFlight())
	}
	handOver, stop := context.WithTimeout(context.Background(), handOverTimeout)
	defer stop()
	d.logs.handOver(handOver)
	return errors.Join(unfinished, d.Close())
}

// Close ends the daemon at once.
func (d *Daemon) Close() error {
	var errs []error
	d.cancel()
	for _, server := range d.servers {
		errs = append(errs, server.Close())
	}
	if d.network != nil {
		errs = append(errs, d.network.Close())
	}
	d.done.Wait()
	if d.logs != nil {
		errs = append(errs, d.logs.close())
	}
	d.system.Shutdown()
	d.client.Close()
	return errors.Join(errs...)
}

// InFlight returns the number of callers' requests being served.
func (d *Daemon) InFlight() int { return d.callers.InFlight() }

// Leads reports whether this daemon leads the log with a name.
func (d *Daemon) Leads(log string) bool {
	r := d.logs.replicas()[log]
	return r != nil && r.Status().Leads()
}

// Revision returns the revision of the settings in force.
func (d *Daemon) Revision() uint64 { return d.shared.Tree().Revision() }

// Propose makes a settings change in the name of an operator.
func (d *Daemon) Propose(ctx context.Context, c settings.Change) (settings.Result, error) {
	return d.ops.ProposeChange(ctx, c)
}
