package routing

// Filter decides whether an upstream may receive a request.
type Filter interface {
	Name() string
	Admit(q *Query, u *Upstream) bool
}

// conditional is implemented by filters and scores that do not affect all
// requests. The pick skips those that do not apply, because most of its time is
// spent in the calls for each upstream.
type conditional interface {
	applies(r *Request) bool
}

func applies(filterOrScore any, r *Request) bool {
	c, ok := filterOrScore.(conditional)
	return !ok || c.applies(r)
}

// queryBufferSize is the number of filters, and of scores, that a Query holds
// without an allocation.
const queryBufferSize = 16

// weightedScore is a score with its configured weight.
type weightedScore struct {
	Score
	weight float64
}

// Query holds a request and the working state of its pick.
type Query struct {
	*Request
	cfg        *Config
	filters    []Filter
	scores     []weightedScore
	now        int64  // Unix nanoseconds
	randomBits uint64 // drawn once per pick
	pool       *pool
	matches    [maxMatches]Match
	matchCount int
	// slotMask has bit slot%64 set for each matched slot, as a quick test that
	// rules out most upstreams without a match.
	slotMask uint64
	// loadRatio is the estimated load of the current upstream, as a multiple of
	// its batch size.
	loadRatio float64

	filterBuffer [queryBufferSize]Filter
	scoreBuffer  [queryBufferSize]weightedScore
}

// selectApplicable selects the filters and scores that apply to the request.
func (q *Query) selectApplicable(filters []Filter, scores []weightedScore) {
	q.filters, q.scores = q.filterBuffer[:0], q.scoreBuffer[:0]
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

// Filters returns the filters in the order in which they run. The filters of
// capacity and limit are last, so that they remove only upstreams that pass all
// others.
func Filters() []Filter {
	return []Filter{
		serviceFilter{}, stateFilter{}, modelFilter{}, roleFilter{}, freshnessFilter{}, groupFilter{},
		exclusionFilter{}, isolationFilter{}, ejectionFilter{}, capacityFilter{}, limitFilter{},
	}
}
