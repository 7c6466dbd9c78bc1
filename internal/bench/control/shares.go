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
	// sharesTick is how often the admitter lets the time of the shares pass.
	sharesTick = 20 * time.Millisecond
	// activeLimits is the number of limits that each entry has demand for.
	activeLimits = 20
	sharesSettle = 8 * time.Second
)

// shareFleet is a set of share nodes in simulated time.
type shareFleet struct {
	now    time.Time
	ids    []string
	nodes  map[string]*share.Node
	limits []share.Limit
	// total is the traffic of all nodes, each that of one.
	total traffic
	each  map[string]*traffic
}

func newShareFleet(daemons, limits int) *shareFleet {
	f := &shareFleet{now: origin, nodes: map[string]*share.Node{}, each: map[string]*traffic{}}
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
		f.nodes[id], f.each[id] = n, &traffic{}
	}
	return f
}

func (f *shareFleet) run(d time.Duration) error {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(sharesTick) {
		for i, id := range f.ids {
			n := f.nodes[id]
			for k := range min(activeLimits, len(f.limits)) {
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
		f.meter(from, sent, len(data))
		f.meter(e.To, received, len(data))
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

func (f *shareFleet) meter(id string, direction, size int) {
	f.total.add(direction, size)
	f.each[id].add(direction, size)
}

// measureShares returns the work of a daemon on average, and the bytes/s on
// the wire of the daemon with the most, an owner of limits.
func measureShares(daemons, limits, seconds int) (usage, float64, error) {
	before := heapBytes()
	f := newShareFleet(daemons, limits)
	if err := f.run(sharesSettle); err != nil {
		return usage{}, 0, err
	}
	f.total = traffic{}
	for _, t := range f.each {
		*t = traffic{}
	}
	cpu, err := bench.CPUTime()
	if err != nil {
		return usage{}, 0, err
	}
	if err := f.run(time.Duration(seconds) * time.Second); err != nil {
		return usage{}, 0, err
	}
	used, err := bench.CPUTime()
	if err != nil {
		return usage{}, 0, err
	}
	count := float64(daemons * seconds)
	u := usage{
		Payload: float64(f.total.payload[sent]+f.total.payload[received]) / count,
		Framed:  float64(f.total.framed[sent]+f.total.framed[received]) / count,
		Wire:    float64(f.total.onWire()) / count,
		Core:    100 * (used - cpu).Seconds() / count,
		MB:      float64(heapBytes()-before) / float64(daemons) / 1e6,
	}
	most := 0
	for _, t := range f.each {
		most = max(most, t.onWire())
	}
	runtime.KeepAlive(f)
	return u, float64(most) / float64(seconds), nil
}
