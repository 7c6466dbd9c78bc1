// Package control runs a control instance: a voter of the deployment's log,
// which holds the catalog; the registrar of upstreams; the source of updates
// for entry instances and for other control instances; and, on the leader of
// the log, the controller of replica groups.
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
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/internal/peer"
	"github.com/bluebellfield/bluebellfield/internal/replica"
	"github.com/bluebellfield/bluebellfield/internal/storage"
	"github.com/bluebellfield/bluebellfield/placement"
)

// electionTimeout is four heartbeats of the log: the instances of a region are
// a millisecond apart, and groups wait for repair while there is no leader.
const electionTimeout = 400 * time.Millisecond

// logName names the deployment's log.
const logName = "deployment"

// OrderSender sends orders to engines.
type OrderSender interface {
	// SendOrder returns the result of an order; the error explains a result
	// other than Accepted.
	SendOrder(ctx context.Context, o placement.Order) (placement.Result, error)
}

// Options of a control instance.
type Options struct {
	// ID is the address of this instance's host, by which others find it.
	ID            string
	FailureDomain string
	// Seeds are the ids of control instances to join through.
	Seeds []string
	// Bootstrap is set when the whole deployment starts for the first time; the
	// seeds then create the log.
	Bootstrap bool
	// Dir holds the log.
	Dir     *storage.Dir
	Network *peer.Network
	System  *actor.ActorSystem
	// Decode checks a catalog document.
	Decode func(document []byte) (*catalog.Catalog, error)
	Orders OrderSender
	// HeartbeatInterval is that of the upstreams.
	HeartbeatInterval time.Duration
	// StallTime is how long a group that lost a member stands still.
	StallTime time.Duration
	Logger    *zap.Logger
	Registry  metrics.Registry
}

// Control is a running control instance.
type Control struct {
	o       Options
	replica *replica.Replica
	machine *deploymentstate.Machine
	// source identifies this run in its updates.
	source uint64

	mu          sync.Mutex
	table       *fleet.Table
	subscribers map[string]*subscriber
	// sources holds the last update applied from other control instances.
	sources map[string]position
	// loads are the sums of what entries have in flight, as of loadsAt.
	loads   *mesh.Loads
	loadsAt time.Time
	// leaderEntries is the number of entries that the leader told.
	leaderEntries uint32
	compressed    compressedCatalog
	// announced is the last catalog version that subscribers were told of.
	announced uint64

	// changed wakes the publisher when changes wait for subscribers.
	changed chan struct{}

	controller *actor.PID
	// tickQueued is set while a tick waits at the controller.
	tickQueued atomic.Bool
	ctx        context.Context
	cancel     context.CancelFunc
	done       sync.WaitGroup
}

// position is the place of a subscriber in a source's updates.
type position struct {
	source, number uint64
	heard          time.Time
}

// Start starts a control instance.
func Start(o Options) (*Control, error) {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Control{o: o, machine: deploymentstate.New(), source: rand.Uint64() | 1, table: fleet.NewTable(),
		subscribers: map[string]*subscriber{}, sources: map[string]position{}, changed: make(chan struct{}, 1), ctx: ctx, cancel: cancel}
	if err := c.openLog(); err != nil {
		cancel()
		return nil, fmt.Errorf("open log: %w", err)
	}
	c.controller = o.System.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return newController(c) }))
	o.Network.Handle(mesh.ChannelSubscribe, c.serveSubscribe)
	o.Network.Handle(mesh.ChannelUpdate, c.serveUpdate)
	o.Network.Handle(mesh.ChannelCatalog, c.serveCatalog)
	o.Network.Handle(mesh.ChannelStall, c.serveStall)
	o.Network.Handle(mesh.ChannelLoads, c.serveLoads)
	c.done.Go(c.publish)
	c.done.Go(c.tick)
	c.done.Go(c.manageVoters)
	return c, nil
}

func (c *Control) openLog() error {
	options := replica.Options{
		Log: logName, ID: c.o.ID, Dir: c.o.Dir, Transport: transport{c.o.Network}, Machine: c.machine, Forward: c.forward,
		Logger: c.o.Logger, SyncCommit: true, Contacts: c.contacts, ElectionTimeout: electionTimeout,
	}
	if c.o.Bootstrap {
		options.Voters = c.o.Seeds
	}
	r, err := replica.Open(options)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.replica = r
	c.mu.Unlock()
	c.o.Network.Handle(mesh.ChannelLog, func(_ context.Context, from string, message []byte) ([]byte, error) {
		r.Receive(from, message)
		return nil, nil
	})
	c.o.Network.Handle(mesh.ChannelForward, func(ctx context.Context, _ string, request []byte) ([]byte, error) {
		return r.HandleForward(ctx, request), nil
	})
	return nil
}

// contacts lists the instances that a replica outside the log asks to be added.
func (c *Control) contacts() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.controls()
}

// controls lists the known control instances other than this one. The caller
// holds mu.
func (c *Control) controls() []string {
	all := slices.Clone(c.o.Seeds)
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
	return slices.DeleteFunc(all, func(id string) bool { return id == c.o.ID })
}

// Close ends the instance. A leader hands over first, within the given time.
func (c *Control) Close(ctx context.Context) error {
	var handOver error
	if c.replica.Status().Leads() {
		handOver = c.replica.TransferLeadership(ctx, "")
	}
	c.cancel()
	c.done.Wait()
	c.o.System.Root.Stop(c.controller)
	return errors.Join(handOver, c.replica.Close())
}

// transport sends log messages over the peer network. What cannot be sent is
// dropped and counted there; the log repeats it.
type transport struct{ network *peer.Network }

// Send implements replica.Transport.
func (t transport) Send(to, _ string, message []byte) { t.network.Send(to, mesh.ChannelLog, message) }

func (c *Control) forward(ctx context.Context, leader, _ string, request []byte) ([]byte, error) {
	answer, err := c.o.Network.Call(ctx, leader, mesh.ChannelForward, request)
	return answer, forwardError(err)
}

// tickInterval is the time between two rounds of the group controller: short
// against the 200 ms by which engines' reports lag.
const tickInterval = 100 * time.Millisecond

func (c *Control) tick() {
	ticker := time.NewTicker(tickInterval)
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

// wakeController lets the group controller look at the newest reports.
func (c *Control) wakeController() {
	if !c.tickQueued.Swap(true) {
		c.o.System.Root.Send(c.controller, tickMessage{})
	}
}

// PeerAddress returns the address of an instance that is named by its host.
func PeerAddress(id string, port int) (string, bool) {
	if net.ParseIP(id) == nil {
		return "", false
	}
	return net.JoinHostPort(id, strconv.Itoa(port)), true
}
