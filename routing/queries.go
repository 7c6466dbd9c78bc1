package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// maxFinalists bounds Config.Finalists.
const maxFinalists = 16

// Choice is the result of a pick.
type Choice struct {
	Upstream *Upstream
	// Blocks is the number of leading blocks of the prompt that the upstream
	// is believed to hold.
	Blocks int
	// Sticky says that the upstream was chosen for its cached prefix.
	Sticky bool
	// Freed says that the upstream was chosen because it had just ended a
	// request of this entry.
	Freed bool
}

// Table returns the newest table.
func (r *Router) Table() *Table { return r.table.Load() }

// Index returns the prefix index.
func (r *Router) Index() *PrefixIndex { return r.index }

// Source is a source of random bits that several goroutines may use. It
// implements rand.Source.
type Source struct{ state atomic.Uint64 }

// NewSource returns a source whose sequence depends on the seed only.
func NewSource(seed uint64) *Source {
	s := &Source{}
	s.state.Store(seed)
	return s
}

// Uint64 returns the next random bits (splitmix64).
func (s *Source) Uint64() uint64 { return mix(s.state.Add(0x9e3779b97f4a7c15)) }

// Pick chooses an upstream from the newest table.
func (r *Router) Pick(now time.Time, random rand.Source, req *Request) (Choice, error) {
	return r.pick(now, random, req, nil)
}

// Explain is like Pick and records how the choice came about. It looks at every
// upstream of the service and is meant for diagnosis.
func (r *Router) Explain(now time.Time, random rand.Source, req *Request) (Choice, Explanation, error) {
	e := Explanation{}
	choice, err := r.pick(now, random, req, &e)
	return choice, e, err
}

func (r *Router) pick(now time.Time, random rand.Source, req *Request, e *Explanation) (Choice, error) {
	t := r.table.Load()
	p := t.pools[tableKey{req.Service, req.Model, req.NeedsGroup}]
	if p == nil {
		if t.pools[tableKey{req.Service, req.Model, false}] != nil {
			return Choice{}, ErrNoUpstream // no group has formed
		}
		return Choice{}, ErrUnknownService
	}
	q := r.queries.Get().(*Query)
	*q = Query{Request: req, cfg: &r.cfg, now: now.UnixNano(), draw: random.Uint64(), pool: p}
	q.selectPlugins(r.filters, r.scores)
	q.findMatches(r.index, now)
	s := selection{r: r, q: q, e: e}
	s.collect(t)
	choice, err := s.choose(t, random)
	if e != nil {
		s.explain(choice, err)
	}
	q.Request = nil
	r.queries.Put(q)
	return choice, err
}
