// Package cluster runs several daemons and fake upstreams in one process on
// loopback addresses and simulates network partitions between them. The demo, the
// tests with several daemons and the benchmarks use it.
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
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/daemon"
	"github.com/bluebellfield/bluebellfield/internal/fake"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	pollInterval   = 5 * time.Millisecond
	drainTimeout   = 30 * time.Second
	balancerWaitMS = 100
	// listenersPerDaemon is the number of addresses in config.Listen.
	listenersPerDaemon = 5
)

// OperatorToken is the bearer token of the operator of every cluster.
const OperatorToken = "operator"

// KeyHash returns the SHA-256 digest of a key or token in hexadecimal, as settings
// contain it.
func KeyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Layout describes the daemons of a cluster and their settings.
type Layout struct {
	Domains []Domain
	// Settings is the settings tree, as JSON with comments.
	Settings string
	Logger   *zap.Logger
	// ElectionTimeout is the election timeout of the logs; zero selects the
	// default.
	ElectionTimeout time.Duration
}

// Domain is a failure domain of a layout.
type Domain struct {
	Name    string
	Region  string
	Daemons int
	// Voters is the number of daemons with a disk, which can be voters of logs.
	// They come first.
	Voters int
}

// DefaultLayout returns the layout of an existing deployment: seven entry
// instances in three failure domains, all with disks.
func DefaultLayout(settings string) Layout {
	return Layout{Domains: []Domain{
		{Name: "a", Region: "r", Daemons: 3, Voters: 3},
		{Name: "b", Region: "r", Daemons: 2, Voters: 2},
		{Name: "c", Region: "r", Daemons: 2, Voters: 2},
	}, Settings: settings}
}

// Cluster is a set of daemons and fake upstreams.
type Cluster struct {
	Network         *fake.Network
	folder          string
	logger          *zap.Logger
	configs         map[string]*config.Daemon
	ids             []string
	electionTimeout time.Duration

	mu            sync.Mutex
	daemons       map[string]*daemon.Daemon
	engines       []*fake.Engine
	plainServices []*fake.PlainService
	// failureDomains maps the id of a daemon or upstream to its failure domain.
	failureDomains map[string]string
}

// Start starts the daemons of a layout. Their data is stored in folder.
func Start(folder string, layout Layout) (*Cluster, error) {
	c := &Cluster{
		Network: fake.NewNetwork(), folder: folder, logger: layout.Logger, electionTimeout: layout.ElectionTimeout, configs: map[string]*config.Daemon{},
		daemons: map[string]*daemon.Daemon{}, failureDomains: map[string]string{},
	}
	if c.logger == nil {
		c.logger = zap.NewNop()
	}
	if err := c.configure(layout); err != nil {
		return nil, err
	}
	for _, id := range c.ids {
		if err := c.StartDaemon(id); err != nil {
			return nil, errors.Join(err, c.Close())
		}
	}
	return c, nil
}

