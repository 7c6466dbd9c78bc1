// Package placement assigns the engines of a service to replica groups, for one
// or more models, and replaces groups that lose members. The inputs of a Planner
// are the reports of the engines, the results of its orders and reports of
// stalled groups; its outputs are orders to engines. The package reads no clock
// and opens no connections.
//
// Invariants:
//   - A group is opened only after every member has reported that it joined with
//     the name and epoch of the group.
//   - A member is ordered into another group only after the head of its current
//     group has reported that it does not serve, or can no longer serve. Silence
//     does not prove that, however long it lasts.
//   - Epochs increase across all groups and leaders. An engine that has accepted
//     a newer order refuses delayed orders of older epochs.
package placement

import (
	"strconv"
	"time"

	"github.com/bluebellfield/bluebellfield/enginemodel"
	"github.com/bluebellfield/bluebellfield/fleet"
)

// OrderKind is the kind of an order to an engine.
type OrderKind uint8

// Kinds of orders.
const (
	// Join makes an engine a member of a group.
	Join OrderKind = iota
	// Open tells the head of a formed group to start serving.
	Open
	// Close tells the head of a group to stop serving; the members stay formed.
	Close
	// Leave removes a member from its group.
	Leave
	// Stage loads the weights of a model onto the engine's host.
	Stage
	// Probe queries the state of an engine.
	Probe
)

func (k OrderKind) String() string {
	return [...]string{"join", "open", "close", "leave", "stage", "probe"}[k]
}

// Order is an instruction to one engine.
type Order struct {
	Kind        OrderKind
	Upstream    string
	Address     string
	StartMillis int64
	Group       string
	Epoch       uint64
	Model       string
	Members     []string
	// Truncate makes a Close abort the running requests instead of finishing them.
	Truncate bool
	// Reason is written to the log.
	Reason string
}

// Result is the outcome of an order.
type Result uint8

// Results of orders.
const (
	// Accepted means that the engine has started to execute the order, or had
	// executed it before.
	Accepted Result = iota
	// Conflict means that the engine's state does not allow the order.
	Conflict
	// Misdirected means that another incarnation of the engine, or another engine,
	// answered.
	Misdirected
	// NotListening means that the connection was refused. The order will not be
	// executed. The process may still be running, because a network partition can
	// also refuse connections.
	NotListening
	// NoAnswer means that the outcome is unknown: the order may be executed now
	// or later.
	NoAnswer
)

func (r Result) String() string {
	return [...]string{"accepted", "conflict", "misdirected", "not listening", "no answer"}[r]
}

// Config holds the parameters of a planner.
type Config struct {
	// Generation increases with every leader. It forms the upper bits of the
	// epochs.
	Generation uint64
	// HeartbeatInterval is the interval of the engines' heartbeats.
	HeartbeatInterval time.Duration
	// StallTime is the time from the loss of a member, which stalls a group, until
	// its head reports the group as broken.
	StallTime time.Duration
	// ColdStart is set during the first start of the whole deployment.
	ColdStart bool
	Engine    *enginemodel.Engine
}

const (
	// resendInterval is the time after which an order is sent again if no report
	// shows its effect. Engines report a change immediately, and a report arrives
	// within a few hundred milliseconds.
	resendInterval = 800 * time.Millisecond
	// probeInterval is the minimum time between two rounds of probes to a group.
	probeInterval = 700 * time.Millisecond
	// stallReportTTL is the time without stall reports after which the next one
	// starts a new series.
	stallReportTTL = 3 * time.Second
	// stallMargin is added to StallTime for delays of messages and timers.
	stallMargin = time.Second
	// maxMissedHeartbeats is the number of heartbeat intervals without a report
	// after which an engine is not used for a new group.
	maxMissedHeartbeats = 2.2
	// formTimeoutFactor is multiplied by the load time of a model to get the
	// timeout for forming a group. Loads take longer when the weight store is at
	// its concurrency limit.
	formTimeoutFactor = 2
	// formTimeoutMargin is added to the timeout for the delay of orders and
	// reports.
	formTimeoutMargin = 4 * time.Second
	// stageRetryDelay is the delay after which a refused load is ordered again.
	stageRetryDelay = 2 * time.Second
	// drainServeTime is how long a group keeps serving with a draining member if
	// no engine can replace it. Draining members stay for 10 s while the head has
	// work; the rest of this time is left to finish requests.
	drainServeTime = 8 * time.Second
	// drainFinishTime is how long a group with a draining member may finish its
	// requests before they are aborted. Most streams end within this time and the
	// others are resumed on another group, so that the engines do not have to wait
	// for the longest request.
	drainFinishTime = 1500 * time.Millisecond
	// adoptionTimeout is how long a new leader waits for missing members of the
	// groups that it adopts. It is two heartbeat intervals of 1.2 s.
	adoptionTimeout = 2400 * time.Millisecond
	// headSilenceTimeout is the time without a report from the head and without
	// progress at any entry after which the head is probed. It is longer than two
	// intervals of both kinds of reports.
	headSilenceTimeout = 3 * time.Second
	// unknownHeadTimeout is how long a group whose head has never reported is kept
	// if no entry reports it as stalled. The head may be serving although the
	// leader cannot reach it.
	unknownHeadTimeout = 10 * time.Second
	// maxOrderDelay is the time after which an unanswered order can no longer be
	// executed: 12 s by the protocol of the engines, plus a margin of 1 s.
	maxOrderDelay = 13 * time.Second
	// arrivalQuietPeriod is the time without a new engine after which a starting
	// deployment is considered complete: half of the heartbeat interval. Groups
	// formed earlier may not fit the final sizes of the fabric domains.
	arrivalQuietPeriod = 600 * time.Millisecond
	// maxArrivalWait bounds the wait for new engines of a starting deployment.
	maxArrivalWait = 4 * time.Second
	// maxColdStart bounds the time in which loads are not limited, in case the
	// traffic reports of the entries do not reach the leader.
	maxColdStart = 30 * time.Second
	// stagedModelRetention is how long the models staged on the hosts of free
	// engines are kept. Engines that are lost temporarily and the members of a
	// group with an isolated head return within this time.
	stagedModelRetention = 9 * time.Second
	// epochBits is the width of the counter below the generation in an epoch.
	epochBits = 20
)

