package placement

import "time"

// loadLimiter keeps the use of the weight store within its bounds.
type loadLimiter struct {
	perSecond float64
	atOnce    int
	started   []time.Time
}

const (
	// loadWindow is the span over which the store's rate is kept.
	loadWindow = 5 * time.Second
	// coldStartFactor allows more loads at once before traffic: they take a
	// tenth of the time, so that orders and reports would leave the store idle.
	coldStartFactor = 1.5
)

// allow reports whether a number of loads may start beside those that run.
func (l *loadLimiter) allow(now time.Time, running, loads int, traffic bool) bool {
	if !traffic {
		return running == 0 || running+loads <= int(coldStartFactor*float64(l.atOnce))
	}
	recent := 0
	for _, at := range l.started {
		if now.Sub(at) < loadWindow {
			recent++
		}
	}
	withinRate := recent+loads <= int(l.perSecond*loadWindow.Seconds())
	return withinRate && (running == 0 || running+loads <= l.atOnce)
}

func (l *loadLimiter) note(now time.Time, loads int) {
	kept := l.started[:0]
	for _, at := range l.started {
		if now.Sub(at) < loadWindow {
			kept = append(kept, at)
		}
	}
	for range loads {
		kept = append(kept, now)
	}
	l.started = kept
}
