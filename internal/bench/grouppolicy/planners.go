package grouppolicy

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/membership"
)

// controllerPlanner runs the controller and the state machine of package group.
type controllerPlanner struct {
	state           *group.State
	controller      *group.Controller
	settings        group.Settings
	observations    []group.Observation
	appliedCommands int
}

func newControllerPlanner(t topology, domain int, w Weights) *controllerPlanner {
	return &controllerPlanner{
		state:      group.NewState(),
		controller: group.NewController(group.Config{FailureDomain: fmt.Sprintf("z%d", domain), StartTime: engineStartTime}, 1, simulationStart),
		settings: group.Settings{StoreRate: t.storeRate, Demands: []group.Demand{{
			Service: service, Model: model, Groups: t.maxGroups(domain), GroupSize: t.groupSize, WeightBytes: t.weightBytes,
			DowntimeWeight: w.Downtime, StrandedWeight: w.Stranded,
		}}},
	}
}

func (p *controllerPlanner) groups() map[string]*group.Group { return p.state.Groups }

func (p *controllerPlanner) plan(now time.Time, d *domainState) ([]group.Order, time.Time) {
	p.observations = p.observations[:0]
	for _, i := range d.instances {
		o := group.Observation{
			ID: i.id, Incarnation: i.incarnation, FabricDomain: i.fabricDomain, Accelerators: 2, Fencing: true,
			State: membership.Ready, InForce: i.activeGroup, ReportedAt: now, Idle: true,
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
		p.observations = append(p.observations, o)
	}
	decision := p.controller.Decide(now, p.state, p.observations, p.settings)
	next := decision.Next
	for _, c := range decision.Commands {
		if p.state.Apply(c).Code == group.Applied {
			p.appliedCommands++
		}
	}
	return decision.Orders, next
}

// baselinePlanner implements the baseline policies.
type baselinePlanner struct {
	topology        topology
	policy          string
	lastEpoch       uint64
	groupsByID      map[string]*group.Group
	groupOfInstance map[string]string
}

// Baseline policies.
const (
	Immediate   = "immediate re-forming"
	WaitOnly    = "waiting only"
	FixedSpares = "fixed spares"
)

func newBaselinePlanner(t topology, policy string) *baselinePlanner {
	return &baselinePlanner{topology: t, policy: policy, groupsByID: map[string]*group.Group{}, groupOfInstance: map[string]string{}}
}

func (p *baselinePlanner) groups() map[string]*group.Group { return p.groupsByID }

func timedOut(i *instance, now time.Time) bool {
	return !i.reporting() && now.Sub(i.silentSince) >= reportTimeout
}

func (p *baselinePlanner) plan(now time.Time, d *domainState) ([]group.Order, time.Time) {
	var orders []group.Order
	next := now.Add(30 * time.Second)
	for _, id := range slices.Sorted(maps.Keys(p.groupsByID)) {
		g := p.groupsByID[id]
		var failedRanks []int
		for rank, m := range g.Members {
			if i := d.byID[m.ID]; timedOut(i, now) || i.incarnation != m.Incarnation || i.draining {
				failedRanks = append(failedRanks, rank)
			}
		}
		if len(failedRanks) == 0 {
			orders = append(orders, p.repeatPendingOrders(d, g)...)
			continue
		}
		switch p.policy {
		case Immediate:
			orders = append(orders, p.dissolve(d, g)...)
		case WaitOnly:
			orders = append(orders, p.rejoin(now, d, g)...)
		case FixedSpares:
			orders = append(orders, p.replace(now, d, g, failedRanks)...)
		}
	}
	return append(orders, p.formGroups(now, d)...), next
}

// repeatPendingOrders returns form orders for the members on which the epoch is
// not in force, since instances drop orders while they do not report.
func (p *baselinePlanner) repeatPendingOrders(d *domainState, g *group.Group) []group.Order {
	var orders []group.Order
	for rank, m := range g.Members {
		if d.byID[m.ID].activeGroup.Epoch != g.Epoch {
			orders = append(orders, formOrder(g, rank))
		}
	}
	return orders
}

func formOrder(g *group.Group, rank int) group.Order {
	return group.Order{Kind: group.OrderForm, Instance: g.Members[rank].ID, Group: g.ID, Epoch: g.Epoch, Rank: rank}
}

func (p *baselinePlanner) dissolve(d *domainState, g *group.Group) []group.Order {
	var orders []group.Order
	delete(p.groupsByID, g.ID)
	for _, m := range g.Members {
		delete(p.groupOfInstance, m.ID)
		orders = append(orders, group.Order{Kind: group.OrderRelease, Instance: m.ID})
	}
	return orders
}

// rejoin starts a new epoch with the same members once all of them report
// again.
func (p *baselinePlanner) rejoin(now time.Time, d *domainState, g *group.Group) []group.Order {
	for _, m := range g.Members {
		if i := d.byID[m.ID]; !i.reporting() || i.draining {
			return nil
		}
	}
	return p.startNewEpoch(d, g)
}

// startNewEpoch gives the group a new epoch with the current incarnations of
// its members.
func (p *baselinePlanner) startNewEpoch(d *domainState, g *group.Group) []group.Order {
	p.lastEpoch++
	g.Epoch = p.lastEpoch
	var orders []group.Order
	for rank := range g.Members {
		g.Members[rank].Incarnation = d.byID[g.Members[rank].ID].incarnation
		orders = append(orders, formOrder(g, rank))
	}
	return orders
}

// replace substitutes spares of the same fabric domain for failed members. It
// does nothing while there are too few spares.
func (p *baselinePlanner) replace(now time.Time, d *domainState, g *group.Group, failedRanks []int) []group.Order {
	spares := p.unassigned(now, d)[g.FabricDomain]
	var orders []group.Order
	var ranksToReplace []int
	for _, rank := range failedRanks {
		// A restarted member that reports again serves as well as a spare.
		if i := d.byID[g.Members[rank].ID]; !i.reporting() || i.draining {
			ranksToReplace = append(ranksToReplace, rank)
		}
	}
	if len(spares) < len(ranksToReplace) {
		return nil
	}
	for n, rank := range ranksToReplace {
		delete(p.groupOfInstance, g.Members[rank].ID)
		orders = append(orders, group.Order{Kind: group.OrderRelease, Instance: g.Members[rank].ID})
		g.Members[rank].ID = spares[n].id
		p.groupOfInstance[spares[n].id] = g.ID
	}
	return append(orders, p.startNewEpoch(d, g)...)
}

// unassigned returns the available instances without a group, by fabric domain.
func (p *baselinePlanner) unassigned(now time.Time, d *domainState) map[string][]*instance {
	byFabricDomain := map[string][]*instance{}
	for _, i := range d.instances {
		if p.groupOfInstance[i.id] == "" && i.reporting() && !i.draining {
			byFabricDomain[i.fabricDomain] = append(byFabricDomain[i.fabricDomain], i)
		}
	}
	return byFabricDomain
}

// formGroups forms groups from unassigned instances until the target is reached.
func (p *baselinePlanner) formGroups(now time.Time, d *domainState) []group.Order {
	var orders []group.Order
	byFabricDomain := p.unassigned(now, d)
	for _, fabric := range slices.Sorted(maps.Keys(byFabricDomain)) {
		instances := byFabricDomain[fabric]
		for len(instances) >= p.topology.groupSize && len(p.groupsByID) < d.targetGroups {
			p.lastEpoch++
			g := &group.Group{ID: fmt.Sprintf("g%d", p.lastEpoch), FabricDomain: fabric, Epoch: p.lastEpoch, Phase: group.Serving}
			for rank, i := range instances[:p.topology.groupSize] {
				g.Members = append(g.Members, group.Member{ID: i.id, Incarnation: i.incarnation})
				p.groupOfInstance[i.id] = g.ID
				orders = append(orders, formOrder(g, rank))
			}
			p.groupsByID[g.ID] = g
			instances = instances[p.topology.groupSize:]
		}
	}
	return orders
}
