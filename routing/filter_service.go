package routing

// serviceFilter admits upstreams that serve the requested service, or only the
// pinned upstream if the request has one. Pools are already selected by service;
// the filter also covers upstreams that the prefix index proposes.
type serviceFilter struct{}

// Name returns "service".
func (serviceFilter) Name() string { return "service" }

// Admit implements Filter.
func (serviceFilter) Admit(q *Query, u *Upstream) bool {
	if q.Pinned != "" && q.Pinned != u.ID {
		return false
	}
	for _, s := range u.Services {
		if s == q.Service {
			return true
		}
	}
	return false
}
