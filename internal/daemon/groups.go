package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/domainstate"
	"github.com/bluebellfield/bluebellfield/group"
	"github.com/bluebellfield/bluebellfield/internal/config"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	// groupDecisionInterval is the interval between decisions while nothing
	// triggers one earlier. It adds to the time to repair a group.
	groupDecisionInterval = 250 * time.Millisecond
	// followerPollInterval is the longest wait on a follower. A change of
	// the log's leader ends the wait early.
	followerPollInterval = 5 * time.Second
	// leaseCheckTimeout limits the leadership check before orders are sent.
	leaseCheckTimeout   = time.Second
	localLeaderInterval = 2 * time.Second
)

// groupManager decides on the replica groups of a failure domain while this
// instance leads the domain's log.
type groupManager struct {
	cfg      *config.Daemon
	domain   *domainReplica
	members  *members
	client   *upstream.Client
	tree     func() *settings.Tree
	logger   *zap.Logger
	registry metrics.Registry
	system   *actor.ActorSystem
	pid      *actor.PID

	// controller and term are accessed only by the actor.
	controller *group.Controller
	term       uint64

	mu        sync.Mutex
	lostTimes []group.LostTime
}

// decideMessage requests a decision from the actor.
type decideMessage struct{}

func newGroupManager(cfg *config.Daemon, d *domainReplica, m *members, client *upstream.Client, tree func() *settings.Tree, registry metrics.Registry, logger *zap.Logger) *groupManager {
	return &groupManager{cfg: cfg, domain: d, members: m, client: client, tree: tree, registry: registry, logger: logger}
}

func (g *groupManager) start(system *actor.ActorSystem) {
	g.system = system
	g.pid = system.Root.Spawn(actor.PropsFromFunc(g.receive))
}

// run requests a decision periodically and at each change of the log.
func (g *groupManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := g.domain.Watch()
		// Waiting for the reply keeps requests from piling up behind a slow
		// log.
		_, _ = g.system.Root.RequestFuture(g.pid, &decideMessage{}, proposeTimeout).Result()
		pause := groupDecisionInterval
		if !g.domain.Status().IsLeader() {
			pause = followerPollInterval
		}
		wait(ctx, changed, pause)
	}
}

// transferToLocalVoter transfers the leadership of another failure domain's
// log to an instance in that domain. Local instances have better information
// about the domain's upstreams and are not partitioned from them.
func (g *groupManager) transferToLocalVoter(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, nil, localLeaderInterval)
		if !g.domain.Status().IsLeader() {
			continue
		}
		for _, id := range g.cfg.Logs.Domains[g.domain.failureDomain] {
			p, known := g.cfg.Peer(id)
			if !known || p.FailureDomain != g.domain.failureDomain {
				continue
			}
			attempt, cancel := context.WithTimeout(ctx, leadershipTransferTimeout)
			err := g.domain.TransferLeadership(attempt, id)
			cancel()
			if err == nil {
				break
			}
		}
	}
}

// LostTimes returns the downtime and the stranded accelerator time since this
// instance became the leader.
func (g *groupManager) LostTimes() []group.LostTime {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lostTimes
}

func (g *groupManager) receive(c actor.Context) {
	if _, ok := c.Message().(*decideMessage); !ok {
		return
	}
	g.decide()
	c.Respond(true)
}

// decide makes one decision and executes it.
func (g *groupManager) decide() {
	status := g.domain.Status()
	if !status.IsLeader() {
		g.controller = nil
		return
	}
	now := time.Now()
	if g.controller == nil || g.term != status.Term {
		g.term = status.Term
		g.controller = group.NewController(g.termConfig(), g.term, now)
	}
	tree := g.tree()
	view := g.members.View()
	observed := group.Observe(view, g.domain.failureDomain, func(u *membership.Upstream) bool { return g.fencingAllowed(tree, u) })
	state := g.domain.machine.Groups()
	decision := g.controller.Decide(now, state, observed, g.groupSettings(tree, view, state))
	g.updateMetrics()
	for _, c := range decision.Commands {
		if !g.propose(c) {
			return
		}
	}
	g.sendOrders(decision.Orders)
}

// termConfig returns the controller's configuration for a leader's term, from
// the settings in force when the term begins.
func (g *groupManager) termConfig() group.Config {
	config := group.Config{FailureDomain: g.domain.failureDomain}
	tree := g.tree()
	for _, id := range tree.Services() {
		config.DrainDeadline = max(config.DrainDeadline, tree.GroupPolicy(g.domain.failureDomain, id).DrainTimeout)
	}
	return config
}

// fencingAllowed reports whether the settings trust the announcement of an
// engine that it rejects orders with an outdated epoch.
func (g *groupManager) fencingAllowed(tree *settings.Tree, u *membership.Upstream) bool {
	for _, id := range u.Services {
		if s, ok := tree.Service(id); ok && s.ChecksFencing {
			return true
		}
	}
	return false
}

