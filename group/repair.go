package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// priorAbsences stands in for history until there is some: half of the absent
// instances return within a minute, the others do not.
var priorAbsences = []time.Duration{
	4 * time.Second, 5 * time.Second, 6 * time.Second, 8 * time.Second, 10 * time.Second,
	15 * time.Second, 20 * time.Second, 30 * time.Second, 45 * time.Second, 60 * time.Second,
	neverReturns, neverReturns, neverReturns, neverReturns, neverReturns,
	neverReturns, neverReturns, neverReturns, neverReturns, neverReturns,
}

// broken is a group that cannot serve without a repair.
type broken struct {
	group     *Group
	lost      []string // members to replace
	faulty    []string // those of them lost by a fault
	survivors []*Observation
	rate      float64 // weighted cost per second while it does not serve
	cause     Cause
}

// condition sorts the members of a group by what is wrong with them.
type condition struct {
	ok, pending, slow       []*Observation
	absent, gone, departing []string
	absence                 time.Duration // longest among absent
	lastSeen                time.Time     // newest last report among absent
	idle                    bool
	conflict                bool
}

func (c *Controller) inspect(g *Group) condition {
	k := condition{idle: true}
	for rank, m := range g.Members {
		o, s := c.obs[m.ID], c.seen[m.ID]
		switch {
		case s != nil && s.incarnation > m.Incarnation:
			k.gone = append(k.gone, m.ID)
			continue
		case !c.fresh(o, c.now) || o.Incarnation < m.Incarnation:
			k.absent = append(k.absent, m.ID)
			last := c.started
			if s != nil {
				last = s.at
			}
			if last.After(k.lastSeen) {
				k.lastSeen = last
			}
			k.absence = max(k.absence, c.now.Sub(last))
			continue
		}
		k.idle = k.idle && o.Idle
		switch {
		case o.State != membership.Ready:
			k.departing = append(k.departing, m.ID)
		case o.InForce != membership.GroupRef{Group: g.ID, Epoch: g.Epoch, Rank: rank}:
			k.pending = append(k.pending, o)
			k.conflict = k.conflict || o.InForce.Group != "" && o.InForce.Group != g.ID
		case o.Slowdown > 0:
			k.slow = append(k.slow, o)
		default:
			k.ok = append(k.ok, o)
		}
	}
	return k
}

// stepGroup decides what a group needs.
func (c *Controller) stepGroup(g *Group) {
	k := c.inspect(g)
	d := c.demandOf(g)
	if cause := k.cause(g); cause != CauseNone {
		c.unwell[g.ID] = cause
	}
	if len(k.absent) > 0 {
		c.again(max(busyPause, min(k.absence/10, idlePause)))
	}
	whole := len(k.absent)+len(k.gone)+len(k.departing)+len(k.pending) == 0
	switch {
	case !c.darkSince[g.FabricDomain].IsZero():
		// Members that come back with the same incarnation serve again.
		c.unwell[g.ID] = CauseFabric
	case g.Phase == Draining:
		c.stepDrain(g, k, d)
	case whole && g.Phase == Loading:
		c.propose(Command{Kind: Confirm, Group: g.ID, Epoch: g.Epoch})
	case whole:
		c.relieveSlow(g, k, d)
	case len(k.gone) > 0, len(k.absent) > 0 && c.waitOver(g, k, d):
		c.repair(g, append(slices.Clone(k.gone), k.absent...), k, d)
	case len(k.departing) > 0 && g.Phase == Serving && len(k.absent) == 0:
		c.propose(Command{
			Kind: Drain, Group: g.ID, Epoch: g.Epoch, Cause: CauseLeaving,
			Deadline: c.now.Add(c.cfg.DrainDeadline).UnixMilli(),
		})
	case len(k.departing) > 0 && len(k.absent) == 0:
		c.repair(g, nil, k, d)
	case len(k.pending) > 0:
		c.orderMembers(g, k, d)
	}
}

func (k condition) cause(g *Group) Cause {
	switch {
	case len(k.gone) > 0:
		return CauseRestart
	case len(k.departing) > 0:
		return CauseLeaving
	case len(k.absent) > 0:
		return CauseAbsent
	case g.Phase == Draining:
		return g.Cause
	case len(k.pending) > 0 && g.Phase == Serving:
		return CauseConflict
	case len(k.pending) > 0:
		return CauseLoading
	}
	return CauseNone
}

