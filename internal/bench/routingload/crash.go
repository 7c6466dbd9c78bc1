package routingload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Parameters of the simulation with crash-causing requests.
const (
	crashingRequests          = 3
	resendInterval            = 200 * time.Millisecond
	engineRestartTime         = 10 * time.Second
	minTimeToCrash            = 50 * time.Millisecond
	maxTimeToCrash            = 500 * time.Millisecond
	meanHarmlessRunTime       = 3 * time.Second
	quarantineTickInterval    = 50 * time.Millisecond
	harmlessRequestsPerSecond = 1.0 // for each engine
	crashService              = "chat"
)

// CrashResult holds the results of a run with crash-causing requests
// (culprits). Each is resent every 200 ms through a random entry and crashes
// every upstream that runs it.
type CrashResult struct {
	Quarantine bool `json:"quarantine"`
	// DelayMillis is the maximum delay of messages between entries.
	DelayMillis   int64 `json:"delayMillis"`
	Culprits      int   `json:"culprits"`
	Resends       int   `json:"resends"`
	UpstreamsLost int   `json:"upstreamsLost"`
	// MostLost is the largest number of upstreams lost to one culprit. Bound
	// is the limit that quarantine guarantees.
	MostLost int `json:"mostLostToOne"`
	Bound    int `json:"bound"`
	// Innocent counts the harmless requests, Interrupted those that were
	// running on an engine when it crashed, and InnocentRefused those that
	// quarantine refused.
	Innocent        int `json:"innocent"`
	Interrupted     int `json:"interrupted"`
	InnocentRefused int `json:"innocentRefused"`
	// Hold is the time from the interruption of a harmless request to its
	// restart.
	Hold Quantiles `json:"holdMillis"`
}

// crashRequest is a request of the simulation with crash-causing requests.
type crashRequest struct {
	digest        quarantine.Digest
	culprit       int // index of the culprit, or -1 for a harmless request
	entry         int
	run           uint64
	interruptedAt time.Duration // time of the last crash that interrupted it, or zero
}

type crashEngine struct {
	id          string
	incarnation uint64
	down        bool
	running     []*crashRequest
}

type crashSimulation struct {
	o                 Options
	quarantineEnabled bool
	maxMessageDelay   time.Duration
	clock             *clock
	random            *rand.Rand
	trackers          []*quarantine.Tracker
	engines           []*crashEngine
	waitingRequests   []*crashRequest
	lastRun           uint64
	upstreamsLost     [crashingRequests]int
	result            CrashResult
	resumeDelays      *hdrhistogram.Histogram
}

func runCrashes(o Options, quarantineEnabled bool, maxMessageDelay time.Duration) CrashResult {
	resumeDelays := newHistogram()
	s := &crashSimulation{
		o: o, quarantineEnabled: quarantineEnabled, maxMessageDelay: maxMessageDelay, clock: &clock{}, random: rand.New(rand.NewPCG(o.Seed, 4)), resumeDelays: resumeDelays,
		result: CrashResult{Quarantine: quarantineEnabled, DelayMillis: maxMessageDelay.Milliseconds(), Culprits: crashingRequests, Bound: quarantine.MaxUpstreamsLost(o.Entries)},
	}
	s.createTrackers()
	s.clock.every(quarantineTickInterval, quarantineTickInterval, s.tick)
	for c := range crashingRequests {
		digest := quarantine.DigestOf("culprit", crashService, fmt.Append(nil, c))
		s.clock.every(o.Warmup/10, resendInterval, func() {
			s.result.Resends++
			s.dispatch(&crashRequest{digest: digest, culprit: c, entry: s.random.IntN(o.Entries)})
		})
	}
	s.scheduleHarmlessArrival()
	s.clock.runUntil(o.Duration)
	for _, n := range s.upstreamsLost {
		s.result.UpstreamsLost += n
		s.result.MostLost = max(s.result.MostLost, n)
	}
	s.result.Hold = quantilesMillis(resumeDelays)
	return s.result
}

func (s *crashSimulation) createTrackers() {
	var ids, entries []string
	for i := range s.o.Engines {
		s.engines = append(s.engines, &crashEngine{id: engineID(i), incarnation: 1})
		ids = append(ids, engineID(i))
	}
	for i := range s.o.Entries {
		entries = append(entries, fmt.Sprint("entry-", i))
	}
	for i := range s.o.Entries {
		tracker := quarantine.New(quarantine.Config{Self: entries[i]})
		tracker.SetEntries(s.clock.time(), entries)
		tracker.SetUpstreams(crashService, ids)
		s.trackers = append(s.trackers, tracker)
	}
}

