package membership

import "time"

// Config is the description of the daemon that owns a Registry, with the
// periods and bounds that it keeps. Zero values mean the defaults.
type Config struct {
	ID            string
	Address       string
	FailureDomain string
	// Incarnation grows with each start of the daemon.
	Incarnation uint64

	// Heartbeat and Lease are the periods that upstreams are told.
	Heartbeat, Lease time.Duration
	// Period is the time between two liveness batches to a daemon of the same
	// failure domain.
	Period time.Duration
	// AgeBound is the age from which information no longer allows dispatch.
	AgeBound time.Duration
	// UrgentDelay collects urgent changes that arrive close together.
	UrgentDelay time.Duration
	// PeerTimeout is the silence after which a daemon is no longer chosen as a
	// registrar.
	PeerTimeout time.Duration
	// ProbeAge is the age from which an upstream is asked directly.
	ProbeAge time.Duration
	// ForgetAfter is the age at which an upstream leaves the view.
	ForgetAfter time.Duration
	// MaxClockDrift bounds the relative rate difference of any two clocks.
	MaxClockDrift float64

	// LoadBytesPerSecond limits load reports to daemons of the failure domain.
	LoadBytesPerSecond int
	// RemoteBytesPerSecond sets the period of batches to daemons of other
	// failure domains: more daemons, longer period.
	RemoteBytesPerSecond int
	// LoadThreshold is the change of load, as a fraction of the upstream's
	// concurrency, that is worth a report.
	LoadThreshold float64
	// ProbesPerSecond limits direct questions to upstreams.
	ProbesPerSecond int
}

// Defaults. Information is 2.0 s old at most while nothing is lost (1 s
// between heartbeats and 1 s between batches), so a probe at 2.3 s leaves
// 0.7 s for its answer before the age bound.
const (
	DefaultHeartbeat   = time.Second
	DefaultLease       = 3 * time.Second
	DefaultAgeBound    = 3 * time.Second
	DefaultPeriod      = time.Second
	DefaultUrgentDelay = 50 * time.Millisecond
	DefaultPeerTimeout = 3 * time.Second
	DefaultProbeAge    = 2300 * time.Millisecond
	DefaultForgetAfter = 30 * time.Second
	DefaultClockDrift  = 0.001

	DefaultLoadBytesPerSecond   = 2500
	DefaultRemoteBytesPerSecond = 1000
	DefaultLoadThreshold        = 0.1
	// DefaultProbesPerSecond asks 420 upstreams every 1.4 s when a daemon hears
	// from no other daemon, so that it learns of a departure within 2 s.
	DefaultProbesPerSecond = 300

	// RegistrarsPerUpstream is the number of daemons that hold a lease.
	RegistrarsPerUpstream = 2
)

const (
	// followUp repeats a batch after an urgent one, so that the loss of the
	// urgent one is noticed well before the next period.
	followUp = 300 * time.Millisecond
	// resyncPause limits requests for the changes that a daemon missed.
	resyncPause = 100 * time.Millisecond
	// sweepPeriod is the time between checks of all leases and ages.
	sweepPeriod = 250 * time.Millisecond
	// farSweeps is the number of checks of which one includes the upstreams that
	// are only known through other failure domains. At the planned size these
	// are four of five, and checking them all took 38% of a registry's time.
	farSweeps = 4
	// silentPeriods is the number of periods without a batch after which the
	// upstreams that only the silent daemons report are probed.
	silentPeriods = 1.4
	// dropRetention is the time for which a dropped slot is kept for daemons
	// that have not heard of it; after that they get the full set.
	dropRetention = 2 * time.Minute
	// floorRetention is the time for which the last incarnation of a forgotten
	// upstream is remembered.
	floorRetention = 24 * time.Hour
	// loadRefresh repeats load reports that did not change, in case one was lost.
	loadRefresh = 10 * time.Second
	// probeSpacing is the time between two probes of one upstream, and
	// probeLostSpacing the same once its information is too old to dispatch.
	probeSpacing     = 500 * time.Millisecond
	probeLostSpacing = 3 * time.Second
	// remoteBatchBytes is the size of a liveness batch with its framing.
	remoteBatchBytes = 50
)

func (c Config) withDefaults() Config {
	setDuration := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	setDuration(&c.Heartbeat, DefaultHeartbeat)
	setDuration(&c.Lease, DefaultLease)
	setDuration(&c.Period, DefaultPeriod)
	setDuration(&c.AgeBound, DefaultAgeBound)
	setDuration(&c.UrgentDelay, DefaultUrgentDelay)
	setDuration(&c.PeerTimeout, DefaultPeerTimeout)
	setDuration(&c.ProbeAge, DefaultProbeAge)
	setDuration(&c.ForgetAfter, DefaultForgetAfter)
	if c.MaxClockDrift == 0 {
		c.MaxClockDrift = DefaultClockDrift
	}
	setInt := func(n *int, def int) {
		if *n == 0 {
			*n = def
		}
	}
	setInt(&c.LoadBytesPerSecond, DefaultLoadBytesPerSecond)
	setInt(&c.RemoteBytesPerSecond, DefaultRemoteBytesPerSecond)
	setInt(&c.ProbesPerSecond, DefaultProbesPerSecond)
	if c.LoadThreshold == 0 {
		c.LoadThreshold = DefaultLoadThreshold
	}
	return c
}
