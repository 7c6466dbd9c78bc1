package routing

// Filter says whether an upstream may receive a request.
type Filter interface {
	Name() string
	Admit(q *Query, u *Upstream) bool
}

// conditional is implemented by filters and scores that are without effect on
// some requests. Those are left out of the pick, where the calls for each
// upstream are most of the time.
type conditional interface {
	applies(r *Request) bool
}

func applies(plugin any, r *Request) bool {
	c, ok := plugin.(conditional)
	return !ok || c.applies(r)
}

// maxPlugins bounds the filters, and the scores, of a pick.
const maxPlugins = 16

// weighted is a score and its weight.
type weighted struct {
	Score
	weight float64
}

// Query is a request in the course of a pick.
type Query struct {
	*Request
	cfg     *Config
	filters []Filter
	scores  []weighted
	now     int64  // Unix nanoseconds
	draw    uint64 // random bits of this pick
	pool    *pool
	matches [maxMatches]Match
	matched int
	// mask has the bit of each matched slot modulo 64 set, so that most
	// upstreams are known at once to hold nothing.
	mask uint64
	// fill is the estimated load of the upstream under consideration as a
	// multiple of its batch size.
	fill float64

	filterSpace [maxPlugins]Filter
	scoreSpace  [maxPlugins]weighted
}

// selectPlugins keeps the filters and scores that apply to the request.
func (q *Query) selectPlugins(filters []Filter, scores []weighted) {
	q.filters, q.scores = q.filterSpace[:0], q.scoreSpace[:0]
	for _, f := range filters {
		if applies(f, q.Request) {
			q.filters = append(q.filters, f)
		}
	}
	for _, s := range scores {
		if applies(s.Score, q.Request) {
			q.scores = append(q.scores, s)
		}
	}
}

// Filters returns the filters in the order in which they run. The capacity
// filter is last, so that what it removes lacks nothing but capacity.
func Filters() []Filter {
	return []Filter{
		serviceFilter{}, stateFilter{}, modelFilter{}, roleFilter{}, freshnessFilter{}, groupFilter{},
		exclusionFilter{}, isolationFilter{}, ejectionFilter{}, capacityFilter{},
	}
}
