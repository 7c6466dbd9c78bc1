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
	detector *crashreport.Detector
	members  *members
	tree     func() *settings.Tree
	logger   *zap.Logger
}

func newCrashTracker(network messenger, client *upstream.Client, members *members, tree func() *settings.Tree, logger *zap.Logger) *crashTracker {
	reporter := crashreport.New(crashreport.Options{Tracker: quarantine.Config{Self: members.cfg.ID}, Network: network, LiveEntries: members.Live, Logger: logger})
	return &crashTracker{tracker: reporter.Tracker(), reporter: reporter, client: client, members: members, tree: tree, logger: logger,
		detector: &crashreport.Detector{Prober: client, Logger: logger}}
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
		fmt.Sprintf("the %s %s crashes upstreams and is refused until %s", r.Culprit.Kind(), r.Culprit, r.Until.UTC().Format(time.RFC3339)))
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
	if c.tracker.KnownCrash(ch.target) || c.hasCrashed(ch) {
		c.reporter.Crashed(ch.target)
		return
	}
	c.finish(ch, quarantine.Failed)
}

// hasCrashed reports whether an upstream has restarted, or refuses connections
// while its failure domain is in reach and has not announced that it leaves. It may
// stop listening before it has finished its requests.
func (c *crashTracker) hasCrashed(ch *choice) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	reply, err := c.client.State(ctx, upstream.Target{ID: ch.upstream.ID, Address: ch.upstream.Address})
	if err == nil {
		return reply.Announcement.Incarnation != ch.target.Incarnation
	}
	if u := c.members.View().Get(ch.upstream.ID); u != nil && u.Incarnation == ch.target.Incarnation && (u.State == membership.Draining || u.State == membership.Leaving) {
		return false
	}
	return c.detector.Refuses(ctx, ch.upstream.Address) && c.inReach(ctx, ch.upstream.FailureDomain, map[string]bool{ch.upstream.ID: true})
}

// inReach reports whether another upstream or a daemon of a failure domain
// accepts connections. A domain without any other process is in reach if it is
// the daemon's own.
func (c *crashTracker) inReach(ctx context.Context, failureDomain string, lost map[string]bool) bool {
	cfg := c.members.cfg
	var upstreams, daemons []string
	for _, u := range c.members.View().All() {
		target := quarantine.Target{Upstream: u.ID, Incarnation: u.Incarnation}
		if u.FailureDomain == failureDomain && !lost[u.ID] && !c.tracker.KnownCrash(target) {
			upstreams = append(upstreams, u.Address)
		}
	}
	for _, p := range cfg.Peers {
		if p.FailureDomain == failureDomain && p.ID != cfg.ID && p.UpstreamAddress != "" {
			daemons = append(daemons, p.UpstreamAddress)
		}
	}
	if len(upstreams)+len(daemons) == 0 {
		return failureDomain == cfg.FailureDomain
	}
	return c.detector.AnyAccepts(ctx, upstreams, daemons)
}

// onEvents reports lost upstreams as crashed, which makes the requests in
// flight on them suspects, unless their whole failure domain is out of reach.
// It does not wait for the check.
func (c *crashTracker) onEvents(events []membership.Event) {
	view := c.members.View()
	lost, byDomain := map[string]bool{}, map[string][]quarantine.Target{}
	for _, e := range events {
		u := view.Get(e.ID)
		if e.Kind != membership.Lost || u == nil {
			continue
		}
		lost[e.ID] = true
		byDomain[u.FailureDomain] = append(byDomain[u.FailureDomain], quarantine.Target{Upstream: e.ID, Incarnation: e.Incarnation})
	}
	for domain, targets := range byDomain {
		go c.reportLost(domain, targets, lost)
	}
}

func (c *crashTracker) reportLost(failureDomain string, targets []quarantine.Target, lost map[string]bool) {
	ctx, cancel := context.WithTimeout(context.Background(), crashProbeTimeout)
	defer cancel()
	if !c.inReach(ctx, failureDomain, lost) {
		c.logger.Info("upstreams lost with their failure domain", zap.String("failureDomain", failureDomain), zap.Int("upstreams", len(targets)))
		return
	}
	for _, t := range targets {
		c.reporter.Crashed(t)
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
