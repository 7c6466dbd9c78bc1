package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// priorAbsences is the initial history of absences: half of the absent
// instances return within a minute, the others never.
var priorAbsences = []time.Duration{
	4 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second,
	15 * time.Second, 20 * time.Second, 30 * time.Second, 45 * time.Second, 60 * time.Second,
	neverReturned, neverReturned, neverReturned, neverReturned, neverReturned,
	neverReturned, neverReturned, neverReturned, neverReturned, neverReturned,
}

// brokenGroup is a group that cannot serve until members are replaced.
type brokenGroup struct {
	group         *Group
	toReplace     []string // members to replace
	faulty        []string // those of toReplace that were lost to a fault
	survivors     []*Observation
	costPerSecond float64 // weighted cost per second while it does not serve
	cause         Cause
}

// memberHealth classifies the members of a group.
type memberHealth struct {
	healthy, pending, slow     []*Observation
	absent, restarted, leaving []string
	longestAbsence             time.Duration // among absent
	lastSeen                   time.Time     // newest report of any absent member
	idle                       bool
	conflict                   bool
}

func (c *Controller) inspectMembers(g *Group) memberHealth {
	h := memberHealth{idle: true}
	for rank, m := range g.Members {
		o, record := c.observations[m.ID], c.records[m.ID]
		switch {
		case record != nil && record.incarnation > m.Incarnation:
			h.restarted = append(h.restarted, m.ID)
			continue
		case !c.fresh(o, c.now) || o.Incarnation < m.Incarnation:
			h.absent = append(h.absent, m.ID)
			last := c.started
			if record != nil {
				last = record.reportedAt
			}
			if last.After(h.lastSeen) {
				h.lastSeen = last
			}
			h.longestAbsence = max(h.longestAbsence, c.now.Sub(last))
			continue
		}
		h.idle = h.idle && o.Idle
		switch {
		case o.State != membership.Ready:
			h.leaving = append(h.leaving, m.ID)
		case o.InForce != membership.GroupRef{Group: g.ID, Epoch: g.Epoch, Rank: rank}:
			h.pending = append(h.pending, o)
			h.conflict = h.conflict || o.InForce.Group != "" && o.InForce.Group != g.ID
		case o.Slowdown > 0:
			h.slow = append(h.slow, o)
		default:
			h.healthy = append(h.healthy, o)
		}
	}
	return h
}

// reconcileGroup decides on the next change or order for a group.
func (c *Controller) reconcileGroup(g *Group) {
	h := c.inspectMembers(g)
	d := c.demandOf(g)
	if cause := h.cause(g); cause != CauseNone {
		c.causes[g.ID] = cause
	}
	if len(h.absent) > 0 {
		c.decideWithin(max(minDecisionInterval, min(h.longestAbsence/10, maxDecisionInterval)))
	}
	complete := len(h.absent)+len(h.restarted)+len(h.leaving)+len(h.pending) == 0
	switch {
	case !c.fabricDownSince[g.FabricDomain].IsZero():
		// Members that return with the same incarnation resume serving.
		c.causes[g.ID] = CauseFabric
	case g.Phase == Draining:
		c.reconcileDrain(g, h, d)
	case complete && g.Phase == Loading:
		c.propose(Command{Kind: Confirm, Group: g.ID, Epoch: g.Epoch})
	case complete:
		c.replaceSlowMembers(g, h, d)
	case len(h.restarted) > 0, len(h.absent) > 0 && c.shouldReplaceAbsent(g, h, d):
		c.repair(g, append(slices.Clone(h.restarted), h.absent...), h, d)
	case len(h.leaving) > 0 && g.Phase == Serving && len(h.absent) == 0:
		c.propose(Command{
			Kind: Drain, Group: g.ID, Epoch: g.Epoch, Cause: CauseLeaving,
			Deadline: c.now.Add(c.cfg.DrainDeadline).UnixMilli(),
		})
	case len(h.leaving) > 0 && len(h.absent) == 0:
		c.repair(g, nil, h, d)
	case len(h.pending) > 0:
		c.sendFormOrders(g, h, d)
	}
}

func (h memberHealth) cause(g *Group) Cause {
	switch {
	case len(h.restarted) > 0:
		return CauseRestart
	case len(h.leaving) > 0:
		return CauseLeaving
	case len(h.absent) > 0:
		return CauseAbsent
	case g.Phase == Draining:
		return g.Cause
	case len(h.pending) > 0 && g.Phase == Serving:
		return CauseConflict
	case len(h.pending) > 0:
		return CauseLoading
	}
	return CauseNone
}

