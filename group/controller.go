package group

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Config holds the bounds of a controller. Zero values mean the defaults.
type Config struct {
	FailureDomain string
	// AgeBound is the age from which a report confirms nothing.
	AgeBound time.Duration
	// OrderTimeout bounds the time from the sending of an order to its arrival.
	OrderTimeout time.Duration
	// ClockDrift bounds the relative rate difference of any two clocks.
	ClockDrift float64
	// StartTime is the usual time from a form order to the report that it is in
	// force when the weights are loaded.
	StartTime time.Duration
	// LoadSlack is the time beyond the expected load time after which a member
	// that does not come into force is replaced.
	LoadSlack time.Duration
	// FabricWait is the time after which groups of a dark fabric domain are
	// replaced elsewhere.
	FabricWait time.Duration
	// DrainDeadline limits the drain of a group.
	DrainDeadline time.Duration
	// HoldOff makes an instance the last choice after its second loss; it
	// doubles with each further one up to MaxHoldOff.
	HoldOff, MaxHoldOff time.Duration
	// ForgetAfter removes instances that stay away.
	ForgetAfter time.Duration
	// NoPreload stops the loading of weights onto spares ahead of need.
	NoPreload bool
}

// Defaults of Config.
const (
	DefaultAgeBound      = 3 * time.Second
	DefaultOrderTimeout  = 5 * time.Second
	DefaultClockDrift    = 0.001
	DefaultStartTime     = 5 * time.Second
	DefaultLoadSlack     = time.Minute
	DefaultFabricWait    = time.Minute
	DefaultDrainDeadline = 30 * time.Second
	DefaultHoldOff       = time.Minute
	DefaultMaxHoldOff    = time.Hour
	DefaultForgetAfter   = time.Hour
)

const (
	// neverReturns is the length of an absence that ended by a restart.
	neverReturns = time.Duration(1 << 62)
	maxHistory   = 200
	// minDark is the least number of absent instances in a dark fabric domain.
	minDark = 3
	// orderPause is the time between two sendings of one order.
	orderPause = 5 * time.Second
	// idlePause and busyPause are the times to the next decision.
	idlePause = 30 * time.Second
	busyPause = time.Second
)

// Demand is the wish for groups of one model, adapter and version.
type Demand struct {
	Service   string
	Model     membership.Model
	Groups    int
	GroupSize int
	// WeightBytes is what one instance loads from the weight store.
	WeightBytes float64
	// DowntimeWeight is the cost of a group-second without service and
	// StrandedWeight that of an accelerator-second out of use.
	DowntimeWeight, StrandedWeight float64
	// Patience is the longest absence of a member that is waited out, 0 for no
	// bound other than the expected cost.
	Patience time.Duration
}

// Settings are the rules in force.
type Settings struct {
	Demands []Demand
	// StoreRate is the failure domain's fixed share of the weight store's rate,
	// in bytes per second; 0 means unlimited.
	StoreRate float64
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	OrderForm    OrderKind = "form"
	OrderRelease OrderKind = "release"
	// OrderLoad loads weights onto a free instance ahead of need. An engine
	// that refuses it loses nothing but time.
	OrderLoad OrderKind = "load"
)

// Order is an order to send to an engine at once. Its request must be given up
// after the order timeout, since the controller counts on that bound.
type Order struct {
	// ID is the same for each sending of one order.
	ID          string
	Kind        OrderKind
	Instance    string
	Incarnation uint64
	Address     string
	Group       string
	Epoch       uint64
	Rank        int
	Members     []Member
	Model       membership.Model
}

// Decision is what a controller wants done.
type Decision struct {
	Commands []Command
	Orders   []Order
	// Next is the time by which Decide should be called again, earlier when an
	// observation changes or a command is applied.
	Next time.Time
}

// Controller makes the decisions of a domain log's leader. Create one when
// leadership begins and drop it when it ends: it counts the bound of orders
// that an earlier leader may have sent from its own start.
type Controller struct {
	cfg     Config
	term    uint64
	started time.Time

	obs       map[string]*Observation
	sortedIDs []string
	seen      map[string]*sighting
	history   []time.Duration
	darkSince map[string]time.Time
	orders    map[string]sentOrder
	epochSeen map[string]epochMark
	busyUntil time.Time            // of the weight store
	loadedAt  map[string]time.Time // last load order to each spare
	accounts  accounts

	// These belong to one decision.
	now      time.Time
	state    *State
	settings Settings
	out      Decision
	pool     map[string][]*Observation
	wants    []want
	stuck    []broken
	unwell   map[string]Cause

	// ignoreOrderBound skips the wait for engines that ignore fencing numbers;
	// tests set it to show that they notice.
	ignoreOrderBound bool
}

