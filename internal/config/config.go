// Package config reads the daemon's settings file, which is JSON with comments,
// and validates its keys and values.
package config

import (
	"fmt"
	"net"
	"os"
	"time"
)

// Defaults and limits of the settings file.
const (
	DefaultBalancerWait = 2 * time.Second
	DefaultDrainTimeout = 10 * time.Minute
	maxVoters           = 7
)

// Role is a role of a daemon in the deployment.
type Role string

// Roles of a daemon.
const (
	RoleEntry   Role = "entry"
	RoleControl Role = "control"
)

// Daemon is the content of a daemon's settings file.
type Daemon struct {
	// ID identifies the instance. It is unique in the deployment.
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	Roles         []Role `json:"roles"`
	// DataFolder is the directory of the durable state. Empty means that the
	// instance has no disk and is never a voter.
	DataFolder string `json:"dataFolder"`
	Listen     Listen `json:"listen"`
	// Peers lists every daemon of the deployment, including this one.
	Peers []Peer `json:"peers"`
	Logs  Logs   `json:"logs"`
	// BootstrapSettings is the path of a settings tree file that is applied if
	// the global log contains no settings.
	BootstrapSettings string     `json:"bootstrapSettings"`
	Operators         []Operator `json:"operators"`
	TLS               TLS        `json:"tls"`
	Drain             Drain      `json:"drain"`
	LogLevel          string     `json:"logLevel"`
	// MemoryMB is the memory that the process may use, in megabytes; 0 means what the
	// machine or the control group has, less a reserve.
	MemoryMB float64 `json:"memoryMb"`
	// MaxDescriptors is the number of descriptors that the process may open; 0 means
	// as many as the system allows.
	MaxDescriptors int `json:"maxDescriptors"`
	// OrderToken is the bearer token sent with orders to engines that
	// authenticate them.
	OrderToken string `json:"orderToken"`
}

// Listen holds the listen address of each interface, as IP:port.
type Listen struct {
	Caller   string `json:"caller"`
	Upstream string `json:"upstream"`
	Operator string `json:"operator"`
	Platform string `json:"platform"`
	Peer     string `json:"peer"`
}

// Peer is the entry of a daemon in the list of peers.
type Peer struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failureDomain"`
	Region        string `json:"region"`
	// Address is the peer's Listen.Peer address.
	Address string `json:"address"`
	// UpstreamAddress is the peer's Listen.Upstream address. It is sent to the
	// upstreams that have the peer as a registrar.
	UpstreamAddress string `json:"upstreamAddress"`
	Roles           []Role `json:"roles"`
}

// Logs lists the initial voters of the replicated logs. The voters of an
// existing log change only through the log itself.
type Logs struct {
	Global []string `json:"global"`
	// Domains maps each failure domain to the voters of its log.
	Domains map[string][]string `json:"domains"`
}

// Operator is a person or program with access to the operator interface.
type Operator struct {
	Name string `json:"name"`
	// TokenSHA256 is the SHA-256 digest of the operator's bearer token, in hex.
	TokenSHA256 string `json:"tokenSHA256"`
	ReadOnly    bool   `json:"readOnly"`
}

// TLS holds the paths of the certificate files for the peer and operator
// interfaces. Empty means plain TCP.
type TLS struct {
	CertFile string `json:"certFile"`
	KeyFile  string `json:"keyFile"`
	CAFile   string `json:"caFile"`
}

// Drain holds the time limits of a graceful shutdown.
type Drain struct {
	// BalancerWaitMS is how long, in milliseconds, the daemon continues to
	// accept requests after its readiness check starts to fail.
	BalancerWaitMS int `json:"balancerWaitMs"`
	// TimeoutMS is how long, in milliseconds, running requests may take to
	// finish.
	TimeoutMS int `json:"timeoutMs"`
}

// Has reports whether the daemon has a role.
func (d *Daemon) Has(role Role) bool { return hasRole(d.Roles, role) }

// Has reports whether the peer has a role.
func (p *Peer) Has(role Role) bool { return hasRole(p.Roles, role) }

func hasRole(roles []Role, role Role) bool {
	for _, r := range roles {
		if r == role {
			return true
		}
	}
	return false
}

// Peer returns the peer with the given id.
func (d *Daemon) Peer(id string) (Peer, bool) {
	for _, p := range d.Peers {
		if p.ID == id {
			return p, true
		}
	}
	return Peer{}, false
}

// BalancerWait returns the time between failing the readiness check and refusing
// new requests.
func (d *Daemon) BalancerWait() time.Duration {
	return time.Duration(d.Drain.BalancerWaitMS) * time.Millisecond
}

// DrainTimeout returns the maximum time that a graceful shutdown waits for
// running requests.
func (d *Daemon) DrainTimeout() time.Duration {
	return time.Duration(d.Drain.TimeoutMS) * time.Millisecond
}

