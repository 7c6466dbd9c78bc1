package routing

// ejectionFilter rejects ejected upstreams. An upstream that is being readmitted
// is admitted with a probability equal to its traffic share; the random bits
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
	return int32(mix(q.randomBits^uint64(u.slot))%fullShare) < share
}
