package control

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/deploymentstate"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
)

const (
	// departureRetention is how long a departure is kept in the log, the same as a
	// record without reports.
	departureRetention = recordRetention
	// departureTimeout limits the time until a departure is committed. Upstreams
	// wait 1 s for an acknowledgement before they ask another instance.
	departureTimeout = 900 * time.Millisecond
	// maxDepartures limits the departures in the log. Above it departures take
	// effect and are not acknowledged.
	maxDepartures = 16384
)

// stepStoreDeparture is the step of errors about writing a departure to the log.
const stepStoreDeparture = "store departure"

// departureQueue holds the departures that wait to be written to the deployment's
// log. Those that arrive while a command is under way are written together by the
// next one, so that each costs a part of a sync only.
type departureQueue struct {
	mu      sync.Mutex
	waiting []waitingDeparture
	// added wakes the goroutine that writes them.
	added chan struct{}
}

// waitingDeparture is a departure and the channel that receives the result.
type waitingDeparture struct {
	departure *deploymentstate.Departure
	result    chan error
}

func newDepartureQueue() *departureQueue { return &departureQueue{added: make(chan struct{}, 1)} }

// add queues a departure. The result is sent to the channel.
func (q *departureQueue) add(d *deploymentstate.Departure) <-chan error {
	w := waitingDeparture{d, make(chan error, 1)}
	q.mu.Lock()
	q.waiting = append(q.waiting, w)
	q.mu.Unlock()
	select {
	case q.added <- struct{}{}:
	default:
	}
	return w.result
}

// take returns and removes all waiting departures.
func (q *departureQueue) take() []waitingDeparture {
	q.mu.Lock()
	defer q.mu.Unlock()
	waiting := q.waiting
	q.waiting = nil
	return waiting
}

// HandleDeparture handles the departure of an upstream. startMillis is zero if
// the upstream did not report it. It returns nil once the departure is kept by a
// majority of the log's members, so that it outlives all processes. After an error
// the departure has taken effect and must not be acknowledged.
func (c *Control) HandleDeparture(ctx context.Context, id string, startMillis int64) error {
	if startsAhead(time.Now(), startMillis) {
		c.opts.Logger.Warn("departure ignored: it starts in the future", zap.String("upstream", id), zap.Int64("startMillis", startMillis))
		return nil
	}
	startMillis = c.recordDeregistration(id, startMillis)
	if startMillis == 0 {
		// The upstream is unknown and its process has no identity to remember.
		return nil
	}
	return c.storeDeparture(ctx, id, startMillis, true)
}

// recordDeregistration records that an upstream has left. It returns the start of
// the incarnation that left, or zero if it is not known.
func (c *Control) recordDeregistration(id string, startMillis int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unlisted.leave(id, startMillis)
	u, ok := c.table.Leave(time.Now(), id, startMillis)
	if !ok {
		// An instance that has just started may not know an upstream that others do.
		u, ok = c.table.LeaveUnknown(time.Now(), id, startMillis)
	}
	if !ok {
		if known, found := c.table.Get(id); found && startMillis == 0 {
			return known.StartMillis
		}
		return startMillis
	}
	c.opts.Logger.Info("upstream left", zap.String("upstream", id), zap.String("service", u.Service))
	c.relay(&u, true)
	return u.StartMillis
}

// storeDeparture waits until a departure is committed to the log.
func (c *Control) storeDeparture(ctx context.Context, id string, startMillis int64, gone bool) error {
	if c.machine.HasDeparture(id, startMillis, gone) {
		return nil
	}
	at := fault.Location{Step: stepStoreDeparture, Peer: id}
	if c.machine.DepartureCount() >= maxDepartures {
		return fault.New(fault.Unavailable, at, fault.NotRun, "too many departures are recorded")
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	result := c.departures.add(newDeparture(time.Now(), id, startMillis, gone))
	select {
	case err := <-result:
		return fault.Wrap(err, fault.Unavailable, at, fault.Unknown)
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.Unavailable, at, fault.Unknown)
	}
}

