package routing

// Score estimates the seconds of first-token delay that an upstream causes for
// a request. Lower is better; scores are never negative.
type Score interface {
	Name() string
	Seconds(q *Query, u *Upstream) float64
	// Weight returns the configured weight of the score.
	Weight(w *Weights) float64
}

// Scores returns the scores in the order in which they are reported.
func Scores() []Score {
	return []Score{
		loadScore{}, prefixScore{}, distanceScore{}, latencyScore{}, adapterScore{}, priorityScore{},
	}
}
