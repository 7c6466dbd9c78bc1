// Package platform implements the HTTP endpoints for the platform that runs a
// daemon: liveness, readiness for the load balancer, and metrics.
package platform

import (
	"net/http"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Probe holds the readiness of a daemon and serves its health checks and metrics.
type Probe struct {
	ready    atomic.Bool
	registry metrics.Registry
}

// NewProbe returns a Probe that is not ready and serves the metrics of registry.
func NewProbe(registry metrics.Registry) *Probe { return &Probe{registry: registry} }

// SetReady sets whether the load balancer may send requests to this daemon.
func (p *Probe) SetReady(ready bool) { p.ready.Store(ready) }

// Ready reports whether the load balancer may send requests to this daemon.
func (p *Probe) Ready() bool { return p.ready.Load() }

// Handler serves GET /livez, /readyz and /metrics.
func (p *Probe) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !p.Ready() {
			http.Error(w, "not ready", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(p.registry, w)
	})
	return mux
}
