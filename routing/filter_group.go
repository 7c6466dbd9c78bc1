package routing

// groupFilter applies to requests that need a replica group. It admits rank 0 of
// a complete group whose oldest member confirmation is younger than MaxAge.
type groupFilter struct{}

func (groupFilter) applies(r *Request) bool { return r.NeedsGroup }

// Name returns "group".
func (groupFilter) Name() string { return "group" }

// Admit implements Filter.
func (groupFilter) Admit(q *Query, u *Upstream) bool {
	if !q.NeedsGroup {
		return true
	}
	return u.Group.ID != "" && u.Group.Rank == 0 && u.Group.Complete && u.groupFresh(q.now, q.cfg.MaxAge)
}
