package placement

import "time"

// loadLimiter limits the rate and the number of concurrent loads from the
// weight store.
type loadLimiter struct {
	perSecond     float64
	maxConcurrent int
	started       []time.Time
}

// loadWindow is the period over which the load rate is averaged.
const loadWindow = 5 * time.Second

// allow reports whether another load may start in addition to the running ones.
func (l *loadLimiter) allow(now time.Time, running int) bool {
	recent := 0
	for _, at := range l.started {
		if now.Sub(at) < loadWindow {
			recent++
		}
	}
	return recent < int(l.perSecond*loadWindow.Seconds()) && running < l.maxConcurrent
}

// record records the start of a load.
func (l *loadLimiter) record(now time.Time) {
	kept := l.started[:0]
	for _, at := range l.started {
		if now.Sub(at) < loadWindow {
			kept = append(kept, at)
		}
	}
	l.started = append(kept, now)
}
