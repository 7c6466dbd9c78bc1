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
	// networkDelay is the one-way delay from a caller over an entry to an
	// engine.
	networkDelay = 2 * time.Millisecond
)

// simulation is the run of one policy.
type simulation struct {
	o         Options
	clock     *clock
	random    *rand.Rand
	work      *workload
	engines   []*engine
	entries   []chooser
	result    PolicyResult
	measuring bool
	first     *hdrhistogram.Histogram
	balance   *hdrhistogram.Histogram
	herd      *hdrhistogram.Histogram
}

func runPolicy(o Options, policy string) PolicyResult {
	s := &simulation{
		o: o, clock: &clock{}, random: rand.New(rand.NewPCG(o.Seed, 1)), work: newWorkload(o.Seed, o.Entries),
		result: PolicyResult{Policy: policy}, first: newHistogram(), balance: newHistogram(), herd: newHistogram(),
	}
	for i := range o.Engines {
		s.engines = append(s.engines, newEngine(engineID(i), s.clock))
	}
	for i := range o.Entries {
		s.entries = append(s.entries, newChooser(o, policy, i, s.clock))
	}
	s.start()
	s.clock.runUntil(o.Warmup)
	s.measuring = true
	for _, e := range s.engines {
		e.hits, e.blocks, e.arrivals = 0, 0, 0
	}
	s.clock.runUntil(o.Warmup + o.Duration)
	return s.finish()
}

func (s *simulation) start() {
	for i, e := range s.engines {
		phase := time.Duration(s.random.Int64N(int64(reportInterval)))
		s.clock.every(phase, reportInterval, func() { s.sendReport(i, e.load()) })
		s.clock.every(phase%eventInterval, eventInterval, func() { s.sendEvents(e) })
	}
	for i, entry := range s.entries {
		phase := publishInterval * time.Duration(i) / time.Duration(len(s.entries))
		s.clock.every(phase, publishInterval, entry.refresh)
	}
	s.clock.every(sampleInterval, sampleInterval, s.sample)
	s.arrive()
}

func (s *simulation) sendReport(engine, load int) {
	sent := s.clock.time()
	s.clock.after(s.o.ReportLag, func() {
		for _, entry := range s.entries {
			entry.report(engine, load, sent)
		}
	})
}

func (s *simulation) sendEvents(e *engine) {
	batch := e.takeEvents()
	if len(batch.Events) == 0 {
		return
	}
	for _, entry := range s.entries {
		delay := time.Duration(s.random.Int64N(int64(s.o.EventDelay) + 1))
		if s.random.Float64() >= s.o.EventLoss {
			s.clock.after(delay, func() { entry.events(batch) })
		}
	}
}

func (s *simulation) arrive() {
	s.clock.after(s.work.gap(s.o.RequestsPerEngine*float64(s.o.Engines)), func() {
		r := s.work.next()
		r.arrived = s.clock.now
		s.dispatch(r)
		s.arrive()
	})
}

func (s *simulation) dispatch(r *request) {
	measured := s.measuring
	chosen, done, ok := s.entries[r.entry].choose(r)
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
			record(s.first, float64((first-r.arrived+networkDelay)/time.Microsecond))
		}
	}
	s.clock.after(networkDelay, func() { s.engines[chosen].submit(r) })
}

func (s *simulation) sample() {
	if !s.measuring {
		return
	}
	load, highest, arrivals, most := 0, 0, 0, 0
	for _, e := range s.engines {
		load += e.load()
		highest = max(highest, e.load())
		arrivals += e.arrivals
		most = max(most, e.arrivals)
		e.arrivals = 0
	}
	n := float64(len(s.engines))
	if load > 0 {
		record(s.balance, float64(highest)/(float64(load)/n)*1000)
	}
	if arrivals > 0 {
		record(s.herd, float64(most)/(float64(arrivals)/n)*1000)
	}
}

func (s *simulation) finish() PolicyResult {
	hits, blocks := 0, 0
	for _, e := range s.engines {
		hits += e.hits
		blocks += e.blocks
	}
	s.result.HitRate = float64(hits) / float64(max(blocks, 1))
	s.result.FirstToken = millis(s.first)
	s.result.Balance = ratios(s.balance)
	s.result.Herd = ratios(s.herd)
	return s.result
}
