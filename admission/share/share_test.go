package share

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testLimits = []Limit{
	{ID: ID(Rate, "a", ""), Kind: Rate, Value: 100},
	{ID: ID(Concurrent, "a", ""), Kind: Concurrent, Value: 10},
	{ID: ID(Slots, "", "s"), Kind: Slots, Value: 1040},
}

const step = 100 * time.Millisecond

type inFlightMessage struct {
	at       time.Duration
	from, to int
	m        Message
}

type demandKey struct {
	node  int
	limit LimitID
}

// cluster simulates nodes on a network that loses, delays and duplicates
// messages and can be partitioned.
type cluster struct {
	rng               *rand.Rand
	ids               []string
	nodes             []*Node
	incarnation       uint64
	clockRate         []float64 // clock rate of each node
	partition         []int     // partition that each node is in, -1 if it is down
	inFlight          []inFlightMessage
	elapsed           time.Duration
	noDemandUntil     map[demandKey]time.Duration // no demand for a limit until then
	loss, duplication float64
	maxDelay          time.Duration
}

func newCluster(rng *rand.Rand, n int, drift float64) *cluster {
	c := &cluster{rng: rng, noDemandUntil: map[demandKey]time.Duration{}, nodes: make([]*Node, n), clockRate: make([]float64, n), partition: make([]int, n)}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("d%d", i))
		c.clockRate[i] = 1 + drift*(2*rng.Float64()-1)
	}
	for i := range n {
		c.restart(i)
	}
	return c
}

func (c *cluster) now(i int) time.Time {
	return testStart.Add(time.Duration(float64(c.elapsed) * c.clockRate[i]))
}

func (c *cluster) restart(i int) {
	c.incarnation++
	c.nodes[i] = New(Config{ID: c.ids[i], Incarnation: c.incarnation}, c.now(i))
	c.nodes[i].SetView(c.now(i), c.ids, c.ids)
	c.nodes[i].SetLimits(c.now(i), testLimits)
}

// updateView sets the live daemons of a node to those in its partition.
func (c *cluster) updateView(i int) {
	var live []string
	for j, id := range c.ids {
		if c.partition[j] == c.partition[i] {
			live = append(live, id)
		}
	}
	c.nodes[i].SetView(c.now(i), live, c.ids)
}

func (c *cluster) send(from int, out []Envelope) {
	for _, e := range out {
		var to int
		fmt.Sscanf(e.To, "d%d", &to)
		for copies := 1; copies > 0; copies-- {
			if c.rng.Float64() < c.duplication {
				copies++
			}
			if c.rng.Float64() >= c.loss {
				delay := time.Duration(c.rng.Float64() * float64(c.maxDelay))
				c.inFlight = append(c.inFlight, inFlightMessage{at: c.elapsed + delay, from: from, to: to, m: e.Message})
			}
		}
	}
}

func (c *cluster) step() {
	c.elapsed += step
	flights := c.inFlight
	c.inFlight = nil
	for _, f := range flights {
		switch {
		case f.at > c.elapsed:
			c.inFlight = append(c.inFlight, f)
		case c.partition[f.to] == c.partition[f.from] && c.partition[f.to] >= 0:
			c.send(f.to, c.nodes[f.to].Step(c.now(f.to), c.ids[f.from], f.m))
		}
	}
	for i, n := range c.nodes {
		if c.partition[i] >= 0 {
			c.send(i, n.Tick(c.now(i)))
		}
	}
}

// overshoot returns by how much the valid leases exceed a limit, and by how much
// the sum of all allowances exceeds the limit plus the guaranteed shares of
// those entries that use them, which is limit × (1 + F/N) for F such entries.
func (c *cluster) overshoot(l Limit) (leases, all float64) {
	leased, sum, guaranteed := 0.0, 0.0, 0.0
	for i, n := range c.nodes {
		state := n.limits[l.ID]
		if c.now(i).Before(state.lease.expires) {
			leased += state.lease.share
		}
		a := n.LocalAllowance(c.now(i), l.ID)
		sum += a.Value
		if a.Source == Guaranteed {
			guaranteed += n.guaranteedShare(l)
		}
	}
	return leased - l.Value, sum - guaranteed - l.Value
}

