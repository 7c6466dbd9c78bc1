// Package outlier implements outlier detection. It ejects upstreams that are
// slow compared with their peers, that return after a pause, or that fail
// requests while their health checks succeed. Ejected upstreams are readmitted
// with a traffic share that increases in steps.
//
// Callers pass the current time; the package starts no goroutines. A Detector
// is safe for concurrent use.
package outlier

import (
	"cmp"
	"sync"
	"time"
)

// Result classifies the result of a request at an upstream.
type Result uint8

// Results of a request.
const (
	// Success is an answer; its latency is recorded.
	Success Result = iota
	// Failure is an error caused by the upstream.
	Failure
	// Timeout means that no first byte arrived in time.
	Timeout
	// Reset is a broken connection; it triggers ejection immediately.
	Reset
	// Stall is a stream that was idle for longer than the caller's limit; it
	// triggers ejection immediately.
	Stall
)

// Cause states why an upstream was ejected.
type Cause string

// Causes of ejection.
const (
	CauseSlow     Cause = "slow"
	CauseFailures Cause = "failures"
	CauseTimeouts Cause = "timeouts"
	CauseReset    Cause = "reset"
	CausePause    Cause = "pause"
)

// FullShare is the traffic share, in permille, of an upstream that is neither
// ejected nor being readmitted.
const FullShare = 1000

// readmissionShares are the traffic shares, in permille, of the readmission
// steps. An ejected upstream is at step 0; the last step ends readmission.
var readmissionShares = [...]int{0, 100, 250, 500, FullShare}

const lastStep = len(readmissionShares) - 1

// Config configures a Detector. Zero fields take their values from
// DefaultConfig.
type Config struct {
	// MaxEjected is the maximum fraction of a service's upstreams that may be
	// ejected at once. A service with at least two upstreams may always eject
	// one.
	MaxEjected float64
	// Failures and Timeouts are the numbers of consecutive failures and
	// timeouts that trigger ejection.
	Failures, Timeouts int
	// ReadmissionFailures is the number of consecutive failures or timeouts that
	// triggers ejection during readmission.
	ReadmissionFailures int
	// Ejection is the duration of the first ejection. It doubles with each
	// further ejection, up to MaxEjection.
	Ejection, MaxEjection time.Duration
	// EjectionResetAfter is the time at full share after which the ejection
	// count is reset.
	EjectionResetAfter time.Duration
	// Step is the duration of a readmission step.
	Step time.Duration
	// PauseGap is the minimum time between two heartbeats that counts as a
	// pause of the upstream.
	PauseGap time.Duration
	// Window is the maximum age of the latency samples that are compared.
	Window time.Duration
	// Latencies are compared between upstreams that have at least MinSamples
	// samples, in services that have at least MinPeers such upstreams.
	MinSamples, MinPeers int
	// An upstream is slow if its median latency exceeds the median of all
	// upstreams' medians by the factor SlowFactor, by SlowDeviations times their
	// median absolute deviation, and by SlowMargin.
	SlowFactor, SlowDeviations float64
	SlowMargin                 time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		MaxEjected: 0.3, Failures: 5, Timeouts: 3, ReadmissionFailures: 2,
		Ejection: 5 * time.Second, MaxEjection: time.Minute, EjectionResetAfter: 5 * time.Minute, Step: 5 * time.Second,
		PauseGap: 2500 * time.Millisecond, Window: 30 * time.Second, MinSamples: 8, MinPeers: 3,
		SlowFactor: 2, SlowDeviations: 5, SlowMargin: 50 * time.Millisecond,
	}
}

// MaxReadmissionTime returns the longest time from the end of an upstream's
// faults until it has its full share again, if it sends heartbeats and Tick is
// called at least once per tick interval. It covers the time until the last
// slow sample leaves the window, one ejection and three steps: 109 s with the
// defaults and a tick of 1 s.
func (c Config) MaxReadmissionTime(tick time.Duration) time.Duration {
	c = c.withDefaults()
	return c.Window + c.MaxEjection + 3*c.Step + 4*tick
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.MaxEjected = cmp.Or(c.MaxEjected, d.MaxEjected)
	c.Failures = cmp.Or(c.Failures, d.Failures)
	c.Timeouts = cmp.Or(c.Timeouts, d.Timeouts)
	c.ReadmissionFailures = cmp.Or(c.ReadmissionFailures, d.ReadmissionFailures)
	c.Ejection = cmp.Or(c.Ejection, d.Ejection)
	c.MaxEjection = cmp.Or(c.MaxEjection, d.MaxEjection)
	c.EjectionResetAfter = cmp.Or(c.EjectionResetAfter, d.EjectionResetAfter)
	c.Step = cmp.Or(c.Step, d.Step)
	c.PauseGap = cmp.Or(c.PauseGap, d.PauseGap)
	c.Window = cmp.Or(c.Window, d.Window)
	c.MinSamples = cmp.Or(c.MinSamples, d.MinSamples)
	c.MinPeers = cmp.Or(c.MinPeers, d.MinPeers)
	c.SlowFactor = cmp.Or(c.SlowFactor, d.SlowFactor)
	c.SlowDeviations = cmp.Or(c.SlowDeviations, d.SlowDeviations)
	c.SlowMargin = cmp.Or(c.SlowMargin, d.SlowMargin)
	return c
}

// Change is a new traffic share of an upstream.
type Change struct {
	Service, Upstream string
	// Share is in permille; 0 means ejected.
	Share int
	// Cause is set if the upstream was ejected.
	Cause Cause
}

// maxSamples is the number of recent latencies kept for each upstream.
const maxSamples = 32

type sample struct {
	observedAt time.Time
	latency    time.Duration
}

// upstreamState is the detection state of one upstream of a service.
type upstreamState struct {
	id                 string
	failures, timeouts int // consecutive
	pendingCause       Cause
	step               int
	stepStartedAt      time.Time
	ejectedUntil       time.Time
	ejections          int
	cause              Cause
	lastHeartbeat      time.Time
	recentLatencies    [maxSamples]sample
	sampleCount        int
}

type serviceState struct {
	name      string
	upstreams []*upstreamState // by id
}

// Detector tracks the upstreams of services and decides on their ejection.
type Detector struct {
	cfg      Config
	mu       sync.Mutex
	services []*serviceState // by name
}
