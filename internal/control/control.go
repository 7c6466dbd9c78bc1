// Package control implements control instances. A control instance votes in or
// follows the deployment's log, which holds the catalog. It registers upstreams
// and sends updates to entry instances and other control instances. On the
// leader of the log, it also controls the replica groups.
package control

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/catalog"
	"github.com/bluebellfield/bluebellfield/deploymentstate"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/background"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/replica"
	"github.com/bluebellfield/bluebellfield/internal/storage"
	"github.com/bluebellfield/bluebellfield/placement"
)

// electionTimeout is four heartbeats of the log. It can be short because the
// instances of a region are a millisecond apart, and it should be because
// groups are not repaired while there is no leader.
const electionTimeout = 400 * time.Millisecond

// deploymentLog is the name of the deployment's log.
const deploymentLog = "deployment"

// OrderSender sends orders to engines.
type OrderSender interface {
	// SendOrder sends an order and returns its result. For results other than
	// Accepted, the error explains the result.
	SendOrder(ctx context.Context, o placement.Order) (placement.Result, error)
}

// Options configures a control instance.
type Options struct {
	// ID is the IP address of the instance's host, by which other instances
	// find it.
	ID            string
	FailureDomain string
	// Seeds are the ids of the control instances to contact first.
	Seeds []string
	// Bootstrap is set on the first start of a whole deployment. The seeds then
	// form the log.
	Bootstrap bool
	// Dir is the directory of the log.
	Dir     *storage.Dir
	Network *peer.Network
	System  *actor.ActorSystem
	// Decode parses and validates a catalog document.
	Decode func(document []byte) (*catalog.Catalog, error)
	Orders OrderSender
	// HeartbeatInterval is the time between two reports of an upstream.
	HeartbeatInterval time.Duration
	// StallTime is how long a group that has lost a member is stalled before
	// its head gives up.
	StallTime time.Duration
	Logger    *zap.Logger
	Registry  metrics.Registry
}

// Control is a running control instance.
type Control struct {
	opts    Options
	replica *replica.Replica
	machine *deploymentstate.Machine
	// runID identifies this run of the instance in its updates.
	runID uint64

	mu          sync.Mutex
	table       *fleet.Table
	unlisted    unlistedReports
	subscribers map[string]*subscriber
	// sources holds the last update that was applied from each of the other
	// control instances.
	sources map[string]sourceState
	// totals holds the requests in flight by upstream over all entries, as
	// computed at totalsAt.
	totals   *mesh.Loads
	totalsAt time.Time
	// leaderEntries is the number of entries that the leader last reported.
	leaderEntries uint32
	compressed    compressedCatalog
	// withdrawn lists the groups that this instance has given up as the leader,
	// nil if it does not lead. withdrawnVersion counts its changes.
	withdrawn        *mesh.GroupList
	withdrawnVersion uint64
	// reachable lists the entries that have renewed their subscription within
	// reachableTimeout. reachableVersion counts its changes.
	reachable        []string
	reachableVersion uint64
	// announcedVersion is the last catalog version that was announced to the
	// subscribers.
	announcedVersion uint64

	// flushRequested wakes the publisher when updates are pending for
	// subscribers.
	flushRequested chan struct{}

	// storingVerdicts is set while verdicts are being stored.
	storingVerdicts atomic.Bool

	departures *departureQueue
	// departuresApplied is the number of changes of the log's departures that the
	// table has. Only the publisher uses it.
	departuresApplied uint64

	// listedVersion is the version of the catalog whose services unlisted knows.
	// Only the publisher uses it.
	listedVersion uint64

	controller *actor.PID
	// tickQueued is set while a tick is in the controller's mailbox.
	tickQueued atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
	wg         background.Group
}

// sourceState identifies the last update that was received from a control
// instance. The run and the number are zero after a lost update.
type sourceState struct {
	runID, lastNumber uint64
	lastUpdate        time.Time
}

