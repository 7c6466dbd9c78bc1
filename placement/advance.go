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
		p.detach(now, g)
		p.advanceClosing(now, g)
	case isolating:
		p.detach(now, g)
		p.advanceIsolating(now, g)
	case settling:
		p.advanceSettling(now, g)
	}
}

// belongs reports whether an engine's newest report names the group.
func (e *engine) belongs(g *group) bool {
	return e.Member.Group == g.name && e.Member.Epoch == g.epoch
}

func (p *Planner) advanceForming(now time.Time, g *group) {
	if g.adopted {
		p.advanceAdopted(now, g)
		return
	}
	joined := 0
	for _, id := range g.members {
		e := p.engines[id]
		switch {
		case e == nil || e.Phase != fleet.Ready || e.group != g:
			p.release(now, g)
			return
		case e.belongs(g) && (e.Member.State == fleet.Formed || e.Member.State == fleet.Open):
			joined++
		}
	}
	allowed := formAllowance*g.model.LoadTime + formSlack
	switch {
	case joined == len(g.members):
		g.enter(now, opening)
		p.open(now, g, "all members have joined")
	case now.Sub(g.since) > allowed:
		p.release(now, g)
	default:
		p.orderJoins(now, g)
	}
}

// advanceAdopted gives up a group that an earlier leader did not open: orders
// of that leader with higher epochs may still reach its members. Loads that are
// under way are not lost by waiting for their end.
func (p *Planner) advanceAdopted(now time.Time, g *group) {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.belongs(g) && e.Member.State == fleet.Joining && now.Sub(g.since) < g.model.LoadTime+formSlack {
			return
		}
	}
	if now.Sub(g.since) > adoptionWait {
		p.release(now, g)
	}
}

// orderJoins orders the members that have not reported the group yet.
func (p *Planner) orderJoins(now time.Time, g *group) {
	for _, id := range g.members {
		e := p.engines[id]
		switch {
		case e.belongs(g):
		case !e.unreachable.IsZero() && now.Sub(g.since) > resendInterval:
			// A member that cannot be reached is replaced by forming again.
			p.release(now, g)
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
		g.openSent = false
		g.enter(now, serving)
		return
	}
	p.open(now, g, "not open yet")
}

func (p *Planner) open(now time.Time, g *group, reason string) {
	g.openSent = true
	p.order(now, Open, g, g.head(), reason)
}

// release dissolves a group whose head does not serve, once it is certain that
// it will not open any more.
func (p *Planner) release(now time.Time, g *group) {
	if !g.openSent && now.Sub(g.openLost) > lateOrders {
		p.dissolve(now, g)
		return
	}
	g.enter(now, settling)
	p.advanceSettling(now, g)
}

func (p *Planner) advanceSettling(now time.Time, g *group) {
	head := p.engines[g.head()]
	switch {
	case head == nil || !head.belongs(g) || head.Member.State == fleet.Broken:
		p.dissolve(now, g)
	case head.Member.State == fleet.Open || head.Member.State == fleet.Closing:
		p.close(now, g, true)
	case !head.unreachable.IsZero() && head.unreachable.After(g.since):
		g.enter(now, isolating)
	case now.Sub(g.openLost) > lateOrders && !g.openSent:
		p.dissolve(now, g)
	case now.Sub(g.openLost) <= lateOrders && now.Sub(g.joinLost) <= lateOrders:
		// After a leave the late orders could still join and open the head.
	default:
		p.order(now, Leave, g, g.head(), "an order to open may be late")
	}
}

// missing reports whether a member has left the group or restarted. Members
// that a new leader has not heard of do not count.
func (p *Planner) missing(g *group) bool {
	for _, id := range g.members {
		if id == "" {
			continue
		}
		if e := p.engines[id]; e == nil || !e.belongs(g) {
			return true
		}
	}
	return false
}

func (p *Planner) advanceServing(now time.Time, g *group) {
	head := p.engines[g.head()]
	switch {
	case head == nil:
		if !g.suspected.IsZero() || now.Sub(g.since) > orphanWait {
			g.enter(now, isolating)
		}
	case head.belongs(g) && head.Member.State == fleet.Broken:
		p.dissolve(now, g)
	case p.gracefulExit(now, g):
		p.close(now, g, false)
	case p.missing(g):
		p.close(now, g, true)
	case head.Member.State == fleet.Closing:
		g.enter(now, closing)
	case head.stopped(g):
		// Found by a new leader before its head was heard, or closed by a late
		// order of an earlier leader.
		p.release(now, g)
	case !g.suspected.IsZero() && p.unreachableMember(g):
		p.close(now, g, true)
	case !g.suspected.IsZero() && now.Sub(g.suspected) < probeInterval && now.Sub(g.probed) >= probeInterval:
		g.probed = now
		for _, id := range g.members {
			p.probe(g, id)
		}
	case p.silent(now, g, head):
		// Neither the leader nor any entry hears of the head. It may serve
		// beyond a cut, so that it is isolated rather than replaced.
		if !head.unreachable.IsZero() {
			g.enter(now, isolating)
		} else if now.Sub(g.probed) >= probeInterval {
			g.probed = now
			p.probe(g, head.ID)
		}
	}
}

func (p *Planner) silent(now time.Time, g *group, head *engine) bool {
	return now.Sub(head.Heard) > aliveWait && now.Sub(g.alive) > aliveWait && now.Sub(g.since) > aliveWait
}

// detach frees the members that are in no part of a group that does not serve
// new work: they have restarted, or were never in it.
func (p *Planner) detach(now time.Time, g *group) {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.group == g && !e.belongs(g) {
			e.group, e.freeSince = nil, now
		}
	}
}

