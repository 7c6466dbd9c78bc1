package grouppolicy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/membership"
)

// controlled runs the real controller and state machine.
type controlled struct {
	state      *group.State
	controller *group.Controller
	settings   group.Settings
	buffer     []group.Observation
	changes    int
}

func newControlled(s shape, domain int, w Weights) *controlled {
	return &controlled{
		state:      group.NewState(),
		controller: group.NewController(group.Config{FailureDomain: fmt.Sprintf("z%d", domain), StartTime: startTime}, 1, origin),
		settings: group.Settings{StoreRate: s.storeRate, Demands: []group.Demand{{
			Service: service, Model: model, Groups: s.groups(domain), GroupSize: s.groupSize, WeightBytes: s.weightBytes,
			DowntimeWeight: w.Downtime, StrandedWeight: w.Stranded,
		}}},
	}
}

func (p *controlled) groups() map[string]*group.Group { return p.state.Groups }

func (p *controlled) plan(now time.Time, d *domainState) ([]group.Order, time.Time) {
	p.buffer = p.buffer[:0]
	for _, i := range d.instances {
		o := group.Observation{
			ID: i.id, Incarnation: i.incarnation, FabricDomain: i.fabric, Accelerators: 2, Fencing: true,
			State: membership.Ready, InForce: i.inForce, ReportedAt: now, Idle: true,
		}
		if i.draining {
			o.State = membership.Draining
		}
		if i.loaded {
			o.Models = []membership.Model{model}
		}
		if !i.reporting() {
			o.ReportedAt = i.silentSince
		}
		p.buffer = append(p.buffer, o)
	}
	decision := p.controller.Decide(now, p.state, p.buffer, p.settings)
	next := decision.Next
	for _, c := range decision.Commands {
		if p.state.Apply(c).Code == group.Applied {
			p.changes++
		}
	}
	return decision.Orders, next
}

// baseline is one of the simple policies.
type baseline struct {
	shape  shape
	policy string
	epoch  uint64
	table  map[string]*group.Group
	owner  map[string]string
}

// Baselines.
const (
	Immediate   = "immediate re-forming"
	WaitOnly    = "waiting only"
	FixedSpares = "fixed spares"
)

func newBaseline(s shape, policy string) *baseline {
	return &baseline{shape: s, policy: policy, table: map[string]*group.Group{}, owner: map[string]string{}}
}

func (p *baseline) groups() map[string]*group.Group { return p.table }

func lost(i *instance, now time.Time) bool {
	return !i.reporting() && now.Sub(i.silentSince) >= ageBound
}

func (p *baseline) plan(now time.Time, d *domainState) ([]group.Order, time.Time) {
	var orders []group.Order
	next := now.Add(30 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(p.table)) {
		g := p.table[id]
		var bad []int
		for rank, m := range g.Members {
			if i := d.byID[m.ID]; lost(i, now) || i.incarnation != m.Incarnation || i.draining {
				bad = append(bad, rank)
			}
		}
		if len(bad) == 0 {
			orders = append(orders, p.pending(d, g)...)
			continue
		}
		switch p.policy {
		case Immediate:
			orders = append(orders, p.dissolve(d, g)...)
		case WaitOnly:
			orders = append(orders, p.rejoin(now, d, g)...)
		case FixedSpares:
			orders = append(orders, p.replace(now, d, g, bad)...)
		}
	}
	return append(orders, p.form(now, d)...), next
}

// pending repeats the orders that are not in force, for lost ones.
func (p *baseline) pending(d *domainState, g *group.Group) []group.Order {
	var orders []group.Order
	for rank, m := range g.Members {
		if d.byID[m.ID].inForce.Epoch != g.Epoch {
			orders = append(orders, formOrder(g, rank))
		}
	}
	return orders
}

func formOrder(g *group.Group, rank int) group.Order {
	return group.Order{Kind: group.OrderForm, Instance: g.Members[rank].ID, Group: g.ID, Epoch: g.Epoch, Rank: rank}
}

func (p *baseline) dissolve(d *domainState, g *group.Group) []group.Order {
	var orders []group.Order
	delete(p.table, g.ID)
	for _, m := range g.Members {
		delete(p.owner, m.ID)
		orders = append(orders, group.Order{Kind: group.OrderRelease, Instance: m.ID})
	}
	return orders
}

// rejoin takes restarted members back once all are there.
func (p *baseline) rejoin(now time.Time, d *domainState, g *group.Group) []group.Order {
	for _, m := range g.Members {
		if i := d.byID[m.ID]; !i.reporting() || i.draining {
			return nil
		}
	}
	return p.reorder(d, g)
}

// reorder gives the group a new epoch with the present incarnations.
func (p *baseline) reorder(d *domainState, g *group.Group) []group.Order {
	p.epoch++
	g.Epoch = p.epoch
	var orders []group.Order
	for rank := range g.Members {
		g.Members[rank].Incarnation = d.byID[g.Members[rank].ID].incarnation
		orders = append(orders, formOrder(g, rank))
	}
	return orders
}

// replace puts free instances of the fabric domain in the places of the lost.
func (p *baseline) replace(now time.Time, d *domainState, g *group.Group, bad []int) []group.Order {
	free := p.free(now, d)[g.FabricDomain]
	var orders []group.Order
	var places []int
	for _, rank := range bad {
		// A restarted member that is back is as good as a spare.
		if i := d.byID[g.Members[rank].ID]; !i.reporting() || i.draining {
			places = append(places, rank)
		}
	}
	if len(free) < len(places) {
		return nil
	}
	for n, rank := range places {
		delete(p.owner, g.Members[rank].ID)
		orders = append(orders, group.Order{Kind: group.OrderRelease, Instance: g.Members[rank].ID})
		g.Members[rank].ID = free[n].id
		p.owner[free[n].id] = g.ID
	}
	return append(orders, p.reorder(d, g)...)
}

// free returns the instances in no group by fabric domain.
func (p *baseline) free(now time.Time, d *domainState) map[string][]*instance {
	free := map[string][]*instance{}
	for _, i := range d.instances {
		if p.owner[i.id] == "" && i.reporting() && !i.draining {
			free[i.fabric] = append(free[i.fabric], i)
		}
	}
	return free
}

// form makes as many groups as the free instances allow.
func (p *baseline) form(now time.Time, d *domainState) []group.Order {
	var orders []group.Order
	free := p.free(now, d)
	for _, fabric := range slices.Sorted(maps.Keys(free)) {
		list := free[fabric]
		for len(list) >= p.shape.groupSize && len(p.table) < d.target {
			p.epoch++
			g := &group.Group{ID: fmt.Sprintf("g%d", p.epoch), FabricDomain: fabric, Epoch: p.epoch, Phase: group.Serving}
			for rank, i := range list[:p.shape.groupSize] {
				g.Members = append(g.Members, group.Member{ID: i.id, Incarnation: i.incarnation})
				p.owner[i.id] = g.ID
				orders = append(orders, formOrder(g, rank))
			}
			p.table[g.ID] = g
			list = list[p.shape.groupSize:]
		}
	}
	return orders
}
