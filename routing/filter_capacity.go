package routing

// capacityFilter keeps requests off upstreams whose estimated load has reached
// the queue factor times the batch size, and off those that have said that
// they accept nothing until a later time.
type capacityFilter struct{}

// Name returns "capacity".
func (capacityFilter) Name() string { return "capacity" }

// Admit implements Filter.
func (capacityFilter) Admit(q *Query, u *Upstream) bool {
	return q.fill < q.cfg.QueueFactor && u.exhaustedUntil.Load() <= q.now
}
