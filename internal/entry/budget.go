package entry

import (
	"sync"
	"time"
)

// budget bounds the sends beyond the first of each request, for one service
// over a sliding window: a share of the first sends, and this entry's part of
// an allowance that all entries have together.
type budget struct {
	mu     sync.Mutex
	firsts []time.Time
	more   []time.Time
}

// Budget is the bound on repeated sends.
type Budget struct {
	// Ratio is the allowed part of the first sends, Allowance what all entries
	// may send beyond it, in each Window.
	Ratio     float64
	Allowance int
	Window    time.Duration
}

// budgetShare is the part of the bound that entries use: they count by their
// own clocks and windows, and some sends are seen by no entry as repeated.
const budgetShare = 0.7

// first counts the first send of a request.
func (b *budget) first(now time.Time, o *Budget) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts = append(trim(b.firsts, now, o.Window), now)
}

// take reports whether one more send is within the bound, and counts it.
func (b *budget) take(now time.Time, o *Budget, entries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.firsts, b.more = trim(b.firsts, now, o.Window), trim(b.more, now, o.Window)
	allowed := budgetShare * (o.Ratio*float64(len(b.firsts)) + float64(o.Allowance)/float64(max(entries, 1)))
	if float64(len(b.more)+1) > allowed {
		return false
	}
	b.more = append(b.more, now)
	return true
}

func trim(times []time.Time, now time.Time, window time.Duration) []time.Time {
	n := 0
	for n < len(times) && now.Sub(times[n]) >= window {
		n++
	}
	return append(times[:0], times[n:]...)
}
