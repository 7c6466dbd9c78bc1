package main

import (
	"bytes"
	"io"
)

// config is the operator's configuration.
type config struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	PathPrefix      string `json:"path_prefix"`
	Kind            string `json:"kind"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	MaxAttempts     int    `json:"max_attempts"`
}

type service struct {
	Name           string        `json:"name"`
	HealthPath     string        `json:"health_path"`
	MaxConnections int           `json:"max_connections"`
	Protocol       string        `json:"protocol"`
	TLS            bool          `json:"tls"`
	Engine         *engineConfig `json:"engine,omitempty"`
}

type limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

const (
	host        = "app.example"
	tenantName  = "stable-one"
	tenantKey   = "k3y0fstable0ne"
	serviceName = "wash-app"
)

// newConfig returns a configuration with one plain service and the given routes.
func newConfig(version int, routes ...route) config {
	return config{Version: version, Routes: routes,
		Services: []service{{Name: serviceName, HealthPath: "/healthz", MaxConnections: 100, Protocol: "h1"}},
		Limits:   limits{MaxHeaderBytes: smallHeaderLimit, MaxBodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15000},
		Tenants:  []tenant{{Name: tenantName, APIKeys: []string{tenantKey}, Priority: 1}},
	}
}

// newRoute returns a route like those of the plain service on the users' sheets.
func newRoute(name, prefix, kind string, attempts int) route {
	return route{Name: name, Host: host, PathPrefix: prefix, Kind: kind, TimeoutMS: 1200, TargetLatencyMS: 150, Priority: 2,
		Service: serviceName, MaxAttempts: attempts}
}

func bytesReader(b []byte) io.Reader { return bytes.NewReader(b) }

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}
