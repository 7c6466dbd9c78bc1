package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/internal/crashreport"
	"github.com/bluebellfield/bluebellfield/internal/mesh"
	"github.com/bluebellfield/bluebellfield/quarantine"
)

const (
	// crashReportTimeout is the maximum time that suspects of a crash wait for the
	// reports of all entries. Entries of a region need a few ticks of the tracker,
	// and an unreachable entry must not hold the requests of the others for longer
	// than callers wait.
	crashReportTimeout = 500 * time.Millisecond
	// maxHold is the maximum time that quarantine may delay a request, over all of
	// its attempts. Then the request is refused, and the caller may try again.
	maxHold = 2 * crashReportTimeout
	// holdInterval is the time between two quarantine decisions on a request that
	// has to wait.
	holdInterval = 20 * time.Millisecond
	// holdRetryAfter is the Retry-After of a request that was refused after
	// maxHold.
	holdRetryAfter = crashReportTimeout
	// probeValidity is how long the result of that check applies to other
	// connections that broke at the same time.
	probeValidity = 100 * time.Millisecond
	// maxSharedParts bounds the parts of a prompt that quarantine tracks. Prompts
	// have a few; a caller may list any number.
	maxSharedParts = 16
)

// Reasons for refusing a suspect.
const (
	reasonQuarantined = "the request crashes upstreams"
	reasonHeld        = "the cause of an upstream's crash is being determined"
)

func newCrashReporter(o *Options, live func() []string) *crashreport.Reporter {
	return crashreport.New(crashreport.Options{Tracker: quarantine.Config{Self: o.ID, ReportTimeout: crashReportTimeout},
		Network: o.Network, LiveEntries: live, Logger: o.Logger})
}

// requestDigest identifies the request by its account, method, host, URI and body.
// A copy has the same digest whichever entry and service it is sent to.
func (x *exchange) requestDigest() quarantine.Digest {
	return quarantine.DigestOf(x.accountName(), x.r.Method+" "+hostOf(x.r.Host)+x.r.URL.RequestURI(), x.body.Chunks()...)
}

// sharedParts identifies the parts of the prompt that other requests may share:
// all but the last.
func (x *exchange) sharedParts() []quarantine.Digest {
	ids := x.request.PromptParts
	if len(ids) == 0 {
		return nil
	}
	ids = ids[:min(len(ids)-1, maxSharedParts)]
	parts := make([]quarantine.Digest, len(ids))
	for i, id := range ids {
		parts[i] = quarantine.PartDigest(x.service.Name, id)
	}
	return parts
}

// culpritPart returns the id of the quarantined part for which the request is
// refused, empty if the request itself is quarantined.
func (x *exchange) culpritPart() string {
	if i := slices.Index(x.parts, x.culprit); i >= 0 {
		return x.request.PromptParts[i]
	}
	return ""
}

// permit states where quarantine allows the next attempt of a request. The zero
// value allows every upstream.
type permit struct {
	pin     string
	isolate func(upstream string) bool
}

func (p *permit) restricted() bool { return p.pin != "" || p.isolate != nil }

func (p *permit) admits(upstream string) bool {
	if p.pin != "" {
		return upstream == p.pin
	}
	return p.isolate == nil || p.isolate(upstream)
}

// awaitPermit waits for the quarantine decision on the request. If it returns
// false, the caller has been answered.
func (x *exchange) awaitPermit(ctx context.Context) (permit, bool) {
	tracker := x.e.crashes.Tracker()
	for {
		now := time.Now()
		decision := tracker.Admit(now, x.digest, x.parts...)
		switch decision.Action {
		case quarantine.Run:
			return permit{pin: decision.Pin}, true
		case quarantine.Isolate:
			return permit{pin: decision.Pin, isolate: x.isolation(now)}, true
		case quarantine.Refuse:
			x.e.stats.quarantined.Inc(1)
			x.culprit = decision.Culprit
			x.giveUp(ctx, decision.Until.Sub(now), reasonQuarantined)
			return permit{}, false
		case quarantine.Wait:
		}
		if !x.hold(ctx) {
			x.giveUp(ctx, holdRetryAfter, reasonHeld)
			return permit{}, false
		}
	}
}

