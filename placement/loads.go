package placement

import "time"

// loadLimiter keeps the use of the weight store within its bounds.
type loadLimiter struct {
	perSecond float64
	atOnce    int
	started   []time.Time
}

// loadWindow is the span over which the store's rate is kept.
const loadWindow = 5 * time.Second

// allow reports whether another load may start beside those that run.
func (l *loadLimiter) allow(now time.Time, running int) bool {
	recent := 0
	for _, at := range l.started {
		if now.Sub(at) < loadWindow {
			recent++
		}
	}
	return recent < int(l.perSecond*loadWindow.Seconds()) && running < l.atOnce
}

func (l *loadLimiter) note(now time.Time) {
	kept := l.started[:0]
	for _, at := range l.started {
		if now.Sub(at) < loadWindow {
			kept = append(kept, at)
		}
	}
	l.started = append(kept, now)
}
