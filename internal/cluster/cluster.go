// Package cluster runs several daemons and fake upstreams in one process on
// loopback, with partitions between them. The demo, the tests of several
// daemons and the experiments use it.
package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/daemon"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	pollPause      = 5 * time.Millisecond
	shutdownWait   = 30 * time.Second
	balancerWaitMS = 100
)

// OperatorToken is the bearer token of the cluster's operator.
const OperatorToken = "operator"

// KeyHash returns the digest of a caller's key as settings hold it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Layout gives the number of daemons in each failure domain. The first of each
// failure domain up to VotersPerDomain have disks.
type Layout struct {
	Domains []Domain
	// Settings is the settings tree, as JSON with comments.
	Settings string
	Logger   *zap.Logger
	// ElectionTimeout of the logs; zero means the default.
	ElectionTimeout time.Duration
}

// Domain is a failure domain of a layout.
type Domain struct {
	Name    string
	Region  string
	Daemons int
	// Voters is how many of the daemons have a disk.
	Voters int
}

// Today is the layout of one user: seven entry instances in three failure
// domains, all with disks.
func Today(settings string) Layout {
	return Layout{Domains: []Domain{
		{Name: "a", Region: "r", Daemons: 3, Voters: 3},
		{Name: "b", Region: "r", Daemons: 2, Voters: 2},
		{Name: "c", Region: "r", Daemons: 2, Voters: 2},
	}, Settings: settings}
}

// Cluster is a set of daemons and upstreams.
type Cluster struct {
	Partition *fake.Partition
	folder    string
	logger    *zap.Logger
	configs   map[string]*config.Daemon
	order     []string
	// electionTimeout is zero for the default.
	electionTimeout time.Duration

	mu      sync.Mutex
	daemons map[string]*daemon.Daemon
	engines []*fake.Engine
	plains  []*fake.Plain
	domains map[string]string
}

// Start starts the daemons of a layout with data under folder.
func Start(folder string, layout Layout) (*Cluster, error) {
	c := &Cluster{
		Partition: fake.NewPartition(), folder: folder, logger: layout.Logger, electionTimeout: layout.ElectionTimeout, configs: map[string]*config.Daemon{},
		daemons: map[string]*daemon.Daemon{}, domains: map[string]string{},
	}
	if c.logger == nil {
		c.logger = zap.NewNop()
	}
	if err := c.configure(layout); err != nil {
		return nil, err
	}
	for _, id := range c.order {
		if err := c.StartDaemon(id); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// configure writes the settings tree and the settings of each daemon.
func (c *Cluster) configure(layout Layout) error {
	bootstrap := filepath.Join(c.folder, "settings.jsonc")
	if err := os.WriteFile(bootstrap, []byte(layout.Settings), 0o600); err != nil {
		return err
	}
	addresses, err := freeAddresses(layout)
	if err != nil {
		return err
	}
	logs := voters(layout)
	var peers []config.Peer
	for _, d := range layout.Domains {
		for i := range d.Daemons {
			cfg := c.daemonConfig(d, i, addresses, bootstrap)
			cfg.Logs = logs
			c.configs[cfg.ID] = cfg
			c.order = append(c.order, cfg.ID)
			c.domains[cfg.ID] = d.Name
			peers = append(peers, config.Peer{
				ID: cfg.ID, FailureDomain: d.Name, Region: d.Region, Address: cfg.Listen.Peer, UpstreamAddress: cfg.Listen.Upstream, Roles: cfg.Roles,
			})
			for _, a := range []string{cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Caller} {
				c.Partition.Register(a, cfg.ID)
			}
		}
	}
	for _, cfg := range c.configs {
		cfg.Peers = peers
	}
	return nil
}

func (c *Cluster) daemonConfig(d Domain, i int, addresses *[]string, bootstrap string) *config.Daemon {
	next := func() string {
		a := (*addresses)[0]
		*addresses = (*addresses)[1:]
		return a
	}
	id := fmt.Sprintf("%s%d", d.Name, i+1)
	cfg := &config.Daemon{
		ID: id, FailureDomain: d.Name, Region: d.Region, Roles: []config.Role{config.RoleEntry},
		Listen:    config.Listen{Caller: next(), Upstream: next(), Operator: next(), Platform: next(), Peer: next()},
		Operators: []config.Operator{{Name: "operator", TokenSHA256: KeyHash(OperatorToken)}},
		Drain:     config.Drain{BalancerWaitMS: balancerWaitMS, TimeoutMS: int(shutdownWait / time.Millisecond)},
		LogLevel:  "info",
	}
	if i < d.Voters {
		cfg.Roles = append(cfg.Roles, config.RoleControl)
		cfg.DataFolder = filepath.Join(c.folder, id)
		cfg.BootstrapSettings = bootstrap
	}
	return cfg
}

// voters places the voters of the logs: one of each failure domain, and a
// second one of the first two when there are three domains, in the global log;
// the local ones, with one of the next failure domain where there are two, in
// each domain log.
func voters(layout Layout) config.Logs {
	logs := config.Logs{Domains: map[string][]string{}}
	for i, d := range layout.Domains {
		var own []string
		for n := range min(d.Voters, 3) {
			own = append(own, fmt.Sprintf("%s%d", d.Name, n+1))
		}
		if len(own) == 2 && len(layout.Domains) > 1 {
			next := layout.Domains[(i+1)%len(layout.Domains)]
			own = append(own, fmt.Sprintf("%s%d", next.Name, next.Voters))
		}
		logs.Domains[d.Name] = own
		if d.Voters > 0 {
			logs.Global = append(logs.Global, d.Name+"1")
		}
	}
	for _, d := range layout.Domains {
		if len(layout.Domains) == 3 && len(logs.Global) < 5 && d.Voters > 1 {
			logs.Global = append(logs.Global, d.Name+"2")
		}
	}
	return logs
}

// clusters counts the clusters of this process.
var clusters atomic.Uint32

// loopback returns the IP address of the next cluster. Outgoing connections
// take their ports from 127.0.0.1, so the ports of a cluster with another
// address stay free while a daemon is down. Hosts that have only 127.0.0.1 get
// that one.
func loopback() string {
	const octet = 250 // keeps clear of 0 and 255
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.%d", 1+pid/octet%octet, 1+pid%octet, 1+clusters.Add(1)%octet)
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "127.0.0.1"
	}
	_ = l.Close()
	return host
}

// freeAddresses returns five addresses for each daemon. The listeners are
// closed together at the end, so that no address is given out twice.
func freeAddresses(layout Layout) (*[]string, error) {
	count := 0
	for _, d := range layout.Domains {
		count += 5 * d.Daemons
	}
	host := loopback()
	addresses := make([]string, 0, count)
	for range count {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addresses = append(addresses, l.Addr().String())
	}
	return &addresses, nil
}

// IDs returns the ids of all daemons.
func (c *Cluster) IDs() []string { return c.order }

// Config returns the settings of a daemon.
func (c *Cluster) Config(id string) *config.Daemon { return c.configs[id] }

// Daemon returns a running daemon, nil for one that is down.
func (c *Cluster) Daemon(id string) *daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[id]
}

