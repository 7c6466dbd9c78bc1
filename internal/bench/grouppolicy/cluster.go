package grouppolicy

import (
	"fmt"
	"time"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/membership"
)

var (
	origin = time.Unix(1_700_000_000, 0)
	model  = membership.Model{Name: "rug-large", Version: "1"}
)

const (
	service = "rug-model"
	// startTime is the time from an order, or from the end of a load, until the
	// engine reports the group in force.
	startTime = 5 * time.Second
	// ageBound is the silence after which a member counts as absent.
	ageBound = 3 * time.Second
)

// instance is an engine of the simulated deployment.
type instance struct {
	id          string
	domain      int
	fabric      string
	incarnation uint64
	up          bool
	paused      time.Time // until; zero when not paused
	back        time.Time // of the next start; zero when up
	stopAt      time.Time // of a planned restart
	stopFor     time.Duration
	draining    bool
	silentSince time.Time
	loaded      bool
	left        float64 // bytes still to load; negative when not loading
	pending     membership.GroupRef
	readyAt     time.Time
	inForce     membership.GroupRef
	serving     bool // in a group that serves
}

func (i *instance) reporting() bool { return i.up && i.paused.IsZero() }

// domainState is one failure domain: instances, store and planner.
type domainState struct {
	instances []*instance
	byID      map[string]*instance
	planner   planner
	wake      time.Time
	target    int
	settled   time.Time // up to which loads have progressed
}

// planner decides for one failure domain.
type planner interface {
	// plan returns the orders to carry out and when to be called again.
	plan(now time.Time, d *domainState) ([]group.Order, time.Time)
	// groups returns the groups that should exist with their epochs.
	groups() map[string]*group.Group
}

// cluster is a deployment under one policy. Failure domains share nothing, so
// each run plays one of them.
type cluster struct {
	shape   shape
	now     time.Time
	played  int
	domains []*domainState
	all     []*instance
	result  Outcome
}

func newCluster(s shape, played int, make func(domain int) planner) *cluster {
	c := &cluster{shape: s, now: origin, played: played}
	for d, fabrics := range s.fabrics {
		state := &domainState{byID: map[string]*instance{}, planner: make(d), target: s.groups(d), wake: origin, settled: origin}
		for f, size := range fabrics {
			for n := range size {
				i := &instance{
					id: fmt.Sprintf("z%d-f%02d-%02d", d, f, n), domain: d, fabric: fmt.Sprintf("z%d-f%02d", d, f),
					incarnation: 1, up: true, loaded: true, left: -1,
				}
				state.instances = append(state.instances, i)
				state.byID[i.id] = i
				c.all = append(c.all, i)
			}
		}
		c.domains = append(c.domains, state)
	}
	return c
}

