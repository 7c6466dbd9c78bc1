package placement

import (
	"time"

	"github.com/bluebellfield/bluebellfield/fleet"
)

// advance moves a group through its lifecycle according to the reports of its
// members.
func (p *Planner) advance(now time.Time, g *group) {
	if p.proofOfEnd(now, g) == processEnded && p.dissolve(now, g) {
		return
	}
	switch g.stage {
	case forming:
		p.advanceForming(now, g)
	case opening:
		p.advanceOpening(now, g)
	case serving:
		p.advanceServing(now, g)
	case closing:
		p.detachDeparted(now, g)
		p.advanceClosing(now, g)
	case isolating:
		p.detachDeparted(now, g)
		p.advanceIsolating(now, g)
	case settling:
		p.advanceSettling(now, g)
	}
}

// reportsGroup reports whether the engine's last report names the group.
func (e *engine) reportsGroup(g *group) bool {
	return e.Member.Group == g.name && e.Member.Epoch == g.epoch
}

// advanceForming opens a group when all members have joined, and releases it
// when a member is lost or the timeout expires.
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
		case e.reportsGroup(g) && (e.Member.State == fleet.Formed || e.Member.State == fleet.Open):
			joined++
		}
	}
	timeout := formTimeoutFactor*g.model.LoadTime + formTimeoutMargin
	switch {
	case joined == len(g.members):
		g.setStage(now, opening)
		p.queueOpen(now, g, "all members have joined")
	case now.Sub(g.stageSince) > timeout:
		p.release(now, g)
	default:
		p.orderJoins(now, g)
	}
}

// advanceAdopted releases a group that an earlier leader formed and did not
// open, because orders of that leader with higher epochs may still reach its
// members. It first waits for running loads, so that they are not lost.
func (p *Planner) advanceAdopted(now time.Time, g *group) {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.reportsGroup(g) && e.Member.State == fleet.Joining && now.Sub(g.stageSince) < g.model.LoadTime+formTimeoutMargin {
			return
		}
	}
	if now.Sub(g.stageSince) > adoptionTimeout {
		p.release(now, g)
	}
}

// orderJoins orders the members that have not reported the group yet to join.
func (p *Planner) orderJoins(now time.Time, g *group) {
	for _, id := range g.members {
		e := p.engines[id]
		switch {
		case e.reportsGroup(g):
		case !e.unreachable.IsZero() && now.Sub(g.stageSince) > resendInterval:
			// Release the group, so that a new one forms without this member.
			p.release(now, g)
			return
		default:
			p.queueOrder(now, Join, g, id, "not joined yet")
		}
	}
}

func (p *Planner) advanceOpening(now time.Time, g *group) {
	if p.hasMissingMember(g) {
		p.startClosing(now, g, true)
		return
	}
	if head := p.engines[g.head()]; head.Member.State == fleet.Open {
		g.openPending = false
		g.setStage(now, serving)
		return
	}
	p.queueOpen(now, g, "not open yet")
}

func (p *Planner) queueOpen(now time.Time, g *group, reason string) {
	g.openPending = true
	p.queueOrder(now, Open, g, g.head(), reason)
}

// release dissolves a group whose head does not serve. If the head may still
// execute an Open order, the group is settled first.
func (p *Planner) release(now time.Time, g *group) {
	if p.dissolve(now, g) {
		return
	}
	g.setStage(now, settling)
	p.advanceSettling(now, g)
}

// advanceSettling removes the head from a group that does not serve, and
// dissolves the group once the head can no longer open it.
func (p *Planner) advanceSettling(now time.Time, g *group) {
	head := p.engines[g.head()]
	switch {
	case p.dissolve(now, g):
	case head == nil:
		g.setStage(now, isolating)
	case head.Member.State == fleet.Open || head.Member.State == fleet.Closing:
		p.startClosing(now, g, true)
	case !head.unreachable.IsZero() && head.unreachable.After(g.stageSince):
		g.setStage(now, isolating)
	case now.Sub(g.openUnanswered) <= maxOrderDelay && now.Sub(g.joinUnanswered) <= maxOrderDelay:
		// Do not send a Leave order: delayed Join and Open orders could make the
		// head join and open the group after it.
	default:
		p.queueOrder(now, Leave, g, g.head(), "an open order may still be executed")
	}
}

