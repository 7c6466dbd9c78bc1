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

// usable reports whether an engine can join a new group.
func (p *Planner) usable(now time.Time, e *engine) bool {
	maxSilence := time.Duration(maxMissedHeartbeats * float64(p.cfg.HeartbeatInterval))
	hasNoGroup := e.Member.Group == "" || p.retired[e.Member.Group]
	return e.group == nil && hasNoGroup && e.Phase == fleet.Ready && e.unreachable.IsZero() && now.Sub(e.ReceivedAt) < maxSilence
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

// formGroups forms groups from free engines as long as possible. After the cold
// start, only engines that do not have to load from the weight store are used.
// The others are staged first and stay available for other groups meanwhile.
func (p *Planner) formGroups(now time.Time) {
	if p.awaitingEngines(now) {
		return
	}
	byDomain := p.free(now)
	for {
		domain, m := p.nextGroup(now, byDomain)
		if m == nil {
			return
		}
		p.startGroup(now, domain, m, pickMembers(byDomain[domain], m))
		delete(p.transfers, domain)
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(e *engine) bool { return e.group != nil })
	}
}

// countCopies counts the groups of each model that are serving or being formed.
// It runs once in each planning round, because the counts are used for every
// engine and every pair of a model and a domain.
func (p *Planner) countCopies(now time.Time) {
	clear(p.copies)
	for _, g := range p.groups {
		switch g.stage {
		case forming, opening:
			p.copies[g.model.Name]++
		case serving:
			// A new leader may have adopted groups whose members were lost long ago.
			if head := p.engines[g.head()]; head != nil && (now.Sub(head.ReceivedAt) < headSilenceTimeout || now.Sub(g.lastProgress) < headSilenceTimeout) {
				p.copies[g.model.Name]++
			}
		}
	}
}

// demandPerCopy returns the demand per copy of a model if one more copy is
// formed. Without reports, the demand is derived from the model's usual share
// of the engines.
func (p *Planner) demandPerCopy(m *enginemodel.Model) float64 {
	demand, ok := p.demand[m.Name]
	if !ok || !p.hasTraffic() {
		demand = m.DemandShare * float64(len(p.engines)) / float64(max(m.GroupSize, 1))
	}
	return demand / float64(p.copies[m.Name]+1)
}

// hasTraffic reports whether there is demand for any model.
func (p *Planner) hasTraffic() bool {
	for _, copies := range p.demand {
		if copies > 0 {
			return true
		}
	}
	return false
}

// awaitingEngines reports whether a starting deployment is still waiting for
// engines.
func (p *Planner) awaitingEngines(now time.Time) bool {
	return p.coldStart(now) && now.Sub(p.lastArrival) < arrivalQuietPeriod && now.Sub(p.started) < maxArrivalWait
}

// models returns the models of the service.
func (p *Planner) models() []*enginemodel.Model {
	models := make([]*enginemodel.Model, 0, len(p.cfg.Engine.Models))
	for i := range p.cfg.Engine.Models {
		models = append(models, &p.cfg.Engine.Models[i])
	}
	return models
}

// modelsByDemand returns the models in descending order of demandPerCopy.
func (p *Planner) modelsByDemand() []*enginemodel.Model {
	models := p.models()
	slices.SortStableFunc(models, func(a, b *enginemodel.Model) int {
		return cmp.Compare(p.demandPerCopy(b), p.demandPerCopy(a))
	})
	return models
}

// nextGroup selects the model and the fabric domain of the next group: the
// model with the highest demand per copy for which a domain has enough free
// engines, and the domain whose engines can join fastest.
func (p *Planner) nextGroup(now time.Time, byDomain map[string][]*engine) (string, *enginemodel.Model) {
	for _, m := range p.modelsByDemand() {
		best, bestCost := "", time.Duration(-1)
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			if len(byDomain[domain]) < m.GroupSize || p.reserved(now, domain, m, byDomain[domain]) {
				continue
			}
			cost := joinTime(pickMembers(byDomain[domain], m), m)
			if cost > m.WarmTime && !p.coldStart(now) {
				continue
			}
			// Break ties in favor of the domain with the fewest free engines, so
			// that other domains can still form large groups.
			if bestCost < 0 || cost < bestCost || cost == bestCost && len(byDomain[domain]) < len(byDomain[best]) {
				best, bestCost = domain, cost
			}
		}
		if bestCost >= 0 {
			return best, m
		}
	}
	return "", nil
}

