package fleet

import (
	"slices"
	"strings"
)

// All returns copies of all reports in order of ID.
func (t *Table) All() []Upstream {
	all := make([]Upstream, 0, len(t.upstreams))
	for _, u := range t.upstreams {
		all = append(all, *u)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return all
}

// Get returns the latest report of an upstream.
func (t *Table) Get(id string) (Upstream, bool) {
	u := t.upstreams[id]
	if u == nil {
		return Upstream{}, false
	}
	return *u, true
}

// Has reports whether a model is staged on the upstream's host.
func (u *Upstream) Has(model string) bool { return slices.Contains(u.Staged, model) }