// hasMissingMember reports whether a member has left the group or restarted.
// Ranks whose member has not reported to a new leader yet are ignored.
func (p *Planner) hasMissingMember(g *group) bool {
	for _, id := range g.members {
		if id == "" {
			continue
		}
		if e := p.engines[id]; e == nil || !e.reportsGroup(g) {
			return true
		}
	}
	return false
}

func (p *Planner) advanceServing(now time.Time, g *group) {
	head := p.engines[g.head()]
	switch {
	case head == nil:
		if !g.lastStallReport.IsZero() || now.Sub(g.stageSince) > unknownHeadTimeout {
			g.setStage(now, isolating)
		}
	case head.reportsGroup(g) && head.Member.State == fleet.Broken:
		p.dissolve(now, g)
	case p.shouldDrain(now, g):
		p.startClosing(now, g, false)
	case p.hasMissingMember(g):
		p.startClosing(now, g, true)
	case head.Member.State == fleet.Closing:
		g.setStage(now, closing)
	case head.stoppedServing(g):
		// Either a new leader adopted the group before the first report of its head,
		// or a delayed order of an earlier leader closed it.
		p.release(now, g)
	case !g.lastStallReport.IsZero() && head.unreachableSince(g.firstStallReport):
		// An order to close would not reach the head.
		g.setStage(now, isolating)
		p.advanceIsolating(now, g)
	case !g.lastStallReport.IsZero() && p.hasUnreachableMember(g):
		p.startClosing(now, g, true)
	case !g.lastStallReport.IsZero() && now.Sub(g.lastStallReport) < probeInterval && now.Sub(g.lastProbe) >= probeInterval:
		g.lastProbe = now
		for _, id := range g.members {
			p.queueProbe(g, id)
		}
	case p.headSilent(now, g, head):
		// Neither the leader nor any entry has heard from the head. It may be
		// serving behind a network partition, so the group is isolated before its
		// engines are used again.
		if !head.unreachable.IsZero() {
			g.setStage(now, isolating)
		} else if now.Sub(g.lastProbe) >= probeInterval {
			g.lastProbe = now
			p.queueProbe(g, head.ID)
		}
	}
}

// headSilent reports whether the head has not reported and no entry has seen
// progress for headSilenceTimeout.
func (p *Planner) headSilent(now time.Time, g *group, head *engine) bool {
	return now.Sub(head.ReceivedAt) > headSilenceTimeout && now.Sub(g.lastProgress) > headSilenceTimeout && now.Sub(g.stageSince) > headSilenceTimeout
}

// detachDeparted frees the members of a closing or isolated group that
// restarted or never joined.
func (p *Planner) detachDeparted(now time.Time, g *group) {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.group == g && !e.reportsGroup(g) {
			e.group, e.freeSince = nil, now
		}
	}
}

// shouldDrain reports whether a group should finish its requests and close
// because a member drains. All members must still be present. If no free engine
// can replace the member without a load, the group keeps serving for a while.
func (p *Planner) shouldDrain(now time.Time, g *group) bool {
	draining := 0
	for _, id := range g.members {
		e := p.engines[id]
		if e == nil || !e.reportsGroup(g) {
			return false
		}
		if e.Phase != fleet.Ready {
			draining++
		}
	}
	if draining == 0 {
		g.drainingSince = time.Time{}
		return false
	}
	if g.drainingSince.IsZero() {
		g.drainingSince = now
	}
	headDrains := p.engines[g.head()].Phase != fleet.Ready
	return headDrains || now.Sub(g.drainingSince) > drainServeTime || p.replacements(now, g) >= draining
}

// replacements counts the free engines of the group's domain that can join
// without loading from the weight store.
func (p *Planner) replacements(now time.Time, g *group) int {
	n := 0
	for _, e := range p.engines {
		if e.FabricDomain == g.domain && p.usable(now, e) && e.joinCost(g.model) <= g.model.WarmTime {
			n++
		}
	}
	return n
}

