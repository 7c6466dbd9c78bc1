package quarantine

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// New returns a Tracker for an entry that knows no other entries.
func New(cfg Config) *Tracker {
	d := DefaultConfig()
	cfg.Quarantine = cmp.Or(cfg.Quarantine, d.Quarantine)
	cfg.ReportTimeout = cmp.Or(cfg.ReportTimeout, d.ReportTimeout)
	cfg.EndedRetention = cmp.Or(cfg.EndedRetention, d.EndedRetention)
	cfg.Resend = cmp.Or(cfg.Resend, d.Resend)
	cfg.CompletedRetention = cmp.Or(cfg.CompletedRetention, d.CompletedRetention)
	cfg.SoundRetention = cmp.Or(cfg.SoundRetention, d.SoundRetention)
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, d.MaxCrashes)
	cfg.MaxDigests = cmp.Or(cfg.MaxDigests, d.MaxDigests)
	cfg.MaxVerdicts = cmp.Or(cfg.MaxVerdicts, d.MaxVerdicts)
	cfg.MaxCompleted = cmp.Or(cfg.MaxCompleted, d.MaxCompleted)
	return &Tracker{
		cfg: cfg, entries: []string{cfg.Self}, upstreams: map[string][]string{}, owned: map[string][]string{},
		crashes: map[Target]*crash{}, suspects: map[Digest][]*crash{},
		verdicts: map[Digest]time.Time{}, resendUntil: map[Digest]time.Time{},
		runs: map[uint64]*run{}, runsByDigest: map[Digest][]*run{}, runsByUpstream: map[string][]*run{},
		interrupted: map[Digest]time.Time{}, completed: map[Digest]time.Time{},
	}
}

// SetQuarantine changes the duration of new quarantines and the time for which
// crashes are kept.
func (t *Tracker) SetQuarantine(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cfg.Quarantine = d
}

// SetEntries replaces the set of reachable entries. Unreachable entries own no
// upstreams, and their reports are not awaited.
func (t *Tracker) SetEntries(now time.Time, entries []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := append([]string{t.cfg.Self}, entries...)
	sort.Strings(all)
	all = slices.Compact(all)
	if slices.Equal(all, t.entries) {
		return
	}
	t.entries = all
	for service, ids := range t.upstreams {
		t.owned[service] = t.ownedUpstreams(ids)
	}
	for _, c := range t.crashOrder {
		t.quarantineCulprits(now, c)
	}
}

// SetUpstreams replaces the upstreams of a service. An empty list removes the
// service.
func (t *Tracker) SetUpstreams(service string, ids []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if slices.Equal(ids, t.upstreams[service]) {
		return
	}
	delete(t.upstreams, service)
	delete(t.owned, service)
	if len(ids) > 0 {
		t.upstreams[service], t.owned[service] = slices.Clone(ids), t.ownedUpstreams(ids)
	}
}

// Start registers a run on an upstream that was picked according to the decision
// of Admit. It decides again, and if the current decision does not allow the run
// on this upstream, it registers nothing and returns that decision and false. If
// this entry still has runs on an older incarnation of the upstream, Start first
// records a crash of that incarnation, which the next Tick reports. The parts are
// those of the prompt that other requests may share.
func (t *Tracker) Start(now time.Time, service string, id uint64, d Digest, target Target, parts ...Digest) (Decision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.runsByUpstream[target.Upstream] {
		if r.target.Incarnation < target.Incarnation {
			// A planned restart waits for the requests in flight, so this was a
			// crash.
			t.recordCrash(now, r.target)
			break
		}
	}
	decision := t.decideAdmission(now, d, parts)
	switch {
	case decision.Action == Wait || decision.Action == Refuse:
		return decision, false
	case decision.Pin != "" && decision.Pin != target.Upstream:
		return decision, false
	case decision.Action == Isolate && decision.Pin == "" && !t.canIsolate(now, service, d, parts, target.Upstream):
		return decision, false
	}
	r := &run{id: id, digest: d, parts: parts, target: target, isolated: decision.Action == Isolate}
	if decision.Pin != "" {
		r.isolated = t.runsByDigest[d][0].isolated
	}
	if r.isolated {
		// Tell the other entries, which hold back copies until this run ends.
		for _, key := range keysOf(d, parts) {
			for _, c := range t.suspects[key] {
				c.placementChanged = true
			}
		}
	}
	t.runs[id] = r
	t.runsByDigest[d] = append(t.runsByDigest[d], r)
	t.runsByUpstream[target.Upstream] = append(t.runsByUpstream[target.Upstream], r)
	return decision, true
}

// Progressed records that a run has come past the start of its answer. Its parts
// are cleared of all known crashes, since a part that crashes upstreams does so as
// soon as one begins to write an answer on it. The request itself is not cleared,
// but as long as no crash has interrupted it before, it is not a suspect of the
// next one.
func (t *Tracker) Progressed(now time.Time, id uint64) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[id]
	if r == nil || r.progressed {
		return nil
	}
	r.progressed = true
	return t.recordSound(now, r.parts)
}

// Finish ends a run. A completed request is cleared of all known crashes, and so
// are its parts.
func (t *Tracker) Finish(now time.Time, id uint64, result RunResult) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.runs[id]
	if r == nil {
		return nil // already removed by the report of a crash
	}
	delete(t.runs, id)
	if result == Cancelled || result == Failed {
		r.endedAt = now
		if result == Failed {
			t.removeFromDigest(r)
		}
		return nil
	}
	t.removeFromDigest(r)
	t.removeFromUpstream(r)
	if result != Completed {
		return nil
	}
	return t.recordSound(now, keysOf(r.digest, r.parts))
}

