package routing

// latencyScore costs the seconds by which the observed first-token latency of an
// upstream exceeds the median of its pool. It is zero for upstreams without
// observations.
type latencyScore struct{}

// Name returns "latency".
func (latencyScore) Name() string { return "latency" }

// Weight implements Score.
func (latencyScore) Weight(w *Weights) float64 { return w.Latency }

// Seconds implements Score.
func (latencyScore) Seconds(q *Query, u *Upstream) float64 {
	return max(0, u.Latency()-q.pool.medianSeconds)
}
