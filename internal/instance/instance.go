package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/edge/bodybudget"
	"github.com/bluebellfield/bluebellfield/internal/edge/callerconn"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/entry"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/processlimit"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// Adapter connects an instance to the platform that it runs on.
type Adapter struct {
	// Decode validates and decodes a catalog document.
	Decode   func(document []byte) (*catalog.Catalog, error)
	Protocol entry.Protocol
	// Orders returns an order sender that uses the client.
	Orders func(client *upstream.Client) control.OrderSender
	// Control returns the handler for upstreams and operators.
	Control func(c *control.Control, logger *zap.Logger) http.Handler
	// Ready returns the handler for the load balancer's health check.
	Ready func(ready func() bool) http.Handler
}

const (
	// peerKeepAlive and peerWriteTimeout detect a dead connection between
	// instances within 3 s, the time in which a healed network link must be in use
	// again.
	peerKeepAlive    = time.Second
	peerWriteTimeout = 1500 * time.Millisecond
	// peerDialTimeout limits a connection attempt to an unresponsive host. A short
	// timeout leads to an early retry after the host has returned.
	peerDialTimeout = 400 * time.Millisecond
	// peerIdleTimeout closes the connections between entries, which carry messages
	// only after a crash. Those with control instances carry several a second.
	peerIdleTimeout = 10 * time.Second
	// upstreamDialTimeout limits a connection attempt to an upstream. Within a
	// region, connecting takes a few milliseconds.
	upstreamDialTimeout = 150 * time.Millisecond
	// upstreamIdleTimeout is below the shortest idle timeout of the upstreams, so
	// that requests are rarely sent on a connection that is being closed.
	upstreamIdleTimeout = 4 * time.Second
	// readHeaderTimeout limits the time to read the headers of a call to a control
	// instance.
	readHeaderTimeout = 5 * time.Second
	// balancerWait is how long a stopping entry keeps accepting requests. The load
	// balancer polls once per second and needs two failed health checks.
	balancerWait = 3 * time.Second
	// stopReserve is the part of the grace period reserved for closing
	// connections.
	stopReserve = 700 * time.Millisecond
	// answerReserve is the part of the grace period in which the requests that are
	// cancelled at its end are answered.
	answerReserve = 200 * time.Millisecond
)

// Instance is a running process of a deployment.
type Instance struct {
	settings         *Settings
	limits           processlimit.Limits
	adapter          Adapter
	logger           *zap.Logger
	registry         metrics.Registry
	system           *actor.ActorSystem
	network          *peer.Network
	client           *upstream.Client
	dir              *storage.Dir
	control          *control.Control
	entry            *entry.Entry
	servers          []*http.Server
	callerListener   *callerconn.Listener
	callerServer     *http.Server
	activeCallers    callerconn.Active
	failures         chan error
	serverGoroutines sync.WaitGroup
	mu               sync.Mutex
}

// Start starts an instance. The settings must be valid.
func Start(s *Settings, a Adapter, logger *zap.Logger) (*Instance, error) {
	limits := processlimit.New(s.MemoryMB, int(s.MaxDescriptors))
	limits.LimitRuntime()
	i := &Instance{settings: s, limits: limits, adapter: a, logger: logger.With(zap.String("instance", s.Name)), registry: metrics.NewRegistry(),
		system:   actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })),
		client:   upstream.NewClientWith(upstream.ClientOptions{DialTimeout: upstreamDialTimeout, IdleTimeout: upstreamIdleTimeout, MaxIdle: limits.IdleUpstreamConnections()}),
		failures: make(chan error, 8)}
	if err := i.start(); err != nil {
		return nil, errors.Join(err, i.Close(context.Background()))
	}
	i.logger.Info("instance started", zap.String("id", s.ID), zap.String("failureDomain", s.FailureDomain), zap.Bool("bootstrap", s.Bootstrap),
		zap.Strings("seeds", s.Seeds), zap.Int64("memoryBytes", limits.MemoryBytes), zap.Int("descriptors", limits.Descriptors), zap.Int("maxConnections", limits.Connections()), zap.Bool("entry", i.entry != nil), zap.Bool("control", i.control != nil))
	return i, nil
}

func (i *Instance) start() error {
	s := i.settings
	listener, err := net.Listen("tcp", net.JoinHostPort(s.ID, fmt.Sprint(s.PeerPort)))
	if err != nil {
		return fmt.Errorf("listen for peers: %w", err)
	}
	i.network = peer.Listen(listener, peer.Options{ID: s.ID, Logger: i.logger, Registry: i.registry,
		Resolve:           func(id string) (string, bool) { return control.PeerAddress(id, s.PeerPort) },
		KeepAliveInterval: peerKeepAlive, WriteTimeout: peerWriteTimeout, DialTimeout: peerDialTimeout, IdleTimeout: peerIdleTimeout})
	if s.Listen.Control != "" {
		if err := i.startControl(); err != nil {
			return err
		}
	}
	if s.Listen.Caller != "" {
		if err := i.startEntry(); err != nil {
			return err
		}
	}
	if s.Listen.Metrics == "" {
		return nil
	}
	return i.serve(s.Listen.Metrics, metricsHandler(i.registry))
}