// injectFaults randomly changes partitions, views and demand, and restarts
// nodes.
func (c *cluster) injectFaults(probability float64) {
	for i := range c.nodes {
		for _, l := range testLimits {
			if c.rng.Float64() < 0.005 {
				// Mostly longer than idleReportTimeout, so that the limit is left
				// out of reports.
				c.noDemandUntil[demandKey{i, l.ID}] = c.elapsed + 4*time.Second + time.Duration(c.rng.Intn(5000))*time.Millisecond
			}
			if c.rng.Float64() < 0.2 && c.elapsed >= c.noDemandUntil[demandKey{i, l.ID}] {
				c.nodes[i].SetDemand(c.now(i), l.ID, Demand{Paying: float64(c.rng.Intn(int(l.Value))), Free: float64(c.rng.Intn(int(l.Value)))})
			}
		}
		if c.rng.Float64() < probability {
			c.partition[i] = c.rng.Intn(4) - 1
		}
		switch {
		case c.rng.Float64() < probability:
			c.restart(i)
		case c.rng.Float64() < 3*probability:
			c.updateView(i)
		case c.rng.Float64() < probability:
			// A view that does not match the network, as after an asymmetric
			// network fault.
			live := append([]string(nil), c.ids...)
			c.rng.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
			c.nodes[i].SetView(c.now(i), live[:1+c.rng.Intn(len(live))], c.ids)
		}
	}
}

// Guards against leases of a limit whose sum exceeds the limit, and against
// allowances beyond the documented overshoot, under lost, delayed and duplicated
// messages, partitions, restarts, owner changes and clock drift.
func TestOvershootIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		c := newCluster(rng, rapid.IntRange(1, 7).Draw(t, "daemons"), DefaultDrift)
		c.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		c.duplication = rapid.Float64Range(0, 0.3).Draw(t, "duplicates")
		c.maxDelay = time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond
		chance := rapid.SampledFrom([]float64{0, 0.0005, 0.002, 0.01}).Draw(t, "faults")
		for c.elapsed < 60*time.Second {
			c.injectFaults(chance)
			c.step()
			for _, l := range testLimits {
				leases, all := c.overshoot(l)
				// The tolerance is for rounding errors of float64 sums.
				if leases > 1e-6*l.Value || all > 1e-6*l.Value {
					t.Fatalf("after %v: limit %v exceeded by %v in leases, %v beyond the bound", c.elapsed, l.Value, leases, all)
				}
			}
		}
	})
}

// Guards against a check that never fails: clocks that drift far more than
// configured must be detected as exceeding the bound.
func TestCheckerSeesBrokenClocks(t *testing.T) {
	for seed := range int64(200) {
		c := newCluster(rand.New(rand.NewSource(seed)), 5, 0.4)
		c.maxDelay = 50 * time.Millisecond
		for c.elapsed < 60*time.Second {
			c.injectFaults(0.002)
			c.step()
			for _, l := range testLimits {
				if leases, _ := c.overshoot(l); leases > 1e-6*l.Value {
					return
				}
			}
		}
	}
	t.Fatal("no schedule broke the bound with clocks that drift by 40%")
}

// runWithDemand runs the cluster for a duration with the given demand.
func (c *cluster) runWithDemand(d time.Duration, demand func(i int, l Limit) Demand) {
	for end := c.elapsed + d; c.elapsed < end; {
		for i := range c.nodes {
			if c.partition[i] < 0 {
				continue
			}
			for _, l := range testLimits {
				c.nodes[i].SetDemand(c.now(i), l.ID, demand(i, l))
			}
		}
		c.step()
	}
}

func (c *cluster) allowances(l Limit) (out []float64, sources []Source) {
	for i, n := range c.nodes {
		a := n.LocalAllowance(c.now(i), l.ID)
		out, sources = append(out, a.Value), append(sources, a.Source)
	}
	return out, sources
}

