package placement

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// transfer gives engines of a fabric domain to another model. The donor groups
// finish their requests and close; then a group of the model is formed from
// their engines and the free ones of the domain.
type transfer struct {
	model   *enginemodel.Model
	donors  []*group
	started time.Time
}

const (
	// transferThreshold is the demand per copy from which a model is given
	// engines of another one. Below it, requests rarely queue.
	transferThreshold = 0.7
	// transferGain is the ratio to the receiver's demand per copy that the demand
	// per copy of the donors' model must stay below. The margin covers the requests
	// that the donor groups break off, and keeps engines from being moved back and
	// forth.
	transferGain = 0.65
	// transferTimeout is the time after which the engines of a transfer are
	// released for any model. It covers the drain of the donors and the forming of
	// the new group.
	transferTimeout = 5 * time.Second
)

// rebalance starts a transfer to the model with the highest demand per copy if
// that lowers the highest demand per copy of the models involved.
func (p *Planner) rebalance(now time.Time) {
	p.dropLateTransfers(now)
	if p.coldStart(now) || !p.hasTraffic() {
		return
	}
	m := p.modelsByLoad()[0]
	if p.loadPerCopy(m, 0) < transferThreshold {
		return
	}
	if domain, t := p.bestTransfer(now, m); t != nil {
		p.transfers[domain] = t
		for _, g := range t.donors {
			p.startClosing(now, g, false)
		}
		p.countCopies(now)
	}
}

// dropLateTransfers removes the transfers that have taken too long. Forming their
// group removes the others.
func (p *Planner) dropLateTransfers(now time.Time) {
	maps.DeleteFunc(p.transfers, func(_ string, t *transfer) bool { return now.Sub(t.started) > transferTimeout })
}

// closeReason returns the reason for closing a group, for the log.
func (p *Planner) closeReason(g *group) string {
	if t := p.transfers[g.domain]; t != nil && slices.Contains(t.donors, g) {
		return "its engines are given to another model"
	}
	return "a member was lost or is draining"
}

// loadPerCopy returns the demand per copy of a model, with a number of copies
// more or less. Running transfers count as a copy of the model that they are for.
func (p *Planner) loadPerCopy(m *enginemodel.Model, change int) float64 {
	copies := p.copies[m.Name] + change
	for _, t := range p.transfers {
		if t.model.Name == m.Name {
			copies++
		}
	}
	demand := p.demand[m.Name]
	switch {
	case demand <= 0:
		return 0
	case copies <= 0:
		return math.Inf(1)
	}
	return demand / float64(copies)
}

// modelsByLoad returns the models in descending order of loadPerCopy.
func (p *Planner) modelsByLoad() []*enginemodel.Model {
	models := p.models()
	slices.SortStableFunc(models, func(a, b *enginemodel.Model) int {
		return cmp.Compare(p.loadPerCopy(b, 0), p.loadPerCopy(a, 0))
	})
	return models
}

// bestTransfer returns the transfer to a model that leaves the donors' model with
// the lowest demand per copy, and its domain. It returns nil if no transfer is
// worth it.
func (p *Planner) bestTransfer(now time.Time, m *enginemodel.Model) (string, *transfer) {
	limit := transferGain * p.loadPerCopy(m, 0)
	free := p.free(now)
	donors := p.donors(m)
	var best *transfer
	bestDomain, bestLoad := "", math.Inf(1)
	for _, domain := range slices.Sorted(maps.Keys(donors)) {
		if p.transfers[domain] != nil {
			continue
		}
		for _, from := range p.models() {
			chosen, lost := chooseDonors(m, from, free[domain], donors[domain])
			if chosen == nil {
				continue
			}
			if load := p.loadPerCopy(from, -lost); load <= limit && load < bestLoad {
				best, bestDomain, bestLoad = &transfer{m, chosen, now}, domain, load
			}
		}
	}
	return bestDomain, best
}

// donors returns the groups of other models with members that can join a group of
// the model without a load from the weight store, by domain.
func (p *Planner) donors(m *enginemodel.Model) map[string][]donor {
	byDomain := map[string][]donor{}
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		g := p.groups[name]
		if g.stage != serving || g.model.Name == m.Name || p.hasMissingMember(g) || !g.lastStallReport.IsZero() {
			continue
		}
		d := donor{group: g}
		for _, id := range g.members {
			if e := p.engines[id]; e != nil && e.Phase == fleet.Ready && e.warm(m) && e.staging == "" {
				d.warm++
			}
		}
		if d.warm > 0 {
			byDomain[g.domain] = append(byDomain[g.domain], d)
		}
	}
	return byDomain
}

// donor is a group that could give its engines to another model.
type donor struct {
	group *group
	// warm is the number of members that can join a group of that model without a
	// load from the weight store.
	warm int
}

// chooseDonors selects the fewest groups of a model whose engines, together with
// the free ones, form a group of model m. It also returns the number of copies
// that their model loses, since engines that are left over form groups again.
func chooseDonors(m, from *enginemodel.Model, free []*engine, donors []donor) (chosen []*group, lost int) {
	available, total := 0, 0
	for _, e := range free {
		if e.warm(m) && e.staging == "" {
			available++
			total++
		}
	}
	if available >= m.GroupSize {
		return nil, 0
	}
	candidates := slices.DeleteFunc(slices.Clone(donors), func(d donor) bool { return d.group.model.Name != from.Name })
	slices.SortStableFunc(candidates, func(a, b donor) int {
		return cmp.Or(cmp.Compare(b.warm, a.warm), strings.Compare(a.group.name, b.group.name))
	})
	for _, d := range candidates {
		chosen = append(chosen, d.group)
		available += d.warm
		total += len(d.group.members)
		if available >= m.GroupSize {
			return chosen, len(chosen) - (total-m.GroupSize)/from.GroupSize
		}
	}
	return nil, 0
}
