// Package routingload is the routing experiment: entries route a workload with
// shared prompt prefixes to engines with continuous batching and limited prefix
// caches, under lagging load reports and late, lossy cache events. It compares
// the router with baselines, counts the upstreams lost to crash-causing
// requests with and without quarantine, and the retries added in an outage with
// and without budgets. The simulation is deterministic for a seed.
package routingload

import (
	"cmp"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options sets up a run. Zero fields get the defaults of DefaultOptions.
type Options struct {
	Seed    uint64
	Entries int
	Engines int
	Domains int
	// RequestsPerEngine is the mean rate of requests per second for each
	// engine.
	RequestsPerEngine float64
	// Warmup precedes the measured Duration.
	Warmup, Duration time.Duration
	// ReportLag is the time from a load report, sent each second, to its
	// arrival at the entries.
	ReportLag time.Duration
	// EventLoss is the share of cache event batches lost on the way to each
	// entry, EventDelay their longest delay.
	EventLoss  float64
	EventDelay time.Duration
	// Policies names the policies to run; all by default.
	Policies []string
	// Progress, if set, is told about each part that begins.
	Progress func(part string) `json:"-"`
}

// DefaultOptions returns today's size and the rate of the planned peak for each
// engine.
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

// Result holds the figures of a run.
type Result struct {
	Options  Options        `json:"options"`
	Policies []PolicyResult `json:"policies"`
	Crashes  []CrashResult  `json:"crashes"`
	Outages  []OutageResult `json:"outages"`
}

// PolicyResult holds the figures of one policy.
type PolicyResult struct {
	Policy   string `json:"policy"`
	Requests int    `json:"requests"`
	// Refused counts requests for which the policy found no upstream.
	Refused int `json:"refused"`
	// HitRate is the share of prompt blocks that were cached.
	HitRate float64 `json:"hitRate"`
	// FirstToken is the time from arrival to the first token.
	FirstToken Quantiles `json:"firstTokenMillis"`
	// Balance is the highest load of an engine over the mean load, sampled
	// every 100 ms.
	Balance Ratios `json:"maxOverMeanLoad"`
	// Herd is the highest number of requests that one engine received in
	// 100 ms over the mean number.
	Herd Ratios `json:"maxOverMeanArrivals"`
}

// Quantiles of times in milliseconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Ratios are quantiles of a ratio over time.
type Ratios struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P99  float64 `json:"p99"`
}

// usualDelay is the longest delay of messages between entries without a fault.
const usualDelay = 10 * time.Millisecond

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
		runCrashes(o, true, usualDelay), runCrashes(o, true, o.EventDelay))
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

// newHistogram covers 1 to 600,000,000 with three digits: microseconds up to
// 10 min, or thousandths of a ratio.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 600_000_000, 3) }

func record(h *hdrhistogram.Histogram, value float64) {
	_ = h.RecordValue(min(max(int64(value), 1), 600_000_000))
}

func millis(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

func ratios(h *hdrhistogram.Histogram) Ratios {
	return Ratios{
		Mean: h.Mean() / 1000, P50: float64(h.ValueAtQuantile(50)) / 1000, P99: float64(h.ValueAtQuantile(99)) / 1000,
	}
}
