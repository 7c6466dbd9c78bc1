package membership

import (
	"slices"
	"strings"
	"time"
)

// refillProbeTokens adds the probes that the rate limit allows since the last
// call.
func (r *Registry) refillProbeTokens(t int64) {
	rate := float64(r.cfg.ProbesPerSecond)
	r.probeTokens = min(rate, r.probeTokens+rate*float64(t-r.probeTokensAt)/float64(time.Second))
	r.probeTokensAt = t
}

// requestProbe adds a probe of an upstream to the next output if the limits
// allow it.
func (r *Registry) requestProbe(e *entry, a *Announcement, t int64) {
	if r.probeTokens < 1 || e.probedAt != never && t-e.probedAt < int64(probeInterval) {
		return
	}
	r.probeTokens--
	e.probedAt = t
	r.probes = append(r.probes, Probe{ID: e.id, Address: a.Address})
}

// chooseProbes requests probes of the upstreams whose last report is about to
// expire or whose registrars send no batches, oldest report first.
func (r *Registry) chooseProbes(t int64) {
	var due []*entry
	for _, e := range r.entries {
		if e.current != nil && !e.hasLeft && r.probeDue(e, t) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		if x, y := a.current.live.reportedAt.Load(), b.current.live.reportedAt.Load(); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	for _, e := range due {
		r.requestProbe(e, &e.current.Announcement, t)
	}
}

func (r *Registry) probeDue(e *entry, t int64) bool {
	if !r.expectsFreshReports(e) {
		return false
	}
	reportedAt := e.current.live.reportedAt.Load()
	age := t - reportedAt
	spacing := int64(probeInterval)
	if reportedAt == never || age > int64(r.cfg.AgeBound) {
		spacing = int64(lostProbeInterval)
	}
	if e.probedAt != never && t-e.probedAt < spacing {
		return false
	}
	return reportedAt == never || age > int64(r.cfg.ProbeAge) || r.registrarsSilent(e, t)
}

// expectsFreshReports reports whether this daemon normally has recent reports of
// an upstream: the upstream belongs to the same failure domain, or the period of
// batches between failure domains is no longer than that within one.
func (r *Registry) expectsFreshReports(e *entry) bool {
	return e.current.FailureDomain == r.cfg.FailureDomain || r.period(remoteClass) <= int64(r.cfg.Period)
}

// registrarsSilent reports whether none of the daemons that hold a lease of the
// upstream has sent a batch within maxSilentPeriods. It is false if this daemon
// holds a lease itself or has a recent response to a probe.
func (r *Registry) registrarsSilent(e *entry, t int64) bool {
	limit := int64(maxSilentPeriods * float64(r.cfg.Period))
	for _, s := range e.sources {
		if s.reporter == r.cfg.ID || s == e.probe && t-s.reportedAt < limit {
			return false
		}
		if p := r.peers[s.reporter]; p != nil && t-p.receivedAt < limit {
			return false
		}
	}
	return true
}
