package placement

import (
	"time"

	"github.com/bluebellfield/bluebellfield/fleet"
)

// advance moves a group through its life by what its members report.
func (p *Planner) advance(now time.Time, g *group) {
	switch g.stage {
	case forming:
		p.advanceForming(now, g)
	case opening:
		p.advanceOpening(now, g)
	case serving:
		p.advanceServing(now, g)
	case closing:
		p.advanceClosing(now, g)
	case isolating:
		p.advanceIsolating(now, g)
	}
}

// belongs reports whether an engine's newest report names the group.
func (e *engine) belongs(g *group) bool {
	return e.Member.Group == g.name && e.Member.Epoch == g.epoch
}

func (p *Planner) advanceForming(now time.Time, g *group) {
	joined := 0
	for _, id := range g.members {
		e := p.engines[id]
		if e == nil || e.Phase != fleet.Ready || e.group != g {
			if g.adopted && now.Sub(g.since) < adoptionWait && e == nil {
				continue
			}
			p.dissolve(now, g)
			return
		}
		if e.belongs(g) && (e.Member.State == fleet.Formed || e.Member.State == fleet.Open) {
			joined++
		}
	}
	if joined == len(g.members) {
		g.enter(now, opening)
		p.order(now, Open, g, g.head(), "all members have joined")
		return
	}
	allowed := formAllowance*g.model.LoadTime + formSlack
	if g.adopted {
		allowed = min(allowed, g.model.LoadTime+formSlack)
	}
	if now.Sub(g.since) > allowed {
		p.dissolve(now, g)
		return
	}
	for _, id := range g.members {
		e := p.engines[id]
		switch {
		case e == nil || e.belongs(g):
		case !e.unreachable.IsZero() && now.Sub(g.since) > resendInterval:
			// A member that cannot be reached is replaced by forming again.
			p.dissolve(now, g)
			return
		default:
			p.order(now, Join, g, id, "not joined yet")
		}
	}
}

func (p *Planner) advanceOpening(now time.Time, g *group) {
	if p.missing(g) {
		p.close(now, g, true)
		return
	}
	if head := p.engines[g.head()]; head.Member.State == fleet.Open {
		g.enter(now, serving)
		return
	}
	p.order(now, Open, g, g.head(), "not open yet")
}

// missing reports whether a member has left the group or restarted.
func (p *Planner) missing(g *group) bool {
	for _, id := range g.members {
		e := p.engines[id]
		if e == nil {
			if g.adopted && id == "" {
				continue
			}
			return true
		}
		if e.Phase == fleet.Gone || !e.belongs(g) {
			return true
		}
	}
	return false
}

func (p *Planner) draining(g *group) bool {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.Phase == fleet.Draining {
			return true
		}
	}
	return false
}

func (p *Planner) advanceServing(now time.Time, g *group) {
	head := p.engines[g.head()]
	switch {
	case head != nil && head.belongs(g) && head.Member.State == fleet.Broken:
		p.dissolve(now, g)
	case p.gracefulExit(g):
		p.close(now, g, false)
	case p.missing(g):
		p.close(now, g, true)
	case !g.suspected.IsZero() && p.unreachableMember(g, g.suspected):
		p.close(now, g, true)
	case !g.suspected.IsZero() && now.Sub(g.suspected) < probeInterval && now.Sub(g.probed) >= probeInterval:
		g.probed = now
		for _, id := range g.members {
			p.probe(g, id)
		}
	}
}

// gracefulExit reports whether a member leaves by plan while all others are
// there, so that running requests can be finished.
func (p *Planner) gracefulExit(g *group) bool {
	for _, id := range g.members {
		e := p.engines[id]
		if e == nil || !e.belongs(g) {
			return false
		}
	}
	return p.draining(g)
}

func (p *Planner) unreachableMember(g *group, since time.Time) bool {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && !e.unreachable.IsZero() && !e.unreachable.Before(since) {
			return true
		}
	}
	return false
}

func (p *Planner) probe(g *group, id string) {
	if e := p.engines[id]; e != nil {
		p.out = append(p.out, Order{Kind: Probe, Upstream: id, Address: e.Address, Born: e.Born, Group: g.name, Epoch: g.epoch, Reason: "group is suspected"})
	}
}

func (p *Planner) close(now time.Time, g *group, truncate bool) {
	g.truncate = truncate
	g.enter(now, closing)
	p.advanceClosing(now, g)
}

func (p *Planner) advanceClosing(now time.Time, g *group) {
	head := p.engines[g.head()]
	if head == nil || head.stopped(g) {
		p.dissolve(now, g)
		return
	}
	if !g.truncate && (p.missing(g) || !g.suspected.IsZero() && p.unreachableMember(g, g.suspected)) {
		g.truncate = true
		clear(g.sent)
	}
	if !head.unreachable.IsZero() && head.unreachable.After(g.since) {
		g.enter(now, isolating)
		p.advanceIsolating(now, g)
		return
	}
	if head.Member.State == fleet.Closing && !g.truncate {
		return
	}
	p.order(now, Close, g, g.head(), "a member is lost or leaves")
}

// stopped reports whether a head has said that it does not serve the group.
func (e *engine) stopped(g *group) bool {
	if !e.belongs(g) {
		return true
	}
	return e.Member.State != fleet.Open && e.Member.State != fleet.Closing
}

func (p *Planner) advanceIsolating(now time.Time, g *group) {
	head := p.engines[g.head()]
	if head == nil || head.unreachable.IsZero() {
		// It is heard again; it can be told to close.
		p.close(now, g, true)
		return
	}
	if head.stopped(g) {
		p.dissolve(now, g)
		return
	}
	if !g.headless.IsZero() {
		if now.Sub(g.headless) > p.cfg.StallTime+stallMargin {
			p.dissolve(now, g)
		}
		return
	}
	for _, id := range g.members[1:] {
		if e := p.engines[id]; e != nil && e.unreachable.IsZero() && e.Phase != fleet.Gone {
			p.order(now, Leave, g, id, "the head cannot be reached")
			return
		}
	}
	if now.Sub(g.since) > 2*p.cfg.StallTime+stallMargin {
		p.dissolve(now, g)
	}
}
