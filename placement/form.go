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

// formGroups forms groups from free engines while any fits. Once there is
// traffic only engines that need no load from the store are used: the others
// are staged first, so that they stay free for whatever comes.
func (p *Planner) formGroups(now time.Time) {
	if p.arriving(now) {
		return
	}
	byDomain := p.free(now)
	for {
		domain, m := p.nextGroup(now, byDomain)
		if m == nil {
			return
		}
		p.startGroup(now, domain, m, pickMembers(byDomain[domain], m))
		byDomain[domain] = slices.DeleteFunc(byDomain[domain], func(e *engine) bool { return e.group != nil })
	}
}

// copies counts the groups of a model that serve or will soon.
func (p *Planner) copies(now time.Time, model string) int {
	n := 0
	for _, g := range p.groups {
		if g.model.Name != model {
			continue
		}
		switch g.stage {
		case forming, opening:
			n++
		case serving:
			// A new leader also finds groups whose members are long lost.
			if head := p.engines[g.head()]; head != nil && (now.Sub(head.Heard) < aliveWait || now.Sub(g.alive) < aliveWait) {
				n++
			}
		}
	}
	return n
}

// need is the load on each copy of a model if it had one more. A model without
// reports of work gets its usual share of all engines.
func (p *Planner) need(now time.Time, m *enginemodel.Model) float64 {
	work, ok := p.work[m.Name]
	if !ok || !p.traffic() {
		work = m.WorkShare * float64(len(p.engines)) / float64(max(m.GroupSize, 1))
	}
	return work / float64(p.copies(now, m.Name)+1)
}

func (p *Planner) traffic() bool {
	for _, w := range p.work {
		if w > 0 {
			return true
		}
	}
	return false
}

// arriving reports whether a deployment that starts waits for its engines.
func (p *Planner) arriving(now time.Time) bool {
	return p.coldStart(now) && now.Sub(p.lastArrival) < arrivalQuiet && now.Sub(p.started) < maxArrival
}

// byNeed lists the models, the neediest first.
func (p *Planner) byNeed(now time.Time) []*enginemodel.Model {
	models := make([]*enginemodel.Model, 0, len(p.cfg.Engine.Models))
	for i := range p.cfg.Engine.Models {
		models = append(models, &p.cfg.Engine.Models[i])
	}
	slices.SortStableFunc(models, func(a, b *enginemodel.Model) int { return cmp.Compare(p.need(now, b), p.need(now, a)) })
	return models
}

// nextGroup picks the model and the domain of the next group: the neediest
// model that fits, where its engines join soonest.
func (p *Planner) nextGroup(now time.Time, byDomain map[string][]*engine) (string, *enginemodel.Model) {
	for _, m := range p.byNeed(now) {
		best, bestCost := "", time.Duration(-1)
		for _, domain := range slices.Sorted(maps.Keys(byDomain)) {
			if len(byDomain[domain]) < m.GroupSize {
				continue
			}
			cost := joinTime(pickMembers(byDomain[domain], m), m)
			if cost > m.WarmTime && !p.coldStart(now) {
				continue
			}
			// Among equals the domain that is left with the fewest free engines
			// keeps the others whole.
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

// coldStart reports whether the deployment starts and has no traffic yet. Loads
// are fast then and do not count towards the store's bounds.
func (p *Planner) coldStart(now time.Time) bool {
	return p.cfg.ColdStart && !p.traffic() && now.Sub(p.started) < maxColdStart
}

// joinCost ranks how long an engine takes to join a group of a model.
func (e *engine) joinCost(m *enginemodel.Model) time.Duration {
	switch {
	case e.last == m.Name:
		return 0
	case e.Has(m.Name):
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

// startGroup orders the members of a new group to join.
func (p *Planner) startGroup(now time.Time, domain string, m *enginemodel.Model, members []*engine) {
	epoch := p.nextEpoch()
	g := &group{name: groupName(epoch), epoch: epoch, model: m, domain: domain, stage: forming, since: now, sent: map[string]time.Time{}}
	for _, e := range members {
		e.group, e.staging = g, ""
		g.members = append(g.members, e.ID)
	}
	p.groups[g.name] = g
	for _, id := range g.members {
		p.order(now, Join, g, id, "new group")
	}
}
