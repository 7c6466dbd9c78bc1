package routing

import "time"

// prefixScore charges Block seconds for each block of the prompt that the upstream
// is not known to have cached. Blocks that it may have lost count in part.
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

// match returns what the upstream of a slot is believed to hold, or nil.
func (q *Query) match(slot int32) *Match {
	if q.mask&(1<<(uint(slot)%64)) == 0 {
		return nil
	}
	for i := range q.matched {
		if q.matches[i].slot == slot {
			return &q.matches[i]
		}
	}
	return nil
}

// findMatches asks the prefix index for holders of the prompt's start.
func (q *Query) findMatches(x *PrefixIndex, now time.Time) {
	if len(q.Prefix) == 0 {
		return
	}
	q.matched = x.match(now, q.Prefix, q.draw, &q.matches)
	for i := range q.matched {
		q.mask |= 1 << (uint(q.matches[i].slot) % 64)
	}
}

// cachedBlocks returns the expected number of leading blocks that the upstream
// of a slot holds.
func (q *Query) cachedBlocks(slot int32) float64 {
	if m := q.match(slot); m != nil {
		return float64(m.Blocks) * m.Belief
	}
	return 0
}
