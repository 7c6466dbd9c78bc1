package routing

// loadScore charges FullLoad seconds in proportion to the filled part of the batch
// and Waiting seconds for each batch size of requests beyond it.
type loadScore struct{}

// Name returns "load".
func (loadScore) Name() string { return "load" }

// Weight implements Score.
func (loadScore) Weight(w *Weights) float64 { return w.Load }

// Seconds implements Score.
func (loadScore) Seconds(q *Query, _ *Upstream) float64 {
	if q.fill <= 1 {
		return q.fill * q.cfg.Costs.FullLoad
	}
	return q.cfg.Costs.FullLoad + (q.fill-1)*q.cfg.Costs.Waiting
}
