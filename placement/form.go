package placement

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// usable reports whether an engine can be ordered into a new group.
func (p *Planner) usable(now time.Time, e *engine) bool {
	silent := time.Duration(silentHeartbeats * float64(p.cfg.HeartbeatInterval))
	settled := e.Member.Group == "" || p.retired[e.Member.Group]
	return e.group == nil && settled && e.Phase == fleet.Ready && e.unreachable.IsZero() && now.Sub(e.Heard) < silent
}

// free returns the usable engines by fabric domain.
func (p *Planner) free(now time.Time) map[string][]*engine {
	byDomain := map[string][]*engine{}
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		if e := p.engines[id]; p.usable(now, e) {
			byDomain[e.FabricDomain] = append(byDomain[e.FabricDomain], e)
		}
	}
	return byDomain
}

// formGroups forms groups from free engines while any fits.
func (p *Planner) formGroups(now time.Time) {
	byDomain := p.free(now)
	for {
		domain, m := p.nextGroup(now, byDomain)
		if m == nil {
			return
		}
		members := pickMembers(byDomain[domain], m)
		if !p.startGroup(now, domain, m, members) {
			return
		}
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(e *engine) bool { return e.group != nil })
	}
}

// copies counts the groups of a model that serve or will soon.
func (p *Planner) copies(model string) int {
	n := 0
	for _, g := range p.groups {
		if g.model.Name == model && (g.stage == forming || g.stage == opening || g.stage == serving) {
			n++
		}
	}
	return n
}

// need is the load on each copy of a model if it had one more. A model without
// reports of work gets its usual share of all engines.
func (p *Planner) need(m *enginemodel.Model) float64 {
	work, ok := p.work[m.Name]
	if !ok || !p.traffic() {
		work = m.WorkShare * float64(len(p.engines)) / float64(max(m.GroupSize, 1))
	}
	return work / float64(p.copies(m.Name)+1)
}

func (p *Planner) traffic() bool {
	for _, w := range p.work {
		if w > 0 {
			return true
		}
	}
	return false
}

// nextGroup picks the model and the domain of the next group: the neediest
// model, or another one that needs no load from the store or whose engines
// have waited long.
func (p *Planner) nextGroup(now time.Time, byDomain map[string][]*engine) (string, *enginemodel.Model) {
	models := make([]*enginemodel.Model, 0, len(p.cfg.Engine.Models))
	for i := range p.cfg.Engine.Models {
		models = append(models, &p.cfg.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *enginemodel.Model) int { return cmp.Compare(p.need(b), p.need(a)) })
	for rank, m := range models {
		best, bestCost := "", time.Duration(-1)
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			engines := byDomain[domain]
			if len(engines) < m.GroupSize {
				continue
			}
			members := pickMembers(engines, m)
			cost := joinTime(members, m)
			if rank > 0 && cost > m.WarmTime && !waited(now, members) {
				continue
			}
			if bestCost < 0 || cost < bestCost {
				best, bestCost = domain, cost
			}
		}
		if bestCost >= 0 {
			return best, m
		}
	}
	return "", nil
}

func waited(now time.Time, engines []*engine) bool {
	for _, e := range engines {
		if now.Sub(e.freeSince) < patience {
			return false
		}
	}
	return true
}

// joinCost ranks how long an engine takes to join a group of a model.
func (e *engine) joinCost(m *enginemodel.Model) time.Duration {
	switch {
	case e.last == m.Name && (e.Has(m.Name) || len(e.Staged) == 0):
		return 0
	case e.Has(m.Name) || e.staging == m.Name:
		return m.WarmTime
	}
	return m.LoadTime
}

func joinTime(engines []*engine, m *enginemodel.Model) time.Duration {
	longest := time.Duration(0)
	for _, e := range engines {
		longest = max(longest, e.joinCost(m))
	}
	return longest
}

// pickMembers returns the engines that join a group of a model soonest.
// Among equals those are taken that hold nothing for another model.
func pickMembers(engines []*engine, m *enginemodel.Model) []*engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.joinCost(m), b.joinCost(m)), len(a.Staged)-len(b.Staged), strings.Compare(a.ID, b.ID))
	})
	return sorted[:m.GroupSize]
}

