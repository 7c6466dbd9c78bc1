package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type scoreCase struct {
	name    string
	change  func(c *Candidate, r *Request)
	seconds float64
}

func runScore(t *testing.T, s Score, cases []scoreCase) {
	t.Helper()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			candidate := Candidate{
				ID: "u1", FailureDomain: "d0", Region: "r0", Services: []string{"chat"}, State: Ready,
				Models: []Model{{Name: "m"}}, MaxConcurrent: 4, Load: Load{At: benchTime},
			}
			request := Request{Service: "chat"}
			if c.change != nil {
				c.change(&candidate, &request)
			}
			r := New(Config{FailureDomain: "d0", Region: "r0", Costs: Costs{
				FullLoad: 1, Waiting: 10, Block: 0.5, SameRegion: 2, OtherRegion: 3, AdapterLoad: 4, NoPriority: 5,
			}}, nil)
			table := r.Publish(benchTime, []Candidate{candidate})
			u := table.Upstream("u1")
			q := &Query{Request: &request, cfg: &r.cfg, now: benchTime.UnixNano(), loadRatio: u.computeLoadRatio(), pool: table.pools[poolKey{service: "chat"}]}
			require.InDelta(t, c.seconds, s.Seconds(q, u), 1e-9)
		})
	}
}

func TestLoadScore(t *testing.T) {
	load := func(running, queued int) func(*Candidate, *Request) {
		return func(c *Candidate, _ *Request) { c.Load.Running, c.Load.Queued = running, queued }
	}
	runScore(t, loadScore{}, []scoreCase{
		{"idle", nil, 0}, {"half full", load(2, 0), 0.5}, {"full", load(4, 0), 1}, {"waiting", load(4, 2), 6},
	})
}

func TestDistanceScore(t *testing.T) {
	at := func(domain, region string) func(*Candidate, *Request) {
		return func(c *Candidate, _ *Request) { c.FailureDomain, c.Region = domain, region }
	}
	runScore(t, distanceScore{}, []scoreCase{
		{"own domain", nil, 0}, {"same region", at("d1", "r0"), 2}, {"other region", at("d2", "r1"), 3},
	})
}

func TestAdapterScore(t *testing.T) {
	runScore(t, adapterScore{}, []scoreCase{
		{"no adapter requested", nil, 0},
		{"missing", func(_ *Candidate, r *Request) { r.Adapter = "a" }, 4},
		{"loaded", func(c *Candidate, r *Request) { c.Models[0].Adapter, r.Adapter = "a", "a" }, 0},
		{"adapter of another model", func(c *Candidate, r *Request) { c.Models[0].Adapter, r.Adapter, r.Model = "a", "a", "n" }, 4},
	})
}

func TestPriorityScore(t *testing.T) {
	set := func(paying, priorities bool) func(*Candidate, *Request) {
		return func(c *Candidate, r *Request) { r.Paying, c.Priorities, c.Load.Running = paying, priorities, 2 }
	}
	runScore(t, priorityScore{}, []scoreCase{
		{"free request", set(false, false), 0}, {"priorities honored", set(true, true), 0}, {"priorities ignored", set(true, false), 2.5},
	})
}

func TestPrefixScore(t *testing.T) {
	u := &Upstream{slot: 3}
	for _, c := range []struct {
		name    string
		matches []Match
		want    float64
	}{
		{"nothing cached", nil, 2},
		{"cached elsewhere", []Match{{slot: 2, Blocks: 4, Probability: 1}}, 2},
		{"half cached", []Match{{slot: 2, Blocks: 4, Probability: 1}, {slot: 3, Blocks: 2, Probability: 1}}, 1},
		{"uncertain", []Match{{slot: 3, Blocks: 4, Probability: 0.5}}, 1},
	} {
		cfg := Config{Costs: Costs{Block: 0.5}}
		q := &Query{Request: &Request{Prefix: make([]uint64, 4)}, cfg: &cfg}
		q.matchCount, q.slotMask = copy(q.matches[:], c.matches), 1<<2|1<<3
		require.InDelta(t, c.want, prefixScore{}.Seconds(q, u), 1e-9, c.name)
	}
}

func TestLatencyScore(t *testing.T) {
	r := New(Config{}, nil)
	us := r.Publish(benchTime, fleet(4, benchTime)).Service("chat")
	for i, latency := range []time.Duration{100, 100, 400} {
		r.Begin(benchTime, us[i], nil)
		r.Done(benchTime, us[i], Observation{FirstToken: latency * time.Millisecond})
	}
	table := r.Publish(benchTime, fleet(4, benchTime))
	q := &Query{pool: table.pools[poolKey{service: "chat"}]}
	for i, want := range []float64{0, 0, 0.3, 0} { // the last has no observations
		require.InDelta(t, want, latencyScore{}.Seconds(q, table.Service("chat")[i]), 1e-9, i)
	}
}
