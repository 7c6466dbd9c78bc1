package instance

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/internal/control"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/entry"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/storage"
)

// Adapter translates between the surroundings of a deployment and the product.
type Adapter struct {
	// Decode checks a catalog document.
	Decode   func(document []byte) (*catalog.Catalog, error)
	Protocol entry.Protocol
	// Orders returns the sender of orders over a client.
	Orders func(client *upstream.Client) control.OrderSender
	// Control serves upstreams and operators, Ready the load balancer.
	Control func(c *control.Control, logger *zap.Logger) http.Handler
	Ready   func(ready func() bool) http.Handler
}

const (
	// peerKeepAlive and peerWriteTimeout find a silent connection between
	// instances within the 3 s after which a healed link must work again.
	peerKeepAlive    = time.Second
	peerWriteTimeout = 1500 * time.Millisecond
	// peerDialTimeout bounds the wait for a host that does not answer, so that
	// one that returns is reached soon after.
	peerDialTimeout = 400 * time.Millisecond
	// upstreamDialTimeout bounds the opening of a connection to an upstream;
	// within a region it takes a few milliseconds.
	upstreamDialTimeout = 300 * time.Millisecond
	// upstreamIdleTimeout is below the least idle time that upstreams state, so
	// that requests rarely meet a connection that is being closed.
	upstreamIdleTimeout = 4 * time.Second
	// readHeaderTimeout bounds the headers of a call to a control instance.
	readHeaderTimeout = 5 * time.Second
	// balancerWait is how long an entry that stops goes on accepting: the load
	// balancer asks once a second and needs two failed answers.
	balancerWait = 3 * time.Second
	// stopReserve is the part of the grace time that is left for closing.
	stopReserve = 700 * time.Millisecond
	// memoryPart is the part of the allowed memory at which the garbage
	// collector works harder; the rest is for stacks, buffers and the kernel.
	memoryPart = 0.6
)

// Instance is a running process.
type Instance struct {
	settings *Settings
	adapter  Adapter
	logger   *zap.Logger
	registry metrics.Registry
	system   *actor.ActorSystem
	network  *peer.Network
	client   *upstream.Client
	dir      *storage.Dir
	control  *control.Control
	entry    *entry.Entry
	servers  []*http.Server
	callers  *http.Server
	failures chan error
	done     sync.WaitGroup
	mu       sync.Mutex
}

// Start starts a process with checked settings.
func Start(s *Settings, a Adapter, logger *zap.Logger) (*Instance, error) {
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	}
	i := &Instance{settings: s, adapter: a, logger: logger.With(zap.String("instance", s.Name)), registry: metrics.NewRegistry(),
		system:   actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })),
		client:   upstream.NewClientWith(upstream.ClientOptions{DialTimeout: upstreamDialTimeout, IdleTimeout: upstreamIdleTimeout}),
		failures: make(chan error, 8)}
	if err := i.start(); err != nil {
		return nil, errors.Join(err, i.Close(context.Background()))
	}
	i.logger.Info("instance started", zap.String("id", s.ID), zap.String("failureDomain", s.FailureDomain), zap.Bool("bootstrap", s.Bootstrap),
		zap.Strings("seeds", s.Seeds), zap.Bool("entry", i.entry != nil), zap.Bool("control", i.control != nil))
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
		KeepAliveInterval: peerKeepAlive, WriteTimeout: peerWriteTimeout, DialTimeout: peerDialTimeout})
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
	i.entry = entry.Start(entry.Options{ID: s.ID, FailureDomain: s.FailureDomain, Seeds: s.seedIDs(), Network: i.network,
		Decode: i.adapter.Decode, Protocol: i.adapter.Protocol, Client: i.client, Logger: i.logger, Registry: i.registry,
		Budget: entry.Budget{Ratio: s.RetryBudget.Ratio, Allowance: s.RetryBudget.Allowance, Window: milliseconds(s.RetryBudget.WindowMS)}})
	if err := i.serve(s.Listen.Ready, i.adapter.Ready(i.entry.Ready)); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", s.Listen.Caller)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	i.done.Go(func() { i.serveCallers(listener) })
	return nil
}

// serveCallers serves callers once a catalog tells what they may send.
func (i *Instance) serveCallers(listener net.Listener) {
	<-i.entry.Configured()
	limits := i.entry.Limits()
	server := &http.Server{Handler: i.entry, ReadHeaderTimeout: limits.HeaderTimeout, MaxHeaderBytes: limits.MaxHeaderBytes,
		IdleTimeout: limits.IdleTimeout, ErrorLog: quietHTTP(i.logger)}
	i.mu.Lock()
	i.callers = server
	i.mu.Unlock()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		i.failures <- fmt.Errorf("serve callers: %w", err)
	}
}

func (i *Instance) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ErrorLog: quietHTTP(i.logger)}
	i.servers = append(i.servers, server)
	i.done.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			i.failures <- fmt.Errorf("serve %s: %w", address, err)
		}
	})
	return nil
}

// Failures delivers errors that end the process's service.
func (i *Instance) Failures() <-chan error { return i.failures }

// Shutdown stops the process without interrupting a request: the load balancer
// is told first, then running requests end, then connections are closed.
func (i *Instance) Shutdown() error {
	ctx, cancel := context.WithTimeout(context.Background(), max(milliseconds(i.settings.Drain.GraceMS)-stopReserve, 0))
	defer cancel()
	i.logger.Info("stopping", zap.Duration("grace", milliseconds(i.settings.Drain.GraceMS)))
	var unfinished error
	if i.entry != nil {
		i.entry.Drain()
		wait(ctx, balancerWait)
		i.mu.Lock()
		callers := i.callers
		i.mu.Unlock()
		if callers != nil {
			unfinished = callers.Shutdown(ctx)
		}
	}
	return errors.Join(unfinished, i.Close(ctx))
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Close ends the process's work; a leader hands over before ctx ends.
func (i *Instance) Close(ctx context.Context) error {
	var errs []error
	if i.control != nil {
		errs = append(errs, i.control.Close(ctx))
	}
	for _, server := range i.servers {
		errs = append(errs, server.Close())
	}
	i.mu.Lock()
	if i.callers != nil {
		errs = append(errs, i.callers.Close())
	}
	i.mu.Unlock()
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
