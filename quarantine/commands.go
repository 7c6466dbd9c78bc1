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
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, d.MaxCrashes)
	cfg.MaxDigests = cmp.Or(cfg.MaxDigests, d.MaxDigests)
	cfg.MaxVerdicts = cmp.Or(cfg.MaxVerdicts, d.MaxVerdicts)
	cfg.MaxCompleted = cmp.Or(cfg.MaxCompleted, d.MaxCompleted)
	return &Tracker{
		cfg: cfg, entries: []string{cfg.Self}, upstreams: map[string][]string{}, owned: map[string][]string{},
		crashes: map[Target]*crash{}, suspects: map[Digest][]*crash{},
		verdicts: map[Digest]time.Time{}, resendUntil: map[Digest]time.Time{},
		runs: map[uint64]*run{}, runsByDigest: map[Digest][]*run{}, runsByUpstream: map[string][]*run{},
		completed: map[Digest]time.Time{},
	}
}

// SetQuarantine changes the duration of new quarantines and the time for which
// crashes are kept.
func (b *Tracker) SetQuarantine(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Quarantine = d
}

// SetEntries replaces the set of reachable entries. Unreachable entries own no
// upstreams, and their reports are not awaited.
func (b *Tracker) SetEntries(now time.Time, entries []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := append([]string{b.cfg.Self}, entries...)
	sort.Strings(all)
	b.entries = all[:0]
	for i, e := range all {
		if i == 0 || e != all[i-1] {
			b.entries = append(b.entries, e)
		}
	}
	for service, ids := range b.upstreams {
		b.owned[service] = b.ownedUpstreams(ids)
	}
	for _, c := range b.crashOrder {
		b.quarantineCulprits(now, c)
	}
}

// SetUpstreams replaces the upstreams of a service. An empty list removes the
// service.
func (b *Tracker) SetUpstreams(service string, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.upstreams, service)
	delete(b.owned, service)
	if len(ids) > 0 {
		b.upstreams[service], b.owned[service] = slices.Clone(ids), b.ownedUpstreams(ids)
	}
}

// Start registers a run on an upstream that was picked according to the
// decision of Admit. If the decision has changed, or the upstream does not
// comply with it, Start registers nothing and returns the current decision and
// false.
func (b *Tracker) Start(now time.Time, service string, id uint64, d Digest, t Target) (Decision, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.runsByUpstream[t.Upstream] {
		if r.target.Incarnation < t.Incarnation {
			// A planned restart waits for the requests in flight, so this was a
			// crash.
			b.recordCrash(now, r.target)
			break
		}
	}
	decision := b.decideAdmission(now, d)
	switch {
	case decision.Action == Wait || decision.Action == Refuse:
		return decision, false
	case decision.Pin != "" && decision.Pin != t.Upstream:
		return decision, false
	case decision.Action == Isolate && decision.Pin == "" && !b.canIsolate(now, service, d, t.Upstream):
		return decision, false
	}
	r := &run{id: id, digest: d, target: t, isolated: decision.Action == Isolate}
	if decision.Pin != "" {
		r.isolated = b.runsByDigest[d][0].isolated
	}
	if r.isolated {
		// Tell the other entries, which hold back copies until this run ends.
		for _, c := range b.suspects[d] {
			c.placementChanged = true
		}
	}
	b.runs[id] = r
	b.runsByDigest[d] = append(b.runsByDigest[d], r)
	b.runsByUpstream[t.Upstream] = append(b.runsByUpstream[t.Upstream], r)
	return decision, true
}

// Finish ends a run. A completed request is cleared of all known crashes.
func (b *Tracker) Finish(now time.Time, id uint64, result RunResult) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil {
		return nil // already removed by the report of a crash
	}
	delete(b.runs, id)
	if result == Cancelled || result == Failed {
		r.endedAt = now
		if result == Failed {
			b.removeFromDigest(r)
		}
		return nil
	}
	b.removeFromDigest(r)
	b.removeFromUpstream(r)
	if result != Completed {
		return nil
	}
	b.recordCompletion(now, r.digest)
	return b.clearRequest(now, r.digest)
}

