package entry

import (
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/fleet"
	"github.com/bluebellfield/bluebellfield/quarantine"
	"github.com/bluebellfield/bluebellfield/upstreamlimit"
)

const (
	// initialBackoff is how long an upstream is avoided after a failed
	// connection. It doubles with each further failure, up to maxBackoff.
	initialBackoff = 500 * time.Millisecond
	maxBackoff     = 4 * time.Second
	// connectTimeout is the time without a connection after which an upstream is
	// avoided. Connections within a region open within a few milliseconds.
	connectTimeout = 60 * time.Millisecond
	// quietTimeout is the time without progress, while requests are in flight,
	// after which an upstream is avoided. It is longer than the usual time to the
	// first event and than a few passes of an engine.
	quietTimeout = 250 * time.Millisecond
	// failureRateWeight is the weight of the latest result in the moving
	// average of the failure rate.
	failureRateWeight = 0.15
	// maxFailureRate is the failure rate above which an upstream is avoided.
	// The normal rate of failed responses is below a sixth.
	maxFailureRate = 0.4
)

// target is an upstream to which this entry sends requests: a plain upstream,
// or the head of a replica group. A new incarnation, group or epoch is a new
// target.
type target struct {
	upstream fleet.Upstream
	model    string

	mu      sync.Mutex
	tracker balance.Tracker
	gaps    balance.GapTracker
	// deferred counts the deferred requests that have not started to run;
	// queuedPromptTokens adds up the prompt tokens of all requests that have not
	// started to run.
	deferred, queuedPromptTokens int
	// lastProgress is the time of the last response header or event. busySince is
	// the time since which there have been requests in flight.
	lastProgress, busySince time.Time
	// stallReported is the time of the last stall report, zero after progress.
	stallReported time.Time
	// backoffUntil is the time until which the target is avoided.
	backoffUntil time.Time
	failures     int
	failureRate  float64

	// probe is held while the upstream is probed; probedAt is the time of the
	// last probe, and probedEnd whether it found that the upstream has ended.
	probe     sync.Mutex
	probedAt  time.Time
	probedEnd bool
}

// incarnation identifies the process of the upstream for quarantine.
func (t *target) incarnation() quarantine.Target {
	return quarantine.Target{Upstream: t.upstream.ID, Incarnation: uint64(t.upstream.StartMillis)}
}

// process identifies the process of the upstream for its limit.
func (t *target) process() upstreamlimit.Target {
	return upstreamlimit.Target{Upstream: t.upstream.ID, Incarnation: uint64(t.upstream.StartMillis)}
}

// targetKey identifies a target.
type targetKey struct {
	id          string
	startMillis int64
	group       string
	epoch       uint64
}

func targetKeyOf(u *fleet.Upstream) targetKey {
	return targetKey{u.ID, u.StartMillis, u.Member.Group, u.Member.Epoch}
}

// requestLoad is the load that one request adds to a target.
type requestLoad struct {
	t                  *target
	deferred           int
	queuedPromptTokens int
}

// addRequest adds the load of a request that is about to be sent.
func (t *target) addRequest(now time.Time, prompt int, deferred bool) *requestLoad {
	l := &requestLoad{t: t, queuedPromptTokens: prompt}
	if deferred {
		l.deferred = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.tracker.InFlight == 0 {
		t.busySince = now
	}
	t.tracker.Send()
	t.deferred += l.deferred
	t.queuedPromptTokens += l.queuedPromptTokens
	return l
}

// started records that the request has started to run.
func (l *requestLoad) started() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.clearPending()
}

// clearPending removes the load that counts only until a request starts to run.
// The caller holds the target's mu.
func (l *requestLoad) clearPending() {
	l.t.deferred -= l.deferred
	l.t.queuedPromptTokens -= l.queuedPromptTokens
	l.deferred, l.queuedPromptTokens = 0, 0
}