// Start starts a control instance.
func Start(o Options) (*Control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{opts: o, machine: deploymentstate.New(), runID: rand.Uint64() | 1, table: fleet.NewTable(),
		subscribers: map[string]*subscriber{}, sources: map[string]sourceState{}, departures: newDepartureQueue(), flushRequested: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	if err := c.openLog(); err != nil {
		cancel()
		return nil, fmt.Errorf("open log: %w", err)
	}
	c.controller = o.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newController(c) }))
	o.Network.Handle(mesh.ChannelSubscribe, c.serveSubscribe)
	o.Network.Handle(mesh.ChannelUpdate, c.serveUpdate)
	o.Network.Handle(mesh.ChannelCatalog, c.serveCatalog)
	o.Network.Handle(mesh.ChannelStall, c.serveStall)
	o.Network.Handle(mesh.ChannelDepartures, c.serveDepartures)
	o.Network.Handle(mesh.ChannelLoads, c.serveLoads)
	o.Network.Handle(mesh.ChannelVerdicts, c.serveVerdicts)
	c.wg.Go(c.runPublisher)
	c.wg.Go(c.runDepartures)
	c.wg.Go(c.runTicks)
	c.wg.Go(c.runVoterChanges)
	return c, nil
}

func (c *Control) openLog() error {
	options := replica.Options{
		Log: deploymentLog, ID: c.opts.ID, Dir: c.opts.Dir, Transport: transport{c.opts.Network}, Machine: c.machine, Forward: c.forward,
		Logger: c.opts.Logger, SyncCommit: true, Contacts: c.contacts, ElectionTimeout: electionTimeout,
	}
	if c.opts.Bootstrap {
		options.Voters = c.opts.Seeds
	}
	r, err := replica.Open(options)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.replica = r
	c.mu.Unlock()
	c.opts.Network.Handle(mesh.ChannelLog, func(_ context.Context, from string, message []byte) ([]byte, error) {
		r.Receive(from, message)
		return nil, nil
	})
	c.opts.Network.Handle(mesh.ChannelForward, func(ctx context.Context, _ string, request []byte) ([]byte, error) {
		return r.HandleForward(ctx, request), nil
	})
	return nil
}

// contacts lists the instances that a replica outside the log asks to be added
// to it.
func (c *Control) contacts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.knownControls()
}

// knownControls lists the other control instances that this one knows. The
// caller holds mu.
func (c *Control) knownControls() []string {
	all := slices.Clone(c.opts.Seeds)
	for id, s := range c.subscribers {
		if s.control {
			all = append(all, id)
		}
	}
	for id := range c.sources {
		all = append(all, id)
	}
	if c.replica != nil {
		for _, m := range c.replica.Status().Members.Voters {
			all = append(all, m.Instance)
		}
	}
	slices.Sort(all)
	all = slices.Compact(all)
	return slices.DeleteFunc(all, func(id string) bool { return id == c.opts.ID })
}

// Close stops the instance. A leader first transfers its leadership, until ctx
// is done.
func (c *Control) Close(ctx context.Context) error {
	var transferErr error
	if c.replica.Status().IsLeader() {
		transferErr = c.replica.TransferLeadership(ctx, "")
	}
	c.cancel()
	c.wg.Wait()
	c.opts.System.Root.Stop(c.controller)
	return errors.Join(transferErr, c.replica.Close())
}

// transport sends log messages over the peer network. The network drops and
// counts messages that it cannot send; the log repeats them.
type transport struct{ network *peer.Network }

// Send implements replica.Transport.
func (t transport) Send(to, _ string, message []byte) { t.network.Send(to, mesh.ChannelLog, message) }

func (c *Control) forward(ctx context.Context, leader, _ string, request []byte) ([]byte, error) {
	response, err := c.opts.Network.Call(ctx, leader, mesh.ChannelForward, request)
	return response, forwardError(err)
}

// planInterval is the time between two planning rounds of the group controller.
// It is short compared with the 200 ms by which the reports of engines are
// delayed.
const planInterval = 100 * time.Millisecond

func (c *Control) runTicks() {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-ticker.C:
			c.wakeController()
		}
	}
}

// wakeController makes the group controller plan with the latest reports.
func (c *Control) wakeController() {
	if !c.tickQueued.Swap(true) {
		c.opts.System.Root.Send(c.controller, tickMessage{})
	}
}

// PeerAddress returns the address of an instance whose id is the IP address of
// its host. It reports false for any other id.
func PeerAddress(id string, port int) (string, bool) {
	if net.ParseIP(id) == nil {
		return "", false
	}
	return net.JoinHostPort(id, strconv.Itoa(port)), true
}