// groupSettings lists the groups that this failure domain should have, which
// are as many as its instances allow.
func (g *groupManager) groupSettings(tree *settings.Tree, view *membership.View, state *group.State) group.Settings {
	domains := make([]string, 0, len(g.cfg.Logs.Domains))
	for d := range g.cfg.Logs.Domains {
		domains = append(domains, d)
	}
	out := group.Settings{StoreRate: tree.WeightStoreRate(g.domain.failureDomain, domains)}
	for _, id := range tree.Services() {
		s, _ := tree.Service(id)
		policy := tree.GroupPolicy(g.domain.failureDomain, id)
		if !s.Model || policy.GroupSize < 2 {
			continue
		}
		out.Demands = append(out.Demands, group.Demand{
			Service: id, Model: membership.Model{Name: s.ModelName, Version: policy.ModelVersion},
			Groups: g.countInstances(id, view, state) / policy.GroupSize, GroupSize: policy.GroupSize,
			DowntimeWeight: policy.DowntimeWeight, StrandedWeight: policy.StrandedWeight, Patience: policy.RepairPatience,
		})
	}
	return out
}

// countInstances counts the instances of a service, including absent members
// of its groups.
func (g *groupManager) countInstances(service string, view *membership.View, state *group.State) int {
	seen := map[string]bool{}
	for _, u := range view.Service(service) {
		if u.FailureDomain == g.domain.failureDomain && u.Kind == membership.ModelEngine && u.State != membership.Leaving {
			seen[u.ID] = true
		}
	}
	for _, gr := range state.Groups {
		if gr.Service == service {
			for _, m := range gr.Members {
				seen[m.ID] = true
			}
		}
	}
	return len(seen)
}

// propose commits a command and reports whether the log returned a result.
func (g *groupManager) propose(c group.Command) bool {
	data, err := domainstate.EncodeGroup(c)
	if err != nil {
		g.logger.Error("encode group command", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout/2)
	defer cancel()
	answer, err := g.domain.Propose(ctx, data)
	if err != nil {
		g.logger.Info("group command was not committed", zap.String("kind", string(c.Kind)), zap.Error(err))
		return false
	}
	result, err := domainstate.DecodeResult(answer)
	if err != nil {
		g.logger.Error("group command failed", zap.String("kind", string(c.Kind)), zap.Error(err))
		return false
	}
	g.logger.Info("group command", zap.String("kind", string(c.Kind)), zap.String("group", c.Group),
		zap.String("cause", string(c.Cause)), zap.String("result", string(result.Code)), zap.String("message", result.Message))
	return true
}

// sendOrders sends orders if this instance holds the leader lease. Each order
// is abandoned after the order timeout, which the controller relies on.
func (g *groupManager) sendOrders(orders []group.Order) {
	if len(orders) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), leaseCheckTimeout)
	held, err := g.domain.LeaseHeld(ctx)
	cancel()
	if err != nil || !held {
		return
	}
	view := g.members.View()
	for _, o := range orders {
		go g.sendOrder(o, view)
	}
}

func (g *groupManager) sendOrder(o group.Order, view *membership.View) {
	ctx, cancel := context.WithTimeout(context.Background(), group.DefaultOrderTimeout)
	defer cancel()
	order := upstream.Order{
		ID: o.ID, Kind: upstream.OrderKind(o.Kind), Group: o.Group, Epoch: o.Epoch, Rank: o.Rank, Model: o.Model,
	}
	for _, m := range o.Members {
		// A member that is no longer known has no address.
		member := upstream.Member{ID: m.ID}
		if u := view.Get(m.ID); u != nil {
			member.Address = u.Address
		}
		order.Members = append(order.Members, member)
	}
	_, err := g.client.Order(ctx, upstream.Target{ID: o.Instance, Address: o.Address}, g.cfg.OrderToken, order)
	g.logger.Info("order", zap.String("kind", string(o.Kind)), zap.String("upstream", o.Instance), zap.String("group", o.Group),
		zap.Uint64("epoch", o.Epoch), zap.Error(err))
}

// updateMetrics publishes downtime and stranded accelerator time as metrics.
func (g *groupManager) updateMetrics() {
	lostTimes := g.controller.LostTimes()
	g.mu.Lock()
	g.lostTimes = lostTimes
	g.mu.Unlock()
	for _, lost := range lostTimes {
		name := lost.Service + "." + string(lost.Cause)
		metrics.GetOrRegisterGaugeFloat64("group.downtime_seconds."+name, g.registry).Update(lost.Downtime)
		metrics.GetOrRegisterGaugeFloat64("group.stranded_accelerator_seconds."+name, g.registry).Update(lost.Stranded)
	}
}
