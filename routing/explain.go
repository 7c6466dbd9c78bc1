package routing

// Explanation records how a pick was made, for diagnosis.
type Explanation struct {
	// Removed lists the ids of the removed upstreams for each filter.
	Removed []Removal
	// Finalists are the upstreams considered for the choice, best first.
	Finalists []ScoreBreakdown
	Chosen    string
	Sticky    bool
	// EjectionIgnored is set if only ejected upstreams were left, so that the
	// pick ignored ejection.
	EjectionIgnored bool
	Error           string
}

// Removal lists the upstreams that one filter removed.
type Removal struct {
	Filter    string
	Upstreams []string
}

// ScoreBreakdown holds the estimated load, scores and cost of an upstream.
type ScoreBreakdown struct {
	Upstream string
	// Load is the estimated number of requests at the upstream.
	Load   float64
	Scores []ScoreValue
	// Cost is the weighted sum of the scores in seconds.
	Cost float64
}

// ScoreValue is the value of one score and its weight.
type ScoreValue struct {
	Name            string
	Seconds, Weight float64
}

func (e *Explanation) addRemoved(filter, id string) {
	for i := range e.Removed {
		if e.Removed[i].Filter == filter {
			if last := e.Removed[i].Upstreams; last[len(last)-1] != id {
				e.Removed[i].Upstreams = append(last, id)
			}
			return
		}
	}
	e.Removed = append(e.Removed, Removal{filter, []string{id}})
}

func (s *selection) explain(choice Choice, err error) {
	s.trace.EjectionIgnored = s.ignoreEjection
	s.trace.Sticky = choice.Sticky
	if err != nil {
		s.trace.Error = err.Error()
		return
	}
	s.trace.Chosen = choice.Upstream.ID
	listed := false
	for i := range s.finalistCount {
		s.trace.Finalists = append(s.trace.Finalists, s.breakdown(s.finalists[i].upstream))
		listed = listed || s.finalists[i].upstream == choice.Upstream
	}
	if !listed {
		s.trace.Finalists = append(s.trace.Finalists, s.breakdown(choice.Upstream))
	}
}

func (s *selection) breakdown(u *Upstream) ScoreBreakdown {
	s.q.loadRatio = u.computeLoadRatio()
	b := ScoreBreakdown{Upstream: u.ID, Load: u.EstimatedLoad(), Cost: s.cost(u)}
	for _, score := range s.r.scores {
		b.Scores = append(b.Scores, ScoreValue{score.Name(), score.Seconds(s.q, u), score.weight})
	}
	return b
}