// isolation returns the filter of the upstreams on which a suspect may run. The
// upstreams are divided between the entries anew for each decision, without those
// that are unlikely to accept the request.
func (x *exchange) isolation(now time.Time) func(upstream string) bool {
	tracker := x.e.crashes.Tracker()
	var usable []string
	for _, t := range x.targets() {
		if !t.avoided(now) && !tracker.KnownCrash(t.incarnation()) && x.e.limits.BlockedFor(t.process()) == 0 {
			usable = append(usable, t.upstream.ID)
		}
	}
	tracker.SetUpstreams(x.isolationPool(), usable)
	return tracker.Isolation(now, x.isolationPool(), x.digest, x.parts...)
}

// isolationPool names the set of upstreams that can run the request.
func (x *exchange) isolationPool() string { return x.service.Name + "\x00" + x.request.Model }

// hold delays the request. It returns false if the request can no longer wait.
func (x *exchange) hold(ctx context.Context) bool {
	if x.held >= maxHold || x.remaining(time.Now()) < minRemaining+holdInterval {
		return false
	}
	if x.held == 0 {
		x.e.stats.held.Inc(1)
	}
	x.held += holdInterval
	timer := time.NewTimer(holdInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// startRun registers an attempt. It returns false if quarantine no longer allows
// the attempt.
func (x *exchange) startRun(now time.Time, t *target) (run uint64, ok bool) {
	run = x.e.lastRun.Add(1)
	_, ok = x.e.crashes.Tracker().Start(now, x.isolationPool(), run, x.digest, t.incarnation(), x.parts...)
	return run, ok
}

// finishRun records the end of an attempt. If the upstream has crashed, it
// reports the crash, which must precede any retry.
func (x *exchange) finishRun(ctx context.Context, t *target, run uint64, result *attemptResult) {
	switch {
	case result.done && x.status < 500:
		x.e.crashes.Finish(run, quarantine.Completed)
	case result.done || result.response != nil:
		x.e.crashes.Finish(run, quarantine.Answered)
	case !result.ran:
		x.e.crashes.Finish(run, quarantine.NotStarted)
	case result.broken && x.e.hasCrashed(t):
		x.e.crashes.Crashed(t.incarnation())
	case ctx.Err() != nil && !t.avoided(time.Now()):
		x.e.crashes.Finish(run, quarantine.Cancelled)
	default:
		// A copy of the request need not wait for an upstream that has stalled.
		x.e.crashes.Finish(run, quarantine.Failed)
	}
}

// hasCrashed reports whether an upstream that broke a connection has ended for no
// known reason: it refuses a new one while its failure domain is in reach, and has
// not announced that it leaves.
func (e *Entry) hasCrashed(t *target) bool {
	t.probe.Lock()
	defer t.probe.Unlock()
	if e.crashes.Tracker().KnownCrash(t.incarnation()) {
		return true
	}
	if time.Since(t.probedAt) < probeValidity {
		return t.probedEnd
	}
	t.probedEnd = e.detector().Refuses(e.ctx, t.upstream.Address) && e.inReach(&t.upstream) && !e.isLeaving(t)
	t.probedAt = time.Now()
	return t.probedEnd
}

// isLeaving reports whether an upstream has announced that it leaves. It may stop
// listening before it has finished its requests. An upstream whose address another
// process has taken has announced nothing.
func (e *Entry) isLeaving(t *target) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	u, known := e.table.Get(t.upstream.ID)
	return known && u.StartMillis == t.upstream.StartMillis && (u.Phase == fleet.Draining || u.Phase == fleet.Gone && !u.Replaced)
}

func (e *Entry) detector() *crashreport.Detector {
	return &crashreport.Detector{Prober: e.opts.Client, Logger: e.opts.Logger}
}

// inReach reports whether the failure domain of an upstream is in reach. Without
// any other process there, it is if it is this entry's own and control instances
// are in touch.
func (e *Entry) inReach(u *fleet.Upstream) bool {
	upstreams, entries := e.otherUpstreams(u), e.entriesOf(u.FailureDomain)
	if len(upstreams)+len(entries) == 0 {
		return u.FailureDomain == e.opts.FailureDomain && e.inTouch(time.Now())
	}
	return e.detector().AnyAccepts(e.ctx, upstreams, entries)
}

// otherUpstreams returns the addresses of the other upstreams in the failure
// domain of an upstream.
func (e *Entry) otherUpstreams(u *fleet.Upstream) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var addresses []string
	for _, other := range e.table.All() {
		crashed := e.crashes.Tracker().KnownCrash(quarantine.Target{Upstream: other.ID, Incarnation: uint64(other.StartMillis)})
		if other.FailureDomain == u.FailureDomain && other.ID != u.ID && other.Phase == fleet.Ready && !crashed {
			addresses = append(addresses, other.Address)
		}
	}
	return addresses
}

