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

// SetDemand sets the demand for a model, in fully used copies.
func (p *Planner) SetDemand(model string, copies float64) { p.demand[model] = copies }

// SetEngine replaces the step model. The set of models must stay the same.
func (p *Planner) SetEngine(e *enginemodel.Engine) {
	p.cfg.Engine = e
	for _, g := range p.groups {
		if m := e.Model(g.model.Name); m != nil {
			g.model = m
		}
	}
	for _, t := range p.transfers {
		if m := e.Model(t.model.Name); m != nil {
			t.model = m
		}
	}
}

// ReportStall records a report of an entry that a group has stalled.
func (p *Planner) ReportStall(now time.Time, name string, epoch uint64) {
	if g := p.groups[name]; g != nil && g.epoch == epoch && g.stage == serving {
		if now.Sub(g.lastStallReport) > stallReportTTL {
			g.firstStallReport = now
		}
		g.lastStallReport = now
	}
}

// ReportProgress records that the named groups made progress for an entry.
func (p *Planner) ReportProgress(now time.Time, names []string) {
	for _, name := range names {
		if g := p.groups[name]; g != nil {
			g.lastProgress = now
		}
	}
}

// Observe processes the latest reports of all engines of the service.
func (p *Planner) Observe(now time.Time, upstreams []fleet.Upstream) {
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		p.observeEngine(now, u)
	}
	p.forgetUnknown(seen)
	for id, e := range p.engines {
		if !seen[id] && e.group == nil {
			delete(p.engines, id)
		}
	}
	p.adopt(now)
}

// forgetUnknown removes the groups none of whose members has a record anymore. They
// are not retired: nothing shows that their heads have stopped serving, so they are
// adopted again if their members report again.
func (p *Planner) forgetUnknown(seen map[string]bool) {
	for name, g := range p.groups {
		if slices.ContainsFunc(g.members, func(id string) bool { return seen[id] }) {
			continue
		}
		for _, id := range g.members {
			if e := p.engines[id]; e != nil && e.group == g {
				e.group = nil
			}
		}
		delete(p.groups, name)
	}
}

func (p *Planner) observeEngine(now time.Time, u fleet.Upstream) {
	e := p.engines[u.ID]
	if e == nil {
		e = &engine{freeSince: now}
		p.engines[u.ID] = e
		p.lastArrival = now
	}
	if e.StartMillis != u.StartMillis {
		// A restarted engine has no model in memory and is in no group.
		e.lastModel, e.staging, e.unreachable = "", "", time.Time{}
	}
	if u.ReceivedAt.After(e.unreachable) {
		e.unreachable = time.Time{}
	}
	e.Upstream = u
	if u.Member.State >= fleet.Formed && u.Model != "" {
		e.lastModel = u.Model
	}
	if e.staging != "" && u.Has(e.staging) {
		e.staging = ""
	}
	if e.staging != "" && now.Sub(e.stagingSince) > p.loadTimeout(e.staging) {
		e.staging = ""
	}
}

// adopt takes over the groups of an earlier leader, and their members whose
// first report arrives later.
func (p *Planner) adopt(now time.Time) {
	found := map[string][]*engine{}
	reported := map[string]bool{}
	for _, e := range p.engines {
		name := e.Member.Group
		if e.Phase == fleet.Gone || name == "" {
			continue
		}
		reported[name] = true
		if e.group != nil || p.retired[name] {
			continue
		}
		if g := p.groups[name]; g != nil {
			p.attach(g, e)
			continue
		}
		found[name] = append(found[name], e)
	}
	maps.DeleteFunc(p.retired, func(name string, _ bool) bool { return !reported[name] })
	for _, name := range slices.Sorted(maps.Keys(found)) {
		p.adoptGroup(now, name, found[name])
	}
}

// attach makes an engine a member of the group that it reports, unless another
// engine already has its rank.
func (p *Planner) attach(g *group, e *engine) {
	rank := e.Member.Rank
	if e.Member.Epoch != g.epoch || rank < 0 || rank >= len(g.members) || g.members[rank] != "" && g.members[rank] != e.ID {
		return
	}
	g.members[rank] = e.ID
	e.group = g
}

