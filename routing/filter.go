package routing

// Filter says whether an upstream may receive a request.
type Filter interface {
	Name() string
	Admit(q *Query, u *Upstream) bool
}

// Query is a request in the course of a pick.
type Query struct {
	*Request
	cfg     *Config
	now     int64  // Unix nanoseconds
	draw    uint64 // random bits of this pick
	pool    *pool
	matches [maxMatches]Match
	matched int
	// fill is the estimated load of the upstream under consideration as a
	// multiple of its batch size.
	fill float64
}

// Filters returns the filters in the order in which they run. The capacity
// filter is last, so that what it removes lacks nothing but capacity.
func Filters() []Filter {
	return []Filter{
		serviceFilter{}, stateFilter{}, modelFilter{}, roleFilter{}, freshnessFilter{}, groupFilter{},
		exclusionFilter{}, isolationFilter{}, ejectionFilter{}, capacityFilter{},
	}
}