// end removes the load of a request that has ended.
func (l *requestLoad) end() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.clearPending()
	l.t.tracker.End()
}

// recordLoad records a load reported by the upstream.
func (t *target) recordLoad(now time.Time, l *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Report(now, float64(l.Running+l.Waiting))
}

// inFlight returns the number of this entry's requests in flight at the target.
func (t *target) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.InFlight
}

// recordOthers records the number of requests that other entries have in flight
// at the target.
func (t *target) recordOthers(now time.Time, others float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Share(now, others)
}

// recordProgress records that the target has sent a response header or an
// event.
func (t *target) recordProgress(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastProgress = now
	t.stallReported = time.Time{}
}

// recordGap records the time between two events of one stream.
func (t *target) recordGap(now time.Time, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gaps.Observe(now, gap)
}

// eventGap returns the moving average of the time between events, zero if it is
// unknown.
func (t *target) eventGap(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.gaps.Gap(now)
}

// claimStallReport reports whether a stall report is due, and records that the
// caller sends it. Reports are repeated while the stall lasts.
func (t *target) claimStallReport(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	const stallReportInterval = 500 * time.Millisecond
	if now.Sub(t.stallReported) <= stallReportInterval {
		return false
	}
	t.stallReported = now
	return true
}

// backOff keeps new requests away from a stalled target.
func (t *target) backOff(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = now.Add(maxBackoff)
}

// idleTime returns the time since the last progress or since the given time,
// whichever is shorter.
func (t *target) idleTime(now, since time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.lastProgress.After(since) {
		return now.Sub(t.lastProgress)
	}
	return now.Sub(since)
}

// progressSince reports whether the target has made progress after the given
// time.
func (t *target) progressSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lastProgress.After(since)
}

// recordSuccess records a successful response, which ends a backoff.
func (t *target) recordSuccess() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.backoffUntil = time.Time{}
	t.failureRate *= 1 - failureRateWeight
}

// recordFailure records a failed or truncated response.
func (t *target) recordFailure(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failureRate += failureRateWeight * (1 - t.failureRate)
}

// recordUnreachable backs off from an upstream that could not be reached,
// refused to run a request, or broke the connection.
func (t *target) recordUnreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backoffUntil = now.Add(min(initialBackoff<<min(t.failures, 4), maxBackoff))
	t.failures++
}

// recordSlowConnect keeps new requests away from an upstream that has not
// accepted a connection within connectTimeout.
func (t *target) recordSlowConnect(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if until := now.Add(initialBackoff); until.After(t.backoffUntil) {
		t.backoffUntil = until
	}
}

// candidate returns the estimated load of the target and whether it is avoided.
// Occupancy is the time that a request runs there.
func (t *target) candidate(now time.Time, entries, slots int, occupancy time.Duration) (c balance.Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Slots = slots
	estimate := t.tracker.Estimate(now, entries, slots, occupancy)
	c.Running, c.EndedSinceMeasurement = estimate.Running, estimate.EndedSinceMeasurement
	if t.tracker.InFlight > 0 {
		c.Deferred = c.Running * float64(t.deferred) / float64(t.tracker.InFlight)
	}
	c.QueuedPromptTokens = float64(t.queuedPromptTokens)
	c.Avoided = t.avoidedLocked(now) || t.quiet(now)
	return c
}

// quiet reports whether the target has requests in flight and has made no
// progress for quietTimeout. The caller holds mu.
func (t *target) quiet(now time.Time) bool {
	return t.tracker.InFlight > 0 && now.Sub(t.lastProgress) > quietTimeout && now.Sub(t.busySince) > quietTimeout
}

// avoidedLocked reports whether the target has failed recently. The caller
// holds mu.
func (t *target) avoidedLocked(now time.Time) bool {
	return now.Before(t.backoffUntil) || t.failureRate > maxFailureRate
}

// avoided is avoidedLocked for callers that do not hold mu.
func (t *target) avoided(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoidedLocked(now)
}