type sentOrder struct {
	id    string
	epoch uint64
	at    time.Time
}

type epochMark struct {
	epoch uint64
	at    time.Time
}

// NewController returns the controller of a leader whose term begins now.
func NewController(cfg Config, term uint64, now time.Time) *Controller {
	return &Controller{
		cfg: cfg.withDefaults(), term: term, started: now,
		obs: map[string]*Observation{}, seen: map[string]*sighting{}, darkSince: map[string]time.Time{},
		orders: map[string]sentOrder{}, epochSeen: map[string]epochMark{}, accounts: accounts{},
		loadedAt: map[string]time.Time{}, history: slices.Clone(priorAbsences),
	}
}

func (c Config) withDefaults() Config {
	set := func(d *time.Duration, def time.Duration) {
		if *d == 0 {
			*d = def
		}
	}
	set(&c.AgeBound, DefaultAgeBound)
	set(&c.OrderTimeout, DefaultOrderTimeout)
	set(&c.StartTime, DefaultStartTime)
	set(&c.LoadSlack, DefaultLoadSlack)
	set(&c.FabricWait, DefaultFabricWait)
	set(&c.DrainDeadline, DefaultDrainDeadline)
	set(&c.HoldOff, DefaultHoldOff)
	set(&c.MaxHoldOff, DefaultMaxHoldOff)
	set(&c.ForgetAfter, DefaultForgetAfter)
	if c.ClockDrift == 0 {
		c.ClockDrift = DefaultClockDrift
	}
	return c
}

// Decide takes the committed state, the observations by id, and the settings.
// Orders follow from committed intents only.
func (c *Controller) Decide(now time.Time, s *State, observed []Observation, settings Settings) Decision {
	before := c.now
	c.now, c.state, c.settings = now, s, settings
	c.out = Decision{Next: now.Add(idlePause)}
	c.pool, c.wants, c.stuck, c.unwell = map[string][]*Observation{}, nil, nil, map[string]Cause{}
	c.look(now, observed)
	c.lookFabrics(now, s)
	c.releaseInstances()
	c.fillPool()
	for _, g := range s.sorted() {
		c.stepGroup(g)
	}
	c.planDemand()
	c.grant()
	c.resolveStuck()
	c.preload()
	c.account(before)
	c.prune()
	return c.out
}

// prune drops the memory of groups and instances that no longer exist. Orders
// are kept until their bound is long past.
func (c *Controller) prune() {
	for key := range c.epochSeen {
		id, _, _ := strings.Cut(key, "\x00")
		if c.state.Groups[id] == nil {
			delete(c.epochSeen, key)
		}
	}
	for id, o := range c.orders {
		if c.state.Instances[id] == nil && c.now.Sub(o.at) > 10*c.cfg.OrderTimeout {
			delete(c.orders, id)
		}
	}
	for id, at := range c.loadedAt {
		if c.now.Sub(at) > preloadPause {
			delete(c.loadedAt, id)
		}
	}
}

func (c *Controller) propose(cmd Command) {
	cmd.Term, cmd.At = c.term, c.now.UnixMilli()
	c.out.Commands = append(c.out.Commands, cmd)
	c.again(busyPause)
}

// again asks for another decision after the time given at the latest.
func (c *Controller) again(d time.Duration) {
	if at := c.now.Add(d); at.Before(c.out.Next) {
		c.out.Next = at
	}
}

// send sends an order unless it was sent a moment ago.
func (c *Controller) send(o Order) {
	last, ok := c.orders[o.Instance]
	c.again(busyPause)
	if ok && last.id == o.ID && c.now.Sub(last.at) < orderPause {
		return
	}
	c.orders[o.Instance] = sentOrder{id: o.ID, epoch: o.Epoch, at: c.now}
	c.out.Orders = append(c.out.Orders, o)
}

// widen lengthens a bound by the clock drift.
func (c *Controller) widen(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.cfg.ClockDrift)
}

