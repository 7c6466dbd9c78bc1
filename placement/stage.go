package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// completion is a group that the free engines of a fabric domain can form once
// some of them have loaded the model.
type completion struct {
	domain        string
	model         *enginemodel.Model
	enginesToLoad []*engine
}

// value returns the engines that a completion puts to work for each second that
// the weight store loads for it. Engines of a model with less demand than copies
// count in part.
func (c *completion) value(p *Planner) float64 {
	return float64(c.model.GroupSize) * p.need(c.model) / (float64(len(c.enginesToLoad)) * c.model.LoadTime.Seconds())
}

// need returns the fraction of a copy of a model that its demand would use, and 1
// before there is any traffic.
func (p *Planner) need(m *enginemodel.Model) float64 {
	if !p.hasTraffic() {
		return 1
	}
	return min(p.loadPerCopy(m, 0), 1)
}

// stageSpares stages models on the hosts of free engines, so that they can join
// a group without loading from the weight store. Engines that complete a new
// group come first, in order of their value, followed by spares for the existing
// groups of each domain.
func (p *Planner) stageSpares(now time.Time) {
	if p.awaitingEngines(now) {
		return
	}
	byDomain := p.free(now)
	domains := slices.Sorted(maps.Keys(byDomain))
	var completions []completion
	for _, domain := range domains {
		engines := p.unreserved(now, domain, byDomain[domain])
		if c := p.bestCompletion(now, domain, engines); c != nil && !p.coldStart(now) {
			completions = append(completions, *c)
		}
	}
	slices.SortStableFunc(completions, func(a, b completion) int { return cmp.Compare(b.value(p), a.value(p)) })
	for _, c := range completions {
		for _, e := range c.enginesToLoad {
			p.stage(now, e, c.model, "completes a group", 0)
		}
	}
	for _, domain := range domains {
		p.stageSparesIn(now, domain, byDomain[domain])
	}
	p.stageAlternates(now)
}

// unreserved returns the engines that are not reserved. Where enough engines
// for a whole group are warm, they are reserved until the last load completes,
// so that they are not staged with another model in the meantime.
func (p *Planner) unreserved(now time.Time, domain string, engines []*engine) []*engine {
	remaining := slices.Clone(engines)
	for _, m := range p.modelsByDemand() {
		if p.reserved(now, domain, m, engines) {
			continue
		}
		var warm []*engine
		for _, e := range remaining {
			if e.warm(m) {
				warm = append(warm, e)
			}
		}
		if len(warm) < m.GroupSize {
			continue
		}
		reserved := warm[:m.GroupSize]
		remaining = slices.DeleteFunc(remaining, func(e *engine) bool { return slices.Contains(reserved, e) })
	}
	return remaining
}

// warm reports whether an engine can join a group of a model without loading
// from the weight store, or will be able to after the running load.
func (e *engine) warm(m *enginemodel.Model) bool {
	return e.joinCost(m) < m.LoadTime || e.staging == m.Name
}

// bestCompletion returns the completion of a domain with the highest value, or nil
// if there is none. Engines that hold another model are reused only if at most a
// third of the group needs a load or if they have been idle for a while, because
// lost engines often return within seconds.
func (p *Planner) bestCompletion(now time.Time, domain string, engines []*engine) *completion {
	var best *completion
	for _, m := range p.modelsByDemand() {
		if len(engines) < m.GroupSize {
			continue
		}
		var candidates []*engine
		ready := 0
		for _, e := range engines {
			switch {
			case e.warm(m):
				ready++
			case e.staging == "" && !now.Before(e.nextStageAt):
				candidates = append(candidates, e)
			}
		}
		missing := m.GroupSize - ready
		if missing <= 0 || missing > len(candidates) {
			continue
		}
		slices.SortStableFunc(candidates, func(a, b *engine) int {
			return cmp.Or(len(a.Staged)-len(b.Staged), a.freeSince.Compare(b.freeSince), strings.Compare(a.ID, b.ID))
		})
		candidates = candidates[:missing]
		fewLoads := missing <= m.GroupSize/3
		if !fewLoads && slices.ContainsFunc(candidates, func(e *engine) bool { return len(e.Staged) > 0 && now.Sub(e.freeSince) < stagedModelRetention }) {
			continue
		}
		if c := (&completion{domain, m, candidates}); best == nil || c.value(p) > best.value(p) {
			best = c
		}
	}
	return best
}

// stageSparesIn stages models on free engines that hold none. Each engine gets
// the model for which a spare is expected to return most engines to work: a lost
// member, which is the likelier the more there are in the domain, takes its whole
// group out of service. The value is shared with the spares that are ready.
func (p *Planner) stageSparesIn(now time.Time, domain string, engines []*engine) {
	members := p.membersByModel(domain)
	if len(members) == 0 {
		return
	}
	ready := map[string]int{}
	for _, e := range engines {
		for i := range p.cfg.Engine.Models {
			if m := &p.cfg.Engine.Models[i]; e.warm(m) {
				ready[m.Name]++
			}
		}
	}
	for _, e := range engines {
		if len(e.Staged) > 0 || e.staging != "" || now.Before(e.nextStageAt) {
			continue
		}
		best, bestScore := (*enginemodel.Model)(nil), 0.0
		for i := range p.cfg.Engine.Models {
			m := &p.cfg.Engine.Models[i]
			score := float64(members[m.Name]*m.GroupSize) * p.need(m) / float64(1+ready[m.Name])
			// Break ties in favor of the model with fewer warm engines.
			if score > bestScore || score == bestScore && best != nil && ready[m.Name] < ready[best.Name] {
				best, bestScore = m, score
			}
		}
		if best == nil || !p.stage(now, e, best, "spare engine", spareLoadReserve) {
			return
		}
		ready[best.Name]++
	}
}

// membersByModel counts the group members in a domain by model.
func (p *Planner) membersByModel(domain string) map[string]int {
	members := map[string]int{}
	for _, g := range p.groups {
		if g.domain == domain {
			members[g.model.Name] += len(g.members)
		}
	}
	return members
}

// spareLoadReserve is the number of concurrent loads that spares leave free for
// engines that complete a group.
const spareLoadReserve = 2

// stage orders a load unless the weight store is at its limit. Reserve is the
// number of concurrent loads to leave free. It reports whether the load was
// ordered.
func (p *Planner) stage(now time.Time, e *engine, m *enginemodel.Model, reason string, reserve int) bool {
	if !p.coldStart(now) {
		if !p.loads.allow(now, p.runningLoads(now)+reserve) {
			return false
		}
		p.loads.record(now)
	}
	e.staging, e.stagingSince = m.Name, now
	p.pendingOrders = append(p.pendingOrders, Order{Kind: Stage, Upstream: e.ID, Address: e.Address, StartMillis: e.StartMillis, Model: m.Name, Reason: reason})
	return true
}

// runningLoads counts the running loads from the weight store.
func (p *Planner) runningLoads(now time.Time) int {
	n := 0
	for _, e := range p.engines {
		if e.staging != "" && now.Sub(e.stagingSince) < p.loadTimeout(e.staging) {
			n++
		}
	}
	return n
}

// loadTimeout returns the time after which a load without a completion report
// is considered lost.
func (p *Planner) loadTimeout(model string) time.Duration {
	if m := p.cfg.Engine.Model(model); m != nil {
		return formTimeoutFactor*m.LoadTime + formTimeoutMargin
	}
	return formTimeoutMargin
}