// sendFormOrders sends the form order to the members that do not report it in
// force. Members that exceed the time limit are replaced.
func (c *Controller) sendFormOrders(g *Group, h memberHealth, d Demand) {
	timer := c.epochTimers[g.ID]
	if timer.epoch != g.Epoch {
		timer = epochTimer{g.Epoch, c.now}
		c.epochTimers[g.ID] = timer
	}
	limit := c.cfg.LoadSlack
	if c.settings.StoreRate > 0 {
		limit += time.Duration(2 * d.WeightBytes * float64(len(g.Members)) / c.settings.StoreRate * float64(time.Second))
	}
	if g.Phase == Serving {
		limit = 2 * orderRetryInterval
		if timer.startedAt.Before(c.now) && c.conflictStartedAt(g).IsZero() {
			c.epochTimers[g.ID+conflictTimerSuffix] = epochTimer{g.Epoch, c.now}
		}
		timer.startedAt = c.conflictStartedAt(g)
	}
	if c.now.Sub(timer.startedAt) > limit && len(h.absent) == 0 {
		ids := make([]string, 0, len(h.pending))
		for _, o := range h.pending {
			ids = append(ids, o.ID)
		}
		delete(c.epochTimers, g.ID+conflictTimerSuffix)
		c.repair(g, ids, h, d)
		return
	}
	for rank, m := range g.Members {
		o := c.observations[m.ID]
		if !slices.Contains(h.pending, o) {
			continue
		}
		if !o.Fencing && o.InForce.Group != "" {
			continue // without fencing, a new order is safe only after a release
		}
		c.send(Order{
			ID: orderID(OrderForm, m.ID, g.Epoch), Kind: OrderForm, Instance: m.ID, Incarnation: m.Incarnation, Address: o.Address,
			Group: g.ID, Epoch: g.Epoch, Rank: rank, Members: g.Members, Model: g.Model,
		})
	}
}

// conflictStartedAt returns the time since which a member of the serving group
// does not report its assignment in force, or zero.
func (c *Controller) conflictStartedAt(g *Group) time.Time {
	if timer := c.epochTimers[g.ID+conflictTimerSuffix]; timer.epoch == g.Epoch {
		return timer.startedAt
	}
	return time.Time{}
}

// downtimeCost returns the weighted cost per second of a group that does not
// serve.
func downtimeCost(d Demand, survivors []*Observation) float64 {
	cost := d.DowntimeWeight
	for _, o := range survivors {
		cost += d.StrandedWeight * float64(o.Accelerators)
	}
	return cost
}

// shouldReplaceAbsent decides by expected downtime whether to replace absent
// members or to wait for them. It compares replacing now with waiting until
// each length of absence in the history. It returns true if replacing now costs
// least or if an absence exceeds Demand.Patience.
func (c *Controller) shouldReplaceAbsent(g *Group, h memberHealth, d Demand) bool {
	if d.Patience > 0 && h.longestAbsence >= d.Patience {
		return true
	}
	repairTime, possible := c.estimateRepairTime(g, len(h.absent), d, h)
	if !possible {
		// Another broken group may be dissolved and its survivors used.
		repairTime = c.cfg.StartTime + c.addDrift(c.cfg.AgeBound)
	}
	best, bestWait := c.expectedDowntime(h.longestAbsence, 0, repairTime), time.Duration(0)
	for _, length := range c.absences {
		if length <= h.longestAbsence || length == neverReturned {
			continue
		}
		if cost := c.expectedDowntime(h.longestAbsence, length-h.longestAbsence, repairTime); cost < best {
			best, bestWait = cost, length-h.longestAbsence
		}
	}
	return bestWait == 0
}

// expectedDowntime returns the expected downtime in seconds if a member that
// has been absent for a time is replaced after a further wait. The cost weights
// are left out because they scale all alternatives equally.
func (c *Controller) expectedDowntime(absence, wait, repairTime time.Duration) float64 {
	sum, n := 0.0, 0
	for _, length := range c.absences {
		if length <= absence {
			continue
		}
		n++
		if length-absence <= wait {
			sum += (length - absence).Seconds()
		} else {
			sum += (wait + repairTime).Seconds()
		}
	}
	if n == 0 {
		return (wait + repairTime).Seconds()
	}
	return sum / float64(n)
}

// estimateRepairTime estimates the time to replace a number of members. possible
// is false if there are too few spares.
func (c *Controller) estimateRepairTime(g *Group, missing int, d Demand, h memberHealth) (total time.Duration, possible bool) {
	spares := c.selectSpares(g.FabricDomain, missing, g.Model, h.lastSeen, c.restartedMembers(g)...)
	if len(spares) < missing {
		return 0, false
	}
	total = c.cfg.StartTime + c.estimateLoadTime(c.coldBytes(spares, d))
	for _, o := range h.survivors() {
		if !o.Fencing {
			total += c.addDrift(c.cfg.OrderTimeout) + c.addDrift(c.cfg.AgeBound)
			break
		}
	}
	return total, true
}

