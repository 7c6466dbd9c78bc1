package routing

// groupFilter admits, where the request needs a replica group, rank 0 of a complete
// group whose oldest confirmation is younger than the age bound.
type groupFilter struct{}

func (groupFilter) applies(r *Request) bool { return r.NeedsGroup }

// Name returns "group".
func (groupFilter) Name() string { return "group" }

// Admit implements Filter.
func (groupFilter) Admit(q *Query, u *Upstream) bool {
	if !q.NeedsGroup {
		return true
	}
	return u.Group.ID != "" && u.Group.Rank == 0 && u.Group.Complete &&
		q.now-u.grouped < int64(q.cfg.MaxAge)
}
