package upstreamlimit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	simTick = 10 * time.Millisecond
	// contactTime is the time from the first answer with a limit after which the
	// limit has to be kept. window is the period in which requests are counted.
	contactTime = 3 * time.Second
	window      = 4 * time.Second
	simDuration = 24 * time.Second
	simTarget   = "u"
)

// allowedInWindow is the platform's bound on the requests in a window.
func allowedInWindow(rate float64) int { return int(1.5*rate*window.Seconds()) + 5 }

// limitSimulation runs entries that send requests to one upstream, which names a
// limit in each answer.
type limitSimulation struct {
	entries int
	rate    float64
	// offered is the number of requests per second that callers send to an entry.
	offered func(entry int, at time.Duration) float64
	// reachable reports whether a message between two entries arrives.
	reachable func(from, to int, at time.Duration) bool
	// restartAt is the time at which an entry loses its state, zero for never.
	restartAt func(entry int) time.Duration
	loss      float64
}

type simMessage struct {
	at       time.Duration
	from, to int
	message  Message
}

func simTime(d time.Duration) time.Time { return time.UnixMilli(1_000_000_000).Add(d) }

// run returns the times at which the upstream received requests.
func (s limitSimulation) run(seed uint64) []time.Duration {
	random := rand.New(rand.NewPCG(seed, 3))
	ids := make([]string, s.entries)
	for i := range ids {
		ids[i] = fmt.Sprintf("e%02d", i)
	}
	start := func(i int, at time.Duration) *Tracker {
		return New(Config{Self: ids[i], Incarnation: uint64(at) + 1}, simTime(at))
	}
	trackers := make([]*Tracker, s.entries)
	for i := range trackers {
		trackers[i] = start(i, 0)
	}
	reachable := func(from, to int, at time.Duration) bool { return s.reachable == nil || s.reachable(from, to, at) }
	live := func(i int, at time.Duration) []string {
		var all []string
		for j := range ids {
			if j != i && reachable(i, j, at) {
				all = append(all, ids[j])
			}
		}
		return all
	}
	known := make([][]string, s.entries)
	var arrivals []time.Duration
	var messages []simMessage
	pending := make([]float64, s.entries)
	post := func(from int, at time.Duration, out []Envelope) {
		for _, e := range out {
			to := slices.Index(ids, e.To)
			if random.Float64() >= s.loss && reachable(from, to, at) {
				messages = append(messages, simMessage{at + simTick + time.Duration(random.IntN(3))*simTick, from, to, e.Message})
			}
		}
	}
	target := Target{Upstream: simTarget, Incarnation: 1}
	for at := time.Duration(0); at < simDuration; at += simTick {
		now := simTime(at)
		due := messages
		messages = nil
		for _, m := range due {
			if m.at > at {
				messages = append(messages, m)
				continue
			}
			post(m.to, at, trackers[m.to].Receive(now, ids[m.from], m.message))
		}
		for i := range trackers {
			if s.restartAt != nil && s.restartAt(i) == at && at > 0 {
				trackers[i] = start(i, at)
				known[i] = nil
			}
			if at%(200*time.Millisecond) == 0 {
				current := live(i, at)
				trackers[i].SetEntries(now, current, nil)
				if snapshot := trackers[i].Snapshot(); len(snapshot.Named) > 0 {
					for _, id := range current {
						if !slices.Contains(known[i], id) {
							post(i, at, []Envelope{{To: id, Message: snapshot}})
						}
					}
				}
				known[i] = current
			}
			if (int(at/simTick)+i)%5 == 0 {
				post(i, at, trackers[i].Tick(now))
			}
			for pending[i] += s.offered(i, at) * simTick.Seconds() * 2 * random.Float64(); pending[i] >= 1; pending[i]-- {
				if trackers[i].Offer(now, target) == 0 && trackers[i].Take(now, target) {
					arrivals = append(arrivals, at)
					trackers[i].Observe(now, target, s.rate, true)
				}
			}
		}
	}
	return arrivals
}

// mostInWindow returns the most arrivals in a window that begins after contactTime.
func mostInWindow(arrivals []time.Duration) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for at-arrivals[first] >= window {
			first++
		}
		if arrivals[first] >= contactTime {
			most = max(most, i-first+1)
		}
	}
	return most
}

func evenly(rate float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return rate }
}

// Guards against an upstream in need that gets more requests than it has said that
// it takes, whatever the entries know of each other, and against leaving most of
// what it takes unused.
func TestEntriesTogetherKeepTheLimit(t *testing.T) {
	halves := func(from, to int, at time.Duration) bool {
		return at < 8*time.Second || at > 13*time.Second || from%2 == to%2
	}
	for _, test := range []struct {
		name string
		sim  limitSimulation
		// used is the least part of the limit that is used in the last ten seconds: half
		// of it, or a quarter where most entries have no request while they have a unit.
		used float64
	}{
		{"seven entries", limitSimulation{entries: 7, rate: 6.7, offered: evenly(5)}, 0.5},
		{"one entry", limitSimulation{entries: 1, rate: 6.7, offered: evenly(30)}, 0.5},
		{"all traffic at one of seven entries", limitSimulation{entries: 7, rate: 6.7, offered: func(i int, _ time.Duration) float64 {
			if i == 3 {
				return 30
			}
			return 0
		}}, 0.5},
		{"traffic that moves between entries", limitSimulation{entries: 7, rate: 6.7, offered: func(i int, at time.Duration) float64 {
			if i == int(at/(3*time.Second))%7 {
				return 30
			}
			return 0.5
		}}, 0.25},
		{"many entries with a low limit", limitSimulation{entries: 69, rate: 4.4, offered: evenly(0.5)}, 0.25},
		{"many entries with bursts", limitSimulation{entries: 69, rate: 8, offered: func(_ int, at time.Duration) float64 {
			if at/(2*time.Second)%3 == 0 {
				return 3
			}
			return 0
		}}, 0},
		{"high limit", limitSimulation{entries: 7, rate: 200, offered: evenly(60)}, 0.5},
		{"below one a second", limitSimulation{entries: 7, rate: 0.5, offered: evenly(5)}, 0.5},
		{"zero", limitSimulation{entries: 7, rate: 0, offered: evenly(5)}, 0},
		{"lost messages", limitSimulation{entries: 7, rate: 6.7, offered: evenly(5), loss: 0.3}, 0.5},
		{"entries that cannot reach each other", limitSimulation{entries: 7, rate: 6.7, offered: evenly(5), reachable: halves}, 0.5},
		{"entries that restart", limitSimulation{entries: 7, rate: 6.7, offered: evenly(5), restartAt: func(i int) time.Duration {
			return time.Duration(6+i) * time.Second
		}}, 0.5},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(5) {
				arrivals := test.sim.run(seed)
				require.LessOrEqual(t, mostInWindow(arrivals), allowedInWindow(test.sim.rate), "seed %d", seed)
				last := 0
				for _, at := range arrivals {
					if at >= simDuration-10*time.Second {
						last++
					}
				}
				require.Positive(t, last, "seed %d: an upstream that gets nothing cannot lift its limit", seed)
				require.GreaterOrEqual(t, float64(last), test.used*10*test.sim.rate, "seed %d", seed)
			}
		})
	}
}
