package routing

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// maxFinalists is the upper limit of Config.Finalists.
const maxFinalists = 16

// Choice is the result of a pick.
type Choice struct {
	Upstream *Upstream
	// Blocks is the number of leading prompt blocks that the upstream has
	// probably cached.
	Blocks int
	// Sticky is set if the upstream was chosen for its cached prefix.
	Sticky bool
	// Freed is set if the upstream was chosen because it had just finished a
	// request of this entry.
	Freed bool
}

// Table returns the most recently published table.
func (r *Router) Table() *Table { return r.table.Load() }

// Index returns the prefix index.
func (r *Router) Index() *PrefixIndex { return r.index }

// Source is a rand.Source that is safe for concurrent use.
type Source struct{ state atomic.Uint64 }

// NewSource returns a deterministic source with the given seed.
func NewSource(seed uint64) *Source {
	s := &Source{}
	s.state.Store(seed)
	return s
}

// Uint64 returns the next random bits (splitmix64).
func (s *Source) Uint64() uint64 { return mix(s.state.Add(0x9e3779b97f4a7c15)) }

// Pick selects an upstream for a request from the current table.
func (r *Router) Pick(now time.Time, random rand.Source, req *Request) (Choice, error) {
	return r.pick(now, random, req, nil)
}

// Fresh reports whether the information on an upstream of the table, and on its
// group if the service needs one, is recent enough for Pick.
func (r *Router) Fresh(now time.Time, u *Upstream, needsGroup bool) bool {
	at := now.UnixNano()
	return u.reportFresh(at, r.cfg.MaxAge) && (!needsGroup || u.groupFresh(at, r.cfg.MaxAge))
}

// Explain is like Pick but also records how the choice was made. It examines
// every upstream of the service and is meant for diagnosis.
func (r *Router) Explain(now time.Time, random rand.Source, req *Request) (Choice, Explanation, error) {
	e := Explanation{}
	choice, err := r.pick(now, random, req, &e)
	return choice, e, err
}

func (r *Router) pick(now time.Time, random rand.Source, req *Request, e *Explanation) (Choice, error) {
	t := r.table.Load()
	p := t.pools[poolKey{req.Service, req.Model, req.NeedsGroup}]
	if p == nil {
		if t.pools[poolKey{req.Service, req.Model, false}] != nil {
			return Choice{}, ErrNoUpstream // no replica group has formed
		}
		return Choice{}, ErrUnknownService
	}
	q := r.queries.Get().(*Query)
	*q = Query{Request: req, cfg: &r.cfg, now: now.UnixNano(), randomBits: random.Uint64(), pool: p}
	q.selectApplicable(r.filters, r.scores)
	q.findMatches(r.index, now)
	s := selection{r: r, q: q, trace: e}
	s.scorePool(t)
	choice, err := s.choose(t, random)
	if e != nil {
		s.explain(choice, err)
	}
	q.Request = nil
	r.queries.Put(q)
	return choice, err
}
