package routingload

import (
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	reportInterval  = time.Second
	publishInterval = 250 * time.Millisecond
	sampleInterval  = 100 * time.Millisecond
	// networkDelay is the one-way delay from a caller through an entry to an
	// engine.
	networkDelay = 2 * time.Millisecond
)

// simulation runs the workload under one policy.
type simulation struct {
	o               Options
	clock           *clock
	random          *rand.Rand
	workload        *workload
	engines         []*engine
	selectors       []engineSelector
	result          PolicyResult
	measuring       bool
	firstTokenTimes *hdrhistogram.Histogram
	loadRatios      *hdrhistogram.Histogram
	arrivalRatios   *hdrhistogram.Histogram
}

func runPolicy(o Options, policy string) PolicyResult {
	s := &simulation{
		o: o, clock: &clock{}, random: rand.New(rand.NewPCG(o.Seed, 1)), workload: newWorkload(o.Seed, o.Entries),
		result: PolicyResult{Policy: policy}, firstTokenTimes: newHistogram(), loadRatios: newHistogram(), arrivalRatios: newHistogram(),
	}
	for i := range o.Engines {
		s.engines = append(s.engines, newEngine(engineID(i), s.clock))
	}
	for i := range o.Entries {
		s.selectors = append(s.selectors, newEngineSelector(o, policy, i, s.clock))
	}
	s.start()
	s.clock.runUntil(o.Warmup)
	s.measuring = true
	for _, e := range s.engines {
		e.cachedBlocks, e.promptBlocks, e.arrivals = 0, 0, 0
	}
	s.clock.runUntil(o.Warmup + o.Duration)
	return s.summarize()
}

func (s *simulation) start() {
	for i, e := range s.engines {
		phase := time.Duration(s.random.Int64N(int64(reportInterval)))
		s.clock.every(phase, reportInterval, func() { s.sendReport(i, e.load()) })
		s.clock.every(phase%cacheEventInterval, cacheEventInterval, func() { s.sendEvents(e) })
	}
	for i, entry := range s.selectors {
		phase := publishInterval * time.Duration(i) / time.Duration(len(s.selectors))
		s.clock.every(phase, publishInterval, entry.publish)
	}
	s.clock.every(sampleInterval, sampleInterval, s.sampleLoad)
	s.scheduleArrival()
}

func (s *simulation) sendReport(engine, load int) {
	sent := s.clock.time()
	s.clock.after(s.o.ReportLag, func() {
		for _, entry := range s.selectors {
			entry.updateLoad(engine, load, sent)
		}
	})
}

func (s *simulation) sendEvents(e *engine) {
	batch := e.takeEvents()
	if len(batch.Events) == 0 {
		return
	}
	for _, entry := range s.selectors {
		delay := time.Duration(s.random.Int64N(int64(s.o.EventDelay) + 1))
		if s.random.Float64() >= s.o.EventLoss {
			s.clock.after(delay, func() { entry.applyCacheEvents(batch) })
		}
	}
}

func (s *simulation) scheduleArrival() {
	s.clock.after(s.workload.interarrival(s.o.RequestsPerEngine*float64(s.o.Engines)), func() {
		r := s.workload.nextRequest()
		r.arrived = s.clock.now
		s.dispatch(r)
		s.scheduleArrival()
	})
}

func (s *simulation) dispatch(r *request) {
	measured := s.measuring
	chosen, done, ok := s.selectors[r.entry].selectEngine(r)
	if !ok {
		s.result.Refused++
		return
	}
	if measured {
		s.result.Requests++
	}
	r.done = func(first time.Duration) {
		done(first)
		if measured {
			recordValue(s.firstTokenTimes, float64((first-r.arrived+networkDelay)/time.Microsecond))
		}
	}
	s.clock.after(networkDelay, func() { s.engines[chosen].submit(r) })
}

func (s *simulation) sampleLoad() {
	if !s.measuring {
		return
	}
	load, highestLoad, arrivals, mostArrivals := 0, 0, 0, 0
	for _, e := range s.engines {
		load += e.load()
		highestLoad = max(highestLoad, e.load())
		arrivals += e.arrivals
		mostArrivals = max(mostArrivals, e.arrivals)
		e.arrivals = 0
	}
	engineCount := float64(len(s.engines))
	if load > 0 {
		recordValue(s.loadRatios, float64(highestLoad)/(float64(load)/engineCount)*1000)
	}
	if arrivals > 0 {
		recordValue(s.arrivalRatios, float64(mostArrivals)/(float64(arrivals)/engineCount)*1000)
	}
}

func (s *simulation) summarize() PolicyResult {
	hits, blocks := 0, 0
	for _, e := range s.engines {
		hits += e.cachedBlocks
		blocks += e.promptBlocks
	}
	s.result.HitRate = float64(hits) / float64(max(blocks, 1))
	s.result.FirstToken = quantilesMillis(s.firstTokenTimes)
	s.result.Balance = ratioSummary(s.loadRatios)
	s.result.Herd = ratioSummary(s.arrivalRatios)
	return s.result
}