// runDepartures writes the waiting departures to the log.
func (c *Control) runDepartures() {
	for {
		select {
		case <-c.ctx.Done():
			return
		case <-c.departures.added:
		}
		batch := c.departures.take()
		all := make([]*deploymentstate.Departure, len(batch))
		for i, w := range batch {
			all[i] = w.departure
		}
		err := c.proposeDepartures(all)
		if err != nil {
			c.opts.Logger.Warn("departures not stored", zap.Int("departures", len(all)), zap.Error(err))
		}
		for _, w := range batch {
			w.result <- err
		}
	}
}

func (c *Control) proposeDepartures(all []*deploymentstate.Departure) error {
	command, err := deploymentstate.EncodeRecordDepartures(time.Now(), all)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, departureTimeout)
	defer cancel()
	_, err = c.replica.Propose(ctx, command)
	return err
}

// applyDepartures records the departures in the log that this instance has not
// applied yet. After all instances have restarted, nothing else remembers them.
func (c *Control) applyDepartures() {
	changes, departures := c.machine.Departures(c.departuresApplied)
	if changes == c.departuresApplied {
		return
	}
	c.departuresApplied = changes
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range departures {
		if d.UntilUnixMillis <= now.UnixMilli() {
			continue
		}
		u := fleet.Upstream{ID: d.Upstream, StartMillis: d.StartUnixMillis, Phase: fleet.Draining}
		if d.Gone {
			u.Phase = fleet.Gone
		}
		c.recordDeparture(now, deploymentLog, u)
	}
}

// serveDepartures handles the departures that an entry knows: those that answers of
// upstreams have told it, and, after this instance has started, all others. The
// entries remember them when all control instances restart at once; a report that
// was sent before the departure may still arrive then.
func (c *Control) serveDepartures(_ context.Context, from string, payload []byte) ([]byte, error) {
	var update mesh.Update
	if err := proto.Unmarshal(payload, &update); err != nil {
		return nil, fault.Wrap(err, fault.BadRequest, fault.Location{Step: mesh.ChannelDepartures, Peer: from}, fault.NotRun)
	}
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, encoded := range update.Upstreams {
		u := mesh.DecodeUpstream(encoded)
		c.recordDeparture(now, from, u)
		if u.Phase == fleet.Draining && c.leads() {
			c.storeInBackground(now, &u)
		}
	}
	return nil, nil
}

// storeInBackground writes a departure to the log that no instance has acknowledged:
// an upstream told it in an answer to a request.
func (c *Control) storeInBackground(now time.Time, u *fleet.Upstream) {
	if startsAhead(now, u.StartMillis) || c.machine.HasDeparture(u.ID, u.StartMillis, false) || c.machine.DepartureCount() >= maxDepartures {
		return
	}
	c.departures.add(newDeparture(now, u.ID, u.StartMillis, false))
}

func newDeparture(now time.Time, id string, startMillis int64, gone bool) *deploymentstate.Departure {
	return &deploymentstate.Departure{Upstream: id, StartUnixMillis: startMillis, Gone: gone, UntilUnixMillis: now.Add(departureRetention).UnixMilli()}
}

// recordDeparture records that an upstream is draining or gone, as another instance
// or the log says. The caller holds mu.
func (c *Control) recordDeparture(now time.Time, from string, u fleet.Upstream) {
	if u.Phase == fleet.Ready || startsAhead(now, u.StartMillis) {
		return
	}
	if _, changed := c.table.Observe(now, u); !changed {
		return
	}
	known, _ := c.table.Get(u.ID)
	c.opts.Logger.Info("departure learned", zap.String("upstream", u.ID), zap.Stringer("phase", known.Phase), zap.String("from", from))
	c.relay(&known, true)
	c.wakeController()
}
