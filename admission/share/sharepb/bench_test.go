package sharepb

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// BenchmarkProtocol simulates one second of the protocol for all daemons per
// iteration. It reports bytes sent, messages and CPU time per daemon, and the
// bytes sent and received by the busiest daemon, an owner. "active" is the
// number of limits with demand at each entry: all of them, or 21, which is the
// planned load of 8,400 requests/s over 400 entries.
func BenchmarkProtocol(b *testing.B) {
	for _, daemons := range []int{7, 20, 80, 400} {
		for _, limits := range []int{10, 100, 1000} {
			for _, active := range []int{limits, 21} {
				if active > limits {
					continue
				}
				b.Run(fmt.Sprintf("daemons=%d/limits=%d/active=%d", daemons, limits, active), func(b *testing.B) {
					runProtocol(b, daemons, limits, active)
				})
			}
		}
	}
}

func runProtocol(b *testing.B, daemons, limits, active int) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	ids, index := make([]string, daemons), map[string]int{}
	for i := range ids {
		ids[i] = fmt.Sprintf("entry-%d", i)
		index[ids[i]] = i
	}
	var all []share.Limit
	for i := range limits {
		all = append(all, share.Limit{ID: share.ID(share.Rate, fmt.Sprint(i), ""), Kind: share.Rate, Value: 100})
	}
	nodes := make([]*share.Node, daemons)
	for i, id := range ids {
		nodes[i] = share.New(share.Config{ID: id, Incarnation: 1}, now)
		nodes[i].SetView(now, ids, ids)
		nodes[i].SetLimits(now, all)
	}
	totalBytes, totalMessages := 0, 0
	bytesByDaemon := make([]int, daemons) // bytes sent and received
	var deliver func(from int, out []share.Envelope)
	deliver = func(from int, out []share.Envelope) {
		for _, e := range out {
			data, err := Encode(e.Message)
			if err != nil {
				b.Fatal(err)
			}
			totalBytes, totalMessages = totalBytes+len(data), totalMessages+1
			m, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			to := index[e.To]
			bytesByDaemon[from] += len(data)
			bytesByDaemon[to] += len(data)
			deliver(to, nodes[to].Step(now, ids[from], m))
		}
	}
	runSecond := func() {
		now = now.Add(time.Second)
		for i, n := range nodes {
			for k := range active {
				n.SetDemand(now, all[(i*active+k)%limits].ID, share.Demand{Free: float64(1 + i + k)})
			}
			deliver(i, n.Tick(now))
		}
	}
	for range 10 {
		runSecond() // warm-up until owners have authority
	}
	leased := 0
	for i, n := range nodes {
		if n.LocalAllowance(now, all[i*active%limits].ID).Source == share.Leased {
			leased++
		}
	}
	if leased < daemons {
		b.Fatalf("%d of %d entries hold a lease", leased, daemons)
	}
	totalBytes, totalMessages = 0, 0
	clear(bytesByDaemon)
	b.ResetTimer()
	for range b.N {
		runSecond()
	}
	perDaemon := float64(b.N) * float64(daemons)
	b.ReportMetric(float64(totalBytes)/perDaemon, "B/s/daemon")
	b.ReportMetric(float64(slices.Max(bytesByDaemon))/float64(b.N), "B/s/busiest")
	b.ReportMetric(float64(totalMessages)/perDaemon, "msgs/s/daemon")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/perDaemon, "µs/s/daemon")
}
