package outlier

import (
	"sort"
	"time"
)

// New returns a detector that tracks no upstreams.
func New(cfg Config) *Detector { return &Detector{cfg: cfg.withDefaults()} }

// SetUpstreams replaces the upstreams of a service. An empty list removes the
// service. It returns the upstreams that are readmitted early because a shorter
// list lowers the ejection limit.
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
		d.services[i] = &serviceState{name: name}
	}
	s := d.services[i]
	upstreams := make([]*upstreamState, 0, len(ids))
	for _, id := range ids {
		if u := s.find(id); u != nil {
			upstreams = append(upstreams, u)
		} else {
			upstreams = append(upstreams, &upstreamState{id: id, step: lastStep, stepStartedAt: now, lastHeartbeat: now})
		}
	}
	sort.Slice(upstreams, func(i, j int) bool { return upstreams[i].id < upstreams[j].id })
	s.upstreams = upstreams
	return d.readmitExcess(now, s)
}

// Observe records the result of a request. The latency is the time to the first
// byte, or another measure that is comparable between peers; it is used for
// Success only.
func (d *Detector) Observe(now time.Time, service, upstream string, result Result, latency time.Duration) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, u := d.find(service, upstream)
	if u == nil {
		return nil
	}
	u.recordResult(now, result, latency)
	if u.step == lastStep {
		u.updatePending(d.cfg.Failures, d.cfg.Timeouts)
	} else {
		u.updatePending(d.cfg.ReadmissionFailures, d.cfg.ReadmissionFailures)
	}
	if u.pendingCause != "" && u.step > 0 {
		return d.eject(now, s, u)
	}
	return nil
}

// RecordHeartbeat records a heartbeat or other message from an upstream. An
// upstream that returns after PauseGap or longer without one is ejected.
func (d *Detector) RecordHeartbeat(now time.Time, service, upstream string) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, u := d.find(service, upstream)
	if u == nil {
		return nil
	}
	gap := now.Sub(u.lastHeartbeat)
	u.lastHeartbeat = now
	if gap < d.cfg.PauseGap || u.step == 0 {
		return nil
	}
	u.pendingCause = CausePause
	return d.eject(now, s, u)
}

// Tick advances readmission, compares latencies and performs ejections that the
// limit had delayed. Call it about once per second.
func (d *Detector) Tick(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, s := range d.services {
		for _, u := range s.upstreams {
			if c := d.advance(now, s, u); c != nil {
				changes = append(changes, *c)
			}
		}
		d.detectSlow(now, s)
		for _, u := range s.upstreams {
			if u.pendingCause != "" && u.step > 0 {
				changes = append(changes, d.eject(now, s, u)...)
			}
		}
	}
	return changes
}

// recordResult updates the latency samples, the counts of consecutive failures
// and the pending ejection.
func (u *upstreamState) recordResult(now time.Time, result Result, latency time.Duration) {
	switch result {
	case Success:
		u.failures, u.timeouts = 0, 0
		u.pendingCause = ""
		u.recentLatencies[u.sampleCount%maxSamples] = sample{now, latency}
		u.sampleCount++
	case Failure:
		u.failures++
	case Timeout:
		u.timeouts++
	case Reset:
		u.pendingCause = CauseReset
	case Stall:
		u.pendingCause = CausePause
	}
}

// updatePending sets the cause of a pending ejection if a count of consecutive
// failures or timeouts has reached its threshold.
func (u *upstreamState) updatePending(failureThreshold, timeoutThreshold int) {
	switch {
	case u.pendingCause != "":
	case u.failures >= failureThreshold:
		u.pendingCause = CauseFailures
	case u.timeouts >= timeoutThreshold:
		u.pendingCause = CauseTimeouts
	}
}

// eject ejects an upstream. At the ejection limit of its service, the ejection
// stays pending until the upstream succeeds or the limit allows it.
func (d *Detector) eject(now time.Time, s *serviceState, u *upstreamState) []Change {
	if s.ejectedCount() >= d.maxEjected(len(s.upstreams)) {
		return nil
	}
	if u.step == lastStep && now.Sub(u.stepStartedAt) >= d.cfg.EjectionResetAfter {
		u.ejections = 0
	}
	duration := d.cfg.Ejection
	for i := 0; i < u.ejections && duration < d.cfg.MaxEjection; i++ {
		duration *= 2
	}
	u.ejections++
	u.cause, u.pendingCause = u.pendingCause, ""
	u.step, u.stepStartedAt, u.ejectedUntil = 0, now, now.Add(min(duration, d.cfg.MaxEjection))
	u.failures, u.timeouts, u.sampleCount = 0, 0, 0
	return []Change{{s.name, u.id, 0, u.cause}}
}

// advance moves an upstream to its next readmission step when the current one
// has ended.
func (d *Detector) advance(now time.Time, s *serviceState, u *upstreamState) *Change {
	switch {
	case u.step == lastStep:
		return nil
	case u.step == 0 && now.Before(u.ejectedUntil):
		return nil
	case u.step > 0 && now.Before(u.stepStartedAt.Add(d.cfg.Step)):
		return nil
	}
	return u.readmit(now, s)
}

func (u *upstreamState) readmit(now time.Time, s *serviceState) *Change {
	if u.step == 0 {
		// Discard results of requests that started before the ejection.
		u.failures, u.timeouts, u.sampleCount, u.pendingCause = 0, 0, 0, ""
	}
	u.step++
	u.stepStartedAt = now
	return &Change{Service: s.name, Upstream: u.id, Share: readmissionShares[u.step]}
}

// readmitExcess readmits the longest-ejected upstreams until the number of
// ejected ones is within the limit.
func (d *Detector) readmitExcess(now time.Time, s *serviceState) []Change {
	var changes []Change
	for s.ejectedCount() > d.maxEjected(len(s.upstreams)) {
		var longest *upstreamState
		for _, u := range s.upstreams {
			if u.step == 0 && (longest == nil || u.stepStartedAt.Before(longest.stepStartedAt)) {
				longest = u
			}
		}
		changes = append(changes, *longest.readmit(now, s))
	}
	return changes
}
