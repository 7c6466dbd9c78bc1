package routing

import "math/rand/v2"

// finalist is an admitted upstream with its weighted cost in seconds.
type finalist struct {
	u    *Upstream
	cost float64
}

// selection is the state of one pick.
type selection struct {
	r *Router
	q *Query
	e *Explanation
	// ignoreEjection is set in the second pass, where ejection and capacity
	// are all that stands against every upstream.
	ignoreEjection bool
	// ejected and full say that an upstream lacked only that.
	ejected, full bool

	best    [maxFinalists]finalist // ascending by cost
	n       int
	scored  int
	loads   float64 // sum of fills of the scored upstreams
	holder  finalist
	holding bool
}

// collect scores the upstreams of the pool, or a bounded sample of a large
// one, and the upstreams that the prefix index proposes. Where the only
// upstreams left are ejected, they are used after all: a service with a slow
// upstream is better than one with none.
func (s *selection) collect(t *Table) {
	s.pass(t)
	if s.n == 0 && s.ejected {
		s.ignoreEjection = true
		s.pass(t)
	}
}

func (s *selection) pass(t *Table) {
	p := s.q.pool
	if s.e != nil || len(p.all) <= s.r.cfg.ScanLimit {
		// Upstreams of equal cost keep the order in which they are considered,
		// so a fixed start would send the picks of all entries to the first ids.
		s.walkAll(p.all)
		return
	}
	s.sample(p)
	for i := range s.q.matched {
		if slot := int(s.q.matches[i].slot); slot < len(t.bySlot) && t.bySlot[slot] != nil && s.holder.u != t.bySlot[slot] {
			s.consider(t.bySlot[slot])
		}
	}
}

// walkAll considers all upstreams from a random start, or in order for an
// explanation.
func (s *selection) walkAll(us []*Upstream) {
	if len(us) == 0 {
		return
	}
	start := 0
	if s.e == nil {
		start = int(mix(s.q.draw)>>32) % len(us)
	}
	for _, u := range us[start:] {
		s.consider(u)
	}
	for _, u := range us[:start] {
		s.consider(u)
	}
}

// sample considers a bounded number of upstreams: three quarters from the
// entry's failure domain and the rest from outside it. Where fewer than two of
// them pass the filters, it goes on through the pool until two do.
func (s *selection) sample(p *pool) {
	size := s.r.cfg.Sample
	near := min(size*3/4, len(p.near))
	s.walk(p.near, near, 0)
	s.walk(p.far, size-near, 1)
	if s.n < 2 {
		s.walkOn(p.near, near, 0)
		s.walkOn(p.far, size-near, 1)
	}
}

// walk considers n upstreams at a random start and with a random stride that
// has no common divisor with the length, so that none is visited twice.
func (s *selection) walk(us []*Upstream, n int, salt uint64) {
	if len(us) == 0 {
		return
	}
	at, stride := s.course(len(us), salt)
	for range min(n, len(us)) {
		s.consider(us[at])
		at = (at + stride) % len(us)
	}
}

// walkOn continues a walk after its first skip upstreams until two are found.
func (s *selection) walkOn(us []*Upstream, skip int, salt uint64) {
	if len(us) <= skip {
		return
	}
	at, stride := s.course(len(us), salt)
	at = (at + skip*stride) % len(us)
	for i := skip; i < len(us) && s.n < 2; i++ {
		s.consider(us[at])
		at = (at + stride) % len(us)
	}
}

func (s *selection) course(n int, salt uint64) (start, stride int) {
	bits := mix(s.q.draw + salt)
	start = int(bits>>32) % n
	stride = int(uint32(bits))%n + 1
	for gcd(stride, n) != 1 {
		stride++
	}
	return start, stride % n
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// consider puts an upstream among the finalists if it passes the filters and
// is one of the best, and notes the cheapest holder of the prefix.
func (s *selection) consider(u *Upstream) {
	if !s.admit(u) || s.known(u) {
		return
	}
	cost := s.cost(u)
	if s.q.match(u.slot) != nil && (!s.holding || cost < s.holder.cost) {
		s.holder, s.holding = finalist{u, cost}, true
	}
	s.scored++
	s.loads += s.q.fill
	if s.n < s.r.cfg.Finalists {
		s.n++
	} else if cost >= s.best[s.n-1].cost {
		return
	}
	i := s.n - 1
	for ; i > 0 && s.best[i-1].cost > cost; i-- {
		s.best[i] = s.best[i-1]
	}
	s.best[i] = finalist{u, cost}
}

// known says that an upstream that the prefix index proposed is among the
// finalists already. Others are visited once.
func (s *selection) known(u *Upstream) bool {
	if s.q.match(u.slot) == nil {
		return false
	}
	for i := range s.n {
		if s.best[i].u == u {
			return true
		}
	}
	return false
}

// admit runs the filters and leaves the upstream's load in the query.
func (s *selection) admit(u *Upstream) bool {
	s.q.fill = u.fill()
	for _, f := range s.q.filters {
		if f.Admit(s.q, u) {
			continue
		}
		switch f.(type) {
		case ejectionFilter:
			if s.ignoreEjection {
				continue
			}
			s.ejected = true
		case capacityFilter:
			s.full = true
		}
		if s.e != nil {
			s.e.remove(f.Name(), u.ID)
		}
		return false
	}
	return true
}

func (s *selection) cost(u *Upstream) float64 {
	total := 0.0
	for i := range s.q.scores {
		score := &s.q.scores[i]
		total += score.weight * score.Seconds(s.q, u)
	}
	return total
}

// choose compares two random finalists. The holder of the prefix replaces the
// winner if it costs less and its load is within the margin of the mean. At a
// full service an upstream that has just ended a request replaces the winner.
func (s *selection) choose(t *Table, random rand.Source) (Choice, error) {
	if s.n == 0 {
		if s.full {
			return Choice{}, ErrExhausted
		}
		return Choice{}, ErrNoUpstream
	}
	bits := random.Uint64()
	first := int(bits>>32) % s.n
	second := first
	if s.n > 1 {
		second = (first + 1 + int(uint32(bits))%(s.n-1)) % s.n
	}
	winner := s.best[min(first, second)]
	sticky := false
	if s.holding && s.holder.cost <= winner.cost {
		if mean := s.loads / float64(max(s.scored, 1)); s.holder.u.fill() <= mean+s.r.cfg.StickyMargin {
			winner, sticky = s.holder, true
		}
	}
	if !sticky {
		if u := s.pickFreed(t); u != nil {
			return Choice{Upstream: u, Blocks: s.blocks(u), Freed: true}, nil
		}
	}
	return Choice{Upstream: winner.u, Blocks: s.blocks(winner.u), Sticky: sticky}, nil
}

func (s *selection) blocks(u *Upstream) int {
	if m := s.q.match(u.slot); m != nil {
		return m.Blocks
	}
	return 0
}
