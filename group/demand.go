package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// want is a change that needs weights from the store.
type want struct {
	// benefit is the weighted cost per second that the change ends.
	benefit float64
	bytes   float64
	id      string
	// grant makes the change; false means that it has become impossible.
	grant func() bool
}

// grant starts the changes in order of benefit per byte. Changes that load
// nothing start at once, the others one after the other: with a shared rate,
// loading several at once finishes none of them earlier.
func (c *Controller) grant() {
	slices.SortStableFunc(c.wants, func(a, b want) int {
		return cmp.Or(cmp.Compare(b.benefit*(a.bytes+1), a.benefit*(b.bytes+1)), cmp.Compare(a.id, b.id))
	})
	for _, w := range c.wants {
		if w.bytes > 0 && c.settings.StoreRate > 0 && c.now.Before(c.busyUntil) {
			c.again(max(c.busyUntil.Sub(c.now), 100*time.Millisecond))
			continue
		}
		if w.grant() {
			c.useStore(w.bytes)
		}
	}
}

func (c *Controller) useStore(bytes float64) {
	if bytes > 0 && c.settings.StoreRate > 0 {
		c.busyUntil = c.now.Add(time.Duration(bytes / c.settings.StoreRate * float64(time.Second)))
	}
}

// counted reports whether a group counts towards its demand: not when it waits
// for a dark fabric domain for long, for spares, or for its end.
func (c *Controller) counted(g *Group) bool {
	if since := c.darkSince[g.FabricDomain]; !since.IsZero() && c.now.Sub(since) > c.cfg.FabricWait {
		return false
	}
	if g.Phase == Draining && g.Cause == CauseDemand {
		return false
	}
	return !slices.ContainsFunc(c.stuck, func(b broken) bool { return b.group == g })
}

// planDemand asks for groups that are missing, and moves capacity to them from
// models that have more than their demand.
func (c *Controller) planDemand() {
	have := make([]int, len(c.settings.Demands))
	for _, g := range c.state.Groups {
		for n, d := range c.settings.Demands {
			if d.Service == g.Service && d.Model == g.Model && c.counted(g) {
				have[n]++
			}
		}
	}
	number := 0
	for n, d := range c.settings.Demands {
		for range d.Groups - have[n] {
			if !c.planGroup(d, number) {
				c.moveCapacity(d, have)
				break
			}
			number++
		}
	}
}

// planGroup asks for one more group; false when no fabric domain has room.
func (c *Controller) planGroup(d Demand, number int) bool {
	fabric := c.roomiest(d.GroupSize)
	if fabric == "" {
		return false
	}
	members := c.spares(fabric, d.GroupSize, d.Model, time.Time{})
	c.take(fabric, members)
	id := c.groupID(number)
	benefit := rate(d, members)
	c.wants = append(c.wants, want{benefit: benefit, bytes: c.coldBytes(members, d), id: id, grant: func() bool {
		candidates := make([]Candidate, 0, len(members))
		for _, o := range members {
			candidates = append(candidates, o.candidate())
		}
		c.propose(Command{Kind: Form, Group: id, Service: d.Service, Model: d.Model, Members: candidates})
		return true
	}})
	return true
}

// roomiest returns the fabric domain with the most free instances.
func (c *Controller) roomiest(size int) string {
	best := ""
	for _, f := range sortedKeys(c.pool) {
		if len(c.pool[f]) >= max(size, 1) && (best == "" || len(c.pool[f]) > len(c.pool[best])) {
			best = f
		}
	}
	return best
}