func (p *Planner) adoptGroup(now time.Time, name string, members []*engine) {
	slices.SortFunc(members, func(a, b *engine) int {
		return cmp.Or(cmp.Compare(b.Member.Epoch, a.Member.Epoch), a.Member.Rank-b.Member.Rank, strings.Compare(a.ID, b.ID))
	})
	first := members[0]
	model := p.modelOf(members)
	if model == nil {
		return
	}
	g := &group{name: name, epoch: first.Member.Epoch, model: model, domain: first.FabricDomain, stage: forming,
		stageSince: now, lastOrders: map[string]time.Time{}, adopted: true, members: make([]string, model.GroupSize),
		// An Open order of the earlier leader may still be in transit.
		openUnanswered: now}
	for _, e := range members {
		p.attach(g, e)
	}
	head := p.engines[g.head()]
	switch {
	case head == nil, head.Member.State == fleet.Open:
		// A head that has not reported yet may be serving.
		g.stage = serving
	case head.Member.State == fleet.Closing, head.Member.State == fleet.Broken:
		g.stage, g.truncate = closing, true
	}
	p.groups[name] = g
}

// modelOf returns the model of a group's members, or nil if none reports a
// known model.
func (p *Planner) modelOf(members []*engine) *enginemodel.Model {
	for _, e := range members {
		if m := p.cfg.Engine.Model(e.Model); m != nil {
			return m
		}
	}
	return nil
}

// HandleResult processes the result of an order.
func (p *Planner) HandleResult(now time.Time, o Order, r Result) {
	e := p.engines[o.Upstream]
	if e == nil || e.StartMillis != o.StartMillis {
		return
	}
	switch {
	case r == Accepted:
	case r == Conflict:
		if o.Kind == Stage {
			// A load that an earlier leader ordered may still be running.
			e.staging, e.nextStageAt = "", now.Add(stageRetryDelay)
		}
	case o.Kind == Probe:
		e.unreachable = now
	default:
		// The order may have been lost although the engine works. The engine is
		// probed, and the order is sent again without waiting for resendInterval.
		e.needsProbe = true
	}
	g := e.group
	if g == nil {
		return
	}
	if r == NoAnswer && o.Epoch == g.epoch && o.Upstream == g.head() {
		switch o.Kind {
		case Open:
			g.openUnanswered = now
		case Join:
			g.joinUnanswered = now
		}
	}
	if e.needsProbe {
		delete(g.lastOrders, o.Upstream)
	}
	if o.Kind == Leave && r == Accepted && g.stage == isolating && g.memberRemovedAt.IsZero() {
		g.memberRemovedAt = now
	}
}

// Plan returns the orders to be sent now.
func (p *Planner) Plan(now time.Time) []Order {
	p.pendingOrders = nil
	p.queueProbes()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.advance(now, p.groups[name])
	}
	p.countCopies(now)
	p.rebalance(now)
	p.formGroups(now)
	p.stageSpares(now)
	return p.pendingOrders
}

// queueProbes adds probes of the engines that did not answer an order.
func (p *Planner) queueProbes() {
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if !e.needsProbe {
			continue
		}
		e.needsProbe = false
		p.pendingOrders = append(p.pendingOrders, Order{Kind: Probe, Upstream: id, Address: e.Address, StartMillis: e.StartMillis, Reason: "an order was not answered"})
	}
}

// queueOrder adds an order to a member of a group, unless the member was sent
// one within resendInterval.
func (p *Planner) queueOrder(now time.Time, kind OrderKind, g *group, id, reason string) {
	e := p.engines[id]
	if e == nil {
		return
	}
	if at, ok := g.lastOrders[id]; ok && now.Sub(at) < resendInterval {
		return
	}
	g.lastOrders[id] = now
	o := Order{Kind: kind, Upstream: id, Address: e.Address, StartMillis: e.StartMillis, Group: g.name, Epoch: g.epoch, Reason: reason}
	switch kind {
	case Join:
		o.Model, o.Members = g.model.Name, g.members
	case Close:
		o.Truncate = g.truncate
	}
	p.pendingOrders = append(p.pendingOrders, o)
}

// head returns the ID of the member with rank 0.
func (g *group) head() string { return g.members[0] }

// setStage moves the group to another stage.
func (g *group) setStage(now time.Time, s stage) {
	g.stage, g.stageSince = s, now
	clear(g.lastOrders)
}

// dissolve removes a group and frees its engines, if there is a proof that its head
// does not serve it. It reports whether it did.
func (p *Planner) dissolve(now time.Time, g *group) bool {
	if p.proofOfEnd(now, g) == noProof {
		return false
	}
	g.setStage(now, dissolved)
	p.retired[g.name] = true
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.group == g {
			e.group, e.freeSince = nil, now
		}
	}
	delete(p.groups, g.name)
	return true
}