// orderMembers sends the form order to members that do not report it yet, and
// gives up on those that take too long.
func (c *Controller) orderMembers(g *Group, k condition, d Demand) {
	mark := c.epochSeen[g.ID]
	if mark.epoch != g.Epoch {
		mark = epochMark{g.Epoch, c.now}
		c.epochSeen[g.ID] = mark
	}
	limit := c.cfg.LoadSlack
	if c.settings.StoreRate > 0 {
		limit += time.Duration(2 * d.WeightBytes * float64(len(g.Members)) / c.settings.StoreRate * float64(time.Second))
	}
	if g.Phase == Serving {
		limit = 2 * orderPause
		if mark.at.Before(c.now) && c.conflictSince(g).IsZero() {
			c.epochSeen[g.ID+conflictMark] = epochMark{g.Epoch, c.now}
		}
		mark.at = c.conflictSince(g)
	}
	if c.now.Sub(mark.at) > limit && len(k.absent) == 0 {
		ids := make([]string, 0, len(k.pending))
		for _, o := range k.pending {
			ids = append(ids, o.ID)
		}
		delete(c.epochSeen, g.ID+conflictMark)
		c.repair(g, ids, k, d)
		return
	}
	for rank, m := range g.Members {
		o := c.obs[m.ID]
		if !slices.Contains(k.pending, o) {
			continue
		}
		if !o.Fencing && o.InForce.Group != "" {
			continue // it takes any order: a second one is safe only after a release
		}
		c.send(Order{
			ID: orderID(OrderForm, m.ID, g.Epoch), Kind: OrderForm, Instance: m.ID, Incarnation: m.Incarnation, Address: o.Address,
			Group: g.ID, Epoch: g.Epoch, Rank: rank, Members: g.Members, Model: g.Model,
		})
	}
}

func (c *Controller) conflictSince(g *Group) time.Time {
	if m := c.epochSeen[g.ID+conflictMark]; m.epoch == g.Epoch {
		return m.at
	}
	return time.Time{}
}

// rate is the weighted cost of each second that a group does not serve.
func rate(d Demand, survivors []*Observation) float64 {
	cost := d.DowntimeWeight
	for _, o := range survivors {
		cost += d.StrandedWeight * float64(o.Accelerators)
	}
	return cost
}

// waitOver chooses between waiting for absent members and replacing them by
// expected cost: it compares replacing now with waiting until each length of
// absence in the history, and returns true when now is cheapest, or when the
// patience that the settings allow is used up.
func (c *Controller) waitOver(g *Group, k condition, d Demand) bool {
	if d.Patience > 0 && k.absence >= d.Patience {
		return true
	}
	repairTime, possible := c.repairTime(g, len(k.absent), d, k)
	if !possible {
		// Another broken group may give its survivors.
		repairTime = c.cfg.StartTime + c.widen(c.cfg.AgeBound)
	}
	best, at := c.expected(k.absence, 0, repairTime), time.Duration(0)
	for _, length := range c.history {
		if length <= k.absence || length == neverReturns {
			continue
		}
		if cost := c.expected(k.absence, length-k.absence, repairTime); cost < best {
			best, at = cost, length-k.absence
		}
	}
	return at == 0
}

