package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// storeChange is a change to a group that may need weights from the weight
// store.
type storeChange struct {
	// benefit is the weighted cost per second that the change removes.
	benefit float64
	bytes   float64 // to load from the weight store
	id      string
	// apply proposes the change. It returns false if the change is no longer
	// possible.
	apply func() bool
}

// scheduleChanges applies the changes in descending order of benefit per byte.
// Changes that load nothing are applied at once. The others run one at a time:
// they share the store's rate, so concurrent loads would finish none of them
// earlier.
func (c *Controller) scheduleChanges() {
	slices.SortStableFunc(c.changes, func(a, b storeChange) int {
		return cmp.Or(cmp.Compare(b.benefit*(a.bytes+1), a.benefit*(b.bytes+1)), cmp.Compare(a.id, b.id))
	})
	for _, change := range c.changes {
		if change.bytes > 0 && c.settings.StoreRate > 0 && c.now.Before(c.storeBusyUntil) {
			c.decideWithin(max(c.storeBusyUntil.Sub(c.now), 100*time.Millisecond))
			continue
		}
		if change.apply() {
			c.reserveStore(change.bytes)
		}
	}
}

// reserveStore marks the weight store as busy for the time that it takes to
// deliver the bytes.
func (c *Controller) reserveStore(bytes float64) {
	if bytes > 0 && c.settings.StoreRate > 0 {
		c.storeBusyUntil = c.now.Add(time.Duration(bytes / c.settings.StoreRate * float64(time.Second)))
	}
}

// countsTowardDemand reports whether a group counts toward its demand. Groups
// in a long fabric outage, groups that wait for spares and groups that drain to
// free capacity do not count.
func (c *Controller) countsTowardDemand(g *Group) bool {
	if since := c.fabricDownSince[g.FabricDomain]; !since.IsZero() && c.now.Sub(since) > c.cfg.FabricWait {
		return false
	}
	if g.Phase == Draining && g.Cause == CauseDemand {
		return false
	}
	return !slices.ContainsFunc(c.unrepairable, func(b brokenGroup) bool { return b.group == g })
}

// reconcileDemand plans the formation of missing groups. When no fabric domain
// has enough spares, it takes capacity from models that exceed their demand.
func (c *Controller) reconcileDemand() {
	have := make([]int, len(c.settings.Demands))
	for _, g := range c.state.Groups {
		for n, d := range c.settings.Demands {
			if d.Service == g.Service && d.Model == g.Model && c.countsTowardDemand(g) {
				have[n]++
			}
		}
	}
	number := 0
	for n, d := range c.settings.Demands {
		for range d.Groups - have[n] {
			if !c.planFormation(d, number) {
				c.moveCapacity(d, have)
				break
			}
			number++
		}
	}
}

// planFormation plans one additional group. It returns false if no fabric
// domain has enough spares.
func (c *Controller) planFormation(d Demand, number int) bool {
	fabric := c.fabricWithMostSpares(d.GroupSize)
	if fabric == "" {
		return false
	}
	members := c.selectSpares(fabric, d.GroupSize, d.Model, time.Time{})
	c.removeFromPool(fabric, members)
	id := c.groupID(number)
	benefit := downtimeCost(d, members)
	c.changes = append(c.changes, storeChange{benefit: benefit, bytes: c.coldBytes(members, d), id: id, apply: func() bool {
		candidates := make([]Candidate, 0, len(members))
		for _, o := range members {
			candidates = append(candidates, o.candidate())
		}
		c.propose(Command{Kind: Form, Group: id, Service: d.Service, Model: d.Model, Members: candidates})
		return true
	}})
	return true
}

// fabricWithMostSpares returns the fabric domain with the most spares, or "" if
// none has enough for the group size.
func (c *Controller) fabricWithMostSpares(size int) string {
	best := ""
	for _, f := range sortedKeys(c.pool) {
		if len(c.pool[f]) >= max(size, 1) && (best == "" || len(c.pool[f]) > len(c.pool[best])) {
			best = f
		}
	}
	return best
}

// moveCapacity drains one group of a model that exceeds its demand, if forming
// a group of d from its members has a positive gain.
func (c *Controller) moveCapacity(d Demand, have []int) {
	if d.GroupSize == 0 {
		return
	}
	for n, other := range c.settings.Demands {
		if have[n] <= other.Groups {
			continue
		}
		for _, g := range c.state.sortedGroups() {
			if g.Service != other.Service || g.Model != other.Model || g.Phase != Serving || len(g.Members) < d.GroupSize {
				continue
			}
			if gain := c.moveGain(d, g); gain > 0 {
				have[n]--
				c.propose(Command{
					Kind: Drain, Group: g.ID, Epoch: g.Epoch, Cause: CauseDemand, Gain: gain,
					Deadline: c.now.Add(c.cfg.DrainDeadline).UnixMilli(),
				})
				return
			}
		}
	}
}