// Crashed records a crash of a target that this entry detected: its connections
// were reset and it is gone, its lease expired, or membership shows a newer
// incarnation. All requests in flight there become suspects, so Crashed must be
// called before any of them is retried. The caller must send the returned messages
// to all other entries. Each request that a crash interrupts may report it; the
// repeated reports return nothing.
func (t *Tracker) Crashed(now time.Time, target Target) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if c := t.crashes[target]; c != nil && c.reports[t.cfg.Self] != nil && !t.runsOn(target) {
		return nil
	}
	return t.sendCrashes(now, []*crash{t.recordCrash(now, target)})
}

// runsOn reports whether this entry has a run on a target.
func (t *Tracker) runsOn(target Target) bool {
	return slices.ContainsFunc(t.runsByUpstream[target.Upstream], func(r *run) bool { return r.target == target })
}

func (t *Tracker) recordCrash(now time.Time, target Target) *crash {
	c := t.ensureCrash(now, target)
	t.addOwnReport(now, c)
	for _, r := range append([]*run(nil), t.runsByUpstream[target.Upstream]...) {
		if r.target != target {
			continue
		}
		delete(t.runs, r.id)
		t.removeFromDigest(r)
		t.removeFromUpstream(r)
	}
	t.quarantineCulprits(now, c)
	return c
}

// Merge merges a message from another entry. The caller must send the returned
// messages to all other entries.
func (t *Tracker) Merge(now time.Time, m Message) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if m.From == t.cfg.Self {
		return nil
	}
	var reply []*crash
	for i := range m.Evidence {
		e := &m.Evidence[i]
		known := t.crashes[e.Target] != nil
		c := t.ensureCrash(now, e.Target)
		t.ensureReport(c, m.From, e.Truncated)
		for _, a := range e.Requests {
			t.addRequest(now, c, m.From, a)
			t.lowerDepth(c, a.Digest)
		}
		for _, p := range e.Depths {
			c.addDepth(p.Digest, p.Depth)
		}
		for _, d := range e.Cleared {
			t.addCleared(c, d)
		}
		c.peerSums[m.From] = sums{all: e.Sum, reports: e.ReportSum}
		c.replyRequested = c.replyRequested || e.Open
		c.peerPlacements[m.From] = placements{e.Elsewhere, now}
		if c.reports[t.cfg.Self] == nil {
			t.addOwnReport(now, c)
		}
		t.quarantineCulprits(now, c)
		if !known {
			reply = append(reply, c)
		}
	}
	for _, v := range m.Verdicts {
		t.mergeVerdict(now, v)
	}
	return t.sendCrashes(now, reply)
}

// Tick removes expired state and returns messages that other entries may not have
// received. Call it every 50 ms while Busy returns true, otherwise every second.
func (t *Tracker) Tick(now time.Time) []Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	t.settleOverdue(now)
	var due []*crash
	for _, c := range t.crashOrder {
		resend := (c.replyRequested || c.sentPlacements || !t.converged(c)) && now.Sub(c.sentAt) >= t.resendInterval(now, c) && now.Sub(c.knownSince) < t.cfg.Quarantine/2
		if resend || t.hasNews(c) {
			due = append(due, c)
		}
	}
	messages := t.sendCrashes(now, due)
	return append(messages, t.resendVerdicts(now)...)
}

// lateResendFactor multiplies the interval of resending once suspects no longer
// wait for reports. An entry that is listed as reachable but does not answer would
// otherwise cost a message to each entry from each other one at every interval.
const lateResendFactor = 8

// resendInterval returns the interval at which the evidence of a crash is sent
// again.
func (t *Tracker) resendInterval(now time.Time, c *crash) time.Duration {
	if now.Sub(c.knownSince) < 2*t.cfg.ReportTimeout {
		return t.cfg.Resend
	}
	return lateResendFactor * t.cfg.Resend
}

func (t *Tracker) resendVerdicts(now time.Time) []Message {
	if len(t.resendUntil) == 0 || now.Sub(t.verdictsSentAt) < t.cfg.Resend {
		return nil
	}
	t.verdictsSentAt = now
	m := Message{From: t.cfg.Self}
	for d, end := range t.resendUntil {
		m.Verdicts = append(m.Verdicts, Verdict{d, t.verdicts[d]})
		if !now.Before(end) {
			delete(t.resendUntil, d)
		}
	}
	sortVerdicts(m.Verdicts)
	return []Message{m}
}

// expire removes expired crashes, verdicts, ended runs and completed requests.
func (t *Tracker) expire(now time.Time) {
	for len(t.crashOrder) > 0 && now.Sub(t.crashOrder[0].knownSince) >= t.cfg.Quarantine {
		t.removeCrash(t.crashOrder[0])
	}
	for d, until := range t.verdicts {
		if !now.Before(until) {
			delete(t.verdicts, d)
			delete(t.resendUntil, d)
		}
	}
	for d, at := range t.interrupted {
		if now.Sub(at) >= t.cfg.CompletedRetention {
			delete(t.interrupted, d)
		}
	}
	for _, rs := range t.runsByUpstream {
		for _, r := range append([]*run(nil), rs...) {
			if !r.endedAt.IsZero() && now.Sub(r.endedAt) >= t.cfg.EndedRetention {
				t.removeFromDigest(r)
				t.removeFromUpstream(r)
			}
		}
	}
	for len(t.completedOrder) > 0 {
		d := t.completedOrder[0]
		if at, ok := t.completed[d]; ok && now.Sub(at) < t.cfg.CompletedRetention && len(t.completedOrder) <= t.cfg.MaxCompleted {
			break
		} else if ok && now.Sub(at) >= t.cfg.CompletedRetention || len(t.completedOrder) > t.cfg.MaxCompleted {
			delete(t.completed, d)
		}
		t.completedOrder = t.completedOrder[1:]
	}
}
