package entry

import (
	"math"
	"sync"
	"time"

	"github.com/bluebellfield/bluebellfield/fleet"
)

const (
	// reportDecay is the time in which the report of others' load at an
	// upstream loses most of its weight: streams last about two seconds.
	reportDecay = 2 * time.Second
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

	mu       sync.Mutex
	inFlight int
	// others is the load of other entries in the last report.
	others   float64
	reported time.Time
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

// begin counts a request that is sent.
func (t *target) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight++
}

func (t *target) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
}

// report takes in the load that the upstream told.
func (t *target) report(now time.Time, l *Load) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.others = math.Max(0, float64(l.Running+l.Waiting-t.inFlight))
	t.reported = now
}

// alive takes in a sign of life.
func (t *target) alive(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress = now
	t.suspected = time.Time{}
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

// estimate returns the requests at the upstream and whether it is avoided.
func (t *target) estimate(now time.Time) (running float64, avoided bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	others := t.others * math.Exp(-float64(now.Sub(t.reported))/float64(reportDecay))
	return float64(t.inFlight) + others, now.Before(t.avoidUntil) || t.failureRate > grievousRate
}