func (h memberHealth) survivors() []*Observation {
	return slices.Concat(h.healthy, h.pending, h.slow)
}

// estimateLoadTime returns the time until the weight store has delivered the
// bytes, including the load that it is busy with.
func (c *Controller) estimateLoadTime(bytes float64) time.Duration {
	if bytes == 0 || c.settings.StoreRate <= 0 {
		return 0
	}
	wait := max(0, c.storeBusyUntil.Sub(c.now))
	return wait + time.Duration(bytes/c.settings.StoreRate*float64(time.Second))
}

// coldBytes returns the number of bytes to load onto the listed instances that
// do not have the weights of the demand's model.
func (c *Controller) coldBytes(list []*Observation, d Demand) float64 {
	bytes := 0.0
	for _, o := range list {
		if !o.has(d.Model) {
			bytes += d.WeightBytes
		}
	}
	return bytes
}

// spareReportDelay is how much newer than the last report of an absent member
// the report of a spare must be. It shows that the same fault has not hit the
// spare.
const spareReportDelay = 1500 * time.Millisecond

// selectSpares returns up to n spares of a fabric domain, together with own,
// the restarted members of the group. Held-off instances come last; among the
// others, those with the weights come first, then those with the fewest losses.
func (c *Controller) selectSpares(fabric string, n int, m membership.Model, lastSeen time.Time, own ...*Observation) []*Observation {
	list := own
	for _, o := range c.pool[fabric] {
		if lastSeen.IsZero() || o.ReportedAt.Sub(lastSeen) >= spareReportDelay {
			list = append(list, o)
		}
	}
	slices.SortStableFunc(list, func(a, b *Observation) int {
		return cmp.Or(compareBools(c.heldOff(c.state.Instances[a.ID]), c.heldOff(c.state.Instances[b.ID])), -compareBools(a.has(m), b.has(m)), cmp.Compare(c.losses(a.ID), c.losses(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(n, len(list))]
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

func (c *Controller) losses(id string) int {
	if i := c.state.Instances[id]; i != nil {
		return decayedLosses(i, c.now.UnixMilli())
	}
	return 0
}

// repair replaces the faulty and the leaving members of a group. It dissolves
// the group if an engine ignores fencing numbers and must be released before it
// receives another order.
func (c *Controller) repair(g *Group, faulty []string, h memberHealth, d Demand) {
	b := brokenGroup{group: g, faulty: faulty, toReplace: append(slices.Clone(faulty), h.leaving...), cause: h.cause(g)}
	for _, o := range h.survivors() {
		if !slices.Contains(b.toReplace, o.ID) {
			b.survivors = append(b.survivors, o)
		}
	}
	b.costPerSecond = downtimeCost(d, b.survivors)
	for _, o := range b.survivors {
		if !o.Fencing {
			c.dissolve(b)
			return
		}
	}
	spares := c.selectSpares(g.FabricDomain, len(b.toReplace), g.Model, h.lastSeen, c.restartedMembers(g)...)
	if len(spares) < len(b.toReplace) {
		if c.mustRelease(b) {
			c.dissolve(b)
		} else {
			c.unrepairable = append(c.unrepairable, b)
		}
		return
	}
	c.changes = append(c.changes, storeChange{benefit: b.costPerSecond, bytes: c.coldBytes(spares, d), id: g.ID, apply: func() bool {
		return c.replace(b, h.lastSeen)
	}})
}

// restartedMembers returns the members of a group that have restarted as a new
// incarnation and can receive its next order at once.
func (c *Controller) restartedMembers(g *Group) []*Observation {
	var list []*Observation
	for _, m := range g.Members {
		o := c.observations[m.ID]
		if c.fresh(o, c.now) && o.Incarnation > m.Incarnation && o.Fencing && o.State == membership.Ready &&
			o.InForce.Group == "" {
			list = append(list, o)
		}
	}
	return list
}

// mustRelease reports whether a member to replace reports again but ignores
// fencing numbers, so that it must be released before it is free.
func (c *Controller) mustRelease(b brokenGroup) bool {
	return slices.ContainsFunc(b.toReplace, func(id string) bool {
		o := c.observations[id]
		return c.fresh(o, c.now) && !o.Fencing && o.State == membership.Ready
	})
}

func (c *Controller) dissolve(b brokenGroup) {
	lost := b.faulty
	if len(lost) == 0 {
		lost = b.toReplace
	}
	c.propose(Command{Kind: Dissolve, Group: b.group.ID, Epoch: b.group.Epoch, Lost: lost, Cause: b.cause})
}

// replace proposes a member list with spares in place of the members to
// replace. It returns false if there are too few spares.
func (c *Controller) replace(b brokenGroup, lastSeen time.Time) bool {
	g := b.group
	spares := c.selectSpares(g.FabricDomain, len(b.toReplace), g.Model, lastSeen, c.restartedMembers(g)...)
	if len(spares) < len(b.toReplace) {
		return false
	}
	c.removeFromPool(g.FabricDomain, spares)
	members := make([]Candidate, 0, len(g.Members))
	for _, m := range g.Members {
		if slices.Contains(b.toReplace, m.ID) {
			members = append(members, spares[0].candidate())
			spares = spares[1:]
		} else {
			members = append(members, c.observations[m.ID].candidate())
		}
	}
	c.propose(Command{Kind: Replace, Group: g.ID, Epoch: g.Epoch, Members: members, Lost: b.faulty, Cause: b.cause})
	return true
}

// loadReportLag is the assumed delay of load reports. Entries may dispatch to a
// draining group until its reports reach the age bound, so idle engines end a
// drain only after the age bound plus this delay.
const loadReportLag = 2 * time.Second

// Suffixes of keys in Controller.epochTimers. Group ids contain no NUL byte, so
// the keys cannot collide with ids.
const (
	drainTimerSuffix    = "\x00drain"
	conflictTimerSuffix = "\x00conflict"
)

// reconcileDrain ends a drain when the members are idle, a member has restarted
// or the deadline has passed.
func (c *Controller) reconcileDrain(g *Group, h memberHealth, d Demand) {
	timer := c.epochTimers[g.ID+drainTimerSuffix]
	if timer.epoch != g.Epoch {
		timer = epochTimer{g.Epoch, c.now}
		c.epochTimers[g.ID+drainTimerSuffix] = timer
	}
	idle := h.idle && c.now.Sub(timer.startedAt) >= c.addDrift(c.cfg.AgeBound)+loadReportLag
	if !idle && len(h.restarted) == 0 && c.now.UnixMilli() < g.Deadline {
		c.decideWithin(minDecisionInterval)
		return
	}
	if g.Cause == CauseDemand {
		c.propose(Command{Kind: Dissolve, Group: g.ID, Epoch: g.Epoch, Cause: CauseDemand})
		return
	}
	faulty := append(slices.Clone(h.restarted), h.absent...)
	for _, o := range h.slow {
		faulty = append(faulty, o.ID)
	}
	if len(faulty) == 0 && len(h.leaving) == 0 {
		// The leaving members are ready again: reuse all members in a new epoch.
		members := make([]Candidate, 0, len(g.Members))
		for _, o := range h.survivors() {
			if !o.Fencing {
				c.dissolve(brokenGroup{group: g, cause: CauseLeaving})
				return
			}
		}
		for _, m := range g.Members {
			members = append(members, c.observations[m.ID].candidate())
		}
		c.propose(Command{Kind: Replace, Group: g.ID, Epoch: g.Epoch, Members: members, Cause: CauseLeaving})
		return
	}
	c.repair(g, faulty, h, d)
}

// gainHorizon is the time over which a gain is counted. Later gains are
// uncertain because faults and demand change within minutes.
const gainHorizon = 10 * time.Minute

// replaceSlowMembers drains a group with slow members, so that they can be
// replaced, if the speed regained within gainHorizon outweighs the downtime.
func (c *Controller) replaceSlowMembers(g *Group, h memberHealth, d Demand) {
	if len(h.slow) == 0 {
		return
	}
	worst := 0.0
	for _, o := range h.slow {
		worst = max(worst, o.Slowdown)
	}
	c.causes[g.ID] = CauseSlow
	repairTime, possible := c.estimateRepairTime(g, len(h.slow), d, memberHealth{healthy: h.healthy})
	if !possible {
		return
	}
	costPerSecond := downtimeCost(d, h.survivors())
	gain := costPerSecond * (worst*gainHorizon.Seconds() - repairTime.Seconds())
	if gain > 0 {
		c.propose(Command{
			Kind: Drain, Group: g.ID, Epoch: g.Epoch, Cause: CauseSlow, Gain: gain,
			Deadline: c.now.Add(c.cfg.DrainDeadline).UnixMilli(),
		})
	}
}

// demandOf returns the demand for a group, or one without groups and weights if
// the settings have none.
func (c *Controller) demandOf(g *Group) Demand {
	for _, d := range c.settings.Demands {
		if d.Service == g.Service && d.Model == g.Model {
			return d
		}
	}
	return Demand{Service: g.Service, Model: g.Model, GroupSize: len(g.Members)}
}

// groupID returns the id of the n-th new group of a decision. It includes the
// state's revision, which grows with each applied command, so ids are unique.
func (c *Controller) groupID(n int) string {
	return fmt.Sprintf("g-%s-%d-%d", c.cfg.FailureDomain, c.state.Revision, n)
}
