// Package platform serves the platform around a daemon: liveness, readiness
// for the load balancer, and metrics.
package platform

import (
	"net/http"
	"sync/atomic"

	"github.com/rcrowley/go-metrics"
)

// Probe answers the platform's checks.
type Probe struct {
	ready    atomic.Bool
	registry metrics.Registry
}

// NewProbe returns a probe that is not ready.
func NewProbe(registry metrics.Registry) *Probe { return &Probe{registry: registry} }

// SetReady says whether the load balancer may send callers here.
func (p *Probe) SetReady(ready bool) { p.ready.Store(ready) }

// Ready reports whether the load balancer may send callers here.
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
