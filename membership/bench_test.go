package membership_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bluebellfield/bluebellfield/membership"
)

// newLoadedSimulation returns a simulation, 10 s after its start, in which the
// load of every upstream changes with each heartbeat.
func newLoadedSimulation(daemons, upstreams int) *simulation {
	sim := newSimulation(1)
	sim.addDaemons(daemons, nil, func() simulatedClock { return simulatedClock{} })
	for i := range upstreams {
		u := sim.addUpstream(fmt.Sprintf("worker-%03d", i), simulatedClock{})
		u.load = func() (int, int) { return sim.rng.Intn(64), sim.rng.Intn(20) }
	}
	sim.run(10 * time.Second)
	return sim
}

// Guards against batches sent more often than once per period, and against load
// reports that exceed the byte budget. Only the payload is counted; framing adds
// about 20 bytes per batch.
func TestTrafficStaysWithinBudget(t *testing.T) {
	sim := newLoadedSimulation(20, 105)
	sim.bytes, sim.batches = [2]int{}, [2]int{}
	sim.run(sim.now + 5*time.Second)
	for direction := range 2 {
		require.InDelta(t, 19*5, sim.batches[direction], 19)
		require.Less(t, sim.bytes[direction]/5, 5000)
	}
}

// BenchmarkDaemon reports, per daemon and simulated second, the payload bytes in
// each direction, the daemon's share of heartbeats, and the CPU time.
func BenchmarkDaemon(b *testing.B) {
	for _, upstreams := range []int{65, 420} {
		for _, daemons := range []int{7, 20, 40, 80} {
			b.Run(fmt.Sprintf("upstreams=%d/daemons=%d", upstreams, daemons), func(b *testing.B) {
				sim := newLoadedSimulation(daemons, upstreams)
				sim.bytes = [2]int{}
				b.ResetTimer()
				for range b.N {
					sim.run(sim.now + time.Second)
				}
				perSecond := func(bytes int) float64 { return float64(bytes) / float64(b.N) }
				b.ReportMetric(perSecond(sim.bytes[0]), "sentB/s")
				b.ReportMetric(perSecond(sim.bytes[1]), "receivedB/s")
				b.ReportMetric(heartbeatBytes(sim)*float64(2*upstreams)/float64(daemons), "heartbeatB/s")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(daemons)/1e7, "%core")
			})
		}
	}
}

// heartbeatBytes returns the size of a heartbeat and its lease, including 300
// bytes for the HTTP headers of both.
func heartbeatBytes(sim *simulation) float64 {
	d, u := sim.daemons[0], sim.upstreams["worker-000"]
	h, _ := json.Marshal(sim.heartbeat(u, u.registrars[0].ID))
	l, _ := json.Marshal(d.registry.Heartbeat(d.at(sim.now), sim.heartbeat(u, d.id)))
	return float64(len(h) + len(l) + 300)
}

func BenchmarkMergeLiveness(b *testing.B) {
	sim := newLoadedSimulation(80, 420)
	d, from := sim.daemons[0], sim.daemons[1]
	var batch membership.Batch
	for batch.Clock == 0 {
		sim.now += 25 * time.Millisecond
		for _, o := range from.registry.Tick(from.at(sim.now)).Batches {
			if o.To == d.id {
				batch = o.Batch
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		batch.Clock += int64(i & 1)
		d.registry.Merge(d.at(sim.now), from.id, batch)
	}
}

func BenchmarkPublishChange(b *testing.B) {
	for _, upstreams := range []int{65, 420, 2100} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			r := membership.New(membership.Config{ID: "d"}, startTime)
			add := func(i int, s uint64) {
				r.Announce(startTime, membership.Announcement{ID: fmt.Sprint("u", i), Incarnation: 1, Sequence: s, State: membership.Ready, Services: []string{"x"}})
			}
			for i := range upstreams {
				add(i, 1)
			}
			r.View()
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				add(i%upstreams, uint64(i/upstreams+2))
				r.View()
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	sim := newLoadedSimulation(2, 420)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/2/420, "B/upstream")
	for range b.N {
		_ = sim.daemons[0].registry.View()
	}
	runtime.KeepAlive(sim)
}
