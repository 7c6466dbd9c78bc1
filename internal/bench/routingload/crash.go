package routingload

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bluebellfield/bluebellfield/quarantine"
)

// Constants of the run with crash-causing requests.
const (
	culprits        = 3
	resendInterval  = 200 * time.Millisecond
	restartTime     = 10 * time.Second
	crashAfterMin   = 50 * time.Millisecond
	crashAfterMax   = 500 * time.Millisecond
	meanRunTime     = 3 * time.Second
	crashTick       = 50 * time.Millisecond
	innocentRate    = 1.0 // requests per second for each engine
	crashExperiment = "chat"
)

// CrashResult holds the figures of a run in which culprits, each resent every
// 200 ms through random entries, crash each upstream that runs them.
type CrashResult struct {
	Quarantine bool `json:"quarantine"`
	// DelayMillis is the longest delay of messages between entries.
	DelayMillis   int64 `json:"delayMillis"`
	Culprits      int   `json:"culprits"`
	Resends       int   `json:"resends"`
	UpstreamsLost int   `json:"upstreamsLost"`
	// MostLost is the highest number lost to one culprit, Bound the stated
	// one.
	MostLost int `json:"mostLostToOne"`
	Bound    int `json:"bound"`
	// Innocent, Interrupted and InnocentRefused count requests that crash
	// nothing: all, those in flight at a crash, and those refused.
	Innocent        int `json:"innocent"`
	Interrupted     int `json:"interrupted"`
	InnocentRefused int `json:"innocentRefused"`
	// Hold is the time that interrupted innocent requests waited to run again.
	Hold Quantiles `json:"holdMillis"`
}

// crashRequest is a request of the run with crashes.
type crashRequest struct {
	digest      quarantine.Digest
	culprit     int // -1 for an innocent request
	entry       int
	run         uint64
	interrupted time.Duration // time of the crash that interrupted it
}

type crashEngine struct {
	id          string
	incarnation uint64
	down        bool
	running     []*crashRequest
}

type crashRun struct {
	o       Options
	enabled bool
	delay   time.Duration
	clock   *clock
	random  *rand.Rand
	books   []*quarantine.Book
	engines []*crashEngine
	waiting []*crashRequest
	next    uint64
	lost    [culprits]int
	result  CrashResult
	hold    *hdrhistogram.Histogram
}

func runCrashes(o Options, enabled bool, delay time.Duration) CrashResult {
	hold := newHistogram()
	s := &crashRun{
		o: o, enabled: enabled, delay: delay, clock: &clock{}, random: rand.New(rand.NewPCG(o.Seed, 4)), hold: hold,
		result: CrashResult{Quarantine: enabled, DelayMillis: delay.Milliseconds(), Culprits: culprits, Bound: quarantine.MaxUpstreamsLost(o.Entries)},
	}
	s.setUp()
	s.clock.every(crashTick, crashTick, s.tick)
	for c := range culprits {
		digest := quarantine.DigestOf("culprit", crashExperiment, fmt.Append(nil, c))
		s.clock.every(o.Warmup/10, resendInterval, func() {
			s.result.Resends++
			s.dispatch(&crashRequest{digest: digest, culprit: c, entry: s.random.IntN(o.Entries)})
		})
	}
	s.arrive()
	s.clock.runUntil(o.Duration)
	for _, n := range s.lost {
		s.result.UpstreamsLost += n
		s.result.MostLost = max(s.result.MostLost, n)
	}
	s.result.Hold = millis(hold)
	return s.result
}

func (s *crashRun) setUp() {
	var ids, entries []string
	for i := range s.o.Engines {
		s.engines = append(s.engines, &crashEngine{id: engineID(i), incarnation: 1})
		ids = append(ids, engineID(i))
	}
	for i := range s.o.Entries {
		entries = append(entries, fmt.Sprint("entry-", i))
	}
	for i := range s.o.Entries {
		b := quarantine.New(quarantine.Config{Self: entries[i]})
		b.SetEntries(s.clock.time(), entries)
		b.SetUpstreams(crashExperiment, ids)
		s.books = append(s.books, b)
	}
}

