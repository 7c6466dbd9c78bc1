package routing

// adapterScore costs AdapterLoad seconds if the requested adapter is not loaded.
type adapterScore struct{}

func (adapterScore) applies(r *Request) bool { return r.Adapter != "" }

// Name returns "adapter".
func (adapterScore) Name() string { return "adapter" }

// Weight implements Score.
func (adapterScore) Weight(w *Weights) float64 { return w.Adapter }

// Seconds implements Score.
func (adapterScore) Seconds(q *Query, u *Upstream) float64 {
	if q.Adapter == "" {
		return 0
	}
	for i := range u.Models {
		if u.Models[i].Adapter == q.Adapter && (q.Model == "" || u.Models[i].Name == q.Model) {
			return 0
		}
	}
	return q.cfg.Costs.AdapterLoad
}
