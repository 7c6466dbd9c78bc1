package routing

// limitFilter rejects upstreams to which this entry may not send a request now
// because of the limits that they have named.
type limitFilter struct{}

func (limitFilter) applies(r *Request) bool { return r.Limited != nil }

// Name returns "limit".
func (limitFilter) Name() string { return "limit" }

// Admit implements Filter.
func (limitFilter) Admit(q *Query, u *Upstream) bool {
	return q.Limited == nil || !q.Limited(u.ID, u.Incarnation)
}
