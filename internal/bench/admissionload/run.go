// Package admissionload measures admission under overload in a discrete-event
// model: entries in front of engines that batch a limited number of requests,
// with load reports that lag. An entry decides by the controller, the shares and
// the router of a daemon; arrivals, engines, network and time are modelled. An engine runs each batched request at full
// speed, so free work slows paying work only by holding slots.
package admissionload

import (
	"math"
	"math/rand"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// Policy says how entries dispatch.
type Policy string

// Policies. All but Admission dispatch every request at once, without regard
// to class, to engines that serve in order of arrival.
const (
	Admission        Policy = "admission"
	Random           Policy = "random"
	RoundRobin       Policy = "round robin"
	LeastOutstanding Policy = "least outstanding"
)

// Options configure a run. Zero values take the defaults.
type Options struct {
	Seed int64 `json:"seed"`
	// Load is the offered work as a multiple of the engines' capacity.
	Load         float64       `json:"load"`
	FreeFraction float64       `json:"freeFraction"`
	Warmup       time.Duration `json:"warmup"`
	Duration     time.Duration `json:"duration"`
	Entries      int           `json:"entries"`
	Engines      int           `json:"engines"`
	Slots        int           `json:"slots"`
	Accounts     int           `json:"accounts"` // of each class
	ReportPeriod time.Duration `json:"reportPeriod"`
	ReportLag    time.Duration `json:"reportLag"`
	SharePeriod  time.Duration `json:"sharePeriod"`
	Latency      time.Duration `json:"latency"`
	Timeout      time.Duration `json:"timeout"`
	// ResumePenalty is the recomputation when preempted work resumes.
	ResumePenalty time.Duration `json:"resumePenalty"`
	// IgnorePriorities makes engines serve in order of arrival.
	IgnorePriorities bool    `json:"ignorePriorities"`
	Backlog          float64 `json:"backlog"`
	BacklogInOrder   float64 `json:"backlogInOrder"`
	PayingReserve    float64 `json:"payingReserve"`
	// SkipBaselines leaves the baselines out.
	SkipBaselines bool `json:"skipBaselines"`
}

// Request lengths: 2 million tokens/s over 8,400 requests/s at the planned
// size, 25 ms between tokens.
const (
	meanTokens = 238
	tokenTime  = 25 * time.Millisecond
	minTokens  = 8
	maxTokens  = 1600
)

func (o Options) withDefaults() Options {
	set(&o.Seed, 1)
	set(&o.Load, 1)
	set(&o.FreeFraction, 0.9)
	set(&o.Warmup, 30*time.Second)
	set(&o.Duration, 120*time.Second)
	set(&o.Entries, 7)
	set(&o.Engines, 65)
	set(&o.Slots, 16)
	set(&o.Accounts, 5)
	set(&o.ReportPeriod, time.Second)
	set(&o.ReportLag, time.Second)
	set(&o.SharePeriod, share.DefaultPeriod)
	set(&o.Latency, time.Millisecond)
	set(&o.Timeout, 60*time.Second)
	set(&o.ResumePenalty, 200*time.Millisecond)
	return o
}

func set[T comparable](value *T, def T) {
	var zero T
	if *value == zero {
		*value = def
	}
}

// ClassResult summarises the requests of one class that arrived in the window.
type ClassResult struct {
	Offered int `json:"offered"`
	// Good counts the answers that were complete by the caller's deadline.
	Good    int           `json:"good"`
	P50     time.Duration `json:"p50"`
	P99     time.Duration `json:"p99"`
	WaitP99 time.Duration `json:"waitP99"` // until the first start on an engine
	// SlotSeconds is the engine time used in the window.
	SlotSeconds float64 `json:"slotSeconds"`
	// OfferedSeconds is the engine time that the offered requests need.
	OfferedSeconds float64 `json:"offeredSeconds"`
}

// RunResult is one policy under one load.
type RunResult struct {
	Policy   Policy      `json:"policy"`
	Paying   ClassResult `json:"paying"`
	Free     ClassResult `json:"free"`
	Capacity float64     `json:"capacitySlotSeconds"`
	// Idle fractions of the capacity: slots without work while as many
	// requests wait anywhere, in entries, or in engines.
	IdleWhileWaiting float64 `json:"idleWhileWaiting"`
	IdleEntryWaits   float64 `json:"idleEntryWaits"`
	IdleEngineWaits  float64 `json:"idleEngineWaits"`
	// WastedSeconds went to requests whose callers gave up, and to
	// recomputation after preemption.
	WastedSeconds float64 `json:"wastedSeconds"`
	Evictions     int     `json:"evictions"`
	// Refused counts admitted requests for which routing found no engine.
	Refused int `json:"refused"`
}

// Result compares admission with free traffic to the same run without it and
// to the baselines.
type Result struct {
	Options     Options     `json:"options"`
	WithoutFree RunResult   `json:"withoutFree"`
	Admission   RunResult   `json:"admission"`
	Baselines   []RunResult `json:"baselines,omitempty"`
	// GoodputRatio and P99Ratio compare paying work with and without free
	// traffic.
	GoodputRatio float64 `json:"goodputRatio"`
	P99Ratio     float64 `json:"p99Ratio"`
	// RemainingUsed is the part of what paying work leaves that free work used,
	// or of what free callers offered when that is less.
	RemainingUsed float64 `json:"remainingUsed"`
}

// Run measures one load. The same options give the same result.
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

// meanWork returns the mean run time of requests, whose exponential lengths are
// cut at both ends.
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

// meter collects the figures of a run.
type meter struct {
	last                                   time.Duration
	count                                  [ended + 1]int
	busy                                   [2]float64
	idleWaiting, idleAtEntry, idleAtEngine float64
	wasted                                 float64
	evictions, refused                     int
	classes                                [2]ClassResult
	latency, wait                          [2]*hdrhistogram.Histogram
}

func (t *meter) offered(m *model, j *job) {
	if m.now >= m.opts.Warmup && m.now < m.end() {
		t.classes[class(j.free)].Offered++
		t.classes[class(j.free)].OfferedSeconds += j.work.Seconds()
	}
}

func (t *meter) completed(m *model, j *job) {
	t.evictions += j.evictions
	t.wasted += (j.used - min(j.used, j.work)).Seconds()
	if j.arrival < m.opts.Warmup || j.arrival >= m.end() {
		return
	}
	k := class(j.free)
	t.classes[k].Good++
	// Values lie inside the range of the histogram, which covers the timeout.
	_ = t.latency[k].RecordValue((m.now - j.arrival).Microseconds())
	_ = t.wait[k].RecordValue((j.first - j.arrival).Microseconds())
}

// simulate runs one policy. Paying requests are the same with and without free
// traffic, and for every policy.
func simulate(opts Options, policy Policy, withFree bool) RunResult {
	m := &model{opts: opts, policy: policy, priorities: policy == Admission && !opts.IgnorePriorities}
	for k := range m.meter.latency {
		m.meter.latency[k] = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
		m.meter.wait[k] = hdrhistogram.New(1, (10 * time.Minute).Microseconds(), 3)
	}
	for i := range opts.Engines {
		m.engines = append(m.engines, &engine{m: m, index: i})
	}
	for i := range opts.Entries {
		m.entries = append(m.entries, newEntry(m, i))
	}
	m.reports()
	capacity := float64(opts.Slots*opts.Engines) / meanWork().Seconds()
	m.arrivals(false, capacity*opts.Load*(1-opts.FreeFraction))
	if withFree {
		m.arrivals(true, capacity*opts.Load*opts.FreeFraction)
	}
	// Requests that arrived in the window are followed to their end.
	m.run(m.end() + opts.Timeout)
	return m.result()
}

func (m *model) reports() {
	for i, e := range m.engines {
		offset := time.Duration(i) * m.opts.ReportPeriod / time.Duration(len(m.engines))
		m.every(offset, m.opts.ReportPeriod, func() {
			sampled, load := m.now, e.load()
			m.after(m.opts.ReportLag, func() {
				for _, entry := range m.entries {
					entry.report(i, sampled, load)
				}
			})
		})
	}
	if m.policy != Admission {
		return
	}
	// The periods of a daemon.
	const refresh, publish = 20 * time.Millisecond, 100 * time.Millisecond
	for i, e := range m.entries {
		offset := time.Duration(i) * refresh / time.Duration(len(m.entries))
		m.every(offset, refresh, e.refresh)
		m.every(publish*time.Duration(i)/time.Duration(len(m.entries)), publish, e.publish)
	}
}

// arrivals offers a Poisson stream of requests of a class until the end of the
// followed time, so that the load does not fall while the window's requests
// are completed.
func (m *model) arrivals(free bool, perSecond float64) {
	if perSecond <= 0 {
		return
	}
	rng := rand.New(rand.NewSource(m.opts.Seed*10 + int64(class(free))))
	gap := func() time.Duration { return time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second)) }
	var arrive func()
	arrive = func() {
		// Exponential lengths, cut at both ends.
		tokens := math.Min(maxTokens, math.Max(minTokens, math.Round(rng.ExpFloat64()*meanTokens)))
		m.offer(&job{free: free, entry: m.entries[rng.Intn(len(m.entries))], account: rng.Intn(m.opts.Accounts), arrival: m.now, deadline: m.now + m.opts.Timeout, work: time.Duration(tokens) * tokenTime})
		m.after(gap(), arrive)
	}
	m.after(gap(), arrive)
}

func (m *model) result() RunResult {
	for _, e := range m.engines {
		for _, j := range e.running {
			// The window has closed long before; this adds what was inside it.
			m.account(j, m.now-j.started)
		}
	}
	capacity := float64(m.opts.Slots*m.opts.Engines) * m.opts.Duration.Seconds()
	r := RunResult{
		Policy: m.policy, Capacity: capacity,
		IdleWhileWaiting: m.meter.idleWaiting / capacity,
		IdleEntryWaits:   m.meter.idleAtEntry / capacity,
		IdleEngineWaits:  m.meter.idleAtEngine / capacity,
		WastedSeconds:    m.meter.wasted, Evictions: m.meter.evictions, Refused: m.meter.refused,
	}
	for k, c := range m.meter.classes {
		c.SlotSeconds = m.meter.busy[k]
		c.P50 = time.Duration(m.meter.latency[k].ValueAtQuantile(50)) * time.Microsecond
		c.P99 = time.Duration(m.meter.latency[k].ValueAtQuantile(99)) * time.Microsecond
		c.WaitP99 = time.Duration(m.meter.wait[k].ValueAtQuantile(99)) * time.Microsecond
		if k == 0 {
			r.Paying = c
		} else {
			r.Free = c
		}
	}
	return r
}