// quietFrom returns the time from which no earlier order to the instance can
// arrive, from this leader or from one before it.
func (c *Controller) quietFrom(id string) time.Time {
	if c.ignoreOrderBound {
		return c.started
	}
	last := c.started
	if o, ok := c.orders[id]; ok && o.at.After(last) {
		last = o.at
	}
	return last.Add(c.widen(c.cfg.OrderTimeout))
}

// observedFree reports whether the instance is free as far as every entry and
// every order on its way are concerned.
func (c *Controller) observedFree(o *Observation) bool {
	s := c.seen[o.ID]
	if !c.fresh(o, c.now) || o.InForce.Group != "" || s == nil {
		return false
	}
	// Entries hold reports of its last group for the age bound.
	if c.now.Sub(s.freeSince) < c.widen(c.cfg.AgeBound) && c.state.Instances[o.ID] != nil {
		return false
	}
	return o.Fencing || c.state.Instances[o.ID] == nil && c.orders[o.ID].epoch == 0 || o.ReportedAt.After(c.quietFrom(o.ID))
}

// releaseInstances sends release orders, and notes instances as free.
func (c *Controller) releaseInstances() {
	var outside []*Instance
	for _, i := range c.state.Instances {
		if i.Group == "" {
			outside = append(outside, i)
		}
	}
	slices.SortFunc(outside, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	for _, i := range outside {
		id, o := i.ID, c.obs[i.ID]
		if !c.fresh(o, c.now) {
			c.forgetAbsent(i)
			continue
		}
		if !i.Releasing || o.Incarnation < i.Incarnation {
			continue
		}
		c.again(busyPause)
		told := c.orders[id].epoch >= i.Epoch
		restarted := o.Incarnation > i.Incarnation
		switch {
		case (o.InForce.Group != "" || !told && !restarted) && !told && !o.Fencing && c.now.Before(c.quietFrom(id)):
			// An earlier form order could still arrive after the release.
		case o.InForce.Group != "" || !told && !restarted:
			c.send(Order{
				ID: orderID(OrderRelease, id, i.Epoch), Kind: OrderRelease, Instance: id, Incarnation: o.Incarnation,
				Address: o.Address, Epoch: i.Epoch,
			})
		case c.observedFree(o):
			c.propose(Command{Kind: Free, Epoch: i.Epoch, Instance: o.candidate()})
		}
	}
}

// forgetAbsent removes an instance that has stayed away.
func (c *Controller) forgetAbsent(i *Instance) {
	last := c.started
	if s := c.seen[i.ID]; s != nil && s.at.After(last) {
		last = s.at
	}
	if c.now.Sub(last) >= c.cfg.ForgetAfter {
		c.propose(Command{Kind: Forget, Epoch: i.Epoch, Instance: Candidate{ID: i.ID}})
	}
}

// fillPool collects the instances that may join a group, and reclaims those
// that report a group they are not in.
func (c *Controller) fillPool() {
	for _, id := range c.sortedIDs {
		o, i := c.obs[id], c.state.Instances[id]
		if !c.fresh(o, c.now) || i != nil && (i.Group != "" || i.Releasing) {
			continue
		}
		if o.InForce.Group != "" {
			c.propose(Command{Kind: Reclaim, Instance: o.candidate(), Cause: CauseConflict})
			continue
		}
		if o.State != membership.Ready || o.Slowdown > 0 || i != nil && o.Incarnation < i.Incarnation {
			continue
		}
		if !c.observedFree(o) {
			c.again(busyPause)
			continue
		}
		c.pool[o.FabricDomain] = append(c.pool[o.FabricDomain], o)
	}
}

// heldOff reports whether an instance was lost too often lately. It is taken
// only when there is no other: a group that breaks again every few minutes
// still serves more than one that waits.
func (c *Controller) heldOff(i *Instance) bool {
	if i == nil {
		return false
	}
	n := decayedLosses(i, c.now.UnixMilli())
	if n < 2 {
		return false
	}
	wait := min(c.cfg.HoldOff<<min(n-2, 20), c.cfg.MaxHoldOff)
	return c.now.UnixMilli()-i.LostAt < wait.Milliseconds()
}

// take removes the instances from the pool.
func (c *Controller) take(fabric string, chosen []*Observation) {
	c.pool[fabric] = slices.DeleteFunc(slices.Clone(c.pool[fabric]), func(o *Observation) bool {
		return slices.Contains(chosen, o)
	})
}

func orderID(kind OrderKind, instance string, epoch uint64) string {
	return fmt.Sprintf("%s/%s/%d", kind, instance, epoch)
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
