package daemon

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bluebellfield/bluebellfield/internal/crashreport"
	"github.com/bluebellfield/bluebellfield/internal/edge/caller"
	"github.com/bluebellfield/bluebellfield/internal/edge/upstream"
	"github.com/bluebellfield/bluebellfield/internal/fault"
	"github.com/bluebellfield/bluebellfield/membership"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/settings"
)

// crashTracker identifies the requests that crash upstreams, in cooperation
// with the other entries.
type crashTracker struct {
	tracker  *quarantine.Tracker
	reporter *crashreport.Reporter
	client   *upstream.Client
	tree     func() *settings.Tree
}

func newCrashTracker(self string, network messenger, client *upstream.Client, live func() []string, tree func() *settings.Tree, logger *zap.Logger) *crashTracker {
	reporter := crashreport.New(crashreport.Options{Tracker: quarantine.Config{Self: self}, Network: network, LiveEntries: live, Logger: logger})
	return &crashTracker{tracker: reporter.Tracker(), reporter: reporter, client: client, tree: tree}
}

func requestDigest(info *caller.RequestInfo) quarantine.Digest {
	return quarantine.Digest(info.Digest[:16])
}

// promptParts identifies the parts of the prompt that other requests may share.
func promptParts(info *caller.RequestInfo) []quarantine.Digest {
	parts := make([]quarantine.Digest, len(info.Parts))
	for i := range info.Parts {
		parts[i] = quarantine.PartDigest(info.Route.Service, string(info.Parts[i][:]))
	}
	return parts
}

// Check implements caller.Quarantine.
func (c *crashTracker) Check(info *caller.RequestInfo) error {
	return quarantineError(c.tracker.Admit(time.Now(), requestDigest(info), promptParts(info)...))
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
		decision := c.tracker.Admit(time.Now(), requestDigest(info), promptParts(info)...)
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
	c.reporter.Finish(ch.run, result)
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
	c.reporter.Crashed(ch.target)
}

// onEvents reports lost upstreams as crashed, which makes the requests in
// flight on them suspects.
func (c *crashTracker) onEvents(events []membership.Event) {
	for _, e := range events {
		if e.Kind == membership.Lost {
			c.reporter.Crashed(quarantine.Target{Upstream: e.ID, Incarnation: e.Incarnation})
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

// run shares what is known of crashes until ctx ends.
func (c *crashTracker) run(ctx context.Context) {
	var reporting sync.WaitGroup
	defer reporting.Wait()
	reporting.Go(func() { c.reporter.Run(ctx) })
	for ctx.Err() == nil {
		c.tracker.SetQuarantine(c.maxQuarantine())
		wait(ctx, nil, quarantineSettingsInterval)
	}
}

// quarantineSettingsInterval is how often the settings are applied to the
// tracker.
const quarantineSettingsInterval = time.Second
