package membership

import (
	"slices"
	"strings"
	"time"
)

// refill adds the probes that the time since the last refill allows.
func (r *Registry) refill(t int64) {
	rate := float64(r.cfg.ProbesPerSecond)
	r.tokens = min(rate, r.tokens+rate*float64(t-r.filled)/float64(time.Second))
	r.filled = t
}

// ask probes an upstream at once when the limit allows it.
func (r *Registry) ask(e *entry, a *Announcement, t int64) {
	if r.tokens < 1 || e.probeAt != never && t-e.probeAt < int64(probeSpacing) {
		return
	}
	r.tokens--
	e.probeAt = t
	r.probes = append(r.probes, Probe{ID: e.id, Address: a.Address})
}

// chooseProbes asks the upstreams whose information is about to get too old
// or whose registrars are silent, oldest first.
func (r *Registry) chooseProbes(t int64) {
	var due []*entry
	for _, e := range r.entries {
		if e.current != nil && !e.left && r.wantsProbe(e, t) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		if x, y := a.current.cell.last.Load(), b.current.cell.last.Load(); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return strings.Compare(a.id, b.id)
	})
	for _, e := range due {
		r.ask(e, &e.current.Announcement, t)
	}
}

func (r *Registry) wantsProbe(e *entry, t int64) bool {
	if !r.nearby(e) {
		return false
	}
	last := e.current.cell.last.Load()
	age := t - last
	spacing := int64(probeSpacing)
	if last == never || age > int64(r.cfg.AgeBound) {
		spacing = int64(probeLostSpacing)
	}
	if e.probeAt != never && t-e.probeAt < spacing {
		return false
	}
	return last == never || age > int64(r.cfg.ProbeAge) || r.silent(e, t)
}

// nearby reports whether this daemon is meant to have young information of an
// upstream: it belongs to the failure domain, or the period of batches between
// failure domains is short.
func (r *Registry) nearby(e *entry) bool {
	return e.current.FailureDomain == r.cfg.FailureDomain || r.period(remotePeers) <= int64(r.cfg.Period)
}

// silent reports whether no daemon that holds a lease has been heard lately.
func (r *Registry) silent(e *entry, t int64) bool {
	limit := int64(silentPeriods * float64(r.cfg.Period))
	for _, s := range e.sources {
		if s.from == r.cfg.ID || s == e.probe && t-s.last < limit {
			return false
		}
		if p := r.peers[s.from]; p != nil && t-p.heardAt < limit {
			return false
		}
	}
	return true
}
