package group

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bluebellfield/bluebellfield/membership"
)

// Config holds the time limits of a Controller. Zero values select the defaults.
type Config struct {
	FailureDomain string
	// AgeBound is the age at which a report expires.
	AgeBound time.Duration
	// OrderTimeout is the maximum time between sending an order and its arrival.
	OrderTimeout time.Duration
	// ClockDrift is the maximum relative difference in rate between two clocks.
	ClockDrift float64
	// StartTime is the expected time from a form order to the report that it is
	// in force, on an engine that has the weights.
	StartTime time.Duration
	// LoadSlack is added to the expected load time. A member whose order is not
	// in force by then is replaced.
	LoadSlack time.Duration
	// FabricWait is the duration of a fabric outage after which its groups are
	// replaced in other fabric domains.
	FabricWait time.Duration
	// DrainDeadline limits the duration of a drain.
	DrainDeadline time.Duration
	// HoldOff is the time for which an instance is selected only as a last resort
	// after its second loss. It doubles with each further loss, up to MaxHoldOff.
	HoldOff, MaxHoldOff time.Duration
	// ForgetAfter is the time without a report after which an instance that is in
	// no group is removed from the log.
	ForgetAfter time.Duration
	// DisablePreload disables loading weights onto spares ahead of need.
	DisablePreload bool
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
	// neverReturned is the recorded length of an absence that ended in a restart.
	neverReturned = time.Duration(1 << 62)
	// maxAbsences is the length of the history of absences.
	maxAbsences = 200
	// minFabricAbsences is the minimum number of absent instances in a fabric
	// outage.
	minFabricAbsences = 3
	// orderRetryInterval is the time between two transmissions of one order.
	orderRetryInterval = 5 * time.Second
	// maxDecisionInterval is the time to the next decision when no work is
	// pending, and minDecisionInterval when some is.
	maxDecisionInterval = 30 * time.Second
	minDecisionInterval = time.Second
)

// Demand is the desired number of groups for one service and model.
type Demand struct {
	Service   string
	Model     membership.Model
	Groups    int
	GroupSize int
	// WeightBytes is the number of bytes that one instance loads from the weight
	// store.
	WeightBytes float64
	// DowntimeWeight is the cost of one group-second without service and
	// StrandedWeight that of one accelerator-second out of use.
	DowntimeWeight, StrandedWeight float64
	// Patience is the longest absence of a member before it is replaced. With 0,
	// only the expected cost decides.
	Patience time.Duration
}

// Settings are the operator's settings that the controller follows.
type Settings struct {
	Demands []Demand
	// StoreRate is the failure domain's fixed share of the weight store's
	// throughput in bytes per second. 0 means unlimited.
	StoreRate float64
}

// OrderKind selects what an Order asks of an engine.
type OrderKind string

// Values of OrderKind.
const (
	OrderForm    OrderKind = "form"
	OrderRelease OrderKind = "release"
	// OrderLoad loads weights onto a free instance ahead of need. Engines may
	// reject it; the weights are then loaded when a group is formed.
	OrderLoad OrderKind = "load"
)

