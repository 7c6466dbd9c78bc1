package routing

// serviceFilter admits upstreams that announce the service, and only the pinned
// one where the request names it. The table's index already selects by
// service; the filter also covers upstreams that the prefix index proposes.
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
