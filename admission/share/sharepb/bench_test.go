package sharepb

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/bluebellfield/bluebellfield/admission/share"
)

// BenchmarkProtocol runs one second of the protocol for all daemons per
// iteration and reports bytes sent and CPU time per daemon, and the bytes sent
// and received by the busiest, an owner. "all" has demand
// for every limit at every entry, "active" for at most 21 limits at each entry:
// the planned 8,400 requests/s over 400 entries.
func BenchmarkProtocol(b *testing.B) {
	for _, daemons := range []int{7, 20, 80, 400} {
		for _, limits := range []int{10, 100, 1000} {
			for _, active := range []int{limits, 21} {
				if active > limits {
					continue
				}
				b.Run(fmt.Sprintf("daemons=%d/limits=%d/active=%d", daemons, limits, active), func(b *testing.B) {
					protocol(b, daemons, limits, active)
				})
			}
		}
	}
}

func protocol(b *testing.B, daemons, limits, active int) {
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
	bytes, messages := 0, 0
	each := make([]int, daemons) // bytes sent and received
	var deliver func(from int, out []share.Envelope)
	deliver = func(from int, out []share.Envelope) {
		for _, e := range out {
			data, err := Encode(e.Message)
			if err != nil {
				b.Fatal(err)
			}
			bytes, messages = bytes+len(data), messages+1
			m, err := Decode(data)
			if err != nil {
				b.Fatal(err)
			}
			to := index[e.To]
			each[from] += len(data)
			each[to] += len(data)
			deliver(to, nodes[to].Step(now, ids[from], m))
		}
	}
	second := func() {
		now = now.Add(time.Second)
		for i, n := range nodes {
			for k := range active {
				n.SetDemand(now, all[(i*active+k)%limits].ID, share.Demand{Free: float64(1 + i + k)})
			}
			deliver(i, n.Tick(now))
		}
	}
	for range 10 {
		second() // until owners have authority
	}
	leased := 0
	for i, n := range nodes {
		if n.Local(now, all[i*active%limits].ID).Source == share.Leased {
			leased++
		}
	}
	if leased < daemons {
		b.Fatalf("%d of %d entries hold a lease", leased, daemons)
	}
	bytes, messages = 0, 0
	clear(each)
	b.ResetTimer()
	for range b.N {
		second()
	}
	perDaemon := float64(b.N) * float64(daemons)
	b.ReportMetric(float64(bytes)/perDaemon, "B/s/daemon")
	b.ReportMetric(float64(slices.Max(each))/float64(b.N), "B/s/busiest")
	b.ReportMetric(float64(messages)/perDaemon, "msgs/s/daemon")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/perDaemon, "µs/s/daemon")
}