// hasUnreachableMember reports whether a probe of a member has failed since the
// first stall report.
func (p *Planner) hasUnreachableMember(g *group) bool {
	for _, id := range g.members {
		if e := p.engines[id]; e != nil && e.unreachableSince(g.firstStallReport) {
			return true
		}
	}
	return false
}

// unreachableSince reports whether a probe of the engine has failed at or after
// the given time, and the engine has not reported since.
func (e *engine) unreachableSince(t time.Time) bool {
	return !e.unreachable.IsZero() && !e.unreachable.Before(t)
}

func (p *Planner) queueProbe(g *group, id string) {
	if e := p.engines[id]; e != nil {
		p.pendingOrders = append(p.pendingOrders, Order{Kind: Probe, Upstream: id, Address: e.Address, StartMillis: e.StartMillis, Group: g.name, Epoch: g.epoch, Reason: "a stall was reported or the head is silent"})
	}
}

// startClosing moves a group to the closing stage and orders its head to stop
// serving.
func (p *Planner) startClosing(now time.Time, g *group, truncate bool) {
	g.truncate = truncate
	g.setStage(now, closing)
	p.advanceClosing(now, g)
}

func (p *Planner) advanceClosing(now time.Time, g *group) {
	head := p.engines[g.head()]
	if head == nil {
		g.setStage(now, isolating)
		return
	}
	if head.stoppedServing(g) {
		p.release(now, g)
		return
	}
	if !g.truncate && (now.Sub(g.stageSince) > drainFinishTime || p.hasMissingMember(g) || !g.lastStallReport.IsZero() && p.hasUnreachableMember(g)) {
		g.truncate = true
		clear(g.lastOrders)
	}
	if !head.unreachable.IsZero() && head.unreachable.After(g.stageSince) {
		g.setStage(now, isolating)
		p.advanceIsolating(now, g)
		return
	}
	if head.Member.State == fleet.Closing && !g.truncate {
		return
	}
	p.queueOrder(now, Close, g, g.head(), p.closeReason(g))
}

// stoppedServing reports whether the last report of a head shows that it does
// not serve the group.
func (e *engine) stoppedServing(g *group) bool {
	if !e.reportsGroup(g) {
		return true
	}
	return e.Member.State != fleet.Open && e.Member.State != fleet.Closing
}

func (p *Planner) advanceIsolating(now time.Time, g *group) {
	head := p.engines[g.head()]
	switch {
	case head == nil:
	case head.stoppedServing(g) && head.unreachable.IsZero():
		p.release(now, g)
		return
	case head.unreachable.IsZero() && g.memberRemovedAt.IsZero() && !p.hasMissingMember(g):
		// A network partition has healed; the group has been serving all the time.
		g.setStage(now, serving)
		g.lastStallReport, g.firstStallReport = time.Time{}, time.Time{}
		return
	case head.unreachable.IsZero():
		// The head is reachable again and can be ordered to close.
		p.startClosing(now, g, true)
		return
	}
	if g.memberRemovedAt.IsZero() && p.hasMissingMember(g) {
		g.memberRemovedAt = now
	}
	p.orderLeave(now, g)
	// Without a proof, the head may be serving for any length of time. The group is
	// kept until a member can be reached, or until no member has a record.
	p.dissolve(now, g)
}

// orderLeave orders the reachable members out of a group whose head is
// unreachable. A member that reports that it has left can be used again at once.
// A head that is still running stalls without it, and stops serving after
// StallTime.
func (p *Planner) orderLeave(now time.Time, g *group) {
	for _, id := range g.members[1:] {
		e := p.engines[id]
		if e != nil && e.group == g && e.unreachable.IsZero() && e.Phase != fleet.Gone && now.Sub(e.ReceivedAt) < headSilenceTimeout {
			p.queueOrder(now, Leave, g, id, "the head is unreachable")
		}
	}
}
