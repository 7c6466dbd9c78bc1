package routing

// exclusionFilter rejects the upstreams that earlier attempts of the request
// used.
type exclusionFilter struct{}

func (exclusionFilter) applies(r *Request) bool { return len(r.Excluded) > 0 }

// Name returns "excluded".
func (exclusionFilter) Name() string { return "excluded" }

// Admit implements Filter.
func (exclusionFilter) Admit(q *Query, u *Upstream) bool {
	for _, id := range q.Excluded {
		if id == u.ID {
			return false
		}
	}
	return true
}
