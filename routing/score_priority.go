package routing

// priorityScore charges paying work NoPriority seconds, in proportion to the filled
// part of the batch, at engines that do not run it ahead of free work.
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
	return min(q.fill, 1) * q.cfg.Costs.NoPriority
}
