package routing

// freshnessFilter admits upstreams whose newest report is younger than the age
// bound.
type freshnessFilter struct{}

// Name returns "freshness".
func (freshnessFilter) Name() string { return "freshness" }

// Admit implements Filter.
func (freshnessFilter) Admit(q *Query, u *Upstream) bool {
	return q.now-u.at < int64(q.cfg.MaxAge)
}