// moveGain returns the weighted cost of the downtime that is avoided within
// gainHorizon minus that of the accelerators that are idle during the change.
func (c *Controller) moveGain(d Demand, g *Group) float64 {
	accelerators, bytes := 0, 0.0
	for _, m := range g.Members {
		if o := c.observations[m.ID]; o != nil {
			accelerators += o.Accelerators
			if !o.has(d.Model) {
				bytes += d.WeightBytes
			}
		}
	}
	change := c.cfg.DrainDeadline + c.addDrift(c.cfg.OrderTimeout) + c.cfg.StartTime + c.estimateLoadTime(bytes)
	return d.DowntimeWeight*(gainHorizon-change).Seconds() - d.StrandedWeight*float64(accelerators)*change.Seconds()
}

// resolveUnrepairable dissolves a broken group if its survivors complete
// another broken group of the same fabric domain, or if its demand is met
// without it. The donor is the group that misses the most members; the
// recipient is the one that misses the fewest and, among equals, costs the most.
func (c *Controller) resolveUnrepairable() {
	slices.SortStableFunc(c.unrepairable, func(a, b brokenGroup) int {
		return cmp.Or(cmp.Compare(len(a.toReplace), len(b.toReplace)), cmp.Compare(b.costPerSecond, a.costPerSecond), cmp.Compare(a.group.ID, b.group.ID))
	})
	resolved := map[string]bool{}
	for _, b := range c.unrepairable {
		if resolved[b.group.ID] {
			continue
		}
		fabric := b.group.FabricDomain
		have := len(c.pool[fabric])
		for n := len(c.unrepairable) - 1; n >= 0 && have < len(b.toReplace); n-- {
			donor := c.unrepairable[n]
			if donor.group == b.group || donor.group.FabricDomain != fabric || resolved[donor.group.ID] || len(donor.survivors) == 0 {
				continue
			}
			if have+len(donor.survivors) >= len(b.toReplace) {
				resolved[donor.group.ID], resolved[b.group.ID] = true, true
				c.dissolve(donor)
				break
			}
		}
		if !resolved[b.group.ID] && c.isSurplus(b.group) {
			resolved[b.group.ID] = true
			c.dissolve(b)
		}
	}
}

// isSurplus reports whether the demand of a group is met without it.
func (c *Controller) isSurplus(g *Group) bool {
	d := c.demandOf(g)
	n := 0
	for _, other := range c.state.Groups {
		if other.Service == g.Service && other.Model == g.Model && c.countsTowardDemand(other) {
			n++
		}
	}
	return n >= d.Groups
}

// preload loads weights onto one spare while the weight store is idle. It
// chooses the fabric domain and model with the highest weighted number of
// groups per spare that has the weights.
func (c *Controller) preload() {
	if c.cfg.DisablePreload || c.settings.StoreRate > 0 && c.now.Before(c.storeBusyUntil) {
		return
	}
	for _, change := range c.changes {
		if change.bytes > 0 {
			return
		}
	}
	type key struct {
		fabric string
		model  membership.Model
	}
	groups := map[key]float64{}
	for _, g := range c.state.Groups {
		d := c.demandOf(g)
		groups[key{g.FabricDomain, g.Model}] += max(d.DowntimeWeight, 1)
	}
	var bestSpare *Observation
	var bestModel membership.Model
	best := 0.0
	for _, fabric := range sortedKeys(c.pool) {
		for _, d := range c.settings.Demands {
			weight := groups[key{fabric, d.Model}]
			loaded := 0
			var cold *Observation
			for _, o := range c.pool[fabric] {
				if o.has(d.Model) {
					loaded++
				} else if cold == nil && !c.heldOff(c.state.Instances[o.ID]) && c.preloadDue(o) && !c.isOnlySpareForOtherModel(o, fabric, d) {
					cold = o
				}
			}
			if score := weight / float64(1+loaded); cold != nil && score > best {
				best, bestSpare, bestModel = score, cold, d.Model
			}
		}
	}
	if bestSpare == nil {
		return
	}
	c.preloadedAt[bestSpare.ID] = c.now
	for _, d := range c.settings.Demands {
		if d.Model == bestModel {
			c.reserveStore(d.WeightBytes)
			break
		}
	}
	c.send(Order{
		ID:   string(OrderLoad) + "/" + bestSpare.ID + "/" + bestModel.Name + "/" + bestModel.Version + "/" + bestModel.Adapter,
		Kind: OrderLoad, Instance: bestSpare.ID, Incarnation: bestSpare.Incarnation, Address: bestSpare.Address, Model: bestModel,
	})
}

// preloadInterval is the minimum time between two load orders to one spare. It
// limits repeated orders to engines that do not support preloading.
const preloadInterval = 10 * time.Minute

func (c *Controller) preloadDue(o *Observation) bool {
	at, ok := c.preloadedAt[o.ID]
	return !ok || c.now.Sub(at) >= preloadInterval
}

// isOnlySpareForOtherModel reports whether the spare is the only one of the
// fabric domain that has the weights of some model other than that of d.
func (c *Controller) isOnlySpareForOtherModel(o *Observation, fabric string, d Demand) bool {
	for _, other := range c.settings.Demands {
		if other.Model == d.Model || !o.has(other.Model) {
			continue
		}
		onlySpare := !slices.ContainsFunc(c.pool[fabric], func(p *Observation) bool { return p != o && p.has(other.Model) })
		if onlySpare {
			return true
		}
	}
	return false
}
