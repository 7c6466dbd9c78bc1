package routing

// stateFilter admits upstreams that are ready, not those that drain or leave.
type stateFilter struct{}

// Name returns "state".
func (stateFilter) Name() string { return "state" }

// Admit implements Filter.
func (stateFilter) Admit(q *Query, u *Upstream) bool {
	return u.State == Ready
}
