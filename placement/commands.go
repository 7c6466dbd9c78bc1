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

// SetWork sets the offered work of a model in copies that it keeps busy.
func (p *Planner) SetWork(model string, copies float64) { p.work[model] = copies }

// SetEngine replaces the step model, with the same set of models.
func (p *Planner) SetEngine(e *enginemodel.Engine) {
	p.cfg.Engine = e
	for _, g := range p.groups {
		if m := e.Model(g.model.Name); m != nil {
			g.model = m
		}
	}
}

// Suspect takes in evidence from an entry that a group stands still.
func (p *Planner) Suspect(now time.Time, name string, epoch uint64) {
	if g := p.groups[name]; g != nil && g.epoch == epoch && g.stage == serving {
		if now.Sub(g.suspected) > suspicionLife {
			g.suspectedSince = now
		}
		g.suspected = now
	}
}

// Alive takes in the names of groups that made progress for an entry.
func (p *Planner) Alive(now time.Time, names []string) {
	for _, name := range names {
		if g := p.groups[name]; g != nil {
			g.alive = now
		}
	}
}

// Observe takes in the newest reports of the service's engines.
func (p *Planner) Observe(now time.Time, upstreams []fleet.Upstream) {
	seen := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		seen[u.ID] = true
		p.observeOne(now, u)
	}
	for id, e := range p.engines {
		if !seen[id] && e.group == nil {
			delete(p.engines, id)
		}
	}
	p.adopt(now)
}

func (p *Planner) observeOne(now time.Time, u fleet.Upstream) {
	e := p.engines[u.ID]
	if e == nil {
		e = &engine{freeSince: now}
		p.engines[u.ID] = e
		p.lastArrival = now
	}
	if e.Born != u.Born {
		// A restarted engine holds nothing; its group finds it missing.
		e.last, e.staging, e.unreachable = "", "", time.Time{}
	}
	if u.Heard.After(e.unreachable) {
		e.unreachable = time.Time{}
	}
	e.Upstream = u
	if u.Member.State >= fleet.Formed && u.Model != "" {
		e.last = u.Model
	}
	if e.staging != "" && u.Has(e.staging) {
		e.staging = ""
	}
	if e.staging != "" && now.Sub(e.stagingAt) > p.loadAllowance(e.staging) {
		e.staging = ""
	}
}

// adopt takes over groups that an earlier leader formed, and members of them
// that are heard of later.
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

// attach makes an engine a member of a group that it reports, where the group
// lacks one of its rank.
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
		since: now, sent: map[string]time.Time{}, adopted: true, members: make([]string, model.GroupSize),
		// An earlier leader's order to open may still be on its way.
		openLost: now}
	for _, e := range members {
		p.attach(g, e)
	}
	head := p.engines[g.head()]
	switch {
	case head == nil, head.Member.State == fleet.Open:
		// A head that was not heard of may serve.
		g.stage = serving
	case head.Member.State == fleet.Closing, head.Member.State == fleet.Broken:
		g.stage, g.truncate = closing, true
	}
	p.groups[name] = g
}

// modelOf returns the model of a group's members, nil when none names one.
func (p *Planner) modelOf(members []*engine) *enginemodel.Model {
	for _, e := range members {
		if m := p.cfg.Engine.Model(e.Model); m != nil {
			return m
		}
	}
	return nil
}

// Done takes in the result of an order.
func (p *Planner) Done(now time.Time, o Order, r Result) {
	e := p.engines[o.Upstream]
	if e == nil || e.Born != o.Born {
		return
	}
	switch {
	case r == Accepted:
	case r == Conflict:
		if o.Kind == Stage {
			// An order of an earlier leader may still be under way.
			e.staging, e.stageAfter = "", now.Add(stageRetry)
		}
	case o.Kind == Probe:
		e.unreachable = now
	default:
		// An order may be lost on the way to an engine that is well: a probe
		// tells, and the order is repeated at once.
		e.doubted = true
	}
	g := e.group
	if g == nil {
		return
	}
	if r == NoAnswer && o.Epoch == g.epoch && o.Upstream == g.head() {
		switch o.Kind {
		case Open:
			g.openLost = now
		case Join:
			g.joinLost = now
		}
	}
	if e.doubted {
		delete(g.sent, o.Upstream)
	}
	if o.Kind == Leave && r == Accepted && g.stage == isolating && g.headless.IsZero() {
		g.headless = now
	}
}

// Plan returns the orders that are due.
func (p *Planner) Plan(now time.Time) []Order {
	p.out = nil
	p.probeDoubted()
	for _, name := range slices.Sorted(maps.Keys(p.groups)) {
		p.advance(now, p.groups[name])
	}
	p.formGroups(now)
	p.stageSpares(now)
	return p.out
}

// probeDoubted asks the engines that left an order unanswered for their state.
func (p *Planner) probeDoubted() {
	for _, id := range slices.Sorted(maps.Keys(p.engines)) {
		e := p.engines[id]
		if !e.doubted {
			continue
		}
		e.doubted = false
		p.out = append(p.out, Order{Kind: Probe, Upstream: id, Address: e.Address, Born: e.Born, Reason: "an order got no answer"})
	}
}

func (p *Planner) order(now time.Time, kind OrderKind, g *group, id, reason string) {
	e := p.engines[id]
	if e == nil {
		return
	}
	if at, ok := g.sent[id]; ok && now.Sub(at) < resendInterval {
		return
	}
	g.sent[id] = now
	o := Order{Kind: kind, Upstream: id, Address: e.Address, Born: e.Born, Group: g.name, Epoch: g.epoch, Reason: reason}
	switch kind {
	case Join:
		o.Model, o.Members = g.model.Name, g.members
	case Close:
		o.Truncate = g.truncate
	}
	p.out = append(p.out, o)
}

func (g *group) head() string { return g.members[0] }

func (g *group) enter(now time.Time, s stage) {
	g.stage, g.since = s, now
	clear(g.sent)
}

func (p *Planner) dissolve(now time.Time, g *group) {
	g.enter(now, dissolved)
	p.retired[g.name] = true
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.group == g {
			e.group, e.freeSince = nil, now
		}
	}
	delete(p.groups, g.name)
}