// configure writes the settings tree to a file and creates the configuration of
// each daemon.
func (c *Cluster) configure(layout Layout) error {
	bootstrap := filepath.Join(c.folder, "settings.jsonc")
	if err := os.WriteFile(bootstrap, []byte(layout.Settings), 0o600); err != nil {
		return err
	}
	addresses, err := freeAddresses(layout)
	if err != nil {
		return err
	}
	logs := assignVoters(layout)
	var peers []config.Peer
	for _, d := range layout.Domains {
		for i := range d.Daemons {
			cfg := c.daemonConfig(d, i, addresses, bootstrap)
			cfg.Logs = logs
			c.configs[cfg.ID] = cfg
			c.ids = append(c.ids, cfg.ID)
			c.failureDomains[cfg.ID] = d.Name
			peers = append(peers, config.Peer{
				ID: cfg.ID, FailureDomain: d.Name, Region: d.Region, Address: cfg.Listen.Peer, UpstreamAddress: cfg.Listen.Upstream, Roles: cfg.Roles,
			})
			for _, a := range []string{cfg.Listen.Peer, cfg.Listen.Upstream, cfg.Listen.Caller} {
				c.Network.Register(a, cfg.ID)
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
		Drain:     config.Drain{BalancerWaitMS: balancerWaitMS, TimeoutMS: int(drainTimeout / time.Millisecond)},
		LogLevel:  "info",
	}
	if i < d.Voters {
		cfg.Roles = append(cfg.Roles, config.RoleControl)
		cfg.DataFolder = filepath.Join(c.folder, id)
		cfg.BootstrapSettings = bootstrap
	}
	return cfg
}

// assignVoters returns the voters of each log. The log of a failure domain has up
// to three voters from that domain; if there are only two, one from the next
// domain is added. The global log has one voter from each failure domain; with
// three domains it also gets second ones, up to five voters in total.
func assignVoters(layout Layout) config.Logs {
	logs := config.Logs{Domains: map[string][]string{}}
	for i, d := range layout.Domains {
		var voters []string
		for n := range min(d.Voters, 3) {
			voters = append(voters, fmt.Sprintf("%s%d", d.Name, n+1))
		}
		if len(voters) == 2 && len(layout.Domains) > 1 {
			next := layout.Domains[(i+1)%len(layout.Domains)]
			voters = append(voters, fmt.Sprintf("%s%d", next.Name, next.Voters))
		}
		logs.Domains[d.Name] = voters
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

// freeAddresses returns a free address for each listener of each daemon. It keeps
// all of them open until it returns, so that no address is assigned twice.
func freeAddresses(layout Layout) (*[]string, error) {
	count := 0
	for _, d := range layout.Domains {
		count += listenersPerDaemon * d.Daemons
	}
	host := fake.LoopbackIP()
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

// IDs returns the ids of all daemons in the order of the layout.
func (c *Cluster) IDs() []string { return c.ids }

// Config returns the configuration of a daemon.
func (c *Cluster) Config(id string) *config.Daemon { return c.configs[id] }

// Daemon returns a running daemon, or nil if it is down.
func (c *Cluster) Daemon(id string) *daemon.Daemon {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.daemons[id]
}

// StartDaemon starts a daemon that is down.
func (c *Cluster) StartDaemon(id string) error {
	d, err := daemon.Start(c.configs[id], daemon.Options{
		Logger: c.logger.Named(id), Dial: c.Network.Dialer(id), ElectionTimeout: c.electionTimeout,
	})
	if err != nil {
		return fmt.Errorf("start daemon %s: %w", id, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.daemons[id] = d
	return nil
}

// KillDaemon stops a daemon immediately, without draining. It has no effect on one
// that is down.
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

// ShutdownDaemon shuts down a running daemon gracefully.
func (c *Cluster) ShutdownDaemon(ctx context.Context, id string) error {
	d := c.Daemon(id)
	err := d.Shutdown(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.daemons, id)
	return err
}

// PartitionDomain partitions a failure domain, including its upstreams, from all
// others. An empty name ends the partition.
func (c *Cluster) PartitionDomain(name string) {
	if name == "" {
		c.Network.Partition(nil)
		return
	}
	c.Network.Partition(func(from, to string) bool {
		return (c.failureDomainOf(from) == name) != (c.failureDomainOf(to) == name)
	})
}

func (c *Cluster) failureDomainOf(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failureDomains[id]
}

// entryAddresses returns the upstream addresses of the entries. Those in the
// failure domain come first, as with the platform's load balancer.
func (c *Cluster) entryAddresses(domain string) []string {
	var local, remote []string
	for _, id := range c.ids {
		address := c.configs[id].Listen.Upstream
		if c.configs[id].FailureDomain == domain {
			local = append(local, address)
		} else {
			remote = append(remote, address)
		}
	}
	return append(local, remote...)
}

// AddEngine starts a fake engine that announces itself to the entries.
func (c *Cluster) AddEngine(cfg fake.EngineConfig) (*fake.Engine, error) {
	c.connectUpstream(&cfg.Upstream)
	e, err := fake.StartEngine(cfg)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.engines = append(c.engines, e)
	c.Network.Register(e.Announcement().Address, cfg.ID)
	return e, nil
}

// AddPlainService starts a fake plain service that announces itself to the entries.
func (c *Cluster) AddPlainService(cfg fake.PlainServiceConfig) (*fake.PlainService, error) {
	c.connectUpstream(&cfg.Upstream)
	p, err := fake.StartPlainService(cfg)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plainServices = append(c.plainServices, p)
	c.Network.Register(p.Announcement().Address, cfg.ID)
	return p, nil
}

// connectUpstream sets the entries and features of an upstream and subjects its
// connections to the cluster's partitions.
func (c *Cluster) connectUpstream(u *fake.Upstream) {
	c.mu.Lock()
	c.failureDomains[u.ID] = u.FailureDomain
	c.mu.Unlock()
	id := u.ID
	u.Entries = c.entryAddresses(u.FailureDomain)
	u.Reachable = func(address string) bool { return c.Network.Reachable(id, address) }
	u.Features = membership.Features{
		Fencing: u.Features.Fencing, Priorities: u.Features.Priorities, Resume: true, Cancel: true, Echo: true,
	}
}

// CallerURL returns the URL at which a daemon serves callers.
func (c *Cluster) CallerURL(id string) string { return "http://" + c.configs[id].Listen.Caller }

// WaitFor polls a condition until it holds. It returns an error that
// names what it waited for if the timeout passes first.
func WaitFor(timeout time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(timeout)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %s waiting for %s", timeout, what)
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// WaitReady waits until every running daemon is ready to serve callers.
func (c *Cluster) WaitReady(timeout time.Duration) error {
	return WaitFor(timeout, "readiness of all daemons", func() bool {
		for _, id := range c.ids {
			if d := c.Daemon(id); d != nil && !d.Ready() {
				return false
			}
		}
		return true
	})
}

// Close kills all upstreams and daemons of the cluster.
func (c *Cluster) Close() error {
	c.mu.Lock()
	engines, plainServices := c.engines, c.plainServices
	c.mu.Unlock()
	for _, e := range engines {
		e.Close()
	}
	for _, p := range plainServices {
		p.Close()
	}
	var stopping sync.WaitGroup
	errs := make([]error, len(c.ids))
	for i, id := range c.ids {
		stopping.Go(func() { errs[i] = c.KillDaemon(id) })
	}
	stopping.Wait()
	return errors.Join(errs...)
}

// Propose proposes a settings change, dated now, through a daemon.
func (c *Cluster) Propose(ctx context.Context, id string, change settings.Change) (settings.Result, error) {
	change.At = time.Now()
	return c.Daemon(id).Propose(ctx, change)
}