func (s *crashSimulation) scheduleHarmlessArrival() {
	interarrival := time.Duration(s.random.ExpFloat64() / (harmlessRequestsPerSecond * float64(s.o.Engines)) * float64(time.Second))
	s.clock.after(interarrival, func() {
		s.result.Innocent++
		r := &crashRequest{culprit: -1, entry: s.random.IntN(s.o.Entries)}
		r.digest = quarantine.DigestOf("innocent", crashService, fmt.Append(nil, s.result.Innocent))
		s.dispatch(r)
		s.scheduleHarmlessArrival()
	})
}

// tick broadcasts due quarantine messages and dispatches waiting requests again.
func (s *crashSimulation) tick() {
	if !s.quarantineEnabled {
		return
	}
	for i, tracker := range s.trackers {
		s.broadcast(i, tracker.Tick(s.clock.time()))
	}
	waitingRequests := s.waitingRequests
	s.waitingRequests = nil
	for _, r := range waitingRequests {
		s.dispatch(r)
	}
}

func (s *crashSimulation) broadcast(from int, messages []quarantine.Message) {
	for _, m := range messages {
		for to, tracker := range s.trackers {
			if to == from || s.random.Float64() < s.o.EventLoss {
				continue
			}
			s.clock.after(time.Duration(s.random.Int64N(int64(s.maxMessageDelay)+1)), func() {
				s.broadcast(to, tracker.Merge(s.clock.time(), m))
			})
		}
	}
}

func (s *crashSimulation) dispatch(r *crashRequest) {
	decision := quarantine.Decision{}
	allowed := func(string) bool { return true }
	tracker, now := s.trackers[r.entry], s.clock.time()
	if s.quarantineEnabled {
		decision = tracker.Admit(now, r.digest)
		if decision.Action == quarantine.Isolate {
			allowed = tracker.Isolation(now, crashService, r.digest)
		}
	}
	switch {
	case decision.Action == quarantine.Refuse && r.culprit < 0:
		s.result.InnocentRefused++
		return
	case decision.Action == quarantine.Refuse:
		return
	case decision.Action == quarantine.Wait || !s.startOnAllowedEngine(r, decision, allowed):
		s.waitingRequests = append(s.waitingRequests, r)
	}
}

// startOnAllowedEngine starts a request on a random running engine that the
// decision permits. It returns false if there is none or quarantine denies the
// start.
func (s *crashSimulation) startOnAllowedEngine(r *crashRequest, decision quarantine.Decision, allowed func(string) bool) bool {
	start := s.random.IntN(len(s.engines))
	for i := range s.engines {
		e := s.engines[(start+i)%len(s.engines)]
		if e.down || (decision.Pin != "" && decision.Pin != e.id) || (decision.Pin == "" && !allowed(e.id)) {
			continue
		}
		s.lastRun++
		r.run = s.lastRun
		if s.quarantineEnabled {
			target := quarantine.Target{Upstream: e.id, Incarnation: e.incarnation}
			if _, ok := s.trackers[r.entry].Start(s.clock.time(), crashService, r.run, r.digest, target); !ok {
				return false
			}
		}
		s.runOn(r, e)
		return true
	}
	return false
}

func (s *crashSimulation) runOn(r *crashRequest, e *crashEngine) {
	if r.interruptedAt > 0 {
		recordValue(s.resumeDelays, float64((s.clock.now-r.interruptedAt)/time.Microsecond))
	}
	e.running = append(e.running, r)
	run := r.run
	if r.culprit >= 0 {
		s.clock.after(minTimeToCrash+time.Duration(s.random.Int64N(int64(maxTimeToCrash-minTimeToCrash))), func() {
			if slices.Contains(e.running, r) && r.run == run {
				s.upstreamsLost[r.culprit]++
				s.crashEngine(e)
			}
		})
		return
	}
	s.clock.after(time.Duration(s.random.ExpFloat64()*float64(meanHarmlessRunTime)), func() {
		if i := slices.Index(e.running, r); i >= 0 && r.run == run {
			e.running = slices.Delete(e.running, i, i+1)
			if s.quarantineEnabled {
				s.broadcast(r.entry, s.trackers[r.entry].Finish(s.clock.time(), run, quarantine.Completed))
			}
		}
	})
}

// crashEngine stops an engine and its running requests, and reports the crash
// to the entries of these requests. Harmless requests are dispatched again.
func (s *crashSimulation) crashEngine(e *crashEngine) {
	target := quarantine.Target{Upstream: e.id, Incarnation: e.incarnation}
	interrupted := e.running
	e.running, e.down = nil, true
	s.clock.after(engineRestartTime, func() {
		e.down = false
		e.incarnation++
	})
	for entry, tracker := range s.trackers {
		affected := slices.ContainsFunc(interrupted, func(r *crashRequest) bool { return r.entry == entry })
		if s.quarantineEnabled && affected {
			s.broadcast(entry, tracker.Crashed(s.clock.time(), target))
		}
	}
	for _, r := range interrupted {
		if r.culprit < 0 {
			s.result.Interrupted++
			r.interruptedAt = s.clock.now
			s.dispatch(r)
		}
	}
}
