package group

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

const (
	step      = 250 * time.Millisecond
	testBound = 3*time.Second + 3*time.Millisecond
)

var model = membership.Model{Name: "rug-large", Version: "3"}

// engine is a model engine with the faults of one.
type engine struct {
	id, fabric  string
	fencing     bool
	incarnation uint64
	sequence    uint64
	state       membership.State
	inForce     membership.GroupRef
	pending     membership.GroupRef
	readyAt     time.Time
	fence       uint64
	newest      uint64 // of all orders executed
	stale       bool   // an older order was executed after a newer one
	loaded      bool
	running     bool
	resumeAt    time.Time // of a pause or restart
	restarts    bool      // the next resume is a new incarnation
	cut         map[string]bool
	slow        time.Duration // additional delay of its reports
	// held is the last time at which each membership was in force.
	held map[membership.GroupRef]time.Time
}

func (e *engine) order(o Order, now time.Time) {
	if !e.running || e.fencing && o.Epoch < e.fence {
		return
	}
	if o.Kind != OrderLoad {
		e.stale = e.stale || !e.fencing && o.Epoch < e.newest
		e.newest = max(e.newest, o.Epoch)
	}
	switch o.Kind {
	case OrderLoad:
		e.loaded = true
	case OrderRelease:
		e.fence = o.Epoch
		e.inForce, e.pending = membership.GroupRef{}, membership.GroupRef{}
	case OrderForm:
		e.fence = o.Epoch
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

func (e *engine) step(now time.Time) {
	if !e.running && !e.resumeAt.IsZero() && !now.Before(e.resumeAt) {
		e.running, e.resumeAt = true, time.Time{}
		if e.restarts {
			e.restarts = false
			e.incarnation++
			e.sequence, e.fence, e.loaded, e.state = 0, 0, false, membership.Ready
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
		e.held[e.inForce] = now
	}
}

// observer follows the engines' reports and a copy of the state.
type observer struct {
	registry *membership.Registry
	state    *State
}

type delivery struct {
	at   time.Time
	call func()
}

type world struct {
	rng      *rand.Rand
	now      time.Time
	engines  []*engine
	entries  []*observer
	leader   *observer
	log      *State
	term     uint64
	ctrl     *Controller
	old      *Controller // still believes to lead
	oldState *State
	transit  []delivery
	settings Settings
	seeded   bool // with the fault ignoreOrderBound
	refused  int
	found    []string
}

func newWorld(seed int64, fencing func(int) bool) *world {
	w := &world{rng: rand.New(rand.NewSource(seed)), now: time.Unix(1_700_000_000, 0), log: NewState()}
	for i := range 10 {
		w.engines = append(w.engines, &engine{
			id: fmt.Sprintf("i%d", i), fabric: fmt.Sprintf("f%d", i/5), fencing: fencing(i), incarnation: 1, state: membership.Ready,
			running: true, loaded: true, cut: map[string]bool{}, held: map[membership.GroupRef]time.Time{},
		})
	}
	observe := func(id string) *observer {
		return &observer{membership.New(membership.Config{ID: id, FailureDomain: "a"}, w.now), w.log.Clone()}
	}
	w.leader, w.entries = observe("leader"), []*observer{observe("e0"), observe("e1")}
	w.settings = Settings{Demands: []Demand{{Service: "rug-model", Model: model, Groups: 3, GroupSize: 2, WeightBytes: 1e9, DowntimeWeight: 5, StrandedWeight: 1}}, StoreRate: 1e9}
	w.elect()
	return w
}

// elect starts a controller with a new term; the one before believes to lead.
func (w *world) elect() {
	w.old, w.oldState = w.ctrl, w.log.Clone()
	w.term++
	w.ctrl = NewController(Config{FailureDomain: "a", HoldOff: 2 * time.Second, MaxHoldOff: 8 * time.Second, LoadSlack: 10 * time.Second, FabricWait: 10 * time.Second, DrainDeadline: 2 * time.Second}, w.term, w.now)
	w.ctrl.ignoreOrderBound = w.seeded
}

func (w *world) later(d time.Duration, call func()) {
	w.transit = append(w.transit, delivery{w.now.Add(d), call})
}

func (w *world) report(e *engine, to *observer, name string) {
	if e.cut[name] {
		return
	}
	a := membership.Announcement{
		ID: e.id, Incarnation: e.incarnation, FailureDomain: "a", FabricDomain: e.fabric, Kind: membership.ModelEngine,
		Features: membership.Features{Fencing: e.fencing}, Accelerators: 2, State: e.state, Services: []string{"rug-model"},
	}
	if e.loaded {
		a.Models = []membership.Model{model}
	}
	h := membership.Heartbeat{ID: e.id, Incarnation: e.incarnation, Sequence: e.sequence, State: e.state, InForce: e.inForce}
	sent := w.now
	w.later(e.slow+time.Duration(w.rng.Int63n(int64(400*time.Millisecond))), func() { to.registry.Probed(w.now, sent, a, h) })
}

func (w *world) sendOrders(orders []Order) {
	for _, o := range orders {
		copies := 1 + w.rng.Intn(2)
		for range copies {
			if w.rng.Intn(10) == 0 {
				continue
			}
			delay := time.Duration(w.rng.Int63n(int64(300 * time.Millisecond)))
			if w.rng.Intn(4) == 0 {
				delay = time.Duration(w.rng.Int63n(int64(DefaultOrderTimeout)))
			}
			w.later(delay, func() { w.engine(o.Instance).order(o, w.now) })
		}
	}
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (w *world) step(n int) {
	w.now = w.now.Add(step)
	var due []delivery
	w.transit = slices.DeleteFunc(w.transit, func(d delivery) bool {
		if d.at.After(w.now) {
			return false
		}
		due = append(due, d)
		return true
	})
	slices.SortStableFunc(due, func(a, b delivery) int { return a.at.Compare(b.at) })
	for _, d := range due {
		d.call()
	}
	for i, e := range w.engines {
		e.step(w.now)
		if e.running && (n+i)%4 == 0 {
			e.sequence++
			w.report(e, w.leader, "leader")
			w.report(e, w.entries[0], "e0")
			w.report(e, w.entries[1], "e1")
		}
	}
	w.leader.registry.Tick(w.now)
	for _, e := range w.entries {
		e.registry.Tick(w.now)
		if w.rng.Intn(4) == 0 {
			e.state = w.log.Clone()
		}
	}
	w.lead()
	w.check()
}

func (w *world) lead() {
	view := w.leader.registry.View()
	observed := Observe(view, "a", nil)
	if w.old != nil {
		for _, c := range w.old.Decide(w.now, w.oldState, observed, w.settings).Commands {
			if c.Term < w.term { // the log takes nothing of an old term
				w.refused++
			}
		}
	}
	d := w.ctrl.Decide(w.now, w.log.Clone(), observed, w.settings)
	w.sendOrders(d.Orders)
	for _, c := range d.Commands {
		g := w.log.Groups[c.Group]
		if g != nil && g.Phase == Serving && (c.Kind == Replace || c.Kind == Dissolve || c.Kind == Drain) && c.Gain <= 0 {
			if _, ok := g.Servable(view, w.now); ok {
				w.fail("%s of healthy group %s without gain", c.Kind, c.Group)
			}
		}
		w.log.Apply(c)
	}
}

func (w *world) fail(format string, args ...any) {
	w.found = append(w.found, fmt.Sprintf(format, args...))
}

// check compares the state and the entries' decisions with the engines.
func (w *world) check() {
	w.found = append(w.found, w.log.Check()...)
	for _, e := range w.engines {
		if e.stale {
			w.fail("instance %s executed an old order after a newer one", e.id)
			e.stale = false
		}
	}
	owner := map[string]string{}
	for n, e := range w.entries {
		for _, v := range e.state.Servable(e.registry.View(), w.now) {
			for rank, m := range v.Group.Members {
				if other, ok := owner[m.ID]; ok && other != v.Group.ID {
					w.fail("instance %s serves in %s and %s", m.ID, other, v.Group.ID)
				}
				owner[m.ID] = v.Group.ID
				ref := membership.GroupRef{Group: v.Group.ID, Epoch: v.Group.Epoch, Rank: rank}
				if age := w.now.Sub(w.engine(m.ID).held[ref]); age > testBound {
					w.fail("entry %d dispatches to %s, member %s was lost %v ago", n, v.Group.ID, m.ID, age)
				}
			}
		}
	}
}

// fault harms something at random.
func (w *world) fault() {
	e := w.engines[w.rng.Intn(len(w.engines))]
	length := time.Duration(w.rng.Int63n(int64(12 * time.Second)))
	switch w.rng.Intn(9) {
	case 0, 1:
		e.running, e.restarts, e.resumeAt = false, true, w.now.Add(length)
	case 2, 3:
		e.running, e.resumeAt = false, w.now.Add(length)
	case 4:
		e.slow = time.Duration(w.rng.Int63n(int64(4 * time.Second)))
	case 5:
		name := []string{"leader", "e0", "e1"}[w.rng.Intn(3)]
		e.cut[name] = !e.cut[name]
	case 6:
		e.state = []membership.State{membership.Draining, membership.Ready, membership.Leaving}[w.rng.Intn(3)]
	case 7:
		w.elect()
	case 8:
		for _, o := range w.engines {
			if o.fabric == e.fabric {
				o.running, o.resumeAt = false, w.now.Add(length)
			}
		}
	}
}

// heal ends every fault.
func (w *world) heal() {
	for _, e := range w.engines {
		e.cut, e.slow = map[string]bool{}, 0
		if !e.running {
			e.resumeAt = w.now
		}
		if e.state != membership.Ready {
			e.running, e.restarts, e.resumeAt = false, true, w.now.Add(time.Second)
		}
	}
}

func (w *world) servable() int {
	least := len(w.log.Groups)
	for _, e := range w.entries {
		least = min(least, len(e.state.Servable(e.registry.View(), w.now)))
	}
	return least
}
