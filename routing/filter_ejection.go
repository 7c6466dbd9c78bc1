package routing

// ejectionFilter keeps requests off ejected upstreams. An upstream that is being
// readmitted passes with the probability of its share, by random bits that
// differ between upstreams and picks.
type ejectionFilter struct{}

// Name returns "ejected".
func (ejectionFilter) Name() string { return "ejected" }

// Admit implements Filter.
func (ejectionFilter) Admit(q *Query, u *Upstream) bool {
	share := u.share.Load()
	if share >= fullShare {
		return true
	}
	return int32(mix(q.draw^uint64(u.slot))%fullShare) < share
}
