package grouppolicy

import (
	"fmt"
	"time"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/membership"
)

var (
	simulationStart = time.Unix(1_700_000_000, 0)
	model           = membership.Model{Name: "rug-large", Version: "1"}
)

const (
	service = "rug-model"
	// engineStartTime is the time from an order, or from the end of loading the
	// weights, until the engine reports that the group is in force.
	engineStartTime = 5 * time.Second
	// reportTimeout is the time without a report after which an instance is
	// considered absent.
	reportTimeout = 3 * time.Second
)

// instance is an engine in the simulated deployment.
type instance struct {
	id              string
	domain          int
	fabricDomain    string
	incarnation     uint64
	running         bool
	pausedUntil     time.Time // zero if not paused
	restartAt       time.Time // zero if running
	stopAt          time.Time // end of draining before a planned restart, zero if not draining
	plannedDowntime time.Duration
	draining        bool
	silentSince     time.Time
	loaded          bool
	bytesLeft       float64 // weights still to load; negative if not loading
	pendingGroup    membership.GroupRef
	groupReadyAt    time.Time
	activeGroup     membership.GroupRef
	serving         bool // member of a serving group
}

func (i *instance) reporting() bool { return i.running && i.pausedUntil.IsZero() }

// domainState holds the instances and the planner of one failure domain, and
// the progress of its simulation.
type domainState struct {
	instances    []*instance
	byID         map[string]*instance
	planner      planner
	nextStepAt   time.Time
	targetGroups int
	advancedTo   time.Time // time up to which loading has been simulated
}

// planner forms and repairs the groups of one failure domain.
type planner interface {
	// plan returns the orders to execute and the time of the next call.
	plan(now time.Time, d *domainState) ([]group.Order, time.Time)
	// groups returns the planned groups by ID.
	groups() map[string]*group.Group
}

// cluster simulates a deployment under one policy. Failure domains are
// independent of each other, so each run simulates only one of them.
type cluster struct {
	topology        topology
	now             time.Time
	simulatedDomain int
	domains         []*domainState
	instances       []*instance
	outcome         Outcome
}

func newCluster(t topology, simulatedDomain int, newPlanner func(domain int) planner) *cluster {
	c := &cluster{topology: t, now: simulationStart, simulatedDomain: simulatedDomain}
	for d, fabrics := range t.fabrics {
		state := &domainState{byID: map[string]*instance{}, planner: newPlanner(d), targetGroups: t.maxGroups(d), nextStepAt: simulationStart, advancedTo: simulationStart}
		for f, size := range fabrics {
			for n := range size {
				i := &instance{
					id: fmt.Sprintf("z%d-f%02d-%02d", d, f, n), domain: d, fabricDomain: fmt.Sprintf("z%d-f%02d", d, f),
					incarnation: 1, running: true, loaded: true, bytesLeft: -1,
				}
				state.instances = append(state.instances, i)
				state.byID[i.id] = i
				c.instances = append(c.instances, i)
			}
		}
		c.domains = append(c.domains, state)
	}
	return c
}