// startGroup orders a group unless the weight store has no room for its loads.
func (p *Planner) startGroup(now time.Time, domain string, m *enginemodel.Model, members []*engine) bool {
	loads := 0
	for _, e := range members {
		if e.joinCost(m) >= m.LoadTime {
			loads++
		}
	}
	if loads > 0 && !p.loads.allow(now, p.running(now), loads, p.traffic()) {
		return false
	}
	p.loads.note(now, loads)
	epoch := p.nextEpoch()
	g := &group{name: groupName(epoch), epoch: epoch, model: m, domain: domain, stage: forming, since: now, sent: map[string]time.Time{}}
	for _, e := range members {
		e.group = g
		if e.joinCost(m) >= m.LoadTime {
			e.loading, e.loadingAt = true, now
		}
		e.staging = ""
		g.members = append(g.members, e.ID)
	}
	p.groups[g.name] = g
	for _, id := range g.members {
		p.order(now, Join, g, id, "new group")
	}
	return true
}

// running counts the loads from the store that are under way.
func (p *Planner) running(now time.Time) int {
	n := 0
	for _, e := range p.engines {
		longest := formAllowance * p.longestLoad()
		if e.loading && now.Sub(e.loadingAt) < longest || e.staging != "" && now.Sub(e.stagingAt) < longest {
			n++
		}
	}
	return n
}

func (p *Planner) longestLoad() time.Duration {
	longest := time.Duration(0)
	for _, m := range p.cfg.Engine.Models {
		longest = max(longest, m.LoadTime)
	}
	return longest
}

// stageSpares stages models on engines that no group uses, so that a lost
// member can be replaced without a load. The spares of a domain take the
// domain's models in turn, the one with the most members first.
func (p *Planner) stageSpares(now time.Time) {
	for _, g := range p.groups {
		if g.stage == forming && !g.adopted {
			// Loads of groups go first.
			for _, id := range g.members {
				if e := p.engines[id]; e != nil && e.loading {
					return
				}
			}
		}
	}
	byDomain := p.free(now)
	for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
		wanted := p.modelsByMembers(domain)
		if len(wanted) == 0 {
			continue
		}
		for i, e := range p.unstaged(byDomain[domain], wanted) {
			if e == nil {
				continue
			}
			m := wanted[i%len(wanted)]
			if !p.loads.allow(now, p.running(now), 1, p.traffic()) {
				return
			}
			p.loads.note(now, 1)
			e.staging, e.stagingAt = m.Name, now
			p.out = append(p.out, Order{Kind: Stage, Upstream: e.ID, Address: e.Address, Born: e.Born, Model: m.Name, Reason: "spare engine"})
		}
	}
}

// unstaged assigns the spares of a domain to the places of the wanted models
// and returns, by place, those that hold another model; nil marks a place that
// is taken care of.
func (p *Planner) unstaged(spares []*engine, wanted []*enginemodel.Model) []*engine {
	places := make([]*engine, len(spares))
	rest := slices.Clone(spares)
	var open []int
	for i := range places {
		m := wanted[i%len(wanted)].Name
		at := slices.IndexFunc(rest, func(e *engine) bool { return e.Has(m) || e.staging == m })
		if at < 0 {
			open = append(open, i)
			continue
		}
		rest = slices.Delete(rest, at, at+1)
	}
	for n, i := range open {
		if rest[n].staging == "" {
			places[i] = rest[n]
		}
	}
	return places
}

// modelsByMembers lists the models of a domain's groups, the one with the most
// members first.
func (p *Planner) modelsByMembers(domain string) []*enginemodel.Model {
	members := map[*enginemodel.Model]int{}
	for _, g := range p.groups {
		if g.domain == domain {
			members[g.model] += len(g.members)
		}
	}
	models := slices.Collect(maps.Keys(members))
	slices.SortFunc(models, func(a, b *enginemodel.Model) int {
		return cmp.Or(members[b]-members[a], strings.Compare(a.Name, b.Name))
	})
	return models
}
