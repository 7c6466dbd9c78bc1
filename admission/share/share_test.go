package share

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

var testLimits = []Limit{
	{ID: ID(Rate, "a", ""), Kind: Rate, Value: 100},
	{ID: ID(Concurrent, "a", ""), Kind: Concurrent, Value: 10},
	{ID: ID(Slots, "", "s"), Kind: Slots, Value: 1040},
}

const step = 100 * time.Millisecond

type flight struct {
	at       time.Duration
	from, to int
	m        Message
}

type quietKey struct {
	node  int
	limit LimitID
}

// cluster runs nodes over a network that loses, delays and duplicates messages
// and is partitioned.
type cluster struct {
	rng         *rand.Rand
	ids         []string
	nodes       []*Node
	incarnation uint64
	rate        []float64 // clock rate of each node
	side        []int     // partition side of each node, -1 when it is down
	flights     []flight
	elapsed     time.Duration
	quiet       map[quietKey]time.Duration // when demand for a limit returns
	loss, dup   float64
	maxDelay    time.Duration
}

func newCluster(rng *rand.Rand, n int, drift float64) *cluster {
	c := &cluster{rng: rng, quiet: map[quietKey]time.Duration{}, nodes: make([]*Node, n), rate: make([]float64, n), side: make([]int, n)}
	for i := range n {
		c.ids = append(c.ids, fmt.Sprintf("d%d", i))
		c.rate[i] = 1 + drift*(2*rng.Float64()-1)
	}
	for i := range n {
		c.restart(i)
	}
	return c
}

func (c *cluster) now(i int) time.Time {
	return origin.Add(time.Duration(float64(c.elapsed) * c.rate[i]))
}

func (c *cluster) restart(i int) {
	c.incarnation++
	c.nodes[i] = New(Config{ID: c.ids[i], Incarnation: c.incarnation}, c.now(i))
	c.nodes[i].SetView(c.now(i), c.ids, c.ids)
	c.nodes[i].SetLimits(c.now(i), testLimits)
}

// view gives a node the daemons of its side as live.
func (c *cluster) view(i int) {
	var live []string
	for j, id := range c.ids {
		if c.side[j] == c.side[i] {
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
			if c.rng.Float64() < c.dup {
				copies++
			}
			if c.rng.Float64() >= c.loss {
				delay := time.Duration(c.rng.Float64() * float64(c.maxDelay))
				c.flights = append(c.flights, flight{at: c.elapsed + delay, from: from, to: to, m: e.Message})
			}
		}
	}
}

func (c *cluster) step() {
	c.elapsed += step
	flights := c.flights
	c.flights = nil
	for _, f := range flights {
		switch {
		case f.at > c.elapsed:
			c.flights = append(c.flights, f)
		case c.side[f.to] == c.side[f.from] && c.side[f.to] >= 0:
			c.send(f.to, c.nodes[f.to].Step(c.now(f.to), c.ids[f.from], f.m))
		}
	}
	for i, n := range c.nodes {
		if c.side[i] >= 0 {
			c.send(i, n.Tick(c.now(i)))
		}
	}
}

// excess returns by how much leases exceed a limit, and by how much the sum of
// all allowances exceeds limit × (1 + F/N) for F entries on their guaranteed
// part.
func (c *cluster) excess(l Limit) (leases, all float64) {
	leased, sum, fallback := 0.0, 0.0, 0.0
	for i, n := range c.nodes {
		h := n.limits[l.ID]
		if c.now(i).Before(h.lease.expires) {
			leased += h.lease.share
		}
		a := n.Local(c.now(i), l.ID)
		sum += a.Value
		if a.Source == Guaranteed {
			fallback += n.guaranteed(l)
		}
	}
	return leased - l.Value, sum - fallback - l.Value
}

// chaos changes connections, views, processes and demand at random.
func (c *cluster) chaos(chance float64) {
	for i := range c.nodes {
		for _, l := range testLimits {
			if c.rng.Float64() < 0.005 {
				// Long enough for the limit to drop out of reports.
				c.quiet[quietKey{i, l.ID}] = c.elapsed + 4*time.Second + time.Duration(c.rng.Intn(5000))*time.Millisecond
			}
			if c.rng.Float64() < 0.2 && c.elapsed >= c.quiet[quietKey{i, l.ID}] {
				c.nodes[i].SetDemand(c.now(i), l.ID, Demand{Paying: float64(c.rng.Intn(int(l.Value))), Free: float64(c.rng.Intn(int(l.Value)))})
			}
		}
		if c.rng.Float64() < chance {
			c.side[i] = c.rng.Intn(4) - 1
		}
		switch {
		case c.rng.Float64() < chance:
			c.restart(i)
		case c.rng.Float64() < 3*chance:
			c.view(i)
		case c.rng.Float64() < chance:
			// A view that differs from the network, as after an asymmetric fault.
			live := append([]string(nil), c.ids...)
			c.rng.Shuffle(len(live), func(a, b int) { live[a], live[b] = live[b], live[a] })
			c.nodes[i].SetView(c.now(i), live[:1+c.rng.Intn(len(live))], c.ids)
		}
	}
}