// Guards against unused parts of a limit: an entry that is the only one with
// demand must get almost the whole limit, also after other daemons, including
// owners of limits, have failed. An isolated entry gets its guaranteed share.
func TestDemandGetsTheLimit(t *testing.T) {
	onlyFirst := func(i int, l Limit) Demand {
		if i == 0 {
			return Demand{Free: 10 * l.Value}
		}
		return Demand{}
	}
	c := newCluster(rand.New(rand.NewSource(1)), 7, 0)
	c.maxDelay = 5 * time.Millisecond
	check := func(name string, least float64) {
		for _, l := range testLimits {
			got, _ := c.allowances(l)
			want := least * l.Value
			if l.Kind.isInteger() {
				want = float64(int(want))
			}
			require.GreaterOrEqual(t, got[0], want, "%s: limit %v", name, l.Value)
		}
	}
	c.runWithDemand(9*time.Second, onlyFirst)
	check("all daemons up", 0.95)
	for i := 4; i < 7; i++ {
		c.partition[i] = -1
	}
	for i := range 4 {
		c.updateView(i)
	}
	c.runWithDemand(10*time.Second, onlyFirst)
	check("three of seven down", 0.95)
	c.partition[0] = 1
	c.updateView(0)
	c.runWithDemand(10*time.Second, onlyFirst)
	check("alone", 1.0/7)
	got, sources := c.allowances(testLimits[1])
	require.Equal(t, Guaranteed, sources[0])
	require.GreaterOrEqual(t, got[0], 1.0)
}

// Guards against free demand at one entry that takes shares needed by paying
// demand at another.
func TestPayingDemandFirst(t *testing.T) {
	c := newCluster(rand.New(rand.NewSource(1)), 3, 0)
	c.runWithDemand(12*time.Second, func(i int, l Limit) Demand {
		if i == 0 {
			return Demand{Paying: 0.8 * l.Value}
		}
		return Demand{Free: l.Value}
	})
	for _, l := range testLimits {
		got, _ := c.allowances(l)
		require.GreaterOrEqual(t, got[0], 0.79*l.Value)
	}
}

// Guards against entries that never get a share if an integer limit is smaller
// than the number of entries.
func TestSmallWholeLimitTakesTurns(t *testing.T) {
	c := newCluster(rand.New(rand.NewSource(1)), 7, 0)
	all := func(i int, l Limit) Demand { return Demand{Paying: l.Value} }
	for i := range c.nodes {
		c.nodes[i].SetLimit(c.now(i), Limit{ID: testLimits[1].ID, Kind: Concurrent, Value: 3})
	}
	c.runWithDemand(9*time.Second, all)
	turns := make([]int, 7)
	for range 300 {
		c.runWithDemand(step, all)
		got, _ := c.allowances(testLimits[1])
		for i, v := range got {
			turns[i] += int(v)
		}
	}
	for i, n := range turns {
		require.Positive(t, n, "entry %d", i)
	}
}

// Guards against an owner that reassigns a share after the acknowledgement of a
// later grant that does not contain the limit. The grant that reduced the share
// may have been lost, in which case the entry still uses the earlier one.
func TestAcknowledgementReplacesOnlyWhatItContains(t *testing.T) {
	for _, test := range []struct {
		acked uint64
		want  float64
	}{{1, 50}, {2, 10}, {3, 50}} {
		h := &leaseHolder{grants: []grantedShare{{seq: 1, share: 50, expires: testStart.Add(time.Second)}, {seq: 2, share: 10, expires: testStart.Add(time.Second)}}}
		h.dropReplacedGrants(test.acked)
		(&ownedLimit{}).updateCommitted(h, testStart)
		require.Equal(t, test.want, h.committed, "grant %d acknowledged", test.acked)
	}
}

// Guards against a persistent overshoot of more than half the limit in any
// stable partition of the network into two parts.
func TestSteadyPartition(t *testing.T) {
	for isolated := range 7 {
		c := newCluster(rand.New(rand.NewSource(1)), 7, 0)
		fullDemand := func(_ int, l Limit) Demand { return Demand{Paying: l.Value} }
		c.runWithDemand(9*time.Second, fullDemand)
		for i := range isolated {
			c.partition[i] = 1
		}
		for i := range c.nodes {
			c.updateView(i)
		}
		c.runWithDemand(7*time.Second, fullDemand)
		for range 100 {
			c.runWithDemand(step, fullDemand)
			for _, l := range testLimits {
				got, sources := c.allowances(l)
				sum, guaranteed := 0.0, 0
				for i := range got {
					sum += got[i]
					if sources[i] == Guaranteed {
						guaranteed++
					}
				}
				require.LessOrEqual(t, sum, 1.5*l.Value, "%d of 7 entries cut off", isolated)
				require.Less(t, 2*guaranteed, 7, "%d of 7 entries cut off", isolated)
			}
		}
	}
}
