// Package devmode provides the settings and the fake engine of a single daemon
// for development.
package devmode

import (
	"time"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

const tokenDelay = 20 * time.Millisecond

const settings = `{
  "id": "dev",
  "failureDomain": "dev",
  "roles": ["entry"],
  "listen": {
    "caller": "127.0.0.1:8080",
    "upstream": "127.0.0.1:8081",
    "operator": "127.0.0.1:8082",
    "platform": "127.0.0.1:8083",
  },
  "drain": {"balancerWaitMs": 0},
}`

// Settings returns the settings of the development daemon.
func Settings() (*config.Daemon, error) {
	return config.Parse("built-in development settings", []byte(settings))
}

// StartEngine starts an engine that announces itself to the daemon.
func StartEngine(cfg *config.Daemon) (*fake.Engine, error) {
	return fake.StartEngine(fake.EngineConfig{
		Upstream: fake.Upstream{
			Announcement: membership.Announcement{
				ID: "dev-engine", FailureDomain: cfg.FailureDomain, Services: []string{"dev-model"},
				Models:   []membership.Model{{Name: "dev-model"}},
				Features: membership.Features{Priorities: true, Resume: true, Cancel: true, Fencing: true},
			},
			Entries: []string{cfg.Listen.Upstream},
		},
		TokenDelay: tokenDelay,
	})
}
