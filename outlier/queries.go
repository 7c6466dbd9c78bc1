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
	// Until is the end of the ejection, or of the step of readmission.
	Until time.Time
}

// Share returns the permille of its traffic that an upstream gets, FullShare
// for an unknown one.
func (d *Detector) Share(serviceName, upstream string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, r := d.find(serviceName, upstream); r != nil {
		return steps[r.step]
	}
	return FullShare
}

// Status lists the upstreams that have less than their full share, by service
// and id.
func (d *Detector) Status() []Status {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []Status
	for _, s := range d.services {
		for _, r := range s.records {
			if r.step == lastStep {
				continue
			}
			until := r.until
			if r.step > 0 {
				until = r.since.Add(d.cfg.Step)
			}
			all = append(all, Status{s.name, r.id, steps[r.step], r.cause, until})
		}
	}
	return all
}

func (d *Detector) find(name, id string) (*service, *record) {
	i := sort.Search(len(d.services), func(i int) bool { return d.services[i].name >= name })
	if i == len(d.services) || d.services[i].name != name {
		return nil, nil
	}
	return d.services[i], d.services[i].find(id)
}

func (s *service) find(id string) *record {
	i := sort.Search(len(s.records), func(i int) bool { return s.records[i].id >= id })
	if i == len(s.records) || s.records[i].id != id {
		return nil
	}
	return s.records[i]
}

func (s *service) ejected() int {
	n := 0
	for _, r := range s.records {
		if r.step == 0 {
			n++
		}
	}
	return n
}

// limit returns the number of n upstreams that may be ejected at once: the
// fraction, rounded down, but one of two or more, and never all.
func (d *Detector) limit(n int) int {
	if n < 2 {
		return 0
	}
	return min(max(1, int(d.cfg.MaxEjected*float64(n))), n-1)
}

// compare marks upstreams whose median latency is far above the median of
// their peers' medians. Medians are used because a few slow peers, or one slow
// request, must not shift what counts as normal.
func (d *Detector) compare(now time.Time, s *service) {
	type entry struct {
		r      *record
		median float64
	}
	var entries []entry
	var medians []float64
	for _, r := range s.records {
		if latency, ok := d.medianOf(now, r); ok && r.step > 0 {
			entries = append(entries, entry{r, latency})
			medians = append(medians, latency)
		}
	}
	if len(entries) < d.cfg.MinPeers {
		return
	}
	centre := median(medians)
	deviations := make([]float64, len(entries))
	for i, e := range entries {
		deviations[i] = max(e.median-centre, centre-e.median)
	}
	spread := median(deviations)
	bound := max(centre*d.cfg.SlowFactor, centre+spread*d.cfg.SlowDeviations, centre+d.cfg.SlowMargin.Seconds())
	for _, e := range entries {
		if e.median > bound {
			e.r.pending = CauseSlow
		}
	}
}

// medianOf returns the median latency in seconds of the samples in the window.
func (d *Detector) medianOf(now time.Time, r *record) (float64, bool) {
	var recent []float64
	for i := range min(r.taken, samples) {
		if now.Sub(r.ring[i].at) <= d.cfg.Window {
			recent = append(recent, r.ring[i].latency.Seconds())
		}
	}
	if len(recent) < d.cfg.MinSamples {
		return 0, false
	}
	return median(recent), true
}

// median sorts values and returns the middle one, the lower of two.
func median(values []float64) float64 {
	sort.Float64s(values)
	return values[(len(values)-1)/2]
}
