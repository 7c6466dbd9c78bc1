// Package devmode provides the settings and a fake engine for a single
// development daemon.
package devmode

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
)

const tokenDelay = 20 * time.Millisecond

// settingsFile is a format of the daemon's settings file. Its arguments are the
// data folder and the file with the initial settings tree.
const settingsFile = `{
  "id": "dev",
  "failureDomain": "dev",
  "region": "dev",
  "roles": ["entry", "control"],
  "dataFolder": %q,
  "listen": {
    "caller": "127.0.0.1:8080",
    "upstream": "127.0.0.1:8081",
    "operator": "127.0.0.1:8082",
    "platform": "127.0.0.1:8083",
  },
  "logs": {"global": ["dev"], "domains": {"dev": ["dev"]}},
  "bootstrapSettings": %q,
  // The operator's token is "dev".
  "operators": [{"name": "dev", "tokenSHA256": "ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567"}],
  "drain": {"balancerWaitMs": 0},
}`

// tree is the initial settings tree. The callers' key is "dev".
const tree = `{
  "accounts": {
    "dev": {
      "class": "paying",
      "keyHashes": ["ef260e9aa3c673af240d17a2660480361a8e081d1ffeca2a5ed0e3219fc18567"],
    },
  },
  "services": {
    "dev-model": {"kind": "model", "model": "dev-model"},
  },
}`

// Settings returns the settings of the development daemon and a function that
// removes its temporary data.
func Settings() (*config.Daemon, func(), error) {
	folder, err := os.MkdirTemp("", "bluebellfield-dev-")
	if err != nil {
		return nil, nil, err
	}
	cleanup := func() { _ = os.RemoveAll(folder) }
	bootstrap := filepath.Join(folder, "settings.jsonc")
	if err := os.WriteFile(bootstrap, []byte(tree), 0o600); err != nil {
		cleanup()
		return nil, nil, err
	}
	cfg, err := config.Parse("built-in development settings", fmt.Appendf(nil, settingsFile, filepath.Join(folder, "data"), bootstrap))
	if err != nil {
		cleanup()
		return nil, nil, err
	}
	return cfg, cleanup, nil
}

// StartEngine starts a fake engine that announces itself to the daemon.
func StartEngine(cfg *config.Daemon) (*fake.Engine, error) {
	return fake.StartEngine(fake.EngineConfig{
		Upstream: fake.Upstream{
			Announcement: membership.Announcement{
				ID: "dev-engine", FailureDomain: cfg.FailureDomain, Services: []string{"dev-model"},
				Models:   []membership.Model{{Name: "dev-model"}},
				Features: membership.Features{Priorities: true, Resume: true, Cancel: true, Fencing: true, Echo: true},
			},
			Entries: []string{cfg.Listen.Upstream},
		},
		TokenDelay: tokenDelay,
	})
}
