package group

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	simulationStep = 250 * time.Millisecond
	dispatchBound  = 3*time.Second + 3*time.Millisecond
)

var testModel = membership.Model{Name: "rug-large", Version: "3"}

// simulatedEngine is a model engine that can crash, restart, pause, report late
// and lose its connection to single observers.
type simulatedEngine struct {
	id, fabric     string
	fencing        bool
	incarnation    uint64
	sequence       uint64
	state          membership.State
	inForce        membership.GroupRef
	pending        membership.GroupRef
	readyAt        time.Time
	minEpoch       uint64
	newestExecuted uint64 // highest epoch among the executed orders
	executedStale  bool   // an older order was executed after a newer one
	loaded         bool
	running        bool
	resumeAt       time.Time       // end of a pause or crash
	restarts       bool            // resumes as a new incarnation
	unreachable    map[string]bool // observers that receive no reports
	reportDelay    time.Duration   // additional delay of its reports
	// lastInForce is the last time at which each assignment was in force.
	lastInForce map[membership.GroupRef]time.Time
}

func (e *simulatedEngine) execute(o Order, now time.Time) {
	if !e.running || e.fencing && o.Epoch < e.minEpoch {
		return
	}
	if o.Kind != OrderLoad {
		e.executedStale = e.executedStale || !e.fencing && o.Epoch < e.newestExecuted
		e.newestExecuted = max(e.newestExecuted, o.Epoch)
	}
	switch o.Kind {
	case OrderLoad:
		e.loaded = true
	case OrderRelease:
		e.minEpoch = o.Epoch
		e.inForce, e.pending = membership.GroupRef{}, membership.GroupRef{}
	case OrderForm:
		e.minEpoch = o.Epoch
		ref := membership.GroupRef{Group: o.Group, Epoch: o.Epoch, Rank: o.Rank}
		if e.inForce == ref || e.pending == ref {
			return
		}
		e.inForce, e.pending, e.readyAt = membership.GroupRef{}, ref, now.Add(time.Second)
		if !e.loaded {
			e.readyAt = now.Add(4 * time.Second)
		}
	}
}

func (e *simulatedEngine) step(now time.Time) {
	if !e.running && !e.resumeAt.IsZero() && !now.Before(e.resumeAt) {
		e.running, e.resumeAt = true, time.Time{}
		if e.restarts {
			e.restarts = false
			e.incarnation++
			e.sequence, e.minEpoch, e.loaded, e.state = 0, 0, false, membership.Ready
			e.inForce, e.pending = membership.GroupRef{}, membership.GroupRef{}
		}
	}
	if !e.running {
		return
	}
	if e.pending.Group != "" && !now.Before(e.readyAt) {
		e.inForce, e.pending, e.loaded = e.pending, membership.GroupRef{}, true
	}
	if e.inForce.Group != "" {
		e.lastInForce[e.inForce] = now
	}
}

// observer is an entry or the leader, with its view of the engines' reports and
// a copy of the state.
type observer struct {
	registry *membership.Registry
	state    *State
}

type scheduledCall struct {
	at   time.Time
	call func()
}

// simulation runs the controller of one failure domain with engines, entries,
// and a log that applies every command at once.
type simulation struct {
	rng           *rand.Rand
	now           time.Time
	engines       []*simulatedEngine
	entries       []*observer
	leader        *observer
	log           *State
	term          uint64
	controller    *Controller
	oldController *Controller // of the previous term, still running
	oldState      *State
	inTransit     []scheduledCall
	settings      Settings
	skipOrderWait bool // set on each controller
	rejected      int
	violations    []string
}

