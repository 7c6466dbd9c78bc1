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
	// orderTimeout bounds an order; engines answer within some milliseconds, and
	// an order that is lost is repeated.
	orderTimeout = 300 * time.Millisecond
	// probeTimeout bounds a probe. A member that does not answer in it counts
	// as lost when its group stands still as well.
	probeTimeout = 250 * time.Millisecond
	// firstReports is the time after the first report of an upstream for which
	// a new leader waits before it gives orders: the instances of one
	// deployment register within a heartbeat interval.
	firstReports = 300 * time.Millisecond
	// workSmoothing is the weight of the newest second in the offered work.
	workSmoothing = 0.05
)

// Messages of the group controller.
type (
	tickMessage  struct{}
	stallMessage struct {
		service, group string
		epoch          uint64
		from           string
	}
	// aliveMessage names groups that made progress for an entry.
	aliveMessage struct{ groups []string }
	doneMessage  struct {
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
	// term is the term of leadership for which generation was drawn.
	term, generation uint64
	drawing          bool
	version          uint64
	planners         map[string]*placement.Planner
	work             map[string]float64
	orders           map[placement.OrderKind]metrics.Counter
	ready            time.Time
	summary          time.Time
}

func newController(c *Control) *controller {
	k := &controller{c: c, orders: map[placement.OrderKind]metrics.Counter{}, work: map[string]float64{}}
	for kind := placement.Join; kind <= placement.Probe; kind++ {
		k.orders[kind] = metrics.GetOrRegisterCounter("orders."+kind.String(), c.o.Registry)
	}
	return k
}

// Receive implements actor.Actor.
func (k *controller) Receive(ctx actor.Context) {
	switch m := ctx.Message().(type) {
	case tickMessage:
		k.c.tickQueued.Store(false)
		k.tick(time.Now())
	case stallMessage:
		k.suspect(time.Now(), m)
	case aliveMessage:
		for _, p := range k.planners {
			p.Alive(time.Now(), m.groups)
		}
	case doneMessage:
		k.finished(time.Now(), m)
	case generationMessage:
		k.generationDrawn(m)
	}
}

func (k *controller) tick(now time.Time) {
	status := k.c.replica.Status()
	if !status.Leads() {
		k.stop()
		return
	}
	if k.term != status.Term {
		k.stop()
		k.drawGeneration(status.Term)
		return
	}
	if k.generation == 0 || !k.leaseHeld() {
		return
	}
	k.refreshPlanners(now)
	for _, service := range slices.Sorted(maps.Keys(k.planners)) {
		k.plan(now, service, k.planners[service])
	}
}

func (k *controller) stop() {
	if k.generation != 0 {
		k.c.o.Logger.Info("stopped giving orders", zap.Uint64("generation", k.generation))
	}
	k.term, k.generation, k.planners, k.version = 0, 0, nil, 0
}

// leaseHeld reports whether no other instance can lead now.
func (k *controller) leaseHeld() bool {
	ctx, cancel := context.WithTimeout(k.c.ctx, tickInterval)
	defer cancel()
	held, err := k.c.replica.LeaseHeld(ctx)
	if err != nil {
		k.c.o.Logger.Warn("lease not confirmed", zap.Error(err))
	}
	return err == nil && held
}

// drawGeneration starts a generation that is higher than any before it.
func (k *controller) drawGeneration(term uint64) {
	if k.drawing {
		return
	}
	k.drawing = true
	go func() {
		generation, err := k.c.drawGeneration()
		k.c.o.System.Root.Send(k.c.controller, generationMessage{generation, term, err})
	}()
}

func (c *Control) drawGeneration() (uint64, error) {
	ctx, cancel := context.WithTimeout(c.ctx, changeTimeout)
	defer cancel()
	command, err := deploymentstate.EncodeStartGeneration()
	if err != nil {
		return 0, err
	}
	answer, err := c.replica.Propose(ctx, command)
	if err != nil {
		return 0, err
	}
	result, err := deploymentstate.DecodeResult(answer)
	return result.GetGeneration(), err
}

func (k *controller) generationDrawn(m generationMessage) {
	k.drawing = false
	if m.err != nil {
		k.c.o.Logger.Warn("no generation drawn", zap.Error(m.err))
		return
	}
	k.term, k.generation = m.term, m.generation
	k.c.o.Logger.Info("giving orders", zap.Uint64("generation", m.generation), zap.Uint64("term", m.term))
}

// refreshPlanners makes a planner for each service of engines. A planner is
// kept over changes of the catalog that leave its engine as it is.
func (k *controller) refreshPlanners(now time.Time) {
	version, document := k.c.machine.Catalog()
	if version == k.version || version == 0 {
		return
	}
	content, err := k.c.o.Decode(document)
	if err != nil {
		k.c.o.Logger.Error("catalog in force cannot be decoded", zap.Uint64("version", version), zap.Error(err))
		return
	}
	k.version = version
	kept := map[string]*placement.Planner{}
	for i := range content.Services {
		s := &content.Services[i]
		if s.Engine == nil || len(s.Engine.Models) == 0 {
			continue
		}
		kept[s.Name] = k.planner(now, s)
	}
	k.planners = kept
}

func (k *controller) planner(now time.Time, s *catalog.Service) *placement.Planner {
	if p := k.planners[s.Name]; p != nil {
		p.SetEngine(s.Engine)
		return p
	}
	return placement.New(placement.Config{Generation: k.generation, HeartbeatInterval: k.c.o.HeartbeatInterval,
		StallTime: k.c.o.StallTime, ColdStart: k.c.o.Bootstrap, Engine: s.Engine}, now)
}

func (k *controller) plan(now time.Time, service string, p *placement.Planner) {
	upstreams := k.c.upstreams(service)
	if len(upstreams) == 0 {
		return
	}
	if k.ready.IsZero() {
		k.ready = now.Add(firstReports)
	}
	p.Observe(now, upstreams)
	if now.Before(k.ready) {
		return
	}
	k.setWork(service, p)
	for _, o := range p.Plan(now) {
		k.dispatch(service, o)
	}
	const summaryInterval = 2 * time.Second
	if now.Sub(k.summary) >= summaryInterval {
		k.summary = now
		k.c.o.Logger.Info("groups", zap.String("service", service), zap.Any("stages", p.Summary()), zap.Any("held", p.Held(now)), zap.Any("free", p.Free(now)), zap.Any("work", k.work))
	}
}

// setWork tells a planner the offered work of each model in copies.
func (k *controller) setWork(service string, p *placement.Planner) {
	offered := k.c.offered(service)
	for _, m := range p.Models() {
		d := offered[m.Name]
		copies := 0.0
		if d.requests > 0 {
			prompt, answer := int(d.promptTokens/d.requests), int(d.answerTokens/d.requests)
			copies = d.requests * p.Work(m.Name, prompt, answer).Seconds()
		}
		before, known := k.work[m.Name]
		if known {
			copies = before + workSmoothing*(copies-before)
		}
		k.work[m.Name] = copies
		p.SetWork(m.Name, copies)
	}
}

// offered adds up what the entries reported for a service, by model.
func (c *Control) offered(service string) map[string]serviceDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := map[string]serviceDemand{}
	for _, s := range c.subscribers {
		for _, d := range s.demand {
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

// dispatch sends an order without waiting for its result.
func (k *controller) dispatch(service string, o placement.Order) {
	k.orders[o.Kind].Inc(1)
	generation := k.generation
	c := k.c
	c.done.Go(func() {
		timeout := orderTimeout
		if o.Kind == placement.Probe {
			timeout = probeTimeout
		}
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		started := time.Now()
		result, err := c.o.Orders.SendOrder(ctx, o)
		c.o.System.Root.Send(c.controller, doneMessage{generation, service, o, result, err, time.Since(started)})
	})
}

func (k *controller) finished(now time.Time, m doneMessage) {
	k.c.o.Logger.Info("order", zap.Stringer("kind", m.order.Kind), zap.String("upstream", m.order.Upstream), zap.String("group", m.order.Group),
		zap.Uint64("epoch", m.order.Epoch), zap.String("model", m.order.Model), zap.String("reason", m.order.Reason),
		zap.Stringer("result", m.result), zap.Duration("took", m.took), zap.Error(m.err))
	if p := k.planners[m.service]; p != nil && m.generation == k.generation {
		p.Done(now, m.order, m.result)
	}
}

func (k *controller) suspect(now time.Time, m stallMessage) {
	p := k.planners[m.service]
	if p == nil {
		return
	}
	k.c.o.Logger.Info("group suspected", zap.String("group", m.group), zap.Uint64("epoch", m.epoch), zap.String("peer", m.from))
	p.Suspect(now, m.group, m.epoch)
	k.tick(now)
}

// serveStall takes in an entry's evidence that a group stands still.
func (c *Control) serveStall(_ context.Context, from string, payload []byte) ([]byte, error) {
	var stall mesh.Stall
	if err := proto.Unmarshal(payload, &stall); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.At{Step: mesh.ChannelStall, Peer: from}, fault.NotRun)
	}
	c.o.System.Root.Send(c.controller, stallMessage{service: stall.Service, group: stall.Group, epoch: stall.Epoch, from: from})
	return nil, nil
}