// gracefulExit reports whether a group is to finish its requests because a
// member leaves by plan while all others are there. Without an engine that can
// replace the member at once the group serves on for a while.
func (p *Planner) gracefulExit(now time.Time, g *group) bool {
	leaving := 0
	for _, id := range g.members {
		e := p.engines[id]
		if e == nil || !e.belongs(g) {
			return false
		}
		if e.Phase != fleet.Ready {
			leaving++
		}
	}
	if leaving == 0 {
		g.leaving = time.Time{}
		return false
	}
	if g.leaving.IsZero() {
		g.leaving = now
	}
	headLeaves := p.engines[g.head()].Phase != fleet.Ready
	return headLeaves || now.Sub(g.leaving) > serveOn || p.replacements(now, g) >= leaving
}

// replacements counts the free engines of a group's domain that can join it
// without a load.
func (p *Planner) replacements(now time.Time, g *group) int {
	n := 0
	for _, e := range p.engines {
		if e.FabricDomain == g.domain && p.usable(now, e) && e.joinCost(g.model) <= g.model.WarmTime {
			n++
		}
	}
	return n
}

// unreachableMember reports whether a member of a suspected group did not
// answer since the suspicion arose.
func (p *Planner) unreachableMember(g *group) bool {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && !e.unreachable.IsZero() && !e.unreachable.Before(g.suspectedSince) {
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
	if head == nil {
		g.enter(now, isolating)
		return
	}
	if head.stopped(g) {
		p.release(now, g)
		return
	}
	if !g.truncate && (now.Sub(g.since) > finishTime || p.missing(g) || !g.suspected.IsZero() && p.unreachableMember(g)) {
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
	switch {
	case head == nil:
	case head.stopped(g) && head.unreachable.IsZero():
		p.release(now, g)
		return
	case head.unreachable.IsZero() && g.headless.IsZero() && !p.missing(g):
		// A cut has healed, and the group has served all the time.
		g.enter(now, serving)
		g.suspected, g.suspectedSince = time.Time{}, time.Time{}
		return
	case head.unreachable.IsZero():
		// It is heard again; it can be told to close.
		p.close(now, g, true)
		return
	}
	if g.headless.IsZero() && p.missing(g) {
		g.headless = now
	}
	if g.headless.IsZero() {
		p.orderLeave(now, g)
		return
	}
	if now.Sub(g.headless) > p.cfg.StallTime+stallMargin {
		p.dissolve(now, g)
	}
}

// orderLeave takes one member that can be reached out of a group.
func (p *Planner) orderLeave(now time.Time, g *group) {
	for _, id := range g.members[1:] {
		if e := p.engines[id]; e != nil && e.unreachable.IsZero() && e.Phase != fleet.Gone && now.Sub(e.Heard) < aliveWait {
			p.order(now, Leave, g, id, "the head cannot be reached")
			return
		}
	}
	// Without a member in reach none can be used elsewhere either.
	if now.Sub(g.since) > 2*p.cfg.StallTime+stallMargin {
		p.dissolve(now, g)
	}
}
