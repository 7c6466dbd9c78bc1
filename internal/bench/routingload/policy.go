package routingload

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bluebellfield/bluebellfield/routing"
)

// Routing policies. All but PolicyRouter are baselines.
const (
	PolicyRouter           = "router"
	PolicyRandom           = "random"
	PolicyRoundRobin       = "round-robin"
	PolicyLeastReported    = "least-reported"
	PolicyLeastOutstanding = "least-outstanding"
)

// Policies returns the names of all policies, the router first.
func Policies() []string {
	return []string{PolicyRouter, PolicyRandom, PolicyRoundRobin, PolicyLeastReported, PolicyLeastOutstanding}
}

// engineSelector selects engines for the requests of one entry. selectEngine
// returns the index of an engine, or false if none is available; the caller
// calls done when the request has ended.
type engineSelector interface {
	selectEngine(r *request) (engine int, done func(firstToken time.Duration), ok bool)
	updateLoad(engine, load int, sent time.Time)
	publish()
	applyCacheEvents(b routing.CacheEvents)
}

// baselineSelector implements the policies that ignore prompt prefixes.
type baselineSelector struct {
	policy         string
	random         *rand.Rand
	nextRoundRobin int
	reported       []int
	outstanding    []int
}

func (b *baselineSelector) selectEngine(*request) (int, func(time.Duration), bool) {
	chosen := 0
	switch b.policy {
	case PolicyRandom:
		chosen = b.random.IntN(len(b.reported))
	case PolicyRoundRobin:
		chosen = b.nextRoundRobin % len(b.reported)
		b.nextRoundRobin++
	case PolicyLeastReported:
		chosen = b.indexOfLowest(b.reported)
	case PolicyLeastOutstanding:
		chosen = b.indexOfLowest(b.outstanding)
	}
	b.outstanding[chosen]++
	return chosen, func(time.Duration) { b.outstanding[chosen]-- }, true
}

// indexOfLowest returns the index of the lowest value. The search begins at a
// random index, so that ties do not favour the first engines.
func (b *baselineSelector) indexOfLowest(values []int) int {
	start := b.random.IntN(len(values))
	best := start
	for i := range values {
		if at := (start + i) % len(values); values[at] < values[best] {
			best = at
		}
	}
	return best
}

func (b *baselineSelector) updateLoad(engine, load int, _ time.Time) { b.reported[engine] = load }
func (b *baselineSelector) publish()                                 {}
func (b *baselineSelector) applyCacheEvents(routing.CacheEvents)     {}

// routerSelector selects engines with the router of package routing.
type routerSelector struct {
	clock       *clock
	router      *routing.Router
	source      *routing.Source
	candidates  []routing.Candidate
	engineIndex map[string]int
}

func newEngineSelector(o Options, policy string, entry int, c *clock) engineSelector {
	seed := o.Seed*1000 + uint64(entry)
	if policy != PolicyRouter {
		b := &baselineSelector{policy: policy, random: rand.New(rand.NewPCG(seed, 3))}
		b.reported, b.outstanding = make([]int, o.Engines), make([]int, o.Engines)
		b.nextRoundRobin = b.random.IntN(o.Engines)
		return b
	}
	costs := routing.DefaultConfig().Costs
	costs.Block = blockPrefillTime.Seconds()
	r := &routerSelector{clock: c, source: routing.NewSource(seed), engineIndex: map[string]int{}}
	r.router = routing.New(routing.Config{FailureDomain: domainOf(o, entry), Region: "r", Entries: o.Entries, Costs: costs},
		routing.NewPrefixIndex(routing.PrefixConfig{UpstreamBlocks: cacheCapacityBlocks, TotalBlocks: o.Engines * cacheCapacityBlocks}))
	for i := range o.Engines {
		id := engineID(i)
		r.engineIndex[id] = i
		r.candidates = append(r.candidates, routing.Candidate{
			ID: id, Incarnation: 1, FailureDomain: domainOf(o, i), Region: "r", Services: []string{"chat"},
			State: routing.Ready, MaxConcurrent: batchSize, Load: routing.Load{At: c.time()},
		})
	}
	r.publish()
	return r
}

func engineID(i int) string                { return fmt.Sprintf("engine-%04d", i) }
func domainOf(o Options, index int) string { return fmt.Sprint("d", index%o.Domains) }

func (r *routerSelector) selectEngine(q *request) (int, func(time.Duration), bool) {
	now := r.clock.time()
	choice, err := r.router.Pick(now, r.source, &routing.Request{Service: "chat", Prefix: q.blocks})
	if err != nil {
		return 0, nil, false
	}
	u := choice.Upstream
	r.router.Begin(now, u, q.blocks)
	return r.engineIndex[u.ID], func(first time.Duration) {
		r.router.Done(r.clock.time(), u, routing.Observation{FirstToken: first - q.arrived, SlotFreed: true})
	}, true
}

func (r *routerSelector) updateLoad(engine, load int, sent time.Time) {
	r.candidates[engine].Load = routing.Load{Running: min(load, batchSize), Queued: max(0, load-batchSize), At: sent}
}

func (r *routerSelector) publish() { r.router.Publish(r.clock.time(), r.candidates) }
func (r *routerSelector) applyCacheEvents(b routing.CacheEvents) {
	r.router.Index().Apply(r.clock.time(), b)
}