func newSimulation(seed int64, fencing func(int) bool) *simulation {
	sim := &simulation{rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), log: NewState()}
	for i := range 10 {
		sim.engines = append(sim.engines, &simulatedEngine{
			id: fmt.Sprintf("i%d", i), fabric: fmt.Sprintf("f%d", i/5), fencing: fencing(i), incarnation: 1, state: membership.Ready,
			running: true, loaded: true, unreachable: map[string]bool{}, lastInForce: map[membership.GroupRef]time.Time{},
		})
	}
	newObserver := func(id string) *observer {
		return &observer{membership.New(membership.Config{ID: id, FailureDomain: "a"}, sim.now), sim.log.Clone()}
	}
	sim.leader, sim.entries = newObserver("leader"), []*observer{newObserver("e0"), newObserver("e1")}
	sim.settings = Settings{Demands: []Demand{{Service: "rug-model", Model: testModel, Groups: 3, GroupSize: 2, WeightBytes: 1e9, DowntimeWeight: 5, StrandedWeight: 1}}, StoreRate: 1e9}
	sim.startTerm()
	return sim
}

// startTerm starts a controller with a new term. The previous controller keeps
// running as a leader that has not noticed its replacement.
func (sim *simulation) startTerm() {
	sim.oldController, sim.oldState = sim.controller, sim.log.Clone()
	sim.term++
	sim.controller = NewController(Config{FailureDomain: "a", HoldOff: 2 * time.Second, MaxHoldOff: 8 * time.Second, LoadSlack: 10 * time.Second, FabricWait: 10 * time.Second, DrainDeadline: 2 * time.Second}, sim.term, sim.now)
	sim.controller.skipOrderWait = sim.skipOrderWait
}

func (sim *simulation) schedule(d time.Duration, call func()) {
	sim.inTransit = append(sim.inTransit, scheduledCall{sim.now.Add(d), call})
}

func (sim *simulation) report(e *simulatedEngine, to *observer, name string) {
	if e.unreachable[name] {
		return
	}
	a := membership.Announcement{
		ID: e.id, Incarnation: e.incarnation, FailureDomain: "a", FabricDomain: e.fabric, Kind: membership.ModelEngine,
		Features: membership.Features{Fencing: e.fencing}, Accelerators: 2, State: e.state, Services: []string{"rug-model"},
	}
	if e.loaded {
		a.Models = []membership.Model{testModel}
	}
	h := membership.Heartbeat{ID: e.id, Incarnation: e.incarnation, Sequence: e.sequence, State: e.state, InForce: e.inForce}
	sent := sim.now
	sim.schedule(e.reportDelay+time.Duration(sim.rng.Int63n(int64(400*time.Millisecond))), func() { to.registry.RecordProbe(sim.now, sent, a, h) })
}

func (sim *simulation) sendOrders(orders []Order) {
	for _, o := range orders {
		copies := 1 + sim.rng.Intn(2)
		for range copies {
			if sim.rng.Intn(10) == 0 {
				continue
			}
			delay := time.Duration(sim.rng.Int63n(int64(300 * time.Millisecond)))
			if sim.rng.Intn(4) == 0 {
				delay = time.Duration(sim.rng.Int63n(int64(DefaultOrderTimeout)))
			}
			sim.schedule(delay, func() { sim.engine(o.Instance).execute(o, sim.now) })
		}
	}
}

