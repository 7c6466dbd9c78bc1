package entry

import (
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/balance"
	"github.com/bluebellfield/bluebellfield/fleet"
)

const (
	// firstAvoidance is how long an upstream that could not be reached is
	// avoided; it doubles with each further failure.
	firstAvoidance = 500 * time.Millisecond
	maxAvoidance   = 4 * time.Second
	// failureWeight is the weight of the newest result in the failure rate.
	failureWeight = 0.15
	// grievousRate is the failure rate from which an upstream is avoided. The
	// usual rate of failed answers is below a sixth.
	grievousRate = 0.4
)

// target is an upstream as this entry uses it: a plain upstream, or the head of
// a replica group. A new incarnation, group or epoch is a new target.
type target struct {
	upstream fleet.Upstream
	model    string

	mu      sync.Mutex
	tracker balance.Tracker
	pace    balance.Pace
	// deferred counts the requests that were sent to give way and have not
	// begun, unread the prompt tokens of all that have not begun.
	deferred, unread int
	// progress is the time of the last sign of life.
	progress time.Time
	// suspected is set while the target stands still.
	suspected time.Time
	// avoidUntil ends an avoidance after failures.
	avoidUntil  time.Time
	failures    int
	failureRate float64
}

// targetKey identifies a target.
type targetKey struct {
	id    string
	born  int64
	group string
	epoch uint64
}

func keyOf(u *fleet.Upstream) targetKey {
	return targetKey{u.ID, u.Born, u.Member.Group, u.Member.Epoch}
}

// load is what one request adds to a target.
type load struct {
	t        *target
	deferred int
	unread   int
}

// begin counts a request that is sent.
func (t *target) begin(prompt int, deferred bool) *load {
	l := &load{t: t, unread: prompt}
	if deferred {
		l.deferred = 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Send()
	t.deferred += l.deferred
	t.unread += l.unread
	return l
}

// begun takes in that the request runs.
func (l *load) begun() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.settle()
}

// settle removes what counts until a request runs. The caller holds the
// target's mu.
func (l *load) settle() {
	l.t.deferred -= l.deferred
	l.t.unread -= l.unread
	l.deferred, l.unread = 0, 0
}

// end takes in that the request has ended.
func (l *load) end() {
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	l.settle()
	l.t.tracker.End()
}

// report takes in the load that the upstream told.
func (t *target) report(now time.Time, l *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Report(now, float64(l.Running+l.Waiting))
}

// inFlight returns the number of this entry's requests there.
func (t *target) inFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tracker.InFlight
}

// share takes in how many requests the other entries have there.
func (t *target) share(now time.Time, others float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tracker.Share(now, others)
}

// alive takes in a sign of life.
func (t *target) alive(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress = now
	t.suspected = time.Time{}
}

// event takes in the time since the event before of the same stream.
func (t *target) event(now time.Time, gap time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.pace.Observe(now, gap)
}

// gap returns the usual time between events, zero when it is not known.
func (t *target) gap(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pace.Gap(now)
}

// suspect marks the target as standing still and reports whether the control
// instances are to be told, which is repeated while it lasts.
func (t *target) suspect(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	const again = 500 * time.Millisecond
	if now.Sub(t.suspected) <= again {
		return false
	}
	t.suspected = now
	return true
}

// avoid keeps new requests away from a target that stands still.
func (t *target) avoid(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil = now.Add(maxAvoidance)
}

// silentFor returns the time since the last sign of life, at most that since
// the given time.
func (t *target) silentFor(now, since time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.progress.After(since) {
		return now.Sub(t.progress)
	}
	return now.Sub(since)
}

func (t *target) progressSince(since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.progress.After(since)
}

// succeeded takes in an answer.
func (t *target) succeeded() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failures = 0
	t.avoidUntil = time.Time{}
	t.failureRate *= 1 - failureWeight
}

// failed takes in a failure of the upstream.
func (t *target) failed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failureRate += failureWeight * (1 - t.failureRate)
}

// unreachable takes in that no connection could be opened, or that the
// upstream refuses work.
func (t *target) unreachable(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.avoidUntil = now.Add(min(firstAvoidance<<min(t.failures, 4), maxAvoidance))
	t.failures++
}

// estimate returns what the target runs and whether it is avoided. Occupancy
// is the time for which a request runs there.
func (t *target) estimate(now time.Time, entries, slots int, occupancy time.Duration) (c balance.Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.Slots = slots
	estimate := t.tracker.Estimate(now, entries, slots, occupancy)
	c.Running, c.Uncertain = estimate.Running, estimate.Uncertain
	if t.tracker.InFlight > 0 {
		c.Deferred = c.Running * float64(t.deferred) / float64(t.tracker.InFlight)
	}
	c.Unread = float64(t.unread)
	c.Avoided = t.avoided(now)
	return c
}

// avoided reports whether the target has failed lately. The caller holds mu.
func (t *target) avoided(now time.Time) bool {
	return now.Before(t.avoidUntil) || t.failureRate > grievousRate
}

func (t *target) isAvoided(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.avoided(now)
}
