package control

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/deploymentstate"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/placement"
)

const (
	// orderTimeout is the timeout of an order. Engines respond within a few
	// milliseconds, and a lost order is repeated.
	orderTimeout = 300 * time.Millisecond
	// probeTimeout is the timeout of a probe. A member that does not respond in
	// time counts as lost if its group is stalled as well.
	probeTimeout = 250 * time.Millisecond
	// warmUpTime is how long an instance that leads for the first time waits,
	// once it knows an upstream, before it gives orders. The instances of a
	// deployment all register within a heartbeat interval.
	warmUpTime = 300 * time.Millisecond
	// workSmoothingWeight is the weight of the latest sample in the moving
	// average of the offered work. Each planning round takes one sample.
	workSmoothingWeight = 0.05
)

// Messages received by the group controller.
type (
	tickMessage  struct{}
	stallMessage struct {
		service, group string
		epoch          uint64
		from           string
	}
	// aliveMessage lists groups that have made progress according to an entry.
	aliveMessage       struct{ groups []string }
	orderResultMessage struct {
		generation uint64
		service    string
		order      placement.Order
		result     placement.Result
		err        error
		took       time.Duration
	}
	generationMessage struct {
		generation uint64
		term       uint64
		err        error
	}
)

// controller is the actor that gives orders to engines while this instance
// leads the log.
type controller struct {
	c *Control
	// generation is the order generation that was started in the leadership
	// term. Both are zero before it has been started.
	term, generation   uint64
	startingGeneration bool
	catalogVersion     uint64
	planners           map[string]*placement.Planner
	smoothedWork       map[string]float64
	orderCounters      map[placement.OrderKind]metrics.Counter
	planFrom           time.Time
	lastSummary        time.Time
}

func newController(c *Control) *controller {
	ctl := &controller{c: c, orderCounters: map[placement.OrderKind]metrics.Counter{}, smoothedWork: map[string]float64{}}
	for kind := placement.Join; kind <= placement.Probe; kind++ {
		ctl.orderCounters[kind] = metrics.GetOrRegisterCounter("orders."+kind.String(), c.opts.Registry)
	}
	return ctl
}

// Receive implements actor.Actor.
func (ctl *controller) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case tickMessage:
		ctl.c.tickQueued.Store(false)
		ctl.tick(time.Now())
	case stallMessage:
		ctl.handleStall(time.Now(), m)
	case aliveMessage:
		for _, p := range ctl.planners {
			p.ReportProgress(time.Now(), m.groups)
		}
	case orderResultMessage:
		ctl.orderDone(time.Now(), m)
	case generationMessage:
		ctl.generationStarted(m)
	}
}

func (ctl *controller) tick(now time.Time) {
	status := ctl.c.replica.Status()
	if !status.IsLeader() {
		ctl.stepDown()
		return
	}
	if ctl.term != status.Term {
		ctl.stepDown()
		ctl.startGeneration(status.Term)
		return
	}
	if ctl.generation == 0 || !ctl.leaseHeld() {
		return
	}
	ctl.refreshPlanners(now)
	withdrawn := []string{}
	for _, service := range slices.Sorted(maps.Keys(ctl.planners)) {
		ctl.plan(now, service, ctl.planners[service])
		withdrawn = append(withdrawn, ctl.planners[service].WithdrawnGroups()...)
	}
	ctl.c.setWithdrawn(withdrawn)
}

// stepDown stops giving orders and discards the planners.
func (ctl *controller) stepDown() {
	if ctl.generation != 0 {
		ctl.c.opts.Logger.Info("stopped controlling groups", zap.Uint64("generation", ctl.generation))
	}
	ctl.term, ctl.generation, ctl.planners, ctl.catalogVersion = 0, 0, nil, 0
	ctl.c.setWithdrawn(nil)
}

// leaseHeld reports whether the leader's lease excludes any other leader at
// this time.
func (ctl *controller) leaseHeld() bool {
	ctx, cancel := context.WithTimeout(ctl.c.ctx, planInterval)
	defer cancel()
	held, err := ctl.c.replica.LeaseHeld(ctx)
	if err != nil {
		ctl.c.opts.Logger.Warn("failed to confirm the lease", zap.Error(err))
	}
	return err == nil && held
}

// startGeneration starts an order generation that is higher than all earlier
// ones. The result arrives as a generationMessage.
func (ctl *controller) startGeneration(term uint64) {
	if ctl.startingGeneration {
		return
	}
	ctl.startingGeneration = true
	go func() {
		generation, err := ctl.c.startGeneration()
		ctl.c.opts.System.Root.Send(ctl.c.controller, generationMessage{generation, term, err})
	}()
}

func (c *Control) startGeneration() (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	command, err := deploymentstate.EncodeStartGeneration()
	if err != nil {
		return 0, err
	}
	encoded, err := c.replica.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	result, err := deploymentstate.DecodeResult(encoded)
	return result.GetGeneration(), err
}

func (ctl *controller) generationStarted(m generationMessage) {
	ctl.startingGeneration = false
	if m.err != nil {
		ctl.c.opts.Logger.Warn("failed to start an order generation", zap.Error(m.err))
		return
	}
	ctl.term, ctl.generation = m.term, m.generation
	ctl.c.opts.Logger.Info("controlling groups", zap.Uint64("generation", m.generation), zap.Uint64("term", m.term))
}