// moveCapacity drains a group of a model with more groups than its demand when
// the group that can be formed instead is worth the change.
func (c *Controller) moveCapacity(d Demand, have []int) {
	if d.GroupSize == 0 {
		return
	}
	for n, other := range c.settings.Demands {
		if have[n] <= other.Groups {
			continue
		}
		for _, g := range c.state.sorted() {
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

// moveGain is the downtime saved over the horizon less the accelerators out of
// use during the change.
func (c *Controller) moveGain(d Demand, g *Group) float64 {
	accelerators, bytes := 0, 0.0
	for _, m := range g.Members {
		if o := c.obs[m.ID]; o != nil {
			accelerators += o.Accelerators
			if !o.has(d.Model) {
				bytes += d.WeightBytes
			}
		}
	}
	change := c.cfg.DrainDeadline + c.widen(c.cfg.OrderTimeout) + c.cfg.StartTime + c.loadTime(bytes)
	return d.DowntimeWeight*(gainHorizon-change).Seconds() - d.StrandedWeight*float64(accelerators)*change.Seconds()
}

// resolveStuck dissolves a broken group whose survivors complete another one
// of the same fabric domain, or that its demand no longer needs. The group
// with the most members missing gives; the one that costs most gets.
func (c *Controller) resolveStuck() {
	slices.SortStableFunc(c.stuck, func(a, b broken) int {
		return cmp.Or(cmp.Compare(len(a.lost), len(b.lost)), cmp.Compare(b.rate, a.rate), cmp.Compare(a.group.ID, b.group.ID))
	})
	given := map[string]bool{}
	for _, b := range c.stuck {
		if given[b.group.ID] {
			continue
		}
		fabric := b.group.FabricDomain
		have := len(c.pool[fabric])
		for n := len(c.stuck) - 1; n >= 0 && have < len(b.lost); n-- {
			giver := c.stuck[n]
			if giver.group == b.group || giver.group.FabricDomain != fabric || given[giver.group.ID] || len(giver.survivors) == 0 {
				continue
			}
			if have+len(giver.survivors) >= len(b.lost) {
				given[giver.group.ID], given[b.group.ID] = true, true
				c.dissolve(giver)
				break
			}
		}
		if !given[b.group.ID] && c.surplus(b.group) {
			given[b.group.ID] = true
			c.dissolve(b)
		}
	}
}

// surplus reports whether the demand of a group is met without it.
func (c *Controller) surplus(g *Group) bool {
	d := c.demandOf(g)
	n := 0
	for _, o := range c.state.Groups {
		if o.Service == g.Service && o.Model == g.Model && c.counted(o) {
			n++
		}
	}
	return n >= d.Groups
}

// preload loads weights onto one spare while the store has nothing else to do,
// for the fabric domain with the most groups for each loaded spare.
func (c *Controller) preload() {
	if c.cfg.NoPreload || c.settings.StoreRate > 0 && c.now.Before(c.busyUntil) {
		return
	}
	for _, w := range c.wants {
		if w.bytes > 0 {
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
				} else if cold == nil && !c.heldOff(c.state.Instances[o.ID]) && c.mayPreload(o) && !c.usefulElsewhere(o, fabric, d) {
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
	c.loadedAt[bestSpare.ID] = c.now
	for _, d := range c.settings.Demands {
		if d.Model == bestModel {
			c.useStore(d.WeightBytes)
			break
		}
	}
	c.send(Order{
		ID:   string(OrderLoad) + "/" + bestSpare.ID + "/" + bestModel.Name + "/" + bestModel.Version + "/" + bestModel.Adapter,
		Kind: OrderLoad, Instance: bestSpare.ID, Incarnation: bestSpare.Incarnation, Address: bestSpare.Address, Model: bestModel,
	})
}

// preloadPause is the time between two load orders to one spare. An engine
// that does not load ahead of need is then asked rarely.
const preloadPause = 10 * time.Minute

func (c *Controller) mayPreload(o *Observation) bool {
	at, ok := c.loadedAt[o.ID]
	return !ok || c.now.Sub(at) >= preloadPause
}

// usefulElsewhere reports whether the spare has the weights of another model
// that no other spare of the fabric domain has.
func (c *Controller) usefulElsewhere(o *Observation, fabric string, d Demand) bool {
	for _, other := range c.settings.Demands {
		if other.Model == d.Model || !o.has(other.Model) {
			continue
		}
		alone := !slices.ContainsFunc(c.pool[fabric], func(p *Observation) bool { return p != o && p.has(other.Model) })
		if alone {
			return true
		}
	}
	return false
}
