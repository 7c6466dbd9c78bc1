package outlier

import (
	"sort"
	"time"
)

// Status describes an upstream that has less than its full share.
type Status struct {
	Service, Upstream string
	// Share is in permille.
	Share int
	Cause Cause
	// Until is the end of the ejection or of the current readmission step.
	Until time.Time
}

// Share returns the traffic share of an upstream in permille, or FullShare if
// the upstream is unknown.
func (d *Detector) Share(service, upstream string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, u := d.find(service, upstream); u != nil {
		return readmissionShares[u.step]
	}
	return FullShare
}

// Status lists the upstreams that have less than their full share, ordered by
// service and id.
func (d *Detector) Status() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Status
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if u.step == lastStep {
				continue
			}
			until := u.ejectedUntil
			if u.step > 0 {
				until = u.stepStartedAt.Add(d.cfg.Step)
			}
			all = append(all, Status{s.name, u.id, readmissionShares[u.step], u.cause, until})
		}
	}
	return all
}

func (d *Detector) find(name, id string) (*serviceState, *upstreamState) {
	i := sort.Search(len(d.services), func(i int) bool { return d.services[i].name >= name })
	if i == len(d.services) || d.services[i].name != name {
		return nil, nil
	}
	return d.services[i], d.services[i].find(id)
}

func (s *serviceState) find(id string) *upstreamState {
	i := sort.Search(len(s.upstreams), func(i int) bool { return s.upstreams[i].id >= id })
	if i == len(s.upstreams) || s.upstreams[i].id != id {
		return nil
	}
	return s.upstreams[i]
}

func (s *serviceState) ejectedCount() int {
	n := 0
	for _, u := range s.upstreams {
		if u.step == 0 {
			n++
		}
	}
	return n
}

// maxEjected returns how many of n upstreams may be ejected at once: the
// configured fraction rounded down, but at least one if n is 2 or more, and
// never all.
func (d *Detector) maxEjected(n int) int {
	if n < 2 {
		return 0
	}
	return min(max(1, int(d.cfg.MaxEjected*float64(n))), n-1)
}

// detectSlow marks upstreams whose median latency is far above the median of
// all upstreams' medians. Medians keep a few slow peers, or one slow request,
// from shifting the baseline.
func (d *Detector) detectSlow(now time.Time, s *serviceState) {
	type candidate struct {
		upstream *upstreamState
		median   float64
	}
	var candidates []candidate
	var medians []float64
	for _, u := range s.upstreams {
		if latency, ok := d.medianOf(now, u); ok && u.step > 0 {
			candidates = append(candidates, candidate{u, latency})
			medians = append(medians, latency)
		}
	}
	if len(candidates) < d.cfg.MinPeers {
		return
	}
	baseline := median(medians)
	deviations := make([]float64, len(candidates))
	for i, c := range candidates {
		deviations[i] = max(c.median-baseline, baseline-c.median)
	}
	medianDeviation := median(deviations)
	threshold := max(baseline*d.cfg.SlowFactor, baseline+medianDeviation*d.cfg.SlowDeviations, baseline+d.cfg.SlowMargin.Seconds())
	for _, c := range candidates {
		if c.median > threshold {
			c.upstream.pendingCause = CauseSlow
		}
	}
}

// medianOf returns the median latency, in seconds, of the samples in the window.
// It returns false if there are fewer than MinSamples.
func (d *Detector) medianOf(now time.Time, u *upstreamState) (float64, bool) {
	var recent []float64
	for i := range min(u.sampleCount, maxSamples) {
		if now.Sub(u.recentLatencies[i].observedAt) <= d.cfg.Window {
			recent = append(recent, u.recentLatencies[i].latency.Seconds())
		}
	}
	if len(recent) < d.cfg.MinSamples {
		return 0, false
	}
	return median(recent), true
}

// median sorts values in place and returns the lower median.
func median(values []float64) float64 {
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}
