package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// Router selects upstreams from the most recently published table.
type Router struct {
	cfg     Config
	index   *PrefixIndex
	filters []Filter
	scores  []weightedScore
	table   atomic.Pointer[Table]

	mu         sync.Mutex // serializes Publish
	counters   map[string]*incarnationCounters
	queries    sync.Pool
	freedSlots freedSlotRing
}

type incarnationCounters struct {
	incarnation uint64
	*Counters
}

// New returns a router without upstreams. If index is nil, the router uses a new
// one with the default configuration.
func New(cfg Config, index *PrefixIndex) *Router {
	if index == nil {
		index = NewPrefixIndex(PrefixConfig{})
	}
	r := &Router{
		cfg: cfg.withDefaults(), index: index, filters: Filters(),
		counters: map[string]*incarnationCounters{},
	}
	for _, score := range Scores() {
		r.scores = append(r.scores, weightedScore{score, score.Weight(&r.cfg.Weights)})
	}
	r.queries.New = func() any { return &Query{} }
	r.table.Store(buildTable(&r.cfg, time.Time{}, nil, nil))
	return r
}

// Publish replaces the table with the given candidates, which must be complete:
// the state of unlisted upstreams is deleted. Counters are kept as long as the
// incarnation of an upstream stays the same.
func (r *Router) Publish(now time.Time, candidates []Candidate) *Table {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := buildTable(&r.cfg, now, candidates, func(c *Candidate) (*Counters, int32) {
		known := r.counters[c.ID]
		if known == nil || known.incarnation != c.Incarnation {
			known = &incarnationCounters{c.Incarnation, newCounters()}
			r.counters[c.ID] = known
		}
		return known.Counters, r.index.slotOf(now, c.ID, c.Incarnation)
	})
	for id := range r.counters {
		if t.byID[id] == nil {
			delete(r.counters, id)
			r.index.Remove(id)
		}
	}
	r.table.Store(t)
	return t
}

// Observation reports what an attempt revealed about its upstream.
type Observation struct {
	// FirstToken is the time from dispatch to the first byte of the answer, or 0
	// if none arrived.
	FirstToken time.Duration
	// SlotFreed is set if the end of the attempt freed a slot at an upstream that
	// is still running.
	SlotFreed bool
	// ExhaustedUntil is set if the upstream announced that it accepts no requests
	// until then.
	ExhaustedUntil time.Time
}

// Begin counts a request as in flight at the chosen upstream and records that
// the upstream will cache its prompt. Each call must be followed by one to Done.
func (r *Router) Begin(now time.Time, u *Upstream, prefix []uint64) {
	u.addInFlight(now, 1)
	if len(prefix) > 0 {
		r.index.RecordPrompt(now, u.ID, u.Incarnation, prefix)
	}
}

// Done ends a request started with Begin and records the observation.
func (r *Router) Done(now time.Time, u *Upstream, o Observation) {
	u.addInFlight(now, -1)
	if o.SlotFreed {
		r.freedSlots.add(now, u)
	}
	if o.FirstToken > 0 {
		u.observeLatency(o.FirstToken)
	}
	if !o.ExhaustedUntil.IsZero() {
		u.exhaustedUntil.Store(o.ExhaustedUntil.UnixNano())
	}
}

// SetShare sets the traffic share of an upstream incarnation in permille: 0
// ejects it and 1000 is its full share.
func (r *Router) SetShare(id string, incarnation uint64, permille int) {
	if u := r.table.Load().byID[id]; u != nil && u.Incarnation == incarnation {
		u.share.Store(int32(permille))
	}
}
