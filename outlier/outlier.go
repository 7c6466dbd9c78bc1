// Package outlier decides which upstreams of a service get less than their
// full share of requests because they are slow compared with their peers,
// pause and return, or fail requests while they answer health checks. An
// ejected upstream is readmitted in steps.
//
// The package reads no clock and starts no goroutine. A Detector may be used by
// several goroutines.
package outlier

import (
	"cmp"
	"sync"
	"time"
)

// Result is what one request showed of its upstream.
type Result uint8

// Results of a request.
const (
	// Success is an answer, with its latency.
	Success Result = iota
	// Failure is an error that the upstream is to blame for.
	Failure
	// Timeout is a request without a first byte in time.
	Timeout
	// Reset is a broken connection, which ejects at once.
	Reset
	// Stall is a stream that stopped for longer than the caller's bound, which
	// ejects at once.
	Stall
)

// Cause says why an upstream was ejected.
type Cause string

// Causes of ejection.
const (
	CauseSlow     Cause = "slow"
	CauseFailures Cause = "failures"
	CauseTimeouts Cause = "timeouts"
	CauseReset    Cause = "reset"
	CausePause    Cause = "pause"
)

// FullShare is the share, in permille, of an upstream that is not ejected.
const FullShare = 1000

// steps are the shares, in permille, of readmission. An ejected upstream has
// step 0; the last step ends readmission.
var steps = [...]int{0, 100, 250, 500, FullShare}

const lastStep = len(steps) - 1

// Config holds the constants of detection. Zero fields get the defaults of
// DefaultConfig.
type Config struct {
	// MaxEjected is the fraction of a service that may be ejected at once. One
	// upstream of a service with at least two may always be.
	MaxEjected float64
	// Failures and Timeouts are the consecutive results that eject.
	Failures, Timeouts int
	// ProbeFaults is the number of consecutive failures or timeouts that
	// eject during readmission.
	ProbeFaults int
	// Ejection is the time of the first ejection. It doubles with each further
	// one, up to MaxEjection.
	Ejection, MaxEjection time.Duration
	// Forgive is the time at full share after which the count of ejections
	// starts anew.
	Forgive time.Duration
	// Step is the time between steps of readmission.
	Step time.Duration
	// PauseGap is the time between two signs of life from which on an
	// upstream counts as having paused.
	PauseGap time.Duration
	// Window is the age at which a latency sample is dropped.
	Window time.Duration
	// MinSamples and MinPeers are the samples that an upstream, and the number
	// of upstreams with that many that a service, needs for a comparison.
	MinSamples, MinPeers int
	// SlowFactor and SlowDeviations say how far the median latency of an
	// upstream must exceed the median of its peers' medians: by that factor,
	// and by that many of their median absolute deviations.
	SlowFactor, SlowDeviations float64
	// SlowMargin is the least excess that ejects.
	SlowMargin time.Duration
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		MaxEjected: 0.3, Failures: 5, Timeouts: 3, ProbeFaults: 2,
		Ejection: 5 * time.Second, MaxEjection: time.Minute, Forgive: 5 * time.Minute, Step: 5 * time.Second,
		PauseGap: 2500 * time.Millisecond, Window: 30 * time.Second, MinSamples: 8, MinPeers: 3,
		SlowFactor: 2, SlowDeviations: 5, SlowMargin: 50 * time.Millisecond,
	}
}

// ReadmittedWithin returns the longest time from the end of an upstream's
// faults until it has its full share again, if it is heard from and Tick is
// called at least once in each tick: until the last slow sample has left the
// window, then an ejection and three steps. It is 109 s with the defaults and
// a tick of 1 s.
func (c Config) ReadmittedWithin(tick time.Duration) time.Duration {
	c = c.withDefaults()
	return c.Window + c.MaxEjection + 3*c.Step + 4*tick
}

func (c Config) withDefaults() Config {
	d := DefaultConfig()
	c.MaxEjected = cmp.Or(c.MaxEjected, d.MaxEjected)
	c.Failures = cmp.Or(c.Failures, d.Failures)
	c.Timeouts = cmp.Or(c.Timeouts, d.Timeouts)
	c.ProbeFaults = cmp.Or(c.ProbeFaults, d.ProbeFaults)
	c.Ejection = cmp.Or(c.Ejection, d.Ejection)
	c.MaxEjection = cmp.Or(c.MaxEjection, d.MaxEjection)
	c.Forgive = cmp.Or(c.Forgive, d.Forgive)
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

// Change is a new share of an upstream of a service.
type Change struct {
	Service, Upstream string
	// Share is in permille; 0 is ejected.
	Share int
	// Cause is set when the upstream was ejected.
	Cause Cause
}

// samples is the number of newest latencies kept of an upstream.
const samples = 32

type sample struct {
	at      time.Time
	latency time.Duration
}

// record is the state of one upstream of a service.
type record struct {
	id                 string
	failures, timeouts int // consecutive
	pending            Cause
	step               int
	since              time.Time // start of the step
	until              time.Time // end of the ejection
	ejections          int
	cause              Cause
	heard              time.Time
	ring               [samples]sample
	taken              int
}

type service struct {
	name    string
	records []*record // by id
}

// Detector watches the upstreams of services.
type Detector struct {
	cfg      Config
	mu       sync.Mutex
	services []*service // by name
}
