package control

import (
	"fmt"
	"runtime"
	"time"

	"github.com/bluebellfield/bluebellfield/admission/share"
	"github.com/bluebellfield/bluebellfield/admission/share/sharepb"
	"github.com/bluebellfield/bluebellfield/internal/bench"
)

const (
	// sharesTickInterval is the interval at which the share nodes are ticked. The
	// admitter of a daemon ticks its node every 100 ms.
	sharesTickInterval = 20 * time.Millisecond
	// activeLimitsPerEntry is the number of limits for which each entry has
	// demand.
	activeLimitsPerEntry = 20
	sharesWarmup         = 8 * time.Second
)

// shareFleet simulates the share nodes of all daemons.
type shareFleet struct {
	now    time.Time
	ids    []string
	nodes  map[string]*share.Node
	limits []share.Limit
	// total is the traffic of all nodes, byNode that of each.
	total  traffic
	byNode map[string]*traffic
}

func newShareFleet(daemons, limits int) *shareFleet {
	f := &shareFleet{now: simulationStart, nodes: map[string]*share.Node{}, byNode: map[string]*traffic{}}
	for i := range daemons {
		f.ids = append(f.ids, fmt.Sprintf("entry-%03d", i))
	}
	for i := range limits {
		f.limits = append(f.limits, share.Limit{ID: share.ID(share.Rate, fmt.Sprintf("account-%d", i), ""), Kind: share.Rate, Value: 1000})
	}
	for _, id := range f.ids {
		n := share.New(share.Config{ID: id, Incarnation: 1}, f.now)
		n.SetView(f.now, f.ids, f.ids)
		n.SetLimits(f.now, f.limits)
		f.nodes[id], f.byNode[id] = n, &traffic{}
	}
	return f
}

func (f *shareFleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(sharesTickInterval) {
		for i, id := range f.ids {
			n := f.nodes[id]
			for k := range min(activeLimitsPerEntry, len(f.limits)) {
				n.SetDemand(f.now, f.limits[(i+k)%len(f.limits)].ID, share.Demand{Paying: 10, Free: 30})
			}
			if err := f.send(id, n.Tick(f.now)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *shareFleet) send(from string, out []share.Envelope) error {
	for _, e := range out {
		data, err := sharepb.Encode(e.Message)
		if err != nil {
			return err
		}
		f.count(from, sent, len(data))
		f.count(e.To, received, len(data))
		m, err := sharepb.Decode(data)
		if err != nil {
			return err
		}
		if err := f.send(e.To, f.nodes[e.To].Step(f.now, from, m)); err != nil {
			return err
		}
	}
	return nil
}

func (f *shareFleet) count(id string, direction, size int) {
	f.total.add(direction, size)
	f.byNode[id].add(direction, size)
}

// measureShares returns the average usage of a daemon, and the wire bytes/s of
// the daemon with the most traffic, an owner of limits.
func measureShares(daemons, limits, seconds int) (usage, float64, error) {
	heapBefore := heapBytes()
	f := newShareFleet(daemons, limits)
	if err := f.run(sharesWarmup); err != nil {
		return usage{}, 0, err
	}
	f.total = traffic{}
	for _, t := range f.byNode {
		*t = traffic{}
	}
	cpuBefore, err := bench.CPUTime()
	if err != nil {
		return usage{}, 0, err
	}
	if err := f.run(time.Duration(seconds) * time.Second); err != nil {
		return usage{}, 0, err
	}
	cpuAfter, err := bench.CPUTime()
	if err != nil {
		return usage{}, 0, err
	}
	daemonSeconds := float64(daemons * seconds)
	u := usage{
		Payload:     float64(f.total.payload[sent]+f.total.payload[received]) / daemonSeconds,
		Framed:      float64(f.total.framed[sent]+f.total.framed[received]) / daemonSeconds,
		Wire:        float64(f.total.wireBytes()) / daemonSeconds,
		CorePercent: 100 * (cpuAfter - cpuBefore).Seconds() / daemonSeconds,
		Megabytes:   float64(heapBytes()-heapBefore) / float64(daemons) / 1e6,
	}
	busiest := 0
	for _, t := range f.byNode {
		busiest = max(busiest, t.wireBytes())
	}
	runtime.KeepAlive(f)
	return u, float64(busiest) / float64(seconds), nil
}