// run plays the trace. The first minutes, in which the groups form, are not
// counted.
func (c *cluster) run(faults []fault, total time.Duration) {
	const warmUp = 5 * time.Minute
	end := origin.Add(warmUp + total)
	d := c.domains[c.played]
	for c.now.Before(end) {
		next := end
		if len(faults) > 0 {
			next = earlier(next, origin.Add(warmUp+faults[0].at))
		}
		next = earlier(next, d.wake)
		if next.Before(c.now) {
			next = c.now
		}
		if !c.now.Before(origin.Add(warmUp)) {
			c.account(d, next.Sub(c.now).Seconds())
		}
		c.now = next
		for len(faults) > 0 && !origin.Add(warmUp+faults[0].at).After(c.now) {
			c.strike(faults[0])
			faults = faults[1:]
		}
		if !d.wake.After(c.now) {
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

func (c *cluster) strike(f fault) {
	i := c.all[f.instance]
	if i.domain != c.played {
		return
	}
	c.domains[i.domain].wake = c.now
	if !i.up || !i.paused.IsZero() || i.draining {
		return // already failing
	}
	switch f.kind {
	case pause:
		i.paused, i.silentSince = c.now.Add(f.length), c.now
	case crash:
		c.stop(i, f.length)
	case restart:
		i.draining, i.stopAt, i.stopFor = true, c.now.Add(drainTime), f.length
	}
}

func (c *cluster) stop(i *instance, length time.Duration) {
	i.up, i.back, i.silentSince = false, c.now.Add(length), c.now
	i.draining, i.stopAt, i.left, i.loaded = false, time.Time{}, -1, false
	i.pending, i.inForce = membership.GroupRef{}, membership.GroupRef{}
}

// stepDomain moves a failure domain to the present and lets its planner act.
func (c *cluster) stepDomain(d *domainState) {
	c.advance(d)
	orders, wake := d.planner.plan(c.now, d)
	for _, o := range orders {
		c.order(d.byID[o.Instance], o)
	}
	c.judge(d)
	d.wake = earlier(wake, c.nextChange(d))
	if floor := c.now.Add(time.Second); d.wake.Before(floor) {
		d.wake = floor
	}
}

// advance moves loads, pauses and restarts forward. Loads of a failure domain
// share its rate equally.
func (c *cluster) advance(d *domainState) {
	loading := 0
	for _, i := range d.instances {
		if i.left >= 0 && i.reporting() {
			loading++
		}
	}
	moved := 0.0
	if loading > 0 {
		moved = c.now.Sub(d.settled).Seconds() * c.shape.storeRate / float64(loading)
	}
	d.settled = c.now
	for _, i := range d.instances {
		if i.left >= 0 && i.reporting() {
			if i.left -= moved; i.left <= 0 {
				i.left, i.loaded, i.readyAt = -1, true, c.now.Add(startTime)
			}
		}
		if !i.paused.IsZero() && !c.now.Before(i.paused) {
			i.paused = time.Time{}
		}
		if !i.stopAt.IsZero() && !c.now.Before(i.stopAt) {
			c.stop(i, i.stopFor)
		}
		if !i.up && !c.now.Before(i.back) {
			i.up, i.back = true, time.Time{}
			i.incarnation++
		}
		if i.pending.Group != "" && i.left < 0 && i.reporting() && !c.now.Before(i.readyAt) {
			i.inForce, i.pending = i.pending, membership.GroupRef{}
		}
	}
}

// nextChange returns the time of the next change that needs no decision.
func (c *cluster) nextChange(d *domainState) time.Time {
	next := c.now.Add(time.Hour)
	loading := 0
	for _, i := range d.instances {
		if i.left >= 0 && i.reporting() {
			loading++
		}
	}
	for _, i := range d.instances {
		for _, t := range []time.Time{i.paused, i.stopAt, i.back} {
			if !t.IsZero() {
				next = earlier(next, t)
			}
		}
		switch noticed := i.silentSince.Add(ageBound); {
		case !i.reporting() && noticed.After(c.now):
			next = earlier(next, noticed)
		case i.reporting() && i.left >= 0:
			next = earlier(next, c.now.Add(time.Duration(i.left*float64(loading)/c.shape.storeRate*float64(time.Second))+time.Millisecond))
		case i.reporting() && i.pending.Group != "":
			next = earlier(next, i.readyAt)
		}
	}
	return next
}

// order carries out an order; engines of this experiment check fencing.
func (c *cluster) order(i *instance, o group.Order) {
	if !i.reporting() {
		return
	}
	load := func() {
		if !i.loaded && i.left < 0 {
			i.left = c.shape.weightBytes
		}
	}
	switch o.Kind {
	case group.OrderLoad:
		load()
	case group.OrderRelease:
		i.inForce, i.pending = membership.GroupRef{}, membership.GroupRef{}
	case group.OrderForm:
		ref := membership.GroupRef{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank}
		if i.inForce == ref || i.pending == ref {
			return
		}
		i.inForce, i.pending, i.readyAt = membership.GroupRef{}, ref, c.now.Add(startTime)
		load()
	}
}

// judge finds out which instances are in a group that serves.
func (c *cluster) judge(d *domainState) {
	for _, i := range d.instances {
		i.serving = false
	}
	for _, g := range d.planner.groups() {
		if !whole(d, g) {
			continue
		}
		for _, m := range g.Members {
			d.byID[m.ID].serving = true
		}
	}
}

func whole(d *domainState, g *group.Group) bool {
	if g.Phase == group.Draining {
		return false
	}
	for rank, m := range g.Members {
		i := d.byID[m.ID]
		ref := membership.GroupRef{Group: g.ID, Epoch: g.Epoch, Rank: rank}
		if !i.reporting() || i.draining || i.incarnation != m.Incarnation || i.inForce != ref {
			return false
		}
	}
	return true
}

// account adds the time to the next event under the present conditions.
func (c *cluster) account(d *domainState, seconds float64) {
	serving := 0
	for _, i := range d.instances {
		switch {
		case i.serving:
			serving++
		case i.reporting() && !i.draining:
			c.result.StrandedAcceleratorSeconds += seconds * float64(c.shape.accelerators)
		}
	}
	missing := d.target - serving/c.shape.groupSize
	c.result.DowntimeGroupSeconds += seconds * float64(max(missing, 0))
}
