package balance

import (
	"slices"
	"time"
)

// Pace follows the time between the events of an upstream's streams.
type Pace struct {
	gap time.Duration
	at  time.Time
}

const (
	// paceWeight is the weight of the newest gap: an entry sees some thirty
	// events a second of a group, so that about a second counts.
	paceWeight = 0.04
	// paceLife is the time after which a pace is no longer relied on. A slow
	// upstream gets requests again then, and is measured anew.
	paceLife = 3 * time.Second
	// slowFactor is the factor to the median from which an upstream counts as
	// slow; prompts that are read between events make gaps differ by less.
	slowFactor = 1.6
)

// Observe takes in the time between two events of a stream.
func (p *Pace) Observe(now time.Time, gap time.Duration) {
	if p.gap == 0 || now.Sub(p.at) > paceLife {
		p.gap = gap
	}
	p.gap += time.Duration(paceWeight * float64(gap-p.gap))
	p.at = now
}

// Gap returns the usual time between events, zero when it is not known.
func (p *Pace) Gap(now time.Time) time.Duration {
	if now.Sub(p.at) > paceLife {
		return 0
	}
	return p.gap
}

// Slowness compares the gaps of upstreams of one kind: 1 for those near the
// median or without a known gap, the factor to the median for slow ones.
func Slowness(gaps []time.Duration) []float64 {
	known := slices.DeleteFunc(slices.Clone(gaps), func(g time.Duration) bool { return g == 0 })
	slow := make([]float64, len(gaps))
	for i := range slow {
		slow[i] = 1
	}
	if len(known) == 0 {
		return slow
	}
	slices.Sort(known)
	median := float64(known[(len(known)-1)/2])
	for i, gap := range gaps {
		if factor := float64(gap) / max(median, 1); factor >= slowFactor {
			slow[i] = factor
		}
	}
	return slow
}
