// Package routingload implements the routing experiment, a simulation that is
// deterministic for a seed. Entries route requests with shared prompt prefixes
// to engines with continuous batching and limited prefix caches. Load reports
// are delayed, and cache events are delayed or lost. The experiment compares the
// router with baseline policies, counts the upstreams lost to crash-causing
// requests with and without quarantine, and measures the retries added in an
// outage with and without retry budgets.
package routingload

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options configures a run. Zero fields take the values of DefaultOptions.
type Options struct {
	Seed    uint64
	Entries int
	Engines int
	Domains int
	// RequestsPerEngine is the mean arrival rate per engine, in requests per
	// second.
	RequestsPerEngine float64
	// Warmup precedes Duration and is not measured.
	Warmup, Duration time.Duration
	// ReportLag is the delay of load reports, which engines send once a
	// second, on the way to the entries.
	ReportLag time.Duration
	// EventLoss is the fraction of cache event batches, and of messages between
	// entries, that is lost on the way to an entry. EventDelay is the maximum
	// delay of the others.
	EventLoss  float64
	EventDelay time.Duration
	// Policies holds the names of the policies to run. The default is all.
	Policies []string
	// Progress, if set, is called at the start of each part.
	Progress func(part string) `json:"-"`
}

// DefaultOptions returns the size of the current deployment with the request
// rate per engine of the planned peak.
func DefaultOptions() Options {
	return Options{
		Seed: 1, Entries: 7, Engines: 65, Domains: 3, RequestsPerEngine: 4,
		Warmup: 30 * time.Second, Duration: 60 * time.Second,
		ReportLag: time.Second, EventLoss: 0.1, EventDelay: 2 * time.Second,
		Policies: Policies(),
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.Entries = cmp.Or(o.Entries, d.Entries)
	o.Engines = cmp.Or(o.Engines, d.Engines)
	o.Domains = cmp.Or(o.Domains, d.Domains)
	o.RequestsPerEngine = cmp.Or(o.RequestsPerEngine, d.RequestsPerEngine)
	o.Warmup = cmp.Or(o.Warmup, d.Warmup)
	o.Duration = cmp.Or(o.Duration, d.Duration)
	o.ReportLag = cmp.Or(o.ReportLag, d.ReportLag)
	o.EventLoss = cmp.Or(o.EventLoss, d.EventLoss)
	o.EventDelay = cmp.Or(o.EventDelay, d.EventDelay)
	if len(o.Policies) == 0 {
		o.Policies = d.Policies
	}
	return o
}

// Result holds the results of all parts of the experiment.
type Result struct {
	Options  Options        `json:"options"`
	Policies []PolicyResult `json:"policies"`
	Crashes  []CrashResult  `json:"crashes"`
	Outages  []OutageResult `json:"outages"`
}

// PolicyResult holds the results of one policy.
type PolicyResult struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Refused counts the requests for which the policy found no upstream.
	Refused int `json:"refused"`
	// HitRate is the fraction of prompt blocks found in the prefix cache.
	HitRate float64 `json:"hitRate"`
	// FirstToken is the time from arrival to the first token.
	FirstToken Quantiles `json:"firstTokenMillis"`
	// Balance is the ratio of the highest engine load to the mean load,
	// sampled every 100 ms.
	Balance Ratios `json:"maxOverMeanLoad"`
	// Herd is the ratio of the most arrivals at one engine to the mean number
	// of arrivals, in intervals of 100 ms. It shows herding.
	Herd Ratios `json:"maxOverMeanArrivals"`
}

// Quantiles holds percentiles of a duration in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Ratios holds the mean and percentiles of a sampled ratio.
type Ratios struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
}

// normalMessageDelay is the maximum delay of messages between entries in the
// absence of network faults.
const normalMessageDelay = 10 * time.Millisecond

// Run runs all parts of the experiment.
func Run(o Options) Result {
	o = o.withDefaults()
	r := Result{Options: o}
	for _, policy := range o.Policies {
		o.progress("policy " + policy)
		r.Policies = append(r.Policies, runPolicy(o, policy))
	}
	o.progress("crash-causing requests")
	r.Crashes = append(r.Crashes, runCrashes(o, false, o.EventDelay),
		runCrashes(o, true, normalMessageDelay), runCrashes(o, true, o.EventDelay))
	for _, failing := range []float64{1. / 3, 1} {
		for _, budgeted := range []bool{false, true} {
			o.progress("outage")
			r.Outages = append(r.Outages, runOutage(o, budgeted, failing))
		}
	}
	return r
}

func (o Options) progress(part string) {
	if o.Progress != nil {
		o.Progress(part)
	}
}

// newHistogram returns a histogram from 1 to 600,000,000 with three significant
// digits. Durations are recorded in microseconds, up to 10 min, and ratios in
// thousandths.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func recordValue(h *hdrhistogram.Histogram, value float64) {
	_ = h.RecordValue(min(max(int64(value), 1), 600_000_000))
}

func quantilesMillis(h *hdrhistogram.Histogram) Quantiles {
	quantile := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: quantile(50), P95: quantile(95), P99: quantile(99), Max: float64(h.Max()) / 1000}
}

func ratioSummary(h *hdrhistogram.Histogram) Ratios {
	return Ratios{
		Mean: h.Mean() / 1000, P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000,
	}
}