func (s *crashRun) arrive() {
	gap := time.Duration(s.random.ExpFloat64() / (innocentRate * float64(s.o.Engines)) * float64(time.Second))
	s.clock.after(gap, func() {
		s.result.Innocent++
		r := &crashRequest{culprit: -1, entry: s.random.IntN(s.o.Entries)}
		r.digest = quarantine.DigestOf("innocent", crashExperiment, fmt.Append(nil, s.result.Innocent))
		s.dispatch(r)
		s.arrive()
	})
}

// tick sends what is due and tries the waiting requests again.
func (s *crashRun) tick() {
	if !s.enabled {
		return
	}
	for i, b := range s.books {
		s.broadcast(i, b.Tick(s.clock.time()))
	}
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		s.dispatch(r)
	}
}

func (s *crashRun) broadcast(from int, messages []quarantine.Message) {
	for _, m := range messages {
		for to, b := range s.books {
			if to == from || s.random.Float64() < s.o.EventLoss {
				continue
			}
			s.clock.after(time.Duration(s.random.Int64N(int64(s.delay)+1)), func() {
				s.broadcast(to, b.Merge(s.clock.time(), m))
			})
		}
	}
}

func (s *crashRun) dispatch(r *crashRequest) {
	ruling := quarantine.Ruling{}
	allowed := func(string) bool { return true }
	b, now := s.books[r.entry], s.clock.time()
	if s.enabled {
		ruling = b.Admit(now, r.digest)
		if ruling.Action == quarantine.Isolate {
			allowed = b.Isolation(now, crashExperiment, r.digest)
		}
	}
	switch {
	case ruling.Action == quarantine.Refuse && r.culprit < 0:
		s.result.InnocentRefused++
		return
	case ruling.Action == quarantine.Refuse:
		return
	case ruling.Action == quarantine.Wait || !s.place(r, ruling, allowed):
		s.waiting = append(s.waiting, r)
	}
}

// place starts a request on a random engine that is allowed.
func (s *crashRun) place(r *crashRequest, ruling quarantine.Ruling, allowed func(string) bool) bool {
	start := s.random.IntN(len(s.engines))
	for i := range s.engines {
		e := s.engines[(start+i)%len(s.engines)]
		if e.down || (ruling.Pin != "" && ruling.Pin != e.id) || (ruling.Pin == "" && !allowed(e.id)) {
			continue
		}
		s.next++
		r.run = s.next
		if s.enabled {
			target := quarantine.Target{Upstream: e.id, Incarnation: e.incarnation}
			if _, ok := s.books[r.entry].Start(s.clock.time(), crashExperiment, r.run, r.digest, target); !ok {
				return false
			}
		}
		s.run(r, e)
		return true
	}
	return false
}

func (s *crashRun) run(r *crashRequest, e *crashEngine) {
	if r.interrupted > 0 {
		record(s.hold, float64((s.clock.now-r.interrupted)/time.Microsecond))
	}
	e.running = append(e.running, r)
	run := r.run
	if r.culprit >= 0 {
		s.clock.after(crashAfterMin+time.Duration(s.random.Int64N(int64(crashAfterMax-crashAfterMin))), func() {
			if slices.Contains(e.running, r) && r.run == run {
				s.lost[r.culprit]++
				s.crash(e)
			}
		})
		return
	}
	s.clock.after(time.Duration(s.random.ExpFloat64()*float64(meanRunTime)), func() {
		if i := slices.Index(e.running, r); i >= 0 && r.run == run {
			e.running = slices.Delete(e.running, i, i+1)
			if s.enabled {
				s.broadcast(r.entry, s.books[r.entry].Finish(s.clock.time(), run, quarantine.Completed))
			}
		}
	})
}

// crash ends all that an engine runs; the entries send it again.
func (s *crashRun) crash(e *crashEngine) {
	target := quarantine.Target{Upstream: e.id, Incarnation: e.incarnation}
	interrupted := e.running
	e.running, e.down = nil, true
	s.clock.after(restartTime, func() {
		e.down = false
		e.incarnation++
	})
	for entry, b := range s.books {
		affected := slices.ContainsFunc(interrupted, func(r *crashRequest) bool { return r.entry == entry })
		if s.enabled && affected {
			s.broadcast(entry, b.Crashed(s.clock.time(), target))
		}
	}
	for _, r := range interrupted {
		if r.culprit < 0 {
			s.result.Interrupted++
			r.interrupted = s.clock.now
			s.dispatch(r)
		}
	}
}
