package quarantine

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

// New returns a book of an entry that knows no other entries.
func New(cfg Config) *Book {
	d := DefaultConfig()
	cfg.Quarantine = cmp.Or(cfg.Quarantine, d.Quarantine)
	cfg.Settle = cmp.Or(cfg.Settle, d.Settle)
	cfg.Linger = cmp.Or(cfg.Linger, d.Linger)
	cfg.Resend = cmp.Or(cfg.Resend, d.Resend)
	cfg.Proven = cmp.Or(cfg.Proven, d.Proven)
	cfg.MaxCrashes = cmp.Or(cfg.MaxCrashes, d.MaxCrashes)
	cfg.MaxDigests = cmp.Or(cfg.MaxDigests, d.MaxDigests)
	cfg.MaxVerdicts = cmp.Or(cfg.MaxVerdicts, d.MaxVerdicts)
	cfg.MaxProven = cmp.Or(cfg.MaxProven, d.MaxProven)
	return &Book{
		cfg: cfg, entries: []string{cfg.Self}, upstreams: map[string][]string{}, owned: map[string][]string{},
		crashes: map[Target]*crash{}, suspects: map[Digest][]*crash{},
		verdicts: map[Digest]time.Time{}, fresh: map[Digest]time.Time{},
		runs: map[uint64]*run{}, placed: map[Digest][]*run{}, byTarget: map[string][]*run{},
		proven: map[Digest]time.Time{},
	}
}

// SetQuarantine changes the time for which requests are refused from now on.
func (b *Book) SetQuarantine(d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cfg.Quarantine = d
}

// SetEntries replaces the list of the entries that are reachable. Reports of
// other entries are not waited for, and they own no upstreams.
func (b *Book) SetEntries(now time.Time, entries []string) {
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
		b.owned[service] = b.ownedOf(ids)
	}
	for _, c := range b.order {
		b.decide(now, c)
	}
}

// SetUpstreams replaces the list of the upstreams of a service. An empty list
// forgets the service.
func (b *Book) SetUpstreams(service string, ids []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.upstreams, service)
	delete(b.owned, service)
	if len(ids) > 0 {
		b.upstreams[service], b.owned[service] = slices.Clone(ids), b.ownedOf(ids)
	}
}

// Start registers a run on the upstream that was picked under a ruling of
// Admit. Where the ruling has changed since, or the upstream does not comply
// with it, Start registers nothing and reports false with the present ruling.
func (b *Book) Start(now time.Time, service string, id uint64, d Digest, t Target) (Ruling, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.byTarget[t.Upstream] {
		if r.target.Incarnation < t.Incarnation {
			// A planned restart waits for its requests, so this was a crash.
			b.crashed(now, r.target)
			break
		}
	}
	ruling := b.rule(now, d)
	switch {
	case ruling.Action == Wait || ruling.Action == Refuse:
		return ruling, false
	case ruling.Pin != "" && ruling.Pin != t.Upstream:
		return ruling, false
	case ruling.Action == Isolate && ruling.Pin == "" && !b.mayIsolate(now, service, d, t.Upstream):
		return ruling, false
	}
	r := &run{id: id, digest: d, target: t, isolated: ruling.Action == Isolate}
	if ruling.Pin != "" {
		r.isolated = b.placed[d][0].isolated
	}
	if r.isolated {
		// The others hold their copies until this run has ended.
		for _, c := range b.suspects[d] {
			c.placed = true
		}
	}
	b.runs[id] = r
	b.placed[d] = append(b.placed[d], r)
	b.byTarget[t.Upstream] = append(b.byTarget[t.Upstream], r)
	return ruling, true
}

// Finish ends a run. A completed request is cleared of all crashes known so
// far.
func (b *Book) Finish(now time.Time, id uint64, ending Ending) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.runs[id]
	if r == nil {
		return nil // taken by the report of a crash
	}
	delete(b.runs, id)
	if ending == Cancelled || ending == Broken {
		r.ended = now
		if ending == Broken {
			b.unplace(r)
		}
		return nil
	}
	b.unplace(r)
	b.removeFromTarget(r)
	if ending != Completed {
		return nil
	}
	b.prove(now, r.digest)
	return b.clear(now, r.digest)
}

