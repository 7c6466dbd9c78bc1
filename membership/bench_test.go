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

// loaded returns a network with loads that change with each heartbeat.
func loaded(daemons, upstreams int) *network {
	n := newNetwork(1)
	n.addDaemons(daemons, nil, func() clock { return clock{} })
	for i := range upstreams {
		u := n.addUpstream(fmt.Sprintf("worker-%03d", i), clock{})
		u.load = func() (int, int) { return n.rng.Intn(64), n.rng.Intn(20) }
	}
	n.run(10 * time.Second)
	return n
}

// Guards against batches sent more often than once a period, and against loads
// that exceed the byte budget. Payload only; framing adds about 20 bytes.
func TestTrafficStaysWithinBudget(t *testing.T) {
	n := loaded(20, 105)
	n.bytes, n.batches = [2]int{}, [2]int{}
	n.run(n.now + 5*time.Second)
	for direction := range 2 {
		require.InDelta(t, 19*5, n.batches[direction], 19)
		require.Less(t, n.bytes[direction]/5, 5000)
	}
}

// BenchmarkDaemon reports the payload bytes of a daemon per second in both
// directions, including its share of heartbeats, and the time per simulated
// second of all daemons divided by their number.
func BenchmarkDaemon(b *testing.B) {
	for _, upstreams := range []int{65, 420} {
		for _, daemons := range []int{7, 20, 40, 80} {
			b.Run(fmt.Sprintf("upstreams=%d/daemons=%d", upstreams, daemons), func(b *testing.B) {
				n := loaded(daemons, upstreams)
				n.bytes = [2]int{}
				b.ResetTimer()
				for range b.N {
					n.run(n.now + time.Second)
				}
				perSecond := func(bytes int) float64 { return float64(bytes) / float64(b.N) }
				b.ReportMetric(perSecond(n.bytes[0]), "sentB/s")
				b.ReportMetric(perSecond(n.bytes[1]), "receivedB/s")
				b.ReportMetric(heartbeatBytes(n)*float64(2*upstreams)/float64(daemons), "heartbeatB/s")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(daemons)/1e7, "%core")
			})
		}
	}
}

// heartbeatBytes is the size of a heartbeat and its lease with 300 bytes for
// the HTTP headers of both.
func heartbeatBytes(n *network) float64 {
	d, u := n.daemons[0], n.upstreams["worker-000"]
	h, _ := json.Marshal(n.heartbeat(u, u.registrars[0].ID))
	l, _ := json.Marshal(d.registry.Heartbeat(d.at(n.now), n.heartbeat(u, d.id)))
	return float64(len(h) + len(l) + 300)
}

func BenchmarkMergeLiveness(b *testing.B) {
	n := loaded(80, 420)
	d, from := n.daemons[0], n.daemons[1]
	var batch membership.Batch
	for batch.Clock == 0 {
		n.now += 25 * time.Millisecond
		for _, o := range from.registry.Tick(from.at(n.now)).Batches {
			if o.To == d.id {
				batch = o.Batch
			}
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		batch.Clock += int64(i & 1)
		d.registry.Merge(d.at(n.now), from.id, batch)
	}
}

func BenchmarkPublishChange(b *testing.B) {
	for _, upstreams := range []int{65, 420, 2100} {
		b.Run(fmt.Sprintf("upstreams=%d", upstreams), func(b *testing.B) {
			r := membership.New(membership.Config{ID: "d"}, origin)
			add := func(i int, s uint64) {
				r.Announce(origin, membership.Announcement{ID: fmt.Sprint("u", i), Incarnation: 1, Sequence: s, State: membership.Ready, Services: []string{"x"}})
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
	n := loaded(2, 420)
	runtime.GC()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/2/420, "B/upstream")
	for range b.N {
		_ = n.daemons[0].registry.View()
	}
	runtime.KeepAlive(n)
}