// stage is a stage in the lifecycle of a group.
type stage uint8

const (
	forming stage = iota
	opening
	serving
	// closing means that the head has been ordered to stop serving.
	closing
	// isolating means that the head is unreachable and may still be serving. One
	// member is removed, so that the head stops serving after StallTime.
	isolating
	// settling means that the group does not serve, but an Open order may still be
	// executed. The head is removed before the engines are used again.
	settling
	dissolved
)

func (s stage) String() string {
	return [...]string{"forming", "opening", "serving", "closing", "isolating", "settling", "dissolved"}[s]
}

// group is the planner's view of a replica group.
type group struct {
	name       string
	epoch      uint64
	model      *enginemodel.Model
	members    []string
	domain     string
	stage      stage
	stageSince time.Time
	// lastOrders holds the time of the last order to each member.
	lastOrders map[string]time.Time
	// lastStallReport is the time of the last stall report.
	lastStallReport time.Time
	// firstStallReport is the time of the first stall report of the current
	// series.
	firstStallReport time.Time
	lastProbe        time.Time
	// lastProgress is the time at which an entry last saw progress.
	lastProgress time.Time
	truncate     bool
	// memberRemovedAt is the time at which a member of a group with an unreachable
	// head was lost or removed. The head stops serving StallTime later.
	memberRemovedAt time.Time
	// drainingSince is the time at which a member was first reported as draining.
	drainingSince time.Time
	// adopted is set for groups that an earlier leader formed.
	adopted bool
	// openPending is set from the first Open order until the head reports that it
	// is open.
	openPending bool
	// openUnanswered is the time of the last unanswered Open order.
	openUnanswered time.Time
	// joinUnanswered is the time of the last unanswered Join order to the head.
	joinUnanswered time.Time
}

// engine is the planner's view of one engine.
type engine struct {
	fleet.Upstream
	group *group
	// lastModel is the model of the last group that the engine joined since its
	// start.
	lastModel string
	// unreachable is the time of the last failed probe, or zero if the engine has
	// reported since.
	unreachable time.Time
	// needsProbe is set if an order was not answered and the engine has to be
	// probed.
	needsProbe bool
	// staging is the model that is being loaded onto the host.
	staging      string
	stagingSince time.Time
	// nextStageAt is the earliest time for the next load.
	nextStageAt time.Time
	freeSince   time.Time
}

// Planner assigns the engines of one service to replica groups.
type Planner struct {
	cfg          Config
	epochCounter uint64
	started      time.Time
	// lastArrival is the time of the last first report of an engine.
	lastArrival time.Time
	engines     map[string]*engine
	groups      map[string]*group
	// retired holds the names of dissolved groups, which can no longer serve.
	// Engines may still report them until they join another group.
	retired map[string]bool
	// demand is the demand for each model in fully used copies, as reported by the
	// entries.
	demand map[string]float64
	// copies counts the groups of each model, as of the last countCopies.
	copies map[string]int
	// transfers holds the running transfers by domain.
	transfers     map[string]*transfer
	loads         loadLimiter
	pendingOrders []Order
}

// New returns a planner for a new leader.
func New(cfg Config, now time.Time) *Planner {
	return &Planner{cfg: cfg, started: now, engines: map[string]*engine{}, groups: map[string]*group{}, retired: map[string]bool{},
		demand: map[string]float64{}, copies: map[string]int{}, transfers: map[string]*transfer{}, loads: loadLimiter{perSecond: cfg.Engine.LoadsPerSecond, maxConcurrent: cfg.Engine.MaxConcurrentLoads}}
}

func (p *Planner) nextEpoch() uint64 {
	p.epochCounter++
	return p.cfg.Generation<<epochBits | p.epochCounter
}

func groupName(epoch uint64) string { return "g" + strconv.FormatUint(epoch, 36) }
