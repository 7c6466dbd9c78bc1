package routing

import "time"

// prefixScore costs Block seconds for each prompt block that the upstream is not
// expected to have cached. Cached blocks count in proportion to the probability
// that they are still held.
type prefixScore struct{}

func (prefixScore) applies(r *Request) bool { return len(r.Prefix) > 0 }

// Name returns "prefix".
func (prefixScore) Name() string { return "prefix" }

// Weight implements Score.
func (prefixScore) Weight(w *Weights) float64 { return w.Prefix }

// Seconds implements Score.
func (prefixScore) Seconds(q *Query, u *Upstream) float64 {
	return (float64(len(q.Prefix)) - q.cachedBlocks(u.slot)) * q.cfg.Costs.Block
}

// match returns the prefix match of the upstream in a slot, or nil.
func (q *Query) match(slot int32) *Match {
	if q.slotMask&(1<<(uint(slot)%64)) == 0 {
		return nil
	}
	for i := range q.matchCount {
		if q.matches[i].slot == slot {
			return &q.matches[i]
		}
	}
	return nil
}

// findMatches looks up the upstreams that hold a prefix of the prompt.
func (q *Query) findMatches(x *PrefixIndex, now time.Time) {
	if len(q.Prefix) == 0 {
		return
	}
	q.matchCount = x.match(now, q.Prefix, q.randomBits, &q.matches)
	for i := range q.matchCount {
		q.slotMask |= 1 << (uint(q.matches[i].slot) % 64)
	}
}

// cachedBlocks returns the expected number of leading prompt blocks cached at the
// upstream in a slot.
func (q *Query) cachedBlocks(slot int32) float64 {
	if m := q.match(slot); m != nil {
		return float64(m.Blocks) * m.Probability
	}
	return 0
}