// reserved reports whether the free engines of a domain are kept for another
// model: for the one of a running transfer, or for one with a higher demand per
// copy of which they can form at least half of a group. Joining a group replaces
// what an engine can run without a load, so that they would be lost to that
// model. A model with more demand than copies takes them all the same, unless the
// other one has no copy at all.
func (p *Planner) reserved(now time.Time, domain string, m *enginemodel.Model, free []*engine) bool {
	if t := p.transfers[domain]; t != nil {
		return t.model != m
	}
	if p.coldStart(now) || !p.hasTraffic() {
		return false
	}
	load := p.loadPerCopy(m, 0)
	return slices.ContainsFunc(p.models(), func(other *enginemodel.Model) bool {
		otherLoad := p.loadPerCopy(other, 0)
		return otherLoad > load && (load < 1 || math.IsInf(otherLoad, 1)) && p.completable(domain, other, free)
	})
}

// completable reports whether the free engines of a domain can form at least half
// of a group of a model without a load, and the rest of it after loads, or with
// engines that serve other models there and can change without one.
func (p *Planner) completable(domain string, m *enginemodel.Model, free []*engine) bool {
	warm, donated := 0, 0
	for _, e := range free {
		if e.warm(m) {
			warm++
		}
	}
	for _, g := range p.groups {
		if g.domain != domain || g.model == m || g.stage != serving {
			continue
		}
		for _, id := range g.members {
			if e := p.engines[id]; e != nil && e.warm(m) {
				donated++
			}
		}
	}
	return 2*warm >= m.GroupSize && (warm+donated >= m.GroupSize || len(free) >= m.GroupSize)
}

// coldStart reports whether the deployment is starting for the first time and
// has no traffic yet. Loads are fast in this phase and are not limited.
func (p *Planner) coldStart(now time.Time) bool {
	return p.cfg.ColdStart && !p.hasTraffic() && now.Sub(p.started) < maxColdStart
}

// joinCost returns the approximate time for an engine to join a group of a
// model.
func (e *engine) joinCost(m *enginemodel.Model) time.Duration {
	switch {
	case e.lastModel == m.Name:
		return 0
	case e.Has(m.Name) && e.staging == "":
		return m.WarmTime
	}
	return m.LoadTime
}

// joinTime returns the time until all engines have joined.
func joinTime(engines []*engine, m *enginemodel.Model) time.Duration {
	longest := time.Duration(0)
	for _, e := range engines {
		longest = max(longest, e.joinCost(m))
	}
	return longest
}

// pickMembers returns the engines that can join a group of a model fastest.
// Ties are broken in favor of engines with fewer staged models.
func pickMembers(engines []*engine, m *enginemodel.Model) []*engine {
	sorted := slices.Clone(engines)
	slices.SortStableFunc(sorted, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(a.joinCost(m), b.joinCost(m)), len(a.Staged)-len(b.Staged), strings.Compare(a.ID, b.ID))
	})
	return sorted[:m.GroupSize]
}

// startGroup creates a group and orders its members to join.
func (p *Planner) startGroup(now time.Time, domain string, m *enginemodel.Model, members []*engine) {
	epoch := p.nextEpoch()
	g := &group{name: groupName(epoch), epoch: epoch, model: m, domain: domain, stage: forming, stageSince: now, lastOrders: map[string]time.Time{}}
	for _, e := range members {
		e.group = g
		if e.lastModel != m.Name {
			// The join waits for a running load and then replaces what it staged.
			e.staging = ""
		}
		g.members = append(g.members, e.ID)
	}
	p.groups[g.name] = g
	p.copies[m.Name]++
	for _, id := range g.members {
		p.queueOrder(now, Join, g, id, "new group")
	}
}
