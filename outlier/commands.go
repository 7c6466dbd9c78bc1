package outlier

import (
	"sort"
	"time"
)

// New returns a detector that knows no upstreams.
func New(cfg Config) *Detector { return &Detector{cfg: cfg.withDefaults()} }

// SetUpstreams replaces the list of the upstreams of a service. An empty list
// forgets the service. The result holds the upstreams that are readmitted
// early because the list became shorter.
func (d *Detector) SetUpstreams(now time.Time, name string, ids []string) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	i := sort.Search(len(d.services), func(i int) bool { return d.services[i].name >= name })
	found := i < len(d.services) && d.services[i].name == name
	if len(ids) == 0 {
		if found {
			d.services = append(d.services[:i], d.services[i+1:]...)
		}
		return nil
	}
	if !found {
		d.services = append(d.services, nil)
		copy(d.services[i+1:], d.services[i:])
		d.services[i] = &service{name: name}
	}
	s := d.services[i]
	records := make([]*record, 0, len(ids))
	for _, id := range ids {
		if r := s.find(id); r != nil {
			records = append(records, r)
		} else {
			records = append(records, &record{id: id, step: lastStep, since: now, heard: now})
		}
	}
	sort.Slice(records, func(i, j int) bool { return records[i].id < records[j].id })
	s.records = records
	return d.keepFloor(now, s)
}

// Observe takes in the result of a request. Latency is that of the first byte,
// or any other measure that is comparable between peers; it counts for Success
// only.
func (d *Detector) Observe(now time.Time, serviceName, upstream string, result Result, latency time.Duration) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, r := d.find(serviceName, upstream)
	if r == nil {
		return nil
	}
	r.take(now, result, latency)
	if r.step == lastStep {
		r.suspect(d.cfg.Failures, d.cfg.Timeouts)
	} else {
		r.suspect(d.cfg.ProbeFaults, d.cfg.ProbeFaults)
	}
	if r.pending != "" && r.step > 0 {
		return d.eject(now, s, r)
	}
	return nil
}

// Heard notes a sign of life of an upstream, such as a heartbeat. An upstream
// that was silent for longer than PauseGap is ejected on its return.
func (d *Detector) Heard(now time.Time, serviceName, upstream string) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, r := d.find(serviceName, upstream)
	if r == nil {
		return nil
	}
	gap := now.Sub(r.heard)
	r.heard = now
	if gap < d.cfg.PauseGap || r.step == 0 {
		return nil
	}
	r.pending = CausePause
	return d.eject(now, s, r)
}

// Tick compares latencies, carries out ejections that the limit delayed, and
// advances readmission. It is meant to be called about once a second.
func (d *Detector) Tick(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, s := range d.services {
		for _, r := range s.records {
			if c := d.advance(now, s, r); c != nil {
				changes = append(changes, *c)
			}
		}
		d.compare(now, s)
		for _, r := range s.records {
			if r.pending != "" && r.step > 0 {
				changes = append(changes, d.eject(now, s, r)...)
			}
		}
	}
	return changes
}

// take updates the counts of consecutive faults and the latency samples.
func (r *record) take(now time.Time, result Result, latency time.Duration) {
	switch result {
	case Success:
		r.failures, r.timeouts = 0, 0
		r.pending = ""
		r.ring[r.taken%samples] = sample{now, latency}
		r.taken++
	case Failure:
		r.failures++
	case Timeout:
		r.timeouts++
	case Reset:
		r.pending = CauseReset
	case Stall:
		r.pending = CausePause
	}
}

func (r *record) suspect(failures, timeouts int) {
	switch {
	case r.pending != "":
	case r.failures >= failures:
		r.pending = CauseFailures
	case r.timeouts >= timeouts:
		r.pending = CauseTimeouts
	}
}

// eject ejects an upstream unless the limit of its service is reached; the
// ejection then stays pending until a success or until there is room.
func (d *Detector) eject(now time.Time, s *service, r *record) []Change {
	if s.ejected() >= d.limit(len(s.records)) {
		return nil
	}
	if r.step == lastStep && now.Sub(r.since) >= d.cfg.Forgive {
		r.ejections = 0
	}
	length := d.cfg.Ejection
	for i := 0; i < r.ejections && length < d.cfg.MaxEjection; i++ {
		length *= 2
	}
	r.ejections++
	r.cause, r.pending = r.pending, ""
	r.step, r.since, r.until = 0, now, now.Add(min(length, d.cfg.MaxEjection))
	r.failures, r.timeouts, r.taken = 0, 0, 0
	return []Change{{s.name, r.id, 0, r.cause}}
}

// advance moves an upstream to the next step of readmission when its time has
// come.
func (d *Detector) advance(now time.Time, s *service, r *record) *Change {
	switch {
	case r.step == lastStep:
		return nil
	case r.step == 0 && now.Before(r.until):
		return nil
	case r.step > 0 && now.Before(r.since.Add(d.cfg.Step)):
		return nil
	}
	return r.readmit(now, s)
}

func (r *record) readmit(now time.Time, s *service) *Change {
	if r.step == 0 {
		// What requests from before the ejection show is out of date.
		r.failures, r.timeouts, r.taken, r.pending = 0, 0, 0, ""
	}
	r.step++
	r.since = now
	return &Change{Service: s.name, Upstream: r.id, Share: steps[r.step]}
}

// keepFloor readmits the upstreams that have been ejected longest while more
// are ejected than the limit allows.
func (d *Detector) keepFloor(now time.Time, s *service) []Change {
	var changes []Change
	for s.ejected() > d.limit(len(s.records)) {
		var first *record
		for _, r := range s.records {
			if r.step == 0 && (first == nil || r.since.Before(first.since)) {
				first = r
			}
		}
		changes = append(changes, *first.readmit(now, s))
	}
	return changes
}