// run simulates the trace after a warm-up, in which the groups form. The
// warm-up is not measured.
func (c *cluster) run(faults []fault, total time.Duration) {
	const warmUp = 5 * time.Minute
	end := simulationStart.Add(warmUp + total)
	d := c.domains[c.simulatedDomain]
	for c.now.Before(end) {
		next := end
		if len(faults) > 0 {
			next = earlier(next, simulationStart.Add(warmUp+faults[0].at))
		}
		next = earlier(next, d.nextStepAt)
		if next.Before(c.now) {
			next = c.now
		}
		if !c.now.Before(simulationStart.Add(warmUp)) {
			c.accumulateCosts(d, next.Sub(c.now).Seconds())
		}
		c.now = next
		for len(faults) > 0 && !simulationStart.Add(warmUp+faults[0].at).After(c.now) {
			c.applyFault(faults[0])
			faults = faults[1:]
		}
		if !d.nextStepAt.After(c.now) {
			c.stepDomain(d)
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func (c *cluster) applyFault(f fault) {
	i := c.instances[f.instance]
	if i.domain != c.simulatedDomain {
		return
	}
	c.domains[i.domain].nextStepAt = c.now
	if !i.running || !i.pausedUntil.IsZero() || i.draining {
		return // an earlier fault is still in effect
	}
	switch f.kind {
	case pause:
		i.pausedUntil, i.silentSince = c.now.Add(f.duration), c.now
	case crash:
		c.stopInstance(i, f.duration)
	case restart:
		i.draining, i.stopAt, i.plannedDowntime = true, c.now.Add(drainTime), f.duration
	}
}

func (c *cluster) stopInstance(i *instance, downtime time.Duration) {
	i.running, i.restartAt, i.silentSince = false, c.now.Add(downtime), c.now
	i.draining, i.stopAt, i.bytesLeft, i.loaded = false, time.Time{}, -1, false
	i.pendingGroup, i.activeGroup = membership.GroupRef{}, membership.GroupRef{}
}

// stepDomain advances a failure domain to the current time, runs its planner
// and executes the orders.
func (c *cluster) stepDomain(d *domainState) {
	c.advance(d)
	orders, nextPlanAt := d.planner.plan(c.now, d)
	for _, o := range orders {
		c.executeOrder(d.byID[o.Instance], o)
	}
	c.updateServing(d)
	d.nextStepAt = earlier(nextPlanAt, c.nextChange(d))
	if earliest := c.now.Add(time.Second); d.nextStepAt.Before(earliest) {
		d.nextStepAt = earliest
	}
}

// advance updates loading, pauses, restarts and group activation to the current
// time. Instances that load weights share the store rate of the failure domain
// equally.
func (c *cluster) advance(d *domainState) {
	loading := 0
	for _, i := range d.instances {
		if i.bytesLeft >= 0 && i.reporting() {
			loading++
		}
	}
	loadedBytes := 0.0
	if loading > 0 {
		loadedBytes = c.now.Sub(d.advancedTo).Seconds() * c.topology.storeRate / float64(loading)
	}
	d.advancedTo = c.now
	for _, i := range d.instances {
		if i.bytesLeft >= 0 && i.reporting() {
			if i.bytesLeft -= loadedBytes; i.bytesLeft <= 0 {
				i.bytesLeft, i.loaded, i.groupReadyAt = -1, true, c.now.Add(engineStartTime)
			}
		}
		if !i.pausedUntil.IsZero() && !c.now.Before(i.pausedUntil) {
			i.pausedUntil = time.Time{}
		}
		if !i.stopAt.IsZero() && !c.now.Before(i.stopAt) {
			c.stopInstance(i, i.plannedDowntime)
		}
		if !i.running && !c.now.Before(i.restartAt) {
			i.running, i.restartAt = true, time.Time{}
			i.incarnation++
		}
		if i.pendingGroup.Group != "" && i.bytesLeft < 0 && i.reporting() && !c.now.Before(i.groupReadyAt) {
			i.activeGroup, i.pendingGroup = i.pendingGroup, membership.GroupRef{}
		}
	}
}

// nextChange returns the time of the next state change that does not depend on
// the planner, at most an hour ahead.
func (c *cluster) nextChange(d *domainState) time.Time {
	next := c.now.Add(time.Hour)
	loading := 0
	for _, i := range d.instances {
		if i.bytesLeft >= 0 && i.reporting() {
			loading++
		}
	}
	for _, i := range d.instances {
		for _, t := range []time.Time{i.pausedUntil, i.stopAt, i.restartAt} {
			if !t.IsZero() {
				next = earlier(next, t)
			}
		}
		switch timeoutAt := i.silentSince.Add(reportTimeout); {
		case !i.reporting() && timeoutAt.After(c.now):
			next = earlier(next, timeoutAt)
		case i.reporting() && i.bytesLeft >= 0:
			next = earlier(next, c.now.Add(time.Duration(i.bytesLeft*float64(loading)/c.topology.storeRate*float64(time.Second))+time.Millisecond))
		case i.reporting() && i.pendingGroup.Group != "":
			next = earlier(next, i.groupReadyAt)
		}
	}
	return next
}

// executeOrder applies an order to an instance. Instances that do not report
// ignore orders. A repeated form order has no effect. Epochs are not checked,
// since the orders of the only planner arrive without delay and in order.
func (c *cluster) executeOrder(i *instance, o group.Order) {
	if !i.reporting() {
		return
	}
	load := func() {
		if !i.loaded && i.bytesLeft < 0 {
			i.bytesLeft = c.topology.weightBytes
		}
	}
	switch o.Kind {
	case group.OrderLoad:
		load()
	case group.OrderRelease:
		i.activeGroup, i.pendingGroup = membership.GroupRef{}, membership.GroupRef{}
	case group.OrderForm:
		ref := membership.GroupRef{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank}
		if i.activeGroup == ref || i.pendingGroup == ref {
			return
		}
		i.activeGroup, i.pendingGroup, i.groupReadyAt = membership.GroupRef{}, ref, c.now.Add(engineStartTime)
		load()
	}
}

// updateServing marks the members of the groups that serve.
func (c *cluster) updateServing(d *domainState) {
	for _, i := range d.instances {
		i.serving = false
	}
	for _, g := range d.planner.groups() {
		if !isServing(d, g) {
			continue
		}
		for _, m := range g.Members {
			d.byID[m.ID].serving = true
		}
	}
}

func isServing(d *domainState, g *group.Group) bool {
	if g.Phase == group.Draining {
		return false
	}
	for rank, m := range g.Members {
		i := d.byID[m.ID]
		ref := membership.GroupRef{Group: g.ID, Epoch: g.Epoch, Rank: rank}
		if !i.reporting() || i.draining || i.incarnation != m.Incarnation || i.activeGroup != ref {
			return false
		}
	}
	return true
}

// accumulateCosts adds downtime and stranded time for an interval without state
// changes.
func (c *cluster) accumulateCosts(d *domainState, seconds float64) {
	serving := 0
	for _, i := range d.instances {
		switch {
		case i.serving:
			serving++
		case i.reporting() && !i.draining:
			c.outcome.StrandedAcceleratorSeconds += seconds * float64(c.topology.accelerators)
		}
	}
	missing := d.targetGroups - serving/c.topology.groupSize
	c.outcome.DowntimeGroupSeconds += seconds * float64(max(missing, 0))
}