func (i *Instance) startControl() error {
	s := i.settings
	dir, err := storage.OpenDir(storage.OS{}, filepath.Join(s.DataFolder, "log"))
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	i.dir = dir
	c, err := control.Start(control.Options{ID: s.ID, FailureDomain: s.FailureDomain, Seeds: s.seedIDs(), Bootstrap: s.Bootstrap, Dir: dir,
		Network: i.network, System: i.system, Decode: i.adapter.Decode, Orders: i.adapter.Orders(i.client),
		HeartbeatInterval: milliseconds(s.HeartbeatMS), StallTime: milliseconds(s.StallMS), Logger: i.logger, Registry: i.registry})
	if err != nil {
		return err
	}
	i.control = c
	return i.serve(s.Listen.Control, i.adapter.Control(c, i.logger))
}

func (i *Instance) startEntry() error {
	s := i.settings
	listener, err := callerconn.Listen(s.Listen.Caller, callerconn.Options{MaxConnections: i.limits.Connections(), Registry: i.registry})
	if err != nil {
		return err
	}
	setLimits := func(l catalog.Limits) {
		listener.SetLimits(callerconn.Limits{HeaderBytes: l.MaxHeaderBytes, Header: l.HeaderTimeout, Idle: l.IdleTimeout})
	}
	i.entry = entry.Start(entry.Options{ID: s.ID, FailureDomain: s.FailureDomain, Seeds: s.seedIDs(), Network: i.network,
		Decode: i.adapter.Decode, OnLimits: setLimits, Protocol: i.adapter.Protocol, Client: i.client, Logger: i.logger, Registry: i.registry,
		Bodies: bodybudget.New(i.limits.BodyBytes(), i.registry), MaxHelped: i.limits.HelpedConnections(),
		RetryBudget: entry.RetryBudget{Ratio: s.RetryBudget.Ratio, Allowance: int(s.RetryBudget.Allowance), Window: milliseconds(s.RetryBudget.WindowMS)}})
	if err := i.serve(s.Listen.Ready, i.adapter.Ready(i.entry.Ready)); err != nil {
		return errors.Join(err, listener.Close())
	}
	i.callerListener = listener
	i.serverGoroutines.Go(func() { i.serveCallers(listener) })
	return nil
}

// serveCallers waits for the first catalog, which contains the limits of the
// caller connections, and then serves callers.
func (i *Instance) serveCallers(listener *callerconn.Listener) {
	<-i.entry.Configured()
	server := &http.Server{Handler: i.entry, MaxHeaderBytes: callerconn.MaxHeaderBytes, ErrorLog: debugHTTPLogger(i.logger)}
	callerconn.Configure(server)
	i.activeCallers.Track(server)
	i.mu.Lock()
	i.callerServer = server
	i.mu.Unlock()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		i.failures <- fmt.Errorf("serve callers: %w", err)
	}
}

// serve starts an HTTP server on an address.
func (i *Instance) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: debugHTTPLogger(i.logger)}
	i.servers = append(i.servers, server)
	i.serverGoroutines.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			i.failures <- fmt.Errorf("serve %s: %w", address, err)
		}
	})
	return nil
}

// Failures returns a channel that receives fatal errors of the servers.
func (i *Instance) Failures() <-chan error { return i.failures }

// Shutdown stops the instance gracefully: it fails the health check, waits for
// the load balancer and the running requests, and closes all connections.
func (i *Instance) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), max(milliseconds(i.settings.Drain.GraceMS)-stopReserve, 0))
	defer cancel()
	i.logger.Info("stopping", zap.Duration("grace", milliseconds(i.settings.Drain.GraceMS)))
	var unfinished error
	if i.entry != nil {
		i.entry.Drain()
		sleepContext(ctx, balancerWait)
		unfinished = i.stopCallers(ctx)
	}
	return errors.Join(unfinished, i.Close(ctx))
}

// stopCallers refuses new connections and requests and waits for the running
// requests. Those that are still running shortly before ctx ends are cancelled and
// answered.
func (i *Instance) stopCallers(ctx context.Context) error {
	i.entry.Stop().RefuseNew()
	closeErr := i.callerListener.Close()
	if end, limited := ctx.Deadline(); limited {
		timer := time.AfterFunc(time.Until(end)-answerReserve, i.entry.Stop().CancelRequests)
		defer timer.Stop()
	}
	return errors.Join(closeErr, i.activeCallers.Wait(ctx), i.entry.WaitHelped(ctx))
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Close stops the instance immediately. A leader first transfers its
// leadership, until ctx ends.
func (i *Instance) Close(ctx context.Context) error {
	var errs []error
	if i.control != nil {
		errs = append(errs, i.control.Close(ctx))
	}
	for _, server := range i.servers {
		errs = append(errs, server.Close())
	}
	i.mu.Lock()
	if i.callerServer != nil {
		errs = append(errs, i.callerServer.Close())
	}
	i.mu.Unlock()
	if i.callerListener != nil {
		// The server has it only after the first catalog.
		errs = append(errs, i.callerListener.Close())
	}
	if i.entry != nil {
		i.entry.Close()
	}
	if i.network != nil {
		errs = append(errs, i.network.Close())
	}
	if i.dir != nil {
		errs = append(errs, i.dir.Close())
	}
	i.system.Shutdown()
	i.client.Close()
	i.logger.Info("stopped", zap.Error(errors.Join(errs...)))
	return errors.Join(errs...)
}