// refreshPlanners updates the planners after a change of the catalog. There is
// one for each service with engines; the planner of a service that remains
// keeps its state.
func (ctl *controller) refreshPlanners(now time.Time) {
	version, document := ctl.c.machine.Catalog()
	if version == ctl.catalogVersion || version == 0 {
		return
	}
	content, err := ctl.c.opts.Decode(document)
	if err != nil {
		ctl.c.opts.Logger.Error("failed to decode the catalog in force", zap.Uint64("version", version), zap.Error(err))
		return
	}
	ctl.catalogVersion = version
	planners := map[string]*placement.Planner{}
	for i := range content.Services {
		s := &content.Services[i]
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		planners[s.Name] = ctl.planner(now, s)
	}
	ctl.planners = planners
}

func (ctl *controller) planner(now time.Time, s *catalog.Service) *placement.Planner {
	if p := ctl.planners[s.Name]; p != nil {
		p.SetEngine(s.Engine)
		return p
	}
	return placement.New(placement.Config{Generation: ctl.generation, HeartbeatInterval: ctl.c.opts.HeartbeatInterval,
		StallTime: ctl.c.opts.StallTime, ColdStart: ctl.c.opts.Bootstrap, Engine: s.Engine}, now)
}

func (ctl *controller) plan(now time.Time, service string, p *placement.Planner) {
	upstreams := ctl.c.upstreams(service)
	if len(upstreams) == 0 {
		return
	}
	if ctl.planFrom.IsZero() {
		ctl.planFrom = now.Add(warmUpTime)
	}
	p.Observe(now, upstreams)
	if now.Before(ctl.planFrom) {
		return
	}
	ctl.setWork(service, p)
	for _, o := range p.Plan(now) {
		ctl.dispatch(service, o)
	}
	const summaryInterval = 2 * time.Second
	if now.Sub(ctl.lastSummary) >= summaryInterval {
		ctl.lastSummary = now
		ctl.c.opts.Logger.Info("groups", zap.String("service", service), zap.Any("stages", p.Summary()), zap.Any("engines", p.Engines(now)), zap.Any("held", p.PendingGroups(now)), zap.Any("free", p.Free(now)), zap.Any("work", ctl.smoothedWork))
	}
}

// setWork passes the offered work of each model to the planner, in units of
// fully loaded model copies.
func (ctl *controller) setWork(service string, p *placement.Planner) {
	offered := ctl.c.offeredLoad(service)
	for _, m := range p.Models() {
		d := offered[m.Name]
		copies := 0.0
		if d.requests > 0 {
			prompt, answer := int(d.promptTokens/d.requests), int(d.answerTokens/d.requests)
			copies = d.requests * p.ServiceTime(m.Name, prompt, answer).Seconds()
		}
		before, known := ctl.smoothedWork[m.Name]
		if known {
			copies = before + workSmoothingWeight*(copies-before)
		}
		ctl.smoothedWork[m.Name] = copies
		p.SetDemand(m.Name, copies)
	}
}

// offeredLoad adds up the offered load that the entries reported for a service,
// by model.
func (c *Control) offeredLoad(service string) map[string]modelDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := map[string]modelDemand{}
	for _, s := range c.subscribers {
		for _, d := range s.offered {
			if d.service != service {
				continue
			}
			sum := total[d.model]
			sum.requests += d.requests
			sum.promptTokens += d.promptTokens
			sum.answerTokens += d.answerTokens
			total[d.model] = sum
		}
	}
	return total
}

// dispatch sends an order asynchronously. The result arrives as an
// orderResultMessage.
func (ctl *controller) dispatch(service string, o placement.Order) {
	ctl.orderCounters[o.Kind].Inc(1)
	generation := ctl.generation
	c := ctl.c
	c.wg.Go(func() {
		timeout := orderTimeout
		if o.Kind == placement.Probe {
			timeout = probeTimeout
		}
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		started := time.Now()
		result, err := c.opts.Orders.SendOrder(ctx, o)
		c.opts.System.Root.Send(c.controller, orderResultMessage{generation, service, o, result, err, time.Since(started)})
	})
}

func (ctl *controller) orderDone(now time.Time, m orderResultMessage) {
	ctl.c.opts.Logger.Info("order", zap.Stringer("kind", m.order.Kind), zap.String("upstream", m.order.Upstream), zap.String("group", m.order.Group),
		zap.Uint64("epoch", m.order.Epoch), zap.String("model", m.order.Model), zap.String("reason", m.order.Reason),
		zap.Stringer("result", m.result), zap.Duration("took", m.took), zap.Error(m.err))
	if p := ctl.planners[m.service]; p != nil && m.generation == ctl.generation {
		p.HandleResult(now, m.order, m.result)
	}
}

func (ctl *controller) handleStall(now time.Time, m stallMessage) {
	p := ctl.planners[m.service]
	if p == nil {
		return
	}
	ctl.c.opts.Logger.Info("group suspected", zap.String("group", m.group), zap.Uint64("epoch", m.epoch), zap.String("peer", m.from))
	p.ReportStall(now, m.group, m.epoch)
	ctl.tick(now)
}

// serveStall handles an entry's report of a stalled group.
func (c *Control) serveStall(_ context.Context, from string, payload []byte) ([]byte, error) {
	var stall mesh.Stall
	if err := proto.Unmarshal(payload, &stall); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelStall, Peer: from}, fault.NotRun)
	}
	c.opts.System.Root.Send(c.controller, stallMessage{service: stall.Service, group: stall.Group, epoch: stall.Epoch, from: from})
	return nil, nil
}
