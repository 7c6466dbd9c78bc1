package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// Router publishes tables of upstreams and picks from the newest one.
type Router struct {
	cfg     Config
	index   *PrefixIndex
	filters []Filter
	scores  []weighted
	table   atomic.Pointer[Table]

	mu       sync.Mutex // serialises Publish
	counters map[string]*incarnationCounters
	queries  sync.Pool
	freed    freedList
}

type incarnationCounters struct {
	incarnation uint64
	*Counters
}

// New returns a router without upstreams. A nil index stands for one with
// defaults.
func New(cfg Config, index *PrefixIndex) *Router {
	if index == nil {
		index = NewPrefixIndex(PrefixConfig{})
	}
	r := &Router{
		cfg: cfg.withDefaults(), index: index, filters: Filters(),
		counters: map[string]*incarnationCounters{},
	}
	for _, score := range Scores() {
		r.scores = append(r.scores, weighted{score, score.Weight(&r.cfg.Weights)})
	}
	r.queries.New = func() any { return &Query{} }
	r.table.Store(buildTable(&r.cfg, time.Time{}, nil, nil))
	return r
}

// Publish replaces the table. Counters follow the incarnations of upstreams;
// upstreams that are no longer listed are forgotten, so that a list must be
// complete.
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
			r.index.Forget(id)
		}
	}
	r.table.Store(t)
	return t
}

// Observation is what an attempt showed of its upstream.
type Observation struct {
	// FirstToken is the time from dispatch to the first byte of the answer, 0
	// when none arrived.
	FirstToken time.Duration
	// SlotFreed says that the attempt ended so that the upstream, which works
	// on, has a slot more for other requests.
	SlotFreed bool
	// ExhaustedUntil is set when the upstream said that it accepts nothing
	// until then.
	ExhaustedUntil time.Time
}

// Begin counts a request as in flight at the chosen upstream and records that
// the upstream will cache its prompt. Each Begin needs one Done.
func (r *Router) Begin(now time.Time, u *Upstream, prefix []uint64) {
	u.add(now, 1)
	if len(prefix) > 0 {
		r.index.Learn(now, u.ID, u.Incarnation, prefix)
	}
}

// Done ends what Begin began.
func (r *Router) Done(now time.Time, u *Upstream, o Observation) {
	u.add(now, -1)
	if o.SlotFreed {
		r.freed.add(now, u)
	}
	if o.FirstToken > 0 {
		u.observe(o.FirstToken)
	}
	if !o.ExhaustedUntil.IsZero() {
		u.exhaustedUntil.Store(o.ExhaustedUntil.UnixNano())
	}
}

// SetShare sets the permille of its traffic that an incarnation of an upstream
// gets: 0 ejects it, 1000 is full.
func (r *Router) SetShare(id string, incarnation uint64, permille int) {
	if u := r.table.Load().byID[id]; u != nil && u.Incarnation == incarnation {
		u.share.Store(int32(permille))
	}
}
