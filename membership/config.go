package membership

import "time"

// Config describes the daemon that owns a Registry and sets the registry's
// periods and limits. Zero values of periods and limits select the defaults.
type Config struct {
	ID            string
	Address       string
	FailureDomain string
	// Incarnation increases with each start of the daemon.
	Incarnation uint64

	// Heartbeat is the heartbeat period of upstreams and Lease the duration of
	// their leases.
	Heartbeat, Lease time.Duration
	// Period is the time between two batches to a daemon of the same failure
	// domain.
	Period time.Duration
	// AgeBound is the age at which a report expires and no longer allows dispatch.
	AgeBound time.Duration
	// UrgentDelay is the time for which urgent changes are collected before a
	// batch is sent.
	UrgentDelay time.Duration
	// PeerTimeout is the time without a batch after which a daemon is no longer
	// selected as a registrar.
	PeerTimeout time.Duration
	// ProbeAge is the age of the last report at which an upstream is probed.
	ProbeAge time.Duration
	// ForgetAfter is the age of the last report at which an upstream is removed
	// from the view.
	ForgetAfter time.Duration
	// MaxClockDrift is the maximum relative difference in rate between two clocks.
	MaxClockDrift float64

	// LoadBytesPerSecond limits the rate of load reports to daemons of the same
	// failure domain.
	LoadBytesPerSecond int
	// RemoteBytesPerSecond limits the rate of batches and load reports to daemons
	// of other failure domains. The period of batches grows with their number.
	RemoteBytesPerSecond int
	// LoadThreshold is the minimum change of load that is reported, as a fraction
	// of the upstream's concurrency.
	LoadThreshold float64
	// ProbesPerSecond limits the rate of probes.
	ProbesPerSecond int
}

// Defaults of Config. Without message loss a report is at most 2.0 s old (1 s
// between heartbeats and 1 s between batches). A probe at 2.3 s leaves 0.7 s for
// the response before the age bound.
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
	// DefaultProbesPerSecond allows a daemon that receives no batches to probe 420
	// upstreams every 1.4 s, so that it detects a leaving upstream within 2 s.
	DefaultProbesPerSecond = 300

	// RegistrarsPerUpstream is the number of daemons that hold a lease of the same
	// upstream.
	RegistrarsPerUpstream = 2
)

const (
	// followUpDelay is the maximum time between a batch with records and the next.
	// The receiver thus detects the loss of the first well before the next period.
	followUpDelay = 300 * time.Millisecond
	// resyncInterval is the minimum time between batches that request or resend
	// missed changes.
	resyncInterval = 100 * time.Millisecond
	// sweepPeriod is the time between checks of all leases and ages.
	sweepPeriod = 250 * time.Millisecond
	// remoteSweepInterval is the number of sweeps of which one includes the
	// upstreams that are known only through other failure domains. At the planned
	// size these are four out of five; checking them in every sweep took 38% of a
	// registry's time.
	remoteSweepInterval = 4
	// maxSilentPeriods is the number of periods without a batch from any of an
	// upstream's registrars after which the upstream is probed.
	maxSilentPeriods = 1.4
	// droppedSlotRetention is the time for which a dropped slot is kept for peers
	// that have not merged the change. Later they are sent the full set.
	droppedSlotRetention = 2 * time.Minute
	// incarnationRetention is the time for which the last incarnation of a removed
	// upstream is kept, so that reports of older incarnations are rejected.
	incarnationRetention = 24 * time.Hour
	// loadRefreshInterval is the time after which a load report is sent even if
	// the load hardly changed, because the last report may have been lost.
	loadRefreshInterval = 10 * time.Second
	// probeInterval is the minimum time between two probes of one upstream, and
	// lostProbeInterval the same for an upstream whose last report has expired.
	probeInterval     = 500 * time.Millisecond
	lostProbeInterval = 3 * time.Second
	// remoteBatchBytes is the size of a batch without records, with framing.
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