// Order is a request to an engine that is to be sent at once. The sender must
// abort it after Config.OrderTimeout: the controller assumes that no order
// arrives later.
type Order struct {
	// ID is the same for all transmissions of one order.
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

// Decision is the output of Controller.Decide.
type Decision struct {
	Commands []Command
	Orders   []Order
	// Next is the latest time for the next call of Decide. It should be called
	// earlier when an observation changes or a command is applied.
	Next time.Time
}

// Controller decides on group changes for the leader of a failure domain's log.
// Each term of leadership needs a new Controller: it assumes that an earlier
// leader may have sent orders until the Controller was created.
type Controller struct {
	cfg     Config
	term    uint64
	started time.Time

	observations    map[string]*Observation
	observedIDs     []string
	records         map[string]*instanceRecord
	absences        []time.Duration
	fabricDownSince map[string]time.Time
	lastOrders      map[string]sentOrder
	epochTimers     map[string]epochTimer
	storeBusyUntil  time.Time
	preloadedAt     map[string]time.Time // last load order to each spare
	lostTime        lostTimes

	// The fields below are set by each call of Decide.
	now          time.Time
	state        *State
	settings     Settings
	out          Decision
	pool         map[string][]*Observation
	changes      []storeChange
	unrepairable []brokenGroup
	causes       map[string]Cause

	// skipOrderWait disables the wait for earlier orders to expire on engines that
	// ignore fencing numbers. Tests set it to check that they detect the resulting
	// fault.
	skipOrderWait bool
}

// sentOrder is the last order sent to an instance.
type sentOrder struct {
	id     string
	epoch  uint64
	sentAt time.Time
}

// epochTimer measures the time since an event in one epoch of a group.
type epochTimer struct {
	epoch     uint64
	startedAt time.Time
}

// NewController returns a Controller for a leader whose term begins at now.
func NewController(cfg Config, term uint64, now time.Time) *Controller {
	return &Controller{
		cfg: cfg.withDefaults(), term: term, started: now,
		observations: map[string]*Observation{}, records: map[string]*instanceRecord{}, fabricDownSince: map[string]time.Time{},
		lastOrders: map[string]sentOrder{}, epochTimers: map[string]epochTimer{}, lostTime: lostTimes{},
		preloadedAt: map[string]time.Time{}, absences: slices.Clone(priorAbsences),
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

// Decide returns the commands to propose and the orders to send, given the
// committed state, the observations sorted by id, and the settings. Orders
// carry out committed state only, never commands that are still proposals.
func (c *Controller) Decide(now time.Time, s *State, observed []Observation, settings Settings) Decision {
	previous := c.now
	c.now, c.state, c.settings = now, s, settings
	c.out = Decision{Next: now.Add(maxDecisionInterval)}
	c.pool, c.changes, c.unrepairable, c.causes = map[string][]*Observation{}, nil, nil, map[string]Cause{}
	c.recordObservations(now, observed)
	c.detectFabricOutages(now, s)
	c.releaseInstances()
	c.collectSpares()
	for _, g := range s.sortedGroups() {
		c.reconcileGroup(g)
	}
	c.reconcileDemand()
	c.scheduleChanges()
	c.resolveUnrepairable()
	c.preload()
	c.accountLostTime(previous)
	c.prune()
	return c.out
}

// prune deletes what is kept for groups and instances that no longer exist.
// Orders are kept until they have certainly expired.
func (c *Controller) prune() {
	for key := range c.epochTimers {
		id, _, _ := strings.Cut(key, "\x00")
		if c.state.Groups[id] == nil {
			delete(c.epochTimers, key)
		}
	}
	for id, o := range c.lastOrders {
		if c.state.Instances[id] == nil && c.now.Sub(o.sentAt) > 10*c.cfg.OrderTimeout {
			delete(c.lastOrders, id)
		}
	}
	for id, at := range c.preloadedAt {
		if c.now.Sub(at) > preloadInterval {
			delete(c.preloadedAt, id)
		}
	}
}

func (c *Controller) propose(cmd Command) {
	cmd.Term, cmd.At = c.term, c.now.UnixMilli()
	c.out.Commands = append(c.out.Commands, cmd)
	c.decideWithin(minDecisionInterval)
}

// decideWithin schedules the next decision no later than d from now.
func (c *Controller) decideWithin(d time.Duration) {
	if at := c.now.Add(d); at.Before(c.out.Next) {
		c.out.Next = at
	}
}

// send adds an order to the decision unless it was sent within the last
// orderRetryInterval.
func (c *Controller) send(o Order) {
	last, ok := c.lastOrders[o.Instance]
	c.decideWithin(minDecisionInterval)
	if ok && last.id == o.ID && c.now.Sub(last.sentAt) < orderRetryInterval {
		return
	}
	c.lastOrders[o.Instance] = sentOrder{id: o.ID, epoch: o.Epoch, sentAt: c.now}
	c.out.Orders = append(c.out.Orders, o)
}

// addDrift returns d extended by the maximum clock drift.
func (c *Controller) addDrift(d time.Duration) time.Duration {
	return d + time.Duration(float64(d)*c.cfg.ClockDrift)
}

// ordersExpiredAt returns the time after which no order that this or an earlier
// leader has sent to the instance can still arrive.
func (c *Controller) ordersExpiredAt(id string) time.Time {
	if c.skipOrderWait {
		return c.started
	}
	last := c.started
	if o, ok := c.lastOrders[id]; ok && o.sentAt.After(last) {
		last = o.sentAt
	}
	return last.Add(c.addDrift(c.cfg.OrderTimeout))
}

// observedFree reports whether the instance is free: it reports no group, no
// entry can still dispatch to it as a member of its last group, and no order to
// it is in transit or its engine rejects old orders.
func (c *Controller) observedFree(o *Observation) bool {
	record := c.records[o.ID]
	if !c.fresh(o, c.now) || o.InForce.Group != "" || record == nil {
		return false
	}
	// Entries may use reports of its last group until the age bound.
	if c.now.Sub(record.freeSince) < c.addDrift(c.cfg.AgeBound) && c.state.Instances[o.ID] != nil {
		return false
	}
	return o.Fencing || c.state.Instances[o.ID] == nil && c.lastOrders[o.ID].epoch == 0 || o.ReportedAt.After(c.ordersExpiredAt(o.ID))
}

// releaseInstances sends release orders to instances that are being released
// and proposes Free for those that are observed free. It also proposes Forget
// for absent instances that are in no group.
func (c *Controller) releaseInstances() {
	var ungrouped []*Instance
	for _, i := range c.state.Instances {
		if i.Group == "" {
			ungrouped = append(ungrouped, i)
		}
	}
	slices.SortFunc(ungrouped, func(a, b *Instance) int { return strings.Compare(a.ID, b.ID) })
	for _, i := range ungrouped {
		id, o := i.ID, c.observations[i.ID]
		if !c.fresh(o, c.now) {
			c.forgetAbsent(i)
			continue
		}
		if !i.Releasing || o.Incarnation < i.Incarnation {
			continue
		}
		c.decideWithin(minDecisionInterval)
		releaseSent := c.lastOrders[id].epoch >= i.Epoch
		restarted := o.Incarnation > i.Incarnation
		switch {
		case (o.InForce.Group != "" || !releaseSent && !restarted) && !releaseSent && !o.Fencing && c.now.Before(c.ordersExpiredAt(id)):
			// An earlier form order could still arrive after the release.
		case o.InForce.Group != "" || !releaseSent && !restarted:
			c.send(Order{
				ID: orderID(OrderRelease, id, i.Epoch), Kind: OrderRelease, Instance: id, Incarnation: o.Incarnation,
				Address: o.Address, Epoch: i.Epoch,
			})
		case c.observedFree(o):
			c.propose(Command{Kind: Free, Epoch: i.Epoch, Instance: o.candidate()})
		}
	}
}

// forgetAbsent proposes to remove an instance that has not reported for
// Config.ForgetAfter.
func (c *Controller) forgetAbsent(i *Instance) {
	last := c.started
	if record := c.records[i.ID]; record != nil && record.reportedAt.After(last) {
		last = record.reportedAt
	}
	if c.now.Sub(last) >= c.cfg.ForgetAfter {
		c.propose(Command{Kind: Forget, Epoch: i.Epoch, Instance: Candidate{ID: i.ID}})
	}
}

// collectSpares fills the pool with the instances that may join a group. It
// reclaims instances that report a group to which the log does not assign them.
func (c *Controller) collectSpares() {
	for _, id := range c.observedIDs {
		o, i := c.observations[id], c.state.Instances[id]
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
			c.decideWithin(minDecisionInterval)
			continue
		}
		c.pool[o.FabricDomain] = append(c.pool[o.FabricDomain], o)
	}
}

// heldOff reports whether an instance is avoided after repeated losses. Such an
// instance is still selected when there is no other: a group that fails every
// few minutes serves more than one that is not formed.
func (c *Controller) heldOff(i *Instance) bool {
	if i == nil {
		return false
	}
	n := decayedLosses(i, c.now.UnixMilli())
	if n < 2 {
		return false
	}
	holdOff := min(c.cfg.HoldOff<<min(n-2, 20), c.cfg.MaxHoldOff)
	return c.now.UnixMilli()-i.LostAt < holdOff.Milliseconds()
}

// removeFromPool removes the selected instances from the pool.
func (c *Controller) removeFromPool(fabric string, chosen []*Observation) {
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
