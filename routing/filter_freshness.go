package routing

// freshnessFilter admits upstreams whose latest load report is younger than
// MaxAge.
type freshnessFilter struct{}

// Name returns "freshness".
func (freshnessFilter) Name() string { return "freshness" }

// Admit implements Filter.
func (freshnessFilter) Admit(q *Query, u *Upstream) bool {
	return u.reportFresh(q.now, q.cfg.MaxAge)
}
