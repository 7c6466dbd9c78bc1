package routing

// priorityScore costs paying requests up to NoPriority seconds, in proportion to
// the batch utilization, at engines that do not prioritize them over free ones.
type priorityScore struct{}

func (priorityScore) applies(r *Request) bool { return r.Paying }

// Name returns "priority".
func (priorityScore) Name() string { return "priority" }

// Weight implements Score.
func (priorityScore) Weight(w *Weights) float64 { return w.Priority }

// Seconds implements Score.
func (priorityScore) Seconds(q *Query, u *Upstream) float64 {
	if !q.Paying || u.Priorities {
		return 0
	}
	return min(q.loadRatio, 1) * q.cfg.Costs.NoPriority
}