// entriesOf returns the peer addresses of the other reachable entries of a failure
// domain.
func (e *Entry) entriesOf(failureDomain string) []string {
	var addresses []string
	for _, id := range e.reachableEntries() {
		address, known := e.opts.Network.Address(id)
		if known && e.domainOf(id) == failureDomain {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// domainOf returns the failure domain of another entry, empty if no control
// instance reports it.
func (e *Entry) domainOf(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sources {
		if domain := s.reachableDomains[id]; domain != "" {
			return domain
		}
	}
	return ""
}

// inTouch reports whether a control instance sends updates.
func (e *Entry) inTouch(now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.sources {
		if now.Sub(s.lastUpdate) < resyncTimeout {
			return true
		}
	}
	return false
}

// applyVerdicts merges the verdicts that a control instance has stored. The caller
// holds mu.
func (e *Entry) applyVerdicts(now time.Time, from string, list *mesh.VerdictList) {
	m := quarantine.Message{From: from}
	e.storedVerdicts = make(map[quarantine.Digest]time.Time, len(list.GetVerdicts()))
	for _, v := range list.GetVerdicts() {
		if len(v.Digest) != len(quarantine.Digest{}) {
			e.opts.Logger.Warn("verdict ignored: its digest has a wrong length", zap.String("peer", from), zap.Int("bytes", len(v.Digest)))
			continue
		}
		verdict := quarantine.Verdict{Digest: quarantine.Digest(v.Digest), Until: time.UnixMilli(v.UntilUnixMillis)}
		e.storedVerdicts[verdict.Digest] = verdict.Until
		m.Verdicts = append(m.Verdicts, verdict)
	}
	e.crashes.Tracker().Merge(now, m)
}

// storeVerdicts asks the leader to store the verdicts that it lacks.
func (e *Entry) storeVerdicts(now time.Time) {
	verdicts := e.crashes.Tracker().Verdicts(now)
	e.mu.Lock()
	leader := e.leader
	list := &mesh.VerdictList{}
	for _, v := range quarantine.Missing(e.storedVerdicts, verdicts) {
		list.Verdicts = append(list.Verdicts, &mesh.Verdict{Digest: v.Digest[:], UntilUnixMillis: v.Until.UnixMilli()})
	}
	e.mu.Unlock()
	if len(list.Verdicts) == 0 || leader == "" {
		return
	}
	payload, err := proto.Marshal(list)
	if err != nil {
		e.opts.Logger.Error("failed to encode verdicts", zap.Error(err))
		return
	}
	e.opts.Network.Send(leader, mesh.ChannelVerdicts, payload)
}