// Load reads and validates a settings file.
func Load(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("read settings file: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and validates the content of a settings file. Error messages
// use name as the file name.
func Parse(name string, data []byte) (*Daemon, error) {
	d := &Daemon{
		Drain: Drain{
			BalancerWaitMS: int(DefaultBalancerWait / time.Millisecond),
			TimeoutMS:      int(DefaultDrainTimeout / time.Millisecond),
		},
		LogLevel: "info",
	}
	doc, err := decode(name, data, d)
	if err != nil {
		return nil, err
	}
	if err := d.check(doc); err != nil {
		return nil, err
	}
	return d, nil
}

func (d *Daemon) check(doc *document) error {
	c := &checker{doc: doc}
	c.require("/id", d.ID != "", "a non-empty instance id")
	c.require("/failureDomain", d.FailureDomain != "", "a non-empty failure domain")
	c.require("/roles", len(d.Roles) > 0, `at least one of "entry", "control"`)
	for i, role := range d.Roles {
		c.require(fmt.Sprintf("/roles/%d", i), role == RoleEntry || role == RoleControl, `"entry" or "control"`)
	}
	c.require("/dataFolder", d.DataFolder != "" || !d.Has(RoleControl), `a folder, since the role "control" needs a disk`)
	c.address("/listen/platform", d.Listen.Platform, true)
	c.address("/listen/operator", d.Listen.Operator, true)
	c.address("/listen/caller", d.Listen.Caller, d.Has(RoleEntry))
	c.address("/listen/upstream", d.Listen.Upstream, d.Has(RoleEntry))
	c.address("/listen/peer", d.Listen.Peer, len(d.Peers) > 1)
	d.checkPeers(c)
	d.checkVoters(c, "/logs/global", d.Logs.Global)
	for domain, voters := range d.Logs.Domains {
		d.checkVoters(c, "/logs/domains/"+domain, voters)
	}
	for i, o := range d.Operators {
		c.require(fmt.Sprintf("/operators/%d/name", i), o.Name != "", "a non-empty name")
		c.require(fmt.Sprintf("/operators/%d/tokenSHA256", i), len(o.TokenSHA256) == 64, "64 hex digits")
	}
	files := 0
	for _, f := range []string{d.TLS.CertFile, d.TLS.KeyFile, d.TLS.CAFile} {
		if f != "" {
			files++
		}
	}
	c.require("/tls", files == 0 || files == 3, "all of certFile, keyFile and caFile, or none")
	c.require("/drain/balancerWaitMs", d.Drain.BalancerWaitMS >= 0 && d.Drain.BalancerWaitMS <= 60_000, "0 to 60000 ms")
	c.require("/drain/timeoutMs", d.Drain.TimeoutMS >= 0 && d.Drain.TimeoutMS <= 3_600_000, "0 to 3600000 ms")
	c.require("/memoryMb", d.MemoryMB >= 0, "a number of megabytes, or 0")
	c.require("/maxDescriptors", d.MaxDescriptors >= 0, "a number of descriptors, or 0")
	c.require("/logLevel", validLevel(d.LogLevel), `"debug", "info", "warn" or "error"`)
	return c.err
}

func (d *Daemon) checkPeers(c *checker) {
	seen := map[string]bool{}
	for i, p := range d.Peers {
		at := fmt.Sprintf("/peers/%d", i)
		c.require(at+"/id", p.ID != "" && !seen[p.ID], "a non-empty id that no other peer has")
		c.require(at+"/failureDomain", p.FailureDomain != "", "a non-empty failure domain")
		c.address(at+"/address", p.Address, true)
		c.address(at+"/upstreamAddress", p.UpstreamAddress, p.Has(RoleEntry))
		seen[p.ID] = true
	}
	c.require("/peers", len(d.Peers) == 0 || seen[d.ID], "a list that includes this daemon")
}

func (d *Daemon) checkVoters(c *checker, at string, voters []string) {
	c.require(at, len(voters) <= maxVoters, fmt.Sprintf("at most %d voters", maxVoters))
	for i, id := range voters {
		p, ok := d.Peer(id)
		ok = ok && p.Has(RoleControl) || len(d.Peers) == 0 && id == d.ID
		c.require(fmt.Sprintf("%s/%d", at, i), ok, `the id of a peer with the role "control"`)
	}
}

func validLevel(level string) bool {
	switch level {
	case "debug", "info", "warn", "error":
		return true
	}
	return false
}

// checker records an error for the first invalid field.
type checker struct {
	doc *document
	err error
}

func (c *checker) require(path string, ok bool, accepted string) {
	if ok || c.err != nil {
		return
	}
	c.err = c.doc.errorf(path, "accepted: %s", accepted)
}

func (c *checker) address(path, value string, needed bool) {
	if value == "" && !needed {
		return
	}
	host, port, err := net.SplitHostPort(value)
	c.require(path, err == nil && net.ParseIP(host) != nil && port != "", "IP:port")
}
