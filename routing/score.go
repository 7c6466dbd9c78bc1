package routing

// Score estimates the seconds that an upstream adds to the first token of a
// request. Lower is better; no score is negative.
type Score interface {
	Name() string
	Seconds(q *Query, u *Upstream) float64
	// Weight returns the factor that the configuration gives the score.
	Weight(w *Weights) float64
}

// Scores returns the scores in the order in which they are reported.
func Scores() []Score {
	return []Score{
		loadScore{}, prefixScore{}, distanceScore{}, latencyScore{}, adapterScore{}, priorityScore{},
	}
}
