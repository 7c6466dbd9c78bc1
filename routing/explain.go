package routing

// Explanation records how a pick came about.
type Explanation struct {
	// Removed lists, for each filter that removed upstreams, their ids.
	Removed []Removal
	// Finalists are the upstreams from which the pick drew, best first.
	Finalists []ScoreCard
	Chosen    string
	Sticky    bool
	// EjectionIgnored says that only ejected upstreams were left.
	EjectionIgnored bool
	Error           string
}

// Removal is what one filter removed.
type Removal struct {
	Filter    string
	Upstreams []string
}

// ScoreCard holds the scores of an upstream.
type ScoreCard struct {
	Upstream string
	// Load is the estimated number of requests at the upstream.
	Load   float64
	Scores []Scored
	// Cost is the weighted sum in seconds.
	Cost float64
}

// Scored is one score in seconds and its weight.
type Scored struct {
	Name            string
	Seconds, Weight float64
}

func (e *Explanation) remove(filter, id string) {
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
	s.e.EjectionIgnored = s.ignoreEjection
	s.e.Sticky = choice.Sticky
	if err != nil {
		s.e.Error = err.Error()
		return
	}
	s.e.Chosen = choice.Upstream.ID
	seen := false
	for i := range s.n {
		s.e.Finalists = append(s.e.Finalists, s.card(s.best[i].u))
		seen = seen || s.best[i].u == choice.Upstream
	}
	if !seen {
		s.e.Finalists = append(s.e.Finalists, s.card(choice.Upstream))
	}
}

func (s *selection) card(u *Upstream) ScoreCard {
	s.q.fill = u.fill()
	card := ScoreCard{Upstream: u.ID, Load: u.EstimatedLoad(), Cost: s.cost(u)}
	for _, score := range s.r.scores {
		card.Scores = append(card.Scores, Scored{score.Name(), score.Seconds(s.q, u), score.weight})
	}
	return card
}