// Crashed records a crash of a target that this entry detected: its connections
// were reset and it is gone, its lease expired, or membership shows a newer
// incarnation. All requests in flight there become suspects, so Crashed must be
// called before any of them is retried. The caller must send the returned messages
// to all other entries.
func (b *Tracker) Crashed(now time.Time, t Target) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sendCrashes(now, []*crash{b.recordCrash(now, t)})
}

func (b *Tracker) recordCrash(now time.Time, t Target) *crash {
	c := b.ensureCrash(now, t)
	b.addOwnReport(now, c)
	for _, r := range append([]*run(nil), b.runsByUpstream[t.Upstream]...) {
		if r.target != t {
			continue
		}
		delete(b.runs, r.id)
		b.removeFromDigest(r)
		b.removeFromUpstream(r)
	}
	b.quarantineCulprits(now, c)
	return c
}

// Merge merges a message from another entry. The caller must send the returned
// messages to all other entries.
func (b *Tracker) Merge(now time.Time, m Message) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.From == b.cfg.Self {
		return nil
	}
	var reply []*crash
	for i := range m.Evidence {
		e := &m.Evidence[i]
		known := b.crashes[e.Target] != nil
		c := b.ensureCrash(now, e.Target)
		b.ensureReport(c, m.From, e.Truncated)
		for _, a := range e.Requests {
			b.addRequest(c, m.From, a)
		}
		for _, d := range e.Cleared {
			b.addCleared(c, d)
		}
		c.peerSums[m.From] = e.Sum
		c.replyRequested = c.replyRequested || e.Open
		c.peerPlacements[m.From] = placements{e.Elsewhere, now}
		if c.reports[b.cfg.Self] == nil {
			b.addOwnReport(now, c)
		}
		b.quarantineCulprits(now, c)
		if !known {
			reply = append(reply, c)
		}
	}
	for _, v := range m.Verdicts {
		b.mergeVerdict(now, v)
	}
	return b.sendCrashes(now, reply)
}

// Tick removes expired state and returns messages that other entries may not have
// received. Call it every 50 ms while Busy returns true, otherwise every second.
func (b *Tracker) Tick(now time.Time) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var due []*crash
	for _, c := range b.crashOrder {
		resend := (c.replyRequested || c.sentPlacements || !b.converged(c)) && now.Sub(c.sentAt) >= b.cfg.Resend && now.Sub(c.knownSince) < b.cfg.Quarantine/2
		if resend || c.placementChanged || c.sum != c.sentSum {
			due = append(due, c)
		}
	}
	messages := b.sendCrashes(now, due)
	return append(messages, b.resendVerdicts(now)...)
}

func (b *Tracker) resendVerdicts(now time.Time) []Message {
	if len(b.resendUntil) == 0 || now.Sub(b.verdictsSentAt) < b.cfg.Resend {
		return nil
	}
	b.verdictsSentAt = now
	m := Message{From: b.cfg.Self}
	for d, end := range b.resendUntil {
		m.Verdicts = append(m.Verdicts, Verdict{d, b.verdicts[d]})
		if !now.Before(end) {
			delete(b.resendUntil, d)
		}
	}
	sortVerdicts(m.Verdicts)
	return []Message{m}
}

// expire removes expired crashes, verdicts, ended runs and completed requests.
func (b *Tracker) expire(now time.Time) {
	for len(b.crashOrder) > 0 && now.Sub(b.crashOrder[0].knownSince) >= b.cfg.Quarantine {
		b.removeCrash(b.crashOrder[0])
	}
	for d, until := range b.verdicts {
		if !now.Before(until) {
			delete(b.verdicts, d)
			delete(b.resendUntil, d)
		}
	}
	for _, rs := range b.runsByUpstream {
		for _, r := range append([]*run(nil), rs...) {
			if !r.endedAt.IsZero() && now.Sub(r.endedAt) >= b.cfg.EndedRetention {
				b.removeFromDigest(r)
				b.removeFromUpstream(r)
			}
		}
	}
	for len(b.completedOrder) > 0 {
		d := b.completedOrder[0]
		if at, ok := b.completed[d]; ok && now.Sub(at) < b.cfg.CompletedRetention && len(b.completedOrder) <= b.cfg.MaxCompleted {
			break
		} else if ok && now.Sub(at) >= b.cfg.CompletedRetention || len(b.completedOrder) > b.cfg.MaxCompleted {
			delete(b.completed, d)
		}
		b.completedOrder = b.completedOrder[1:]
	}
}
