package routing

// stateFilter admits only upstreams that are ready.
type stateFilter struct{}

// Name returns "state".
func (stateFilter) Name() string { return "state" }

// Admit implements Filter.
func (stateFilter) Admit(q *Query, u *Upstream) bool {
	return u.State == Ready
}