func (sim *simulation) engine(id string) *simulatedEngine {
	for _, e := range sim.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (sim *simulation) step(n int) {
	sim.now = sim.now.Add(simulationStep)
	var due []scheduledCall
	sim.inTransit = slices.DeleteFunc(sim.inTransit, func(d scheduledCall) bool {
		if d.at.After(sim.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	slices.SortStableFunc(due, func(a, b scheduledCall) int { return a.at.Compare(b.at) })
	for _, d := range due {
		d.call()
	}
	for i, e := range sim.engines {
		e.step(sim.now)
		if e.running && (n+i)%4 == 0 {
			e.sequence++
			sim.report(e, sim.leader, "leader")
			sim.report(e, sim.entries[0], "e0")
			sim.report(e, sim.entries[1], "e1")
		}
	}
	sim.leader.registry.Tick(sim.now)
	for _, e := range sim.entries {
		e.registry.Tick(sim.now)
		if sim.rng.Intn(4) == 0 {
			e.state = sim.log.Clone()
		}
	}
	sim.runLeader()
	sim.checkInvariants()
}

func (sim *simulation) runLeader() {
	view := sim.leader.registry.View()
	observed := Observe(view, "a", nil)
	if sim.oldController != nil {
		for _, c := range sim.oldController.Decide(sim.now, sim.oldState, observed, sim.settings).Commands {
			if c.Term < sim.term { // the log rejects commands of older terms
				sim.rejected++
			}
		}
	}
	d := sim.controller.Decide(sim.now, sim.log.Clone(), observed, sim.settings)
	sim.sendOrders(d.Orders)
	for _, c := range d.Commands {
		g := sim.log.Groups[c.Group]
		if g != nil && g.Phase == Serving && (c.Kind == Replace || c.Kind == Dissolve || c.Kind == Drain) && c.Gain <= 0 {
			if _, ok := g.Servable(view, sim.now); ok {
				sim.recordViolation("%s of healthy group %s without positive gain", c.Kind, c.Group)
			}
		}
		sim.log.Apply(c)
	}
}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// checkInvariants compares the state and the entries' serving decisions with
// the engines.
func (sim *simulation) checkInvariants() {
	sim.violations = append(sim.violations, sim.log.Check()...)
	for _, e := range sim.engines {
		if e.executedStale {
			sim.recordViolation("instance %s executed an old order after a newer one", e.id)
			e.executedStale = false
		}
	}
	owner := map[string]string{}
	for n, e := range sim.entries {
		for _, v := range e.state.Servable(e.registry.View(), sim.now) {
			for rank, m := range v.Group.Members {
				if other, ok := owner[m.ID]; ok && other != v.Group.ID {
					sim.recordViolation("instance %s is servable in groups %s and %s", m.ID, other, v.Group.ID)
				}
				owner[m.ID] = v.Group.ID
				ref := membership.GroupRef{Group: v.Group.ID, Epoch: v.Group.Epoch, Rank: rank}
				if age := sim.now.Sub(sim.engine(m.ID).lastInForce[ref]); age > dispatchBound {
					sim.recordViolation("entry %d dispatches to group %s, but the assignment of member %s was last in force %v ago", n, v.Group.ID, m.ID, age)
				}
			}
		}
	}
}

// injectFault injects a random fault.
func (sim *simulation) injectFault() {
	e := sim.engines[sim.rng.Intn(len(sim.engines))]
	length := time.Duration(sim.rng.Int63n(int64(12 * time.Second)))
	switch sim.rng.Intn(9) {
	case 0, 1:
		e.running, e.restarts, e.resumeAt = false, true, sim.now.Add(length)
	case 2, 3:
		e.running, e.resumeAt = false, sim.now.Add(length)
	case 4:
		e.reportDelay = time.Duration(sim.rng.Int63n(int64(4 * time.Second)))
	case 5:
		name := []string{"leader", "e0", "e1"}[sim.rng.Intn(3)]
		e.unreachable[name] = !e.unreachable[name]
	case 6:
		e.state = []membership.State{membership.Draining, membership.Ready, membership.Leaving}[sim.rng.Intn(3)]
	case 7:
		sim.startTerm()
	case 8:
		for _, o := range sim.engines {
			if o.fabric == e.fabric {
				o.running, o.resumeAt = false, sim.now.Add(length)
			}
		}
	}
}

// clearFaults ends all faults.
func (sim *simulation) clearFaults() {
	for _, e := range sim.engines {
		e.unreachable, e.reportDelay = map[string]bool{}, 0
		if !e.running {
			e.resumeAt = sim.now
		}
		if e.state != membership.Ready {
			e.running, e.restarts, e.resumeAt = false, true, sim.now.Add(time.Second)
		}
	}
}

// servableGroups returns the smallest number of servable groups at any entry.
func (sim *simulation) servableGroups() int {
	least := len(sim.log.Groups)
	for _, e := range sim.entries {
		least = min(least, len(e.state.Servable(e.registry.View(), sim.now)))
	}
	return least
}
