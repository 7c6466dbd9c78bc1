package routing

// prefixScore charges Block seconds for each block of the prompt that the upstream
// is not known to have cached. Blocks that it may have lost count in part.
type prefixScore struct{}

// Name returns "prefix".
func (prefixScore) Name() string { return "prefix" }

// Weight implements Score.
func (prefixScore) Weight(w *Weights) float64 { return w.Prefix }

// Seconds implements Score.
func (prefixScore) Seconds(q *Query, u *Upstream) float64 {
	return (float64(len(q.Prefix)) - q.cachedBlocks(u.slot)) * q.cfg.Costs.Block
}

// cachedBlocks returns the expected number of leading blocks that the upstream
// of a slot holds.
func (q *Query) cachedBlocks(slot int32) float64 {
	for i := range q.matched {
		if q.matches[i].slot == slot {
			return float64(q.matches[i].Blocks) * q.matches[i].Belief
		}
	}
	return 0
}
