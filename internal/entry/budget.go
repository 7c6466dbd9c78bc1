package entry

import (
	"sync"
	"time"
)

// retryLimiter limits the retries of one service within a sliding window to a
// ratio of the first attempts plus this entry's part of an allowance shared by
// all entries.
type retryLimiter struct {
	mu            sync.Mutex
	firstAttempts []time.Time
	retries       []time.Time
}

// RetryBudget configures the retry limit of a service.
type RetryBudget struct {
	// Ratio is the allowed number of retries per first attempt. Allowance is
	// the number of retries that all entries together may send beyond it. Both
	// apply to each Window.
	Ratio     float64
	Allowance int
	Window    time.Duration
}

// budgetSafetyFactor is the fraction of the limit that an entry uses. The rest
// covers differences between the entries' clocks and windows, and retries that
// no entry recognizes as such.
const budgetSafetyFactor = 0.7

// recordFirst counts the first attempt of a request.
func (l *retryLimiter) recordFirst(now time.Time, limits *RetryBudget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstAttempts = append(dropExpired(l.firstAttempts, now, limits.Window), now)
}

// takeRetry reports whether one more retry is within the limit and, if so,
// counts it.
func (l *retryLimiter) takeRetry(now time.Time, limits *RetryBudget, entries int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.firstAttempts, l.retries = dropExpired(l.firstAttempts, now, limits.Window), dropExpired(l.retries, now, limits.Window)
	allowed := budgetSafetyFactor * (limits.Ratio*float64(len(l.firstAttempts)) + float64(limits.Allowance)/float64(max(entries, 1)))
	if float64(len(l.retries)+1) > allowed {
		return false
	}
	l.retries = append(l.retries, now)
	return true
}

// dropExpired removes the times that lie outside the window. It reuses the
// slice.
func dropExpired(times []time.Time, now time.Time, window time.Duration) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	return append(times[:0], times[n:]...)
}