// Guards against leases of one limit that add up to more than the limit, and
// against allowances beyond the stated overshoot, under lost, late and
// duplicated messages, partitions, restarts, owner changes and clock drift.
func TestOvershootIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		c := newCluster(rng, rapid.IntRange(1, 7).Draw(t, "daemons"), DefaultDrift)
		c.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
		c.dup = rapid.Float64Range(0, 0.3).Draw(t, "duplicates")
		c.maxDelay = time.Duration(rapid.IntRange(0, 5000).Draw(t, "delay")) * time.Millisecond
		chance := rapid.SampledFrom([]float64{0, 0.0005, 0.002, 0.01}).Draw(t, "faults")
		for c.elapsed < 60*time.Second {
			c.chaos(chance)
			c.step()
			for _, l := range testLimits {
				leases, all := c.excess(l)
				// Sums of float64 differ in the last digits.
				if leases > 1e-6*l.Value || all > 1e-6*l.Value {
					t.Fatalf("after %v: limit %v exceeded by %v in leases, %v beyond the bound", c.elapsed, l.Value, leases, all)
				}
			}
		}
	})
}

// Guards against a checker that accepts anything: clocks that drift by far more
// than configured must be seen to break the bound.
func TestCheckerSeesBrokenClocks(t *testing.T) {
	for seed := range int64(200) {
		c := newCluster(rand.New(rand.NewSource(seed)), 5, 0.4)
		c.maxDelay = 50 * time.Millisecond
		for c.elapsed < 60*time.Second {
			c.chaos(0.002)
			c.step()
			for _, l := range testLimits {
				if leases, _ := c.excess(l); leases > 1e-6*l.Value {
					return
				}
			}
		}
	}
	t.Fatal("no schedule broke the bound with clocks that drift by 40%")
}

func (c *cluster) settle(d time.Duration, demand func(i int, l Limit) Demand) {
	for end := c.elapsed + d; c.elapsed < end; {
		for i := range c.nodes {
			if c.side[i] < 0 {
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
		a := n.Local(c.now(i), l.ID)
		out, sources = append(out, a.Value), append(sources, a.Source)
	}
	return out, sources
}

// Guards against capacity of a limit that stays unused: demand at one entry
// gets all of it, also after its owner and other daemons have failed.
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
			if l.Kind.whole() {
				want = float64(int(want))
			}
			require.GreaterOrEqual(t, got[0], want, "%s: limit %v", name, l.Value)
		}
	}
	c.settle(9*time.Second, onlyFirst)
	check("all daemons up", 0.95)
	for i := 4; i < 7; i++ {
		c.side[i] = -1
	}
	for i := range 4 {
		c.view(i)
	}
	c.settle(10*time.Second, onlyFirst)
	check("three of seven down", 0.95)
	c.side[0] = 1
	c.view(0)
	c.settle(10*time.Second, onlyFirst)
	check("alone", 1.0/7)
	got, sources := c.allowances(testLimits[1])
	require.Equal(t, Guaranteed, sources[0])
	require.GreaterOrEqual(t, got[0], 1.0)
}

// Guards against free demand at one entry taking shares that paying demand at
// another could use.
func TestPayingDemandFirst(t *testing.T) {
	c := newCluster(rand.New(rand.NewSource(1)), 3, 0)
	c.settle(12*time.Second, func(i int, l Limit) Demand {
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

// Guards against entries that never get a turn when the limit is under their
// number.
func TestSmallWholeLimitTakesTurns(t *testing.T) {
	c := newCluster(rand.New(rand.NewSource(1)), 7, 0)
	all := func(i int, l Limit) Demand { return Demand{Paying: l.Value} }
	for i := range c.nodes {
		c.nodes[i].SetLimit(c.now(i), Limit{ID: testLimits[1].ID, Kind: Concurrent, Value: 3})
	}
	c.settle(9*time.Second, all)
	turns := make([]int, 7)
	for range 300 {
		c.settle(step, all)
		got, _ := c.allowances(testLimits[1])
		for i, v := range got {
			turns[i] += int(v)
		}
	}
	for i, n := range turns {
		require.Positive(t, n, "entry %d", i)
	}
}

// Guards against an owner that reassigns a share because a later grant was
// acknowledged which did not contain the limit: the grant in between may be
// lost, and the entry still uses the first.
func TestAcknowledgementReplacesOnlyWhatItContains(t *testing.T) {
	for _, test := range []struct {
		acked uint64
		want  float64
	}{{1, 50}, {2, 10}, {3, 50}} {
		h := &holder{grants: []grantedShare{{seq: 1, share: 50, expires: origin.Add(time.Second)}, {seq: 2, share: 10, expires: origin.Add(time.Second)}}}
		h.acknowledge(test.acked)
		(&ownedLimit{}).commit(h, origin)
		require.Equal(t, test.want, h.committed, "grant %d acknowledged", test.acked)
	}
}

// Guards against an overshoot of half the limit or more that lasts, on any
// steady partition into two sides.
func TestSteadyPartition(t *testing.T) {
	for size := range 7 {
		c := newCluster(rand.New(rand.NewSource(1)), 7, 0)
		full := func(_ int, l Limit) Demand { return Demand{Paying: l.Value} }
		c.settle(9*time.Second, full)
		for i := range size {
			c.side[i] = 1
		}
		for i := range c.nodes {
			c.view(i)
		}
		c.settle(7*time.Second, full)
		for range 100 {
			c.settle(step, full)
			for _, l := range testLimits {
				got, sources := c.allowances(l)
				sum, fallback := 0.0, 0
				for i := range got {
					sum += got[i]
					if sources[i] == Guaranteed {
						fallback++
					}
				}
				require.LessOrEqual(t, sum, 1.5*l.Value, "%d of 7 entries cut off", size)
				require.Less(t, 2*fallback, 7, "%d of 7 entries cut off", size)
			}
		}
	}
}
