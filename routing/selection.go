package routing

import "math/rand/v2"

// finalist is an admitted upstream with its weighted cost in seconds.
type finalist struct {
	upstream *Upstream
	cost     float64
}

// selection is the state of one pick.
type selection struct {
	r     *Router
	q     *Query
	trace *Explanation
	// ignoreEjection is set in the second pass, which runs if no upstream was
	// admitted but some were rejected by the ejection filter.
	ignoreEjection bool
	// These are set if an upstream that passed all earlier filters was rejected
	// by the ejection or capacity filter.
	rejectedByEjection, rejectedByCapacity bool

	finalists       [maxFinalists]finalist // ascending by cost
	finalistCount   int
	scored          int
	loadRatioSum    float64 // sum over the scored upstreams
	prefixHolder    finalist
	hasPrefixHolder bool
}

// scorePool scores the upstreams of the pool, or a bounded sample of a large one,
// and the upstreams that the prefix index proposes. If only ejected upstreams are
// left, it uses them: a slow upstream is better than none.
func (s *selection) scorePool(t *Table) {
	s.scoreCandidates(t)
	if s.finalistCount == 0 && s.rejectedByEjection {
		s.ignoreEjection = true
		s.scoreCandidates(t)
	}
}

func (s *selection) scoreCandidates(t *Table) {
	p := s.q.pool
	if s.trace != nil || len(p.all) <= s.r.cfg.ScanLimit {
		s.considerAll(p.all)
		return
	}
	s.sample(p)
	for i := range s.q.matchCount {
		if slot := int(s.q.matches[i].slot); slot < len(t.bySlot) && t.bySlot[slot] != nil && s.prefixHolder.upstream != t.bySlot[slot] {
			s.consider(t.bySlot[slot])
		}
	}
}

// considerAll considers all upstreams, in id order for an explanation and
// otherwise from a random start: upstreams of equal cost keep their order, so a
// fixed start would make all entries prefer the first ids.
func (s *selection) considerAll(us []*Upstream) {
	if len(us) == 0 {
		return
	}
	start := 0
	if s.trace == nil {
		start = int(mix(s.q.randomBits)>>32) % len(us)
	}
	for _, u := range us[start:] {
		s.consider(u)
	}
	for _, u := range us[:start] {
		s.consider(u)
	}
}

// sample considers a bounded number of upstreams: three quarters from the
// entry's failure domain and the rest from others. If fewer than two pass the
// filters, it continues through the pool until two do.
func (s *selection) sample(p *pool) {
	size := s.r.cfg.Sample
	localCount := min(size*3/4, len(p.local))
	s.considerSample(p.local, localCount, 0)
	s.considerSample(p.remote, size-localCount, 1)
	if s.finalistCount < 2 {
		s.considerRest(p.local, localCount, 0)
		s.considerRest(p.remote, size-localCount, 1)
	}
}

// considerSample considers n upstreams from a random start with a random stride
// that is coprime to the length, so that none is visited twice.
func (s *selection) considerSample(us []*Upstream, n int, salt uint64) {
	if len(us) == 0 {
		return
	}
	at, stride := s.startAndStride(len(us), salt)
	for range min(n, len(us)) {
		s.consider(us[at])
		at = (at + stride) % len(us)
	}
}

// considerRest continues considerSample after its first skip upstreams until
// there are two finalists.
func (s *selection) considerRest(us []*Upstream, skip int, salt uint64) {
	if len(us) <= skip {
		return
	}
	at, stride := s.startAndStride(len(us), salt)
	at = (at + skip*stride) % len(us)
	for i := skip; i < len(us) && s.finalistCount < 2; i++ {
		s.consider(us[at])
		at = (at + stride) % len(us)
	}
}

func (s *selection) startAndStride(n int, salt uint64) (start, stride int) {
	bits := mix(s.q.randomBits + salt)
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

// consider adds an upstream to the finalists if it passes the filters and is one
// of the best. It also tracks the prefix holder with the lowest cost.
func (s *selection) consider(u *Upstream) {
	if !s.admit(u) || s.isFinalist(u) {
		return
	}
	cost := s.cost(u)
	if s.q.match(u.slot) != nil && (!s.hasPrefixHolder || cost < s.prefixHolder.cost) {
		s.prefixHolder, s.hasPrefixHolder = finalist{u, cost}, true
	}
	s.scored++
	s.loadRatioSum += s.q.loadRatio
	if s.finalistCount < s.r.cfg.Finalists {
		s.finalistCount++
	} else if cost >= s.finalists[s.finalistCount-1].cost {
		return
	}
	i := s.finalistCount - 1
	for ; i > 0 && s.finalists[i-1].cost > cost; i-- {
		s.finalists[i] = s.finalists[i-1]
	}
	s.finalists[i] = finalist{u, cost}
}

// isFinalist reports whether an upstream that the prefix index proposed is already
// a finalist. Other upstreams are visited only once.
func (s *selection) isFinalist(u *Upstream) bool {
	if s.q.match(u.slot) == nil {
		return false
	}
	for i := range s.finalistCount {
		if s.finalists[i].upstream == u {
			return true
		}
	}
	return false
}

// admit applies the filters and stores the upstream's load ratio in the query.
func (s *selection) admit(u *Upstream) bool {
	s.q.loadRatio = u.computeLoadRatio()
	for _, f := range s.q.filters {
		if f.Admit(s.q, u) {
			continue
		}
		switch f.(type) {
		case ejectionFilter:
			if s.ignoreEjection {
				continue
			}
			s.rejectedByEjection = true
		case capacityFilter, limitFilter:
			s.rejectedByCapacity = true
		}
		if s.trace != nil {
			s.trace.addRemoved(f.Name(), u.ID)
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

// choose takes the better of two random finalists. The prefix holder replaces it
// if it costs no more and its load is within the margin of the mean. Otherwise, in
// a saturated service, an upstream that has just finished a request replaces it.
func (s *selection) choose(t *Table, random rand.Source) (Choice, error) {
	if s.finalistCount == 0 {
		if s.rejectedByCapacity {
			return Choice{}, ErrExhausted
		}
		return Choice{}, ErrNoUpstream
	}
	bits := random.Uint64()
	first := int(bits>>32) % s.finalistCount
	second := first
	if s.finalistCount > 1 {
		second = (first + 1 + int(uint32(bits))%(s.finalistCount-1)) % s.finalistCount
	}
	winner := s.finalists[min(first, second)]
	sticky := false
	if s.hasPrefixHolder && s.prefixHolder.cost <= winner.cost {
		if mean := s.loadRatioSum / float64(max(s.scored, 1)); s.prefixHolder.upstream.computeLoadRatio() <= mean+s.r.cfg.StickyMargin {
			winner, sticky = s.prefixHolder, true
		}
	}
	if !sticky {
		if u := s.pickFreedSlot(t); u != nil {
			return Choice{Upstream: u, Blocks: s.cachedBlocks(u), Freed: true}, nil
		}
	}
	return Choice{Upstream: winner.upstream, Blocks: s.cachedBlocks(winner.upstream), Sticky: sticky}, nil
}

func (s *selection) cachedBlocks(u *Upstream) int {
	if m := s.q.match(u.slot); m != nil {
		return m.Blocks
	}
	return 0
}
