package routing

// isolationFilter rejects, for requests suspected of crashing upstreams, the
// upstreams on which they may not run in isolation. It admits every upstream for
// other requests.
type isolationFilter struct{}

func (isolationFilter) applies(r *Request) bool { return r.Isolate != nil }

// Name returns "isolation".
func (isolationFilter) Name() string { return "isolation" }

// Admit implements Filter.
func (isolationFilter) Admit(q *Query, u *Upstream) bool {
	return q.Isolate == nil || q.Isolate(u.ID)
}
