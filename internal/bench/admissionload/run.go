// Package admissionload measures admission under overload in a discrete-event
// simulation. Entries use the admission controller, the share node and the
// router of a daemon. Arrivals, engines, network and time are modelled. Engines
// batch a limited number of requests and report their load with a delay. Each
// batched request runs at full speed, so that free requests slow paying ones
// only by occupying slots.
package admissionload

import (
	"math"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// Policy selects how entries dispatch requests.
type Policy string

// Policies. All except Admission are baselines, which dispatch every request
// immediately, regardless of its class, to engines that serve in order of
// arrival.
const (
	Admission        Policy = "admission"
	Random           Policy = "random"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
)

// Options configures a run. Zero fields take default values.
type Options struct {
	Seed int64 `json:"seed"`
	// Load is the offered load as a multiple of the capacity of the engines.
	Load         float64       `json:"load"`
	FreeFraction float64       `json:"freeFraction"`
	Warmup       time.Duration `json:"warmup"`
	Duration     time.Duration `json:"duration"`
	Entries      int           `json:"entries"`
	Engines      int           `json:"engines"`
	Slots        int           `json:"slots"`
	Accounts     int           `json:"accounts"` // per class
	ReportPeriod time.Duration `json:"reportPeriod"`
	ReportLag    time.Duration `json:"reportLag"`
	SharePeriod  time.Duration `json:"sharePeriod"`
	Latency      time.Duration `json:"latency"`
	Timeout      time.Duration `json:"timeout"`
	// ResumePenalty is the time to recompute lost state when a preempted
	// request resumes.
	ResumePenalty time.Duration `json:"resumePenalty"`
	// IgnorePriorities makes engines serve in order of arrival.
	IgnorePriorities bool    `json:"ignorePriorities"`
	Backlog          float64 `json:"backlog"`
	BacklogInOrder   float64 `json:"backlogInOrder"`
	PayingReserve    float64 `json:"payingReserve"`
	// SkipBaselines omits the runs of the baselines.
	SkipBaselines bool `json:"skipBaselines"`
}

// Request lengths. The mean follows from 2 million tokens/s and 8,400 requests/s
// in the planned deployment, which generates a token every 25 ms.
const (
	meanTokens = 238
	tokenTime  = 25 * time.Millisecond
	minTokens  = 8
	maxTokens  = 1600
)

func (o Options) withDefaults() Options {
	setDefault(&o.Seed, 1)
	setDefault(&o.Load, 1)
	setDefault(&o.FreeFraction, 0.9)
	setDefault(&o.Warmup, 30*time.Second)
	setDefault(&o.Duration, 120*time.Second)
	setDefault(&o.Entries, 7)
	setDefault(&o.Engines, 65)
	setDefault(&o.Slots, 16)
	setDefault(&o.Accounts, 5)
	setDefault(&o.ReportPeriod, time.Second)
	setDefault(&o.ReportLag, time.Second)
	setDefault(&o.SharePeriod, share.DefaultPeriod)
	setDefault(&o.Latency, time.Millisecond)
	setDefault(&o.Timeout, 60*time.Second)
	setDefault(&o.ResumePenalty, 200*time.Millisecond)
	return o
}

func setDefault[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// ClassResult summarizes the requests of one class that arrived in the
// measurement window.
type ClassResult struct {
	Offered int `json:"offered"`
	// Good counts the requests answered completely before the deadline of the
	// caller.
	Good    int           `json:"good"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	WaitP99 time.Duration `json:"waitP99"` // until the first start on an engine
	// SlotSeconds is the slot time used in the window.
	SlotSeconds float64 `json:"slotSeconds"`
	// OfferedSeconds is the slot time that the offered requests need.
	OfferedSeconds float64 `json:"offeredSeconds"`
}

// RunResult holds the results of one policy at one load.
type RunResult struct {
	Policy   Policy      `json:"policy"`
	Paying   ClassResult `json:"paying"`
	Free     ClassResult `json:"free"`
	Capacity float64     `json:"capacitySlotSeconds"`
	// IdleWhileWaiting is the fraction of the capacity that was idle while at
	// least as many requests waited. IdleEntryWaits and IdleEngineWaits consider
	// only requests that wait in entries or in engines.
	IdleWhileWaiting float64 `json:"idleWhileWaiting"`
	IdleEntryWaits   float64 `json:"idleEntryWaits"`
	IdleEngineWaits  float64 `json:"idleEngineWaits"`
	// WastedSeconds is the slot time of requests whose callers timed out, and
	// of recomputation after preemption.
	WastedSeconds float64 `json:"wastedSeconds"`
	Evictions     int     `json:"evictions"`
	// Refused counts admitted requests for which the router found no engine.
	Refused int `json:"refused"`
}

// Result compares admission with free traffic to the same run without free
// traffic and to the baselines.
type Result struct {
	Options     Options     `json:"options"`
	WithoutFree RunResult   `json:"withoutFree"`
	Admission   RunResult   `json:"admission"`
	Baselines   []RunResult `json:"baselines,omitempty"`
	// GoodputRatio and P99Ratio compare paying traffic with free traffic to
	// paying traffic alone.
	GoodputRatio float64 `json:"goodputRatio"`
	P99Ratio     float64 `json:"p99Ratio"`
	// RemainingUsed is the slot time of free traffic as a fraction of the
	// capacity left by paying traffic, or of the offered free traffic if that is
	// less.
	RemainingUsed float64 `json:"remainingUsed"`
}

// Run measures one load. The result is deterministic for the options.
func Run(opts Options) Result {
	opts = opts.withDefaults()
	r := Result{Options: opts, WithoutFree: simulate(opts, Admission, false), Admission: simulate(opts, Admission, true)}
	r.GoodputRatio = ratio(r.Admission.Paying.Good, r.WithoutFree.Paying.Good)
	r.P99Ratio = ratio(r.Admission.Paying.P99, r.WithoutFree.Paying.P99)
	r.RemainingUsed = r.Admission.remainingUsed()
	if !opts.SkipBaselines {
		for _, p := range []Policy{Random, RoundRobin, LeastOutstanding} {
			r.Baselines = append(r.Baselines, simulate(opts, p, true))
		}
	}
	return r
}

// meanWork returns the mean run time of requests. Their lengths are exponentially
// distributed and clamped to minTokens and maxTokens.
func meanWork() time.Duration {
	tokens := minTokens + meanTokens*(math.Exp(-minTokens/float64(meanTokens))-math.Exp(-maxTokens/float64(meanTokens)))
	return time.Duration(tokens * float64(tokenTime))
}

func ratio[T int | time.Duration](a, b T) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func (r RunResult) remainingUsed() float64 {
	return r.Free.SlotSeconds / math.Min(r.Capacity-r.Paying.SlotSeconds, r.Free.OfferedSeconds)
}

// metrics collects the measurements of a run.
type metrics struct {
	integratedTo                                      time.Duration
	jobsByState                                       [ended + 1]int
	slotSeconds                                       [2]float64
	idleWhileWaiting, idleEntryWaits, idleEngineWaits float64
	wastedSeconds                                     float64
	evictions, refused                                int
	classes                                           [2]ClassResult
	latency, wait                                     [2]*hdrhistogram.Histogram
}

func (m *metrics) recordOffered(s *simulation, j *job) {
	if s.now >= s.options.Warmup && s.now < s.windowEnd() {
		m.classes[classIndex(j.free)].Offered++
		m.classes[classIndex(j.free)].OfferedSeconds += j.work.Seconds()
	}
}

func (m *metrics) recordCompleted(s *simulation, j *job) {
	m.evictions += j.evictions
	m.wastedSeconds += (j.slotTime - min(j.slotTime, j.work)).Seconds()
	if j.arrival < s.options.Warmup || j.arrival >= s.windowEnd() {
		return
	}
	k := classIndex(j.free)
	m.classes[k].Good++
	// RecordValue fails only for values outside the range of the histogram,
	// which covers the timeout.
	_ = m.latency[k].RecordValue((s.now - j.arrival).Microseconds())
	_ = m.wait[k].RecordValue((j.firstStart - j.arrival).Microseconds())
}

// simulate runs one policy. The paying requests are the same for every policy,
// with and without free traffic.
func simulate(opts Options, policy Policy, withFree bool) RunResult {
	s := &simulation{options: opts, policy: policy, priorities: policy == Admission && !opts.IgnorePriorities}
	for k := range s.metrics.latency {
		s.metrics.latency[k] = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
		s.metrics.wait[k] = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
	}
	for i := range opts.Engines {
		s.engines = append(s.engines, &engine{simulation: s, index: i})
	}
	for i := range opts.Entries {
		s.entries = append(s.entries, newEntry(s, i))
	}
	s.scheduleReports()
	capacity := float64(opts.Slots*opts.Engines) / meanWork().Seconds()
	s.scheduleArrivals(false, capacity*opts.Load*(1-opts.FreeFraction))
	if withFree {
		s.scheduleArrivals(true, capacity*opts.Load*opts.FreeFraction)
	}
	// Continue until every request that arrived in the window has ended.
	s.run(s.windowEnd() + opts.Timeout)
	return s.result()
}

func (s *simulation) scheduleReports() {
	for i, e := range s.engines {
		offset := time.Duration(i) * s.options.ReportPeriod / time.Duration(len(s.engines))
		s.every(offset, s.options.ReportPeriod, func() {
			sampled, load := s.now, e.load()
			s.after(s.options.ReportLag, func() {
				for _, entry := range s.entries {
					entry.updateLoad(i, sampled, load)
				}
			})
		})
	}
	if s.policy != Admission {
		return
	}
	// A daemon with few upstreams publishes its routing table at the same
	// interval, but ticks admission every 100 ms.
	const tickInterval, publishInterval = 20 * time.Millisecond, 100 * time.Millisecond
	for i, e := range s.entries {
		offset := time.Duration(i) * tickInterval / time.Duration(len(s.entries))
		s.every(offset, tickInterval, e.tick)
		s.every(publishInterval*time.Duration(i)/time.Duration(len(s.entries)), publishInterval, e.publish)
	}
}

// scheduleArrivals generates Poisson arrivals of one class until the end of the
// simulation, so that the load does not drop while requests from the window are
// still running.
func (s *simulation) scheduleArrivals(free bool, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewSource(s.options.Seed*10 + int64(classIndex(free))))
	gap := func() time.Duration { return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) }
	var arrive func()
	arrive = func() {
		tokens := math.Min(maxTokens, math.Max(minTokens, math.Round(rng.ExpFloat64()*meanTokens)))
		s.submit(&job{free: free, entry: s.entries[rng.Intn(len(s.entries))], account: rng.Intn(s.options.Accounts), arrival: s.now, deadline: s.now + s.options.Timeout, work: time.Duration(tokens) * tokenTime})
		s.after(gap(), arrive)
	}
	s.after(gap(), arrive)
}

func (s *simulation) result() RunResult {
	for _, e := range s.engines {
		for _, j := range e.running {
			// Add the part of unfinished runs that lies within the window.
			s.addSlotTime(j, s.now-j.runStart)
		}
	}
	capacity := float64(s.options.Slots*s.options.Engines) * s.options.Duration.Seconds()
	r := RunResult{
		Policy: s.policy, Capacity: capacity,
		IdleWhileWaiting: s.metrics.idleWhileWaiting / capacity,
		IdleEntryWaits:   s.metrics.idleEntryWaits / capacity,
		IdleEngineWaits:  s.metrics.idleEngineWaits / capacity,
		WastedSeconds:    s.metrics.wastedSeconds, Evictions: s.metrics.evictions, Refused: s.metrics.refused,
	}
	for k, c := range s.metrics.classes {
		c.SlotSeconds = s.metrics.slotSeconds[k]
		c.P50 = time.Duration(s.metrics.latency[k].ValueAtQuantile(50)) * time.Microsecond
		c.P99 = time.Duration(s.metrics.latency[k].ValueAtQuantile(99)) * time.Microsecond
		c.WaitP99 = time.Duration(s.metrics.wait[k].ValueAtQuantile(99)) * time.Microsecond
		if k == 0 {
			r.Paying = c
		} else {
			r.Free = c
		}
	}
	return r
}
