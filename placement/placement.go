// Package placement decides which replica groups the engines of one service
// form, for several models on the same engines, and repairs groups that lose
// members. A Planner takes reports of the engines, results of its orders and
// evidence of stalled groups, and returns orders. It reads no clock and opens
// no connection.
//
// Invariants:
//   - A group is opened only after each member has reported that it joined under
//     the group's name and epoch.
//   - A member is ordered into another group only after the head of its present
//     group was seen not to serve, or cannot serve any more.
//   - Epochs increase over all groups and leaders, so that an order which is
//     carried out late is refused by engines that took a newer one.
package placement

import (
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// OrderKind says what an order asks of an engine.
type OrderKind uint8

// Kinds of orders.
const (
	// Join makes an engine a member of a group.
	Join OrderKind = iota
	// Open lets the head of a formed group serve.
	Open
	// Close ends the service of a group; its members stay formed.
	Close
	// Leave takes a member out of its group.
	Leave
	// Stage loads a model onto the engine's host.
	Stage
	// Probe asks an engine for its state.
	Probe
)

func (k OrderKind) String() string {
	return [...]string{"join", "open", "close", "leave", "stage", "probe"}[k]
}

// Order is sent to one engine.
type Order struct {
	Kind     OrderKind
	Upstream string
	Address  string
	Born     int64
	Group    string
	Epoch    uint64
	Model    string
	Members  []string
	// Truncate ends running requests on Close instead of finishing them.
	Truncate bool
	// Reason is for the log.
	Reason string
}

// Result is the outcome of an order.
type Result uint8

// Results of orders.
const (
	// Accepted orders have begun or were in force already.
	Accepted Result = iota
	// Conflict means that the engine's state does not allow the order.
	Conflict
	// Misdirected means that another incarnation answered.
	Misdirected
	// NotListening means that the connection was refused. It proves that the
	// order is not carried out, not that the process is down: a cut can refuse
	// connections as well.
	NotListening
	// NoAnswer means that the order may be carried out, now or later.
	NoAnswer
)

func (r Result) String() string {
	return [...]string{"accepted", "conflict", "misdirected", "not listening", "no answer"}[r]
}

// Config holds the times of a planner.
type Config struct {
	// Generation numbers the leadership and is higher than that of any earlier
	// leader; it is the upper part of the epochs.
	Generation uint64
	// HeartbeatInterval is that of the engines.
	HeartbeatInterval time.Duration
	// StallTime is how long a group that has lost a member stands still before
	// its head reports it broken.
	StallTime time.Duration
	// ColdStart is set while the whole deployment starts for the first time.
	ColdStart bool
	Engine    *enginemodel.Engine
}

const (
	// resendInterval is the time after which an order without effect is sent
	// again. Engines report a change at once; the reports take the report lag
	// of some hundred milliseconds.
	resendInterval = 800 * time.Millisecond
	// probeInterval bounds the probes of one suspected group.
	probeInterval = 700 * time.Millisecond
	// suspicionLife is the pause in the evidence after which it counts as new.
	suspicionLife = 3 * time.Second
	// stallMargin is added to StallTime for delays of messages and timers.
	stallMargin = time.Second
	// silentHeartbeats is the number of intervals without a report after which
	// an engine is not used for a new group.
	silentHeartbeats = 2.2
	// formAllowance multiplies the load time of a model to bound the forming of
	// a group; loads beyond the store's concurrency take longer.
	formAllowance = 2
	// formSlack is added to it for orders and reports.
	formSlack = 4 * time.Second
	// stageRetry is the time after which a refused load is ordered again.
	stageRetry = 2 * time.Second
	// serveOn is how long a group serves on with a member that leaves by plan,
	// where no engine can replace it: leaving members stay for 10 s while the
	// head has work, less the time to finish requests.
	serveOn = 8 * time.Second
	// finishTime is how long a group that loses a member by plan may finish its
	// requests: most streams end within it, the others continue elsewhere, and
	// the engines do not wait for the longest.
	finishTime = 1500 * time.Millisecond
	// adoptionWait is how long a new leader waits for the members of groups
	// that it finds incomplete: two heartbeat intervals of today's engines.
	adoptionWait = 2400 * time.Millisecond
	// aliveWait is the time without a report of the head and without progress
	// at any entry after which the head is asked whether it is there: longer
	// than two intervals of both kinds of reports.
	aliveWait = 3 * time.Second
	// orphanWait is how long a group of which no head was heard is left alone
	// without evidence that it stands still. Its head may serve out of reach.
	orphanWait = 10 * time.Second
	// lateOrders is the time after which an order without an answer is no longer
	// carried out: 12 s by the engines' protocol, and a second of margin.
	lateOrders = 13 * time.Second
	// arrivalQuiet is the time without a new engine after which a deployment
	// that starts is thought complete: half of the interval in which engines
	// report. Groups that are formed before may not suit the domains.
	arrivalQuiet = 600 * time.Millisecond
	// maxArrival bounds the wait for it.
	maxArrival = 4 * time.Second
	// maxColdStart bounds the time in which loads are taken not to count, in case
	// that the entries' reports of traffic do not reach the leader.
	maxColdStart = 30 * time.Second
	// patience is how long free engines keep what is staged on their hosts:
	// engines that are lost for a time, and the members of a group whose head
	// is isolated, return within it.
	patience = 9 * time.Second
	// epochBits is the width of the counter below the generation in an epoch.
	epochBits = 20
)

// stage is the part of its life that a group is in.
type stage uint8

const (
	forming stage = iota
	opening
	serving
	// closing groups have been told to stop serving.
	closing
	// isolating groups have an unreachable head, which may still serve: a
	// member leaves, and the head gives up after StallTime.
	isolating
	// settling groups do not serve, but an order to open may still be carried
	// out: the head leaves first.
	settling
	dissolved
)

func (s stage) String() string {
	return [...]string{"forming", "opening", "serving", "closing", "isolating", "settling", "dissolved"}[s]
}

// group is the planner's view of a replica group.
type group struct {
	name    string
	epoch   uint64
	model   *enginemodel.Model
	members []string
	domain  string
	stage   stage
	since   time.Time
	// sent holds the time of the last order to each member, for resending.
	sent map[string]time.Time
	// suspected is the time of the last evidence that the group stands still.
	suspected time.Time
	// suspectedSince is the first of an unbroken series of such evidence.
	suspectedSince time.Time
	probed         time.Time
	// alive is the time at which an entry last saw progress.
	alive    time.Time
	truncate bool
	// headless is the time at which a member left a group with an unreachable
	// head.
	headless time.Time
	// leaving is the time at which a member was first seen to leave by plan.
	leaving time.Time
	adopted bool
	// openSent says that the head was ordered to open and was not seen open.
	openSent bool
	// openLost is the time of the last order to open that got no answer.
	openLost time.Time
	// joinLost is the time of the last order to join that the head did not
	// answer.
	joinLost time.Time
}

// engine is the planner's view of one engine.
type engine struct {
	fleet.Upstream
	group *group
	// last is the model of the engine's last group since its start.
	last string
	// unreachable is the time of the last failed probe.
	unreachable time.Time
	// doubted says that an order got no answer.
	doubted bool
	// staging is the model that was ordered onto the host.
	staging   string
	stagingAt time.Time
	// stageAfter is the time before which no load is ordered again.
	stageAfter time.Time
	freeSince  time.Time
}

// Planner decides for the engines of one service.
type Planner struct {
	cfg     Config
	counter uint64
	started time.Time
	// lastArrival is the time at which an engine was heard of for the first time.
	lastArrival time.Time
	engines     map[string]*engine
	groups      map[string]*group
	// retired names groups that cannot serve any more. Engines may still report
	// them until they join another.
	retired map[string]bool
	// work is the offered work of each model in copies, from the entries.
	work  map[string]float64
	loads loadLimiter
	out   []Order
}

// New returns a planner of a new leader.
func New(cfg Config, now time.Time) *Planner {
	return &Planner{cfg: cfg, started: now, engines: map[string]*engine{}, groups: map[string]*group{}, retired: map[string]bool{},
		work: map[string]float64{}, loads: loadLimiter{perSecond: cfg.Engine.LoadsPerSecond, atOnce: cfg.Engine.LoadsAtOnce}}
}

func (p *Planner) nextEpoch() uint64 {
	p.counter++
	return p.cfg.Generation<<epochBits | p.counter
}

func groupName(epoch uint64) string { return "g" + strconv.FormatUint(epoch, 36) }