// expected returns the mean time without service, in seconds, of waiting for a
// time and replacing then, for a member that has been absent so long. Both
// weights multiply the same time, so they cancel out of the comparison.
func (c *Controller) expected(absence, wait, repairTime time.Duration) float64 {
	sum, n := 0.0, 0
	for _, length := range c.history {
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

// repairTime estimates the time to replace members; possible is false when the
// spares do not suffice.
func (c *Controller) repairTime(g *Group, missing int, d Demand, k condition) (total time.Duration, possible bool) {
	spares := c.spares(g.FabricDomain, missing, g.Model, k.lastSeen, c.returned(g)...)
	if len(spares) < missing {
		return 0, false
	}
	total = c.cfg.StartTime + c.loadTime(c.coldBytes(spares, d))
	for _, o := range k.survivors() {
		if !o.Fencing {
			total += c.widen(c.cfg.OrderTimeout) + c.widen(c.cfg.AgeBound)
			break
		}
	}
	return total, true
}

func (k condition) survivors() []*Observation {
	return slices.Concat(k.ok, k.pending, k.slow)
}

// loadTime is the time until the weight store has delivered so many bytes.
func (c *Controller) loadTime(bytes float64) time.Duration {
	if bytes == 0 || c.settings.StoreRate <= 0 {
		return 0
	}
	wait := max(0, c.busyUntil.Sub(c.now))
	return wait + time.Duration(bytes/c.settings.StoreRate*float64(time.Second))
}

func (c *Controller) coldBytes(list []*Observation, d Demand) float64 {
	bytes := 0.0
	for _, o := range list {
		if !o.has(d.Model) {
			bytes += d.WeightBytes
		}
	}
	return bytes
}

// confirmAfter is the time after a member's last report by which a spare must
// have reported again: it shows that the fault did not hit the spare too.
const confirmAfter = 1500 * time.Millisecond

// spares chooses free instances of a fabric domain: held-off ones last, loaded
// ones first, then those lost least often. Members of the group to repair may be added.
func (c *Controller) spares(fabric string, n int, m membership.Model, lastSeen time.Time, own ...*Observation) []*Observation {
	list := own
	for _, o := range c.pool[fabric] {
		if lastSeen.IsZero() || o.ReportedAt.Sub(lastSeen) >= confirmAfter {
			list = append(list, o)
		}
	}
	slices.SortStableFunc(list, func(a, b *Observation) int {
		return cmp.Or(boolCompare(c.heldOff(c.state.Instances[a.ID]), c.heldOff(c.state.Instances[b.ID])), -boolCompare(a.has(m), b.has(m)), cmp.Compare(c.losses(a.ID), c.losses(b.ID)), cmp.Compare(a.ID, b.ID))
	})
	return list[:min(n, len(list))]
}

func boolCompare(a, b bool) int {
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

// repair replaces the faulty and the departing members, or dissolves the group
// when its engines must be released before they take another order.
func (c *Controller) repair(g *Group, faulty []string, k condition, d Demand) {
	b := broken{group: g, faulty: faulty, lost: append(slices.Clone(faulty), k.departing...), cause: k.cause(g)}
	for _, o := range k.survivors() {
		if !slices.Contains(b.lost, o.ID) {
			b.survivors = append(b.survivors, o)
		}
	}
	b.rate = rate(d, b.survivors)
	for _, o := range b.survivors {
		if !o.Fencing {
			c.dissolve(b)
			return
		}
	}
	spares := c.spares(g.FabricDomain, len(b.lost), g.Model, k.lastSeen, c.returned(g)...)
	if len(spares) < len(b.lost) {
		if c.mustRelease(b) {
			c.dissolve(b)
		} else {
			c.stuck = append(c.stuck, b)
		}
		return
	}
	c.wants = append(c.wants, want{benefit: b.rate, bytes: c.coldBytes(spares, d), id: g.ID, grant: func() bool {
		return c.replace(b, k.lastSeen)
	}})
}

// returned lists the members of a group that are back as a new incarnation and
// can take its next order at once.
func (c *Controller) returned(g *Group) []*Observation {
	var list []*Observation
	for _, m := range g.Members {
		o := c.obs[m.ID]
		if c.fresh(o, c.now) && o.Incarnation > m.Incarnation && o.Fencing && o.State == membership.Ready &&
			o.InForce.Group == "" {
			list = append(list, o)
		}
	}
	return list
}

// mustRelease reports whether a lost member is back but ignores fencing
// numbers, so that only its release makes it free again.
func (c *Controller) mustRelease(b broken) bool {
	return slices.ContainsFunc(b.lost, func(id string) bool {
		o := c.obs[id]
		return c.fresh(o, c.now) && !o.Fencing && o.State == membership.Ready
	})
}

func (c *Controller) dissolve(b broken) {
	lost := b.faulty
	if len(lost) == 0 {
		lost = b.lost
	}
	c.propose(Command{Kind: Dissolve, Group: b.group.ID, Epoch: b.group.Epoch, Lost: lost, Cause: b.cause})
}

// replace proposes the member list with spares in the places of the lost.
func (c *Controller) replace(b broken, lastSeen time.Time) bool {
	g := b.group
	spares := c.spares(g.FabricDomain, len(b.lost), g.Model, lastSeen, c.returned(g)...)
	if len(spares) < len(b.lost) {
		return false
	}
	c.take(g.FabricDomain, spares)
	members := make([]Candidate, 0, len(g.Members))
	for _, m := range g.Members {
		if slices.Contains(b.lost, m.ID) {
			members = append(members, spares[0].candidate())
			spares = spares[1:]
		} else {
			members = append(members, c.obs[m.ID].candidate())
		}
	}
	c.propose(Command{Kind: Replace, Group: g.ID, Epoch: g.Epoch, Members: members, Lost: b.faulty, Cause: b.cause})
	return true
}

// loadLag is the lag of load reports. Entries dispatch to a group that drains
// until its confirmations are too old, so a report of idle engines counts only
// after the age bound and this lag.
const loadLag = 2 * time.Second

// Suffixes of the keys of epochSeen, which cannot occur in a group's id.
const (
	drainMark    = "\x00drain"
	conflictMark = "\x00conflict"
)

// stepDrain ends a drain when no request is left or its deadline has passed.
func (c *Controller) stepDrain(g *Group, k condition, d Demand) {
	mark := c.epochSeen[g.ID+drainMark]
	if mark.epoch != g.Epoch {
		mark = epochMark{g.Epoch, c.now}
		c.epochSeen[g.ID+drainMark] = mark
	}
	idle := k.idle && c.now.Sub(mark.at) >= c.widen(c.cfg.AgeBound)+loadLag
	if !idle && len(k.gone) == 0 && c.now.UnixMilli() < g.Deadline {
		c.again(busyPause)
		return
	}
	if g.Cause == CauseDemand {
		c.propose(Command{Kind: Dissolve, Group: g.ID, Epoch: g.Epoch, Cause: CauseDemand})
		return
	}
	faulty := append(slices.Clone(k.gone), k.absent...)
	for _, o := range k.slow {
		faulty = append(faulty, o.ID)
	}
	if len(faulty) == 0 && len(k.departing) == 0 {
		// The members that left have come back: start again with a new epoch.
		members := make([]Candidate, 0, len(g.Members))
		for _, o := range k.survivors() {
			if !o.Fencing {
				c.dissolve(broken{group: g, cause: CauseLeaving})
				return
			}
		}
		for _, m := range g.Members {
			members = append(members, c.obs[m.ID].candidate())
		}
		c.propose(Command{Kind: Replace, Group: g.ID, Epoch: g.Epoch, Members: members, Cause: CauseLeaving})
		return
	}
	c.repair(g, faulty, k, d)
}

// gainHorizon is the time over which a gain is counted. Faults and demand
// change within minutes, so a gain further away is not certain.
const gainHorizon = 10 * time.Minute

// relieveSlow replaces a slow member when the speed won back over the horizon
// exceeds the downtime of the change.
func (c *Controller) relieveSlow(g *Group, k condition, d Demand) {
	if len(k.slow) == 0 {
		return
	}
	worst := 0.0
	for _, o := range k.slow {
		worst = max(worst, o.Slowdown)
	}
	c.unwell[g.ID] = CauseSlow
	repairTime, possible := c.repairTime(g, len(k.slow), d, condition{ok: k.ok})
	if !possible {
		return
	}
	perSecond := rate(d, k.survivors())
	gain := perSecond * (worst*gainHorizon.Seconds() - repairTime.Seconds())
	if gain > 0 {
		c.propose(Command{
			Kind: Drain, Group: g.ID, Epoch: g.Epoch, Cause: CauseSlow, Gain: gain,
			Deadline: c.now.Add(c.cfg.DrainDeadline).UnixMilli(),
		})
	}
}

func (c *Controller) demandOf(g *Group) Demand {
	for _, d := range c.settings.Demands {
		if d.Service == g.Service && d.Model == g.Model {
			return d
		}
	}
	return Demand{Service: g.Service, Model: g.Model, GroupSize: len(g.Members)}
}

// groupID names the n-th new group of a decision. Each applied command moves
// the revision, so no name is used twice.
func (c *Controller) groupID(n int) string {
	return fmt.Sprintf("g-%s-%d-%d", c.cfg.FailureDomain, c.state.Revision, n)
}
