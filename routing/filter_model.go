package routing

// modelFilter admits engines that have the requested model and version loaded,
// and the adapter if it is required. Empty request fields match any value.
type modelFilter struct{}

func (modelFilter) applies(r *Request) bool {
	return r.Model != "" || r.Version != "" || r.AdapterRequired
}

// Name returns "model".
func (modelFilter) Name() string { return "model" }

// Admit implements Filter.
func (modelFilter) Admit(q *Query, u *Upstream) bool {
	if q.Model == "" && q.Version == "" && (q.Adapter == "" || !q.AdapterRequired) {
		return true
	}
	for i := range u.Models {
		m := &u.Models[i]
		if (q.Model == "" || q.Model == m.Name) && (q.Version == "" || q.Version == m.Version) &&
			(!q.AdapterRequired || q.Adapter == m.Adapter) {
			return true
		}
	}
	return false
}
