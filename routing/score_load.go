package routing

// loadScore costs up to FullLoad seconds in proportion to the batch utilization,
// plus Waiting seconds for each batch of requests beyond a full one.
type loadScore struct{}

// Name returns "load".
func (loadScore) Name() string { return "load" }

// Weight implements Score.
func (loadScore) Weight(w *Weights) float64 { return w.Load }

// Seconds implements Score.
func (loadScore) Seconds(q *Query, _ *Upstream) float64 {
	if q.loadRatio <= 1 {
		return q.loadRatio * q.cfg.Costs.FullLoad
	}
	return q.cfg.Costs.FullLoad + (q.loadRatio-1)*q.cfg.Costs.Waiting
}
