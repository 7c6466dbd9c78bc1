package entry

import (
	"cmp"
	"slices"
	"sync"

	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

// demandCounter counts the offered load by service and model.
type demandCounter struct {
	mu     sync.Mutex
	counts map[demandKey]*mesh.Demand
}

type demandKey struct{ service, model string }

// add counts a request for a model that the service lists, whether or not it is
// served.
func (d *demandCounter) add(service, model string, r *Request) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.counts == nil {
		d.counts = map[demandKey]*mesh.Demand{}
	}
	key := demandKey{service, model}
	count := d.counts[key]
	if count == nil {
		count = &mesh.Demand{Service: service, Model: model}
		d.counts[key] = count
	}
	count.Requests++
	count.PromptTokens += uint64(max(r.PromptTokens, 0))
	count.AnswerTokens += uint64(max(r.expectedAnswerTokens(), 0))
}

// take returns the counts since the previous call and resets them.
func (d *demandCounter) take() []*mesh.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := make([]*mesh.Demand, 0, len(d.counts))
	for _, count := range d.counts {
		all = append(all, count)
	}
	d.counts = nil
	slices.SortFunc(all, func(a, b *mesh.Demand) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Model, b.Model))
	})
	return all
}

// expectedAnswerTokens returns the caller's estimate of the answer length, or
// the upper bound if the caller gave no estimate.
func (r *Request) expectedAnswerTokens() int { return cmp.Or(r.ExpectedAnswerTokens, r.AnswerTokens) }