// StartDaemon starts a daemon that is down.
func (c *Cluster) StartDaemon(id string) error {
	d, err := daemon.Start(c.configs[id], daemon.Options{
		Logger: c.logger.Named(id), Dial: c.Partition.Dialer(id), ElectionTimeout: c.electionTimeout,
	})
	if err != nil {
		return fmt.Errorf("start daemon %s: %w", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[id] = d
	return nil
}

// KillDaemon ends a daemon at once.
func (c *Cluster) KillDaemon(id string) error {
	c.mu.Lock()
	d := c.daemons[id]
	delete(c.daemons, id)
	c.mu.Unlock()
	if d == nil {
		return nil
	}
	return d.Close()
}

// StopDaemon stops a daemon in the planned way.
func (c *Cluster) StopDaemon(ctx context.Context, id string) error {
	d := c.Daemon(id)
	err := d.Shutdown(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.daemons, id)
	return err
}

// CutDomain separates a failure domain, its upstreams included, from all
// others. An empty name heals the cut.
func (c *Cluster) CutDomain(name string) {
	if name == "" {
		c.Partition.Cut(nil)
		return
	}
	c.Partition.Cut(func(from, to string) bool {
		return (c.domainOf(from) == name) != (c.domainOf(to) == name)
	})
}

func (c *Cluster) domainOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.domains[id]
}

// entries returns the upstream addresses of the entries, those of the failure
// domain first, as the platform's balancer would.
func (c *Cluster) entries(domain string) []string {
	var near, far []string
	for _, id := range c.order {
		address := c.configs[id].Listen.Upstream
		if c.configs[id].FailureDomain == domain {
			near = append(near, address)
		} else {
			far = append(far, address)
		}
	}
	return append(near, far...)
}

// AddEngine starts an engine in a failure domain.
func (c *Cluster) AddEngine(cfg fake.EngineConfig) (*fake.Engine, error) {
	c.place(&cfg.Upstream)
	e, err := fake.StartEngine(cfg)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
	c.Partition.Register(e.Announcement().Address, cfg.ID)
	return e, nil
}

// AddPlain starts a plain service in a failure domain.
func (c *Cluster) AddPlain(cfg fake.PlainConfig) (*fake.Plain, error) {
	c.place(&cfg.Upstream)
	p, err := fake.StartPlain(cfg)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plains = append(c.plains, p)
	c.Partition.Register(p.Announcement().Address, cfg.ID)
	return p, nil
}

// place connects an upstream to the entries, through the partition.
func (c *Cluster) place(u *fake.Upstream) {
	c.mu.Lock()
	c.domains[u.ID] = u.FailureDomain
	c.mu.Unlock()
	id := u.ID
	u.Entries = c.entries(u.FailureDomain)
	u.Reachable = func(address string) bool { return c.Partition.Reachable(id, address) }
	u.Features = membership.Features{
		Fencing: u.Features.Fencing, Priorities: u.Features.Priorities, Resume: true, Cancel: true, Echo: true,
	}
}

// CallerURL returns the address at which a daemon serves callers.
func (c *Cluster) CallerURL(id string) string { return "http://" + c.configs[id].Listen.Caller }

// WaitFor polls a condition until it holds, or returns an error.
func WaitFor(timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("%s did not happen within %s", what, timeout)
		}
		time.Sleep(pollPause)
	}
	return nil
}

// WaitReady waits until every running daemon lets callers in.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	return WaitFor(timeout, "readiness of all daemons", func() bool {
		for _, id := range c.order {
			if d := c.Daemon(id); d != nil && !d.Ready() {
				return false
			}
		}
		return true
	})
}

// Close ends all processes of the cluster.
func (c *Cluster) Close() error {
	c.mu.Lock()
	engines, plains := c.engines, c.plains
	c.mu.Unlock()
	for _, e := range engines {
		e.Close()
	}
	for _, p := range plains {
		p.Close()
	}
	var all sync.WaitGroup
	errs := make([]error, len(c.order))
	for i, id := range c.order {
		all.Go(func() { errs[i] = c.KillDaemon(id) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// Propose makes a settings change through a daemon.
func (c *Cluster) Propose(ctx context.Context, id string, change settings.Change) (settings.Result, error) {
	change.At = time.Now()
	return c.Daemon(id).Propose(ctx, change)
}
