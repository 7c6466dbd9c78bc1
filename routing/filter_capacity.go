package routing

// capacityFilter rejects upstreams whose estimated load has reached the queue
// factor times the batch size, and those that announced that they accept no
// requests until a later time.
type capacityFilter struct{}

// Name returns "capacity".
func (capacityFilter) Name() string { return "capacity" }

// Admit implements Filter.
func (capacityFilter) Admit(q *Query, u *Upstream) bool {
	return q.loadRatio < q.cfg.QueueFactor && u.exhaustedUntil.Load() <= q.now
}
