package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
)

// completion is a group that free engines of a domain can form after loads.
type completion struct {
	domain  string
	model   *enginemodel.Model
	lacking []*engine
}

// stageSpares loads models onto the hosts of free engines, so that they can
// join a group without a load: engines that a whole group lacks first, the
// group with the fewest of them before others, then spares for the members of
// the domains' groups.
func (p *Planner) stageSpares(now time.Time) {
	if p.arriving(now) {
		return
	}
	byDomain := p.free(now)
	domains := slices.Sorted(maps.Keys(byDomain))
	var completions []completion
	for _, domain := range domains {
		engines := p.unreserved(now, byDomain[domain])
		if m, lacking := p.completion(now, engines); m != nil && !p.coldStart(now) {
			completions = append(completions, completion{domain, m, lacking})
		}
	}
	slices.SortStableFunc(completions, func(a, b completion) int { return len(a.lacking) - len(b.lacking) })
	for _, c := range completions {
		for _, e := range c.lacking {
			p.stage(now, e, c.model, "completes a group", 0)
		}
	}
	for _, domain := range domains {
		p.stageEmpty(now, domain, byDomain[domain])
	}
}

// unreserved leaves out the engines that wait for the last loads of a group of
// their model, so that no other plan takes them meanwhile.
func (p *Planner) unreserved(now time.Time, engines []*engine) []*engine {
	rest := slices.Clone(engines)
	for _, m := range p.byNeed(now) {
		var warm []*engine
		for _, e := range rest {
			if e.warm(m) {
				warm = append(warm, e)
			}
		}
		if len(warm) < m.GroupSize {
			continue
		}
		reserved := warm[:m.GroupSize]
		rest = slices.DeleteFunc(rest, func(e *engine) bool { return slices.Contains(reserved, e) })
	}
	return rest
}

// warm reports whether an engine needs no load to join a group of a model, or
// is being prepared for that.
func (e *engine) warm(m *enginemodel.Model) bool {
	if e.staging != "" {
		return e.staging == m.Name
	}
	return e.joinCost(m) < m.LoadTime
}

// completion finds the model of which the free engines of a domain can form a
// group with the fewest loads, and the engines to load. Engines that are ready
// for another model are changed only when few are lacking, or when they have
// been idle for long: lost engines often return within seconds.
func (p *Planner) completion(now time.Time, engines []*engine) (*enginemodel.Model, []*engine) {
	var best *enginemodel.Model
	var lacking []*engine
	for _, m := range p.byNeed(now) {
		if len(engines) < m.GroupSize {
			continue
		}
		var others []*engine
		ready := 0
		for _, e := range engines {
			switch {
			case e.warm(m):
				ready++
			case e.staging == "" && !now.Before(e.stageAfter):
				others = append(others, e)
			}
		}
		missing := m.GroupSize - ready
		if missing <= 0 || missing > len(others) {
			continue
		}
		slices.SortStableFunc(others, func(a, b *engine) int {
			return cmp.Or(len(a.Staged)-len(b.Staged), a.freeSince.Compare(b.freeSince), strings.Compare(a.ID, b.ID))
		})
		others = others[:missing]
		few := missing <= m.GroupSize/3
		if !few && slices.ContainsFunc(others, func(e *engine) bool { return len(e.Staged) > 0 && now.Sub(e.freeSince) < patience }) {
			continue
		}
		if best == nil || missing < len(lacking) {
			best, lacking = m, others
		}
	}
	return best, lacking
}

// stageEmpty stages models on free engines that hold none: for each in turn the
// model with the most members in the domain for each engine that is ready to
// replace one.
func (p *Planner) stageEmpty(now time.Time, domain string, engines []*engine) {
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
		if len(e.Staged) > 0 || e.staging != "" || now.Before(e.stageAfter) {
			continue
		}
		best, bestScore := (*enginemodel.Model)(nil), 0.0
		for i := range p.cfg.Engine.Models {
			m := &p.cfg.Engine.Models[i]
			score := float64(members[m.Name]) / float64(1+ready[m.Name])
			// Among equals the model that has fewer engines ready.
			if score > bestScore || score == bestScore && best != nil && ready[m.Name] < ready[best.Name] {
				best, bestScore = m, score
			}
		}
		if best == nil || !p.stage(now, e, best, "spare engine", spareReserve) {
			return
		}
		ready[best.Name]++
	}
}

// membersByModel counts the members of a domain's groups.
func (p *Planner) membersByModel(domain string) map[string]int {
	members := map[string]int{}
	for _, g := range p.groups {
		if g.domain == domain {
			members[g.model.Name] += len(g.members)
		}
	}
	return members
}

// spareReserve is the number of loads at once that spares leave to engines which
// a group lacks.
const spareReserve = 2

// stage orders a load onto a host unless the weight store is busy.
func (p *Planner) stage(now time.Time, e *engine, m *enginemodel.Model, reason string, reserve int) bool {
	if !p.coldStart(now) {
		if !p.loads.allow(now, p.running(now)+reserve) {
			return false
		}
		p.loads.note(now)
	}
	e.staging, e.stagingAt = m.Name, now
	p.out = append(p.out, Order{Kind: Stage, Upstream: e.ID, Address: e.Address, Born: e.Born, Model: m.Name, Reason: reason})
	return true
}

// running counts the loads from the store that are under way.
func (p *Planner) running(now time.Time) int {
	n := 0
	for _, e := range p.engines {
		if e.staging != "" && now.Sub(e.stagingAt) < p.loadAllowance(e.staging) {
			n++
		}
	}
	return n
}

// loadAllowance is the time after which a load that was not reported done
// counts as lost.
func (p *Planner) loadAllowance(model string) time.Duration {
	if m := p.cfg.Engine.Model(model); m != nil {
		return formAllowance*m.LoadTime + formSlack
	}
	return formSlack
}