// Crashed reports the crash of a target that this entry observed: its
// connections were reset and it is gone, its lease ended, or membership shows a
// newer incarnation. All requests in flight there become suspects. It must be
// called before any of them is sent again. The message goes to all entries.
func (b *Book) Crashed(now time.Time, t Target) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.sendCrashes(now, []*crash{b.crashed(now, t)})
}

func (b *Book) crashed(now time.Time, t Target) *crash {
	c := b.crash(now, t)
	b.reportOwn(now, c)
	for _, r := range append([]*run(nil), b.byTarget[t.Upstream]...) {
		if r.target != t {
			continue
		}
		delete(b.runs, r.id)
		b.unplace(r)
		b.removeFromTarget(r)
	}
	b.decide(now, c)
	return c
}

// Merge takes in a message of another entry. The result goes to all entries.
func (b *Book) Merge(now time.Time, m Message) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	if m.From == b.cfg.Self {
		return nil
	}
	var answer []*crash
	for i := range m.Evidence {
		e := &m.Evidence[i]
		known := b.crashes[e.Target] != nil
		c := b.crash(now, e.Target)
		b.addReport(c, m.From, e.Truncated)
		for _, a := range e.Requests {
			b.accuse(c, m.From, a)
		}
		for _, d := range e.Cleared {
			b.addCleared(c, d)
		}
		c.sums[m.From] = e.Sum
		c.asked = c.asked || e.Open
		c.elsewhere[m.From] = placements{e.Elsewhere, now}
		if c.reports[b.cfg.Self] == nil {
			b.reportOwn(now, c)
		}
		b.decide(now, c)
		if !known {
			answer = append(answer, c)
		}
	}
	for _, v := range m.Verdicts {
		b.condemn(now, v)
	}
	return b.sendCrashes(now, answer)
}

// Tick forgets what is old and returns what other entries may lack. It is
// meant to be called every 50 ms while Busy reports true and every second
// otherwise.
func (b *Book) Tick(now time.Time) []Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var due []*crash
	for _, c := range b.order {
		again := (c.asked || c.placing || !b.agreed(c)) && now.Sub(c.sent) >= b.cfg.Resend && now.Sub(c.known) < b.cfg.Quarantine/2
		if again || c.placed || c.sum != c.sentSum {
			due = append(due, c)
		}
	}
	messages := b.sendCrashes(now, due)
	return append(messages, b.resendVerdicts(now)...)
}

func (b *Book) resendVerdicts(now time.Time) []Message {
	if len(b.fresh) == 0 || now.Sub(b.resent) < b.cfg.Resend {
		return nil
	}
	b.resent = now
	m := Message{From: b.cfg.Self}
	for d, end := range b.fresh {
		m.Verdicts = append(m.Verdicts, Verdict{d, b.verdicts[d]})
		if !now.Before(end) {
			delete(b.fresh, d)
		}
	}
	sortVerdicts(m.Verdicts)
	return []Message{m}
}

// expire forgets old crashes, verdicts, lingering runs and completions.
func (b *Book) expire(now time.Time) {
	for len(b.order) > 0 && now.Sub(b.order[0].known) >= b.cfg.Quarantine {
		b.forget(b.order[0])
	}
	for d, until := range b.verdicts {
		if !now.Before(until) {
			delete(b.verdicts, d)
			delete(b.fresh, d)
		}
	}
	for _, rs := range b.byTarget {
		for _, r := range append([]*run(nil), rs...) {
			if !r.ended.IsZero() && now.Sub(r.ended) >= b.cfg.Linger {
				b.unplace(r)
				b.removeFromTarget(r)
			}
		}
	}
	for len(b.provenLog) > 0 {
		d := b.provenLog[0]
		if at, ok := b.proven[d]; ok && now.Sub(at) < b.cfg.Proven && len(b.provenLog) <= b.cfg.MaxProven {
			break
		} else if ok && now.Sub(at) >= b.cfg.Proven || len(b.provenLog) > b.cfg.MaxProven {
			delete(b.proven, d)
		}
		b.provenLog = b.provenLog[1:]
	}
}
