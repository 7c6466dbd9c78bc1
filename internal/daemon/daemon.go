// Package daemon joins the decision packages, the protocol adapters and the
// network into one process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/platform"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/membership"
)

const readHeaderTimeout = 10 * time.Second

// Daemon is a running daemon.
type Daemon struct {
	cfg      *config.Daemon
	logger   *zap.Logger
	probe    *platform.Probe
	callers  *caller.Handler
	client   *upstream.Client
	servers  []*http.Server
	failures chan error
}

// Start starts a daemon with checked settings.
func Start(cfg *config.Daemon, logger *zap.Logger) (*Daemon, error) {
	d := &Daemon{
		cfg: cfg, logger: logger, client: upstream.NewClient(),
		probe: platform.NewProbe(metrics.NewRegistry()), failures: make(chan error, 8),
	}
	dir := &directory{
		self:      membership.Registrar{ID: cfg.ID, Address: cfg.Listen.Upstream},
		upstreams: map[string]membership.Announcement{},
	}
	d.callers = caller.NewHandler(caller.Options{
		Deps:   caller.Deps{Policy: dir, Admitter: dir, Picker: dir, Retrier: dir, Quarantine: dir, Client: d.client},
		Logger: logger, Tracer: otel.Tracer("bluebellfield"),
	})
	for _, s := range []struct {
		address string
		handler http.Handler
	}{
		{cfg.Listen.Caller, d.callers},
		{cfg.Listen.Upstream, upstream.NewHandler(dir)},
		{cfg.Listen.Platform, d.probe.Handler()},
	} {
		if err := d.serve(s.address, s.handler); err != nil {
			_ = d.Close()
			return nil, err
		}
	}
	d.probe.SetReady(true)
	logger.Info("daemon started", zap.String("id", cfg.ID), zap.String("caller", cfg.Listen.Caller))
	return d, nil
}

func (d *Daemon) serve(address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	d.servers = append(d.servers, server)
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.failures <- err
		}
	}()
	return nil
}

// Failures delivers errors that end the daemon's service.
func (d *Daemon) Failures() <-chan error { return d.failures }

// Shutdown stops the daemon without interrupting a request in flight: its
// readiness check fails, it goes on for the load balancer's sake, refuses new
// work and waits for the running requests.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.probe.SetReady(false)
	select {
	case <-time.After(d.cfg.BalancerWait()):
	case <-ctx.Done():
	}
	ctx, cancel := context.WithTimeout(ctx, d.cfg.DrainTimeout())
	defer cancel()
	select {
	case <-d.callers.Drain():
	case <-ctx.Done():
		return errors.Join(fmt.Errorf("stopped with %d requests in flight", d.callers.InFlight()), d.Close())
	}
	return d.Close()
}

// Close ends the daemon at once.
func (d *Daemon) Close() error {
	var errs []error
	for _, server := range d.servers {
		errs = append(errs, server.Close())
	}
	d.client.Close()
	return errors.Join(errs...)
}
