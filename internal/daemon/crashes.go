package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/quarantine/quarantinepb"
	"github.com/bluebellfield/bluebellfield/settings"
)

const (
	channelQuarantine = "quarantine"
	// The tracker is ticked at the busy interval while it has messages due
	// soon, and at the idle interval otherwise.
	quarantineBusyInterval = 50 * time.Millisecond
	quarantineIdleInterval = time.Second
)

// crashTracker identifies the requests that crash upstreams, in cooperation
// with the other entries.
type crashTracker struct {
	tracker     *quarantine.Tracker
	network     messenger
	client      *upstream.Client
	liveEntries func() []string
	tree        func() *settings.Tree
	logger      *zap.Logger
}

func newCrashTracker(self string, network messenger, client *upstream.Client, live func() []string, tree func() *settings.Tree, logger *zap.Logger) *crashTracker {
	c := &crashTracker{
		tracker: quarantine.New(quarantine.Config{Self: self}), network: network, client: client, liveEntries: live, tree: tree, logger: logger,
	}
	network.Handle(channelQuarantine, c.receive)
	return c
}

func requestDigest(info *caller.RequestInfo) quarantine.Digest {
	return quarantine.Digest(info.Digest[:16])
}

// Check implements caller.Quarantine.
func (c *crashTracker) Check(info *caller.RequestInfo) error {
	return quarantineError(c.tracker.Admit(time.Now(), requestDigest(info)))
}

func quarantineError(r quarantine.Decision) error {
	if r.Action != quarantine.Refuse {
		return nil
	}
	return fault.New(fault.Quarantined, fault.Location{Step: "quarantine"}, fault.NotRun,
		fmt.Sprintf("the request crashes upstreams and is refused until %s", r.Until.UTC().Format(time.RFC3339)))
}

// awaitDecision returns how a request may run. A suspect waits until all
// entries have reported the crash. If the caller disconnects in the meantime,
// awaitDecision returns an error.
func (c *crashTracker) awaitDecision(ctx context.Context, info *caller.RequestInfo) (quarantine.Decision, error) {
	for {
		if err := ctx.Err(); errors.Is(err, context.Canceled) {
			return quarantine.Decision{}, fault.Wrap(err, fault.Unavailable, fault.Location{Step: "quarantine"}, fault.NotRun)
		}
		decision := c.tracker.Admit(time.Now(), requestDigest(info))
		if err := quarantineError(decision); err != nil {
			return decision, err
		}
		if decision.Action != quarantine.Wait {
			return decision, nil
		}
		if !time.Now().Before(info.Deadline) {
			return decision, fault.New(fault.DeadlineExceeded, fault.Location{Step: "quarantine"}, fault.NotRun, "the deadline passed while an upstream crash was being investigated")
		}
		wait(ctx, nil, suspectPollInterval)
	}
}

func (c *crashTracker) finish(ch *choice, result quarantine.RunResult) {
	c.send(c.tracker.Finish(time.Now(), ch.run, result))
}

// handleBrokenConnection determines whether a broken connection was caused by
// a crash of the upstream. It is called before the request is retried.
func (c *crashTracker) handleBrokenConnection(ch *choice) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	reply, err := c.client.State(ctx, upstream.Target{ID: ch.upstream.ID, Address: ch.upstream.Address})
	if err == nil && reply.Announcement.Incarnation == ch.target.Incarnation {
		c.finish(ch, quarantine.Failed)
		return
	}
	c.reportCrash(ch.target)
}

func (c *crashTracker) reportCrash(t quarantine.Target) {
	c.logger.Info("upstream crashed", zap.String("upstream", t.Upstream), zap.Uint64("incarnation", t.Incarnation))
	c.send(c.tracker.Crashed(time.Now(), t))
}

// onEvents reports lost upstreams as crashed, which makes the requests in
// flight on them suspects.
func (c *crashTracker) onEvents(events []membership.Event) {
	for _, e := range events {
		if e.Kind == membership.Lost {
			c.reportCrash(quarantine.Target{Upstream: e.ID, Incarnation: e.Incarnation})
		}
	}
}

func (c *crashTracker) receive(_ context.Context, _ string, payload []byte) ([]byte, error) {
	message, err := quarantinepb.Decode(payload)
	if err != nil {
		return nil, err
	}
	c.send(c.tracker.Merge(time.Now(), message))
	return nil, nil
}

// send sends messages to all live entries.
func (c *crashTracker) send(messages []quarantine.Message) {
	for _, m := range messages {
		payload, err := quarantinepb.Encode(m)
		if err != nil {
			c.logger.Error("encode quarantine message", zap.Error(err))
			continue
		}
		for _, id := range c.liveEntries() {
			c.network.Send(id, channelQuarantine, payload)
		}
	}
}

// maxQuarantine returns the longest quarantine that a service configures. The
// tracker uses one value, since it does not distinguish services.
func (c *crashTracker) maxQuarantine() time.Duration {
	tree := c.tree()
	longest := time.Duration(0)
	for _, id := range tree.Services() {
		s, _ := tree.Service(id)
		longest = max(longest, s.Quarantine)
	}
	if longest == 0 {
		return quarantine.DefaultConfig().Quarantine
	}
	return longest
}

// run ticks the tracker until ctx ends.
func (c *crashTracker) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.tracker.SetEntries(time.Now(), c.liveEntries())
		c.tracker.SetQuarantine(c.maxQuarantine())
		c.send(c.tracker.Tick(time.Now()))
		pause := quarantineIdleInterval
		if c.tracker.Busy() {
			pause = quarantineBusyInterval
		}
		wait(ctx, nil, pause)
	}
}
