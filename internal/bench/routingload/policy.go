package routingload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellfield/bluebellfield/routing"
)

// Names of the policies.
const (
	PolicyRouter           = "router"
	PolicyRandom           = "random"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastReported    = "least-reported"
	PolicyLeastOutstanding = "least-outstanding"
)

// Policies lists the router and the baselines.
func Policies() []string {
	return []string{PolicyRouter, PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyLeastOutstanding}
}

// chooser is the choice of an upstream at one entry. Choose returns the index
// of an engine, or false; done is called when the request has ended.
type chooser interface {
	choose(r *request) (engine int, done func(firstToken time.Duration), ok bool)
	report(engine, load int, sent time.Time)
	refresh()
	events(b routing.CacheEvents)
}

// baseline chooses without regard to prefixes.
type baseline struct {
	policy      string
	random      *rand.Rand
	next        int
	reported    []int
	outstanding []int
}

func (b *baseline) choose(*request) (int, func(time.Duration), bool) {
	chosen := 0
	switch b.policy {
	case PolicyRandom:
		chosen = b.random.IntN(len(b.reported))
	case PolicyRoundRobin:
		chosen = b.next % len(b.reported)
		b.next++
	case PolicyLeastReported:
		chosen = b.least(b.reported)
	case PolicyLeastOutstanding:
		chosen = b.least(b.outstanding)
	}
	b.outstanding[chosen]++
	return chosen, func(time.Duration) { b.outstanding[chosen]-- }, true
}

// least returns the index of the lowest value, from a random start so that ties
// do not favour the first engines.
func (b *baseline) least(values []int) int {
	start := b.random.IntN(len(values))
	best := start
	for i := range values {
		if at := (start + i) % len(values); values[at] < values[best] {
			best = at
		}
	}
	return best
}

func (b *baseline) report(engine, load int, _ time.Time) { b.reported[engine] = load }
func (b *baseline) refresh()                             {}
func (b *baseline) events(routing.CacheEvents)           {}

// routed chooses by package routing.
type routed struct {
	clock      *clock
	router     *routing.Router
	source     *routing.Source
	candidates []routing.Candidate
	index      map[string]int
}

func newChooser(o Options, policy string, entry int, c *clock) chooser {
	seed := o.Seed*1000 + uint64(entry)
	if policy != PolicyRouter {
		b := &baseline{policy: policy, random: rand.New(rand.NewPCG(seed, 3))}
		b.reported, b.outstanding = make([]int, o.Engines), make([]int, o.Engines)
		b.next = b.random.IntN(o.Engines)
		return b
	}
	costs := routing.DefaultConfig().Costs
	costs.Block = blockTime.Seconds()
	r := &routed{clock: c, source: routing.NewSource(seed), index: map[string]int{}}
	r.router = routing.New(routing.Config{FailureDomain: domainOf(o, entry), Region: "r", Entries: o.Entries, Costs: costs},
		routing.NewPrefixIndex(routing.PrefixConfig{UpstreamBlocks: cacheBlocks, TotalBlocks: o.Engines * cacheBlocks}))
	for i := range o.Engines {
		id := engineID(i)
		r.index[id] = i
		r.candidates = append(r.candidates, routing.Candidate{
			ID: id, Incarnation: 1, FailureDomain: domainOf(o, i), Region: "r", Services: []string{"chat"},
			State: routing.Ready, MaxConcurrent: batchSize, Load: routing.Load{At: c.time()},
		})
	}
	r.refresh()
	return r
}

func engineID(i int) string                { return fmt.Sprintf("engine-%04d", i) }
func domainOf(o Options, index int) string { return fmt.Sprint("d", index%o.Domains) }

func (r *routed) choose(q *request) (int, func(time.Duration), bool) {
	now := r.clock.time()
	choice, err := r.router.Pick(now, r.source, &routing.Request{Service: "chat", Prefix: q.blocks})
	if err != nil {
		return 0, nil, false
	}
	u := choice.Upstream
	r.router.Begin(now, u, q.blocks)
	return r.index[u.ID], func(first time.Duration) {
		r.router.Done(r.clock.time(), u, routing.Observation{FirstToken: first - q.arrived, SlotFreed: true})
	}, true
}

func (r *routed) report(engine, load int, sent time.Time) {
	r.candidates[engine].Load = routing.Load{Running: min(load, batchSize), Queued: max(0, load-batchSize), At: sent}
}

func (r *routed) refresh()                     { r.router.Publish(r.clock.time(), r.candidates) }
func (r *routed) events(b routing.CacheEvents) { r.router.Index().Apply(r.clock.time(), b) }
