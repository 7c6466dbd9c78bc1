package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// crash returns the record of a crash, a new one if it is not known.
func (b *Book) crash(now time.Time, t Target) *crash {
	if c := b.crashes[t]; c != nil {
		return c
	}
	for len(b.order) >= b.cfg.MaxCrashes {
		b.forget(b.order[0])
	}
	c := &crash{
		target: t, known: now, reports: map[string]*report{}, cleared: map[Digest]bool{},
		sums: map[string]uint64{}, elsewhere: map[string]placements{},
	}
	b.crashes[t] = c
	b.order = append(b.order, c)
	return c
}

func (b *Book) forget(c *crash) {
	for _, r := range c.reports {
		b.digests -= len(r.digests)
		for d := range r.digests {
			b.unsuspect(d, c)
		}
	}
	delete(b.crashes, c.target)
	b.order = slices.DeleteFunc(b.order, func(o *crash) bool { return o == c })
}

// reportOwn adds what this entry has in flight at the target to its report.
func (b *Book) reportOwn(now time.Time, c *crash) {
	b.addReport(c, b.cfg.Self, false)
	for _, r := range b.byTarget[c.target.Upstream] {
		if r.target == c.target && (r.ended.IsZero() || now.Sub(r.ended) < b.cfg.Linger) {
			b.accuse(c, b.cfg.Self, Accused{r.digest, r.presence()})
		}
	}
}

// addReport notes that an entry has reported on a crash.
func (b *Book) addReport(c *crash, from string, truncated bool) {
	r := c.reports[from]
	if r == nil {
		r = &report{digests: map[Digest]Presence{}}
		c.reports[from] = r
		c.sum ^= fact(from, "report", Digest{})
	}
	if truncated && !r.truncated {
		r.truncated = true
		c.sum ^= fact(from, "truncated", Digest{})
	}
}

// accuse adds a request to an entry's report, which is the union of all that
// the entry has said.
func (b *Book) accuse(c *crash, from string, a Accused) {
	r, d := c.reports[from], a.Digest
	before, known := r.digests[d]
	if !known && len(r.digests) >= MaxReport {
		b.addReport(c, from, true)
		return
	}
	if !known {
		b.digests++
	}
	if a.Presence > before {
		c.sum ^= presenceFact(from, d, before) ^ presenceFact(from, d, a.Presence)
		r.digests[d] = a.Presence
	}
	if !c.cleared[d] {
		b.suspect(d, c)
	}
	for b.digests > b.cfg.MaxDigests && b.order[0] != c {
		b.forget(b.order[0])
	}
}

// presenceFact is the fact that an entry reported a request with a presence, 0
// for no report.
func presenceFact(from string, d Digest, p Presence) uint64 {
	if p == 0 {
		return 0
	}
	return fact(from, string('0'+rune(p)), d)
}

func (b *Book) addCleared(c *crash, d Digest) {
	if c.cleared[d] || len(c.cleared) >= MaxReport {
		return
	}
	c.cleared[d] = true
	c.sum ^= fact("", "cleared", d)
	b.unsuspect(d, c)
}

// fact is the hash of one fact about a crash. The sum of a crash is the
// exclusive or of its facts, which does not depend on their order.
func fact(from, kind string, d Digest) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, from...)
	buffer = append(buffer, 0)
	buffer = append(buffer, kind...)
	buffer = append(buffer, 0)
	buffer = append(buffer, d[:]...)
	return xxhash.Sum64(buffer)
}

func (b *Book) suspect(d Digest, c *crash) {
	if !slices.Contains(b.suspects[d], c) {
		b.suspects[d] = append(b.suspects[d], c)
	}
	delete(b.proven, d)
}

func (b *Book) unsuspect(d Digest, c *crash) {
	left := slices.DeleteFunc(b.suspects[d], func(o *crash) bool { return o == c })
	if len(left) == 0 {
		delete(b.suspects, d)
	} else {
		b.suspects[d] = left
	}
}

// clear clears a completed request of all known crashes.
func (b *Book) clear(now time.Time, d Digest) []Message {
	accused := append([]*crash(nil), b.suspects[d]...)
	for _, c := range accused {
		b.addCleared(c, d)
	}
	for _, c := range accused {
		b.decide(now, c)
	}
	return b.sendCrashes(now, accused)
}

// decide condemns the suspects that ran apart from other suspects at a crash and
// at another one, and are the only requests that the two have in common. One
// isolated run is not enough: a request that crashes upstreams, and is not a
// suspect yet, may have run beside it. Both need the reports of all entries, since a missing one could name
// another suspect that the crashes have in common.
func (b *Book) decide(now time.Time, c *crash) {
	if !b.gathered(c) {
		return
	}
	for _, d := range c.accused() {
		if _, done := b.verdicts[d]; done || c.presence(d) != Isolated {
			continue
		}
		for _, other := range b.suspects[d] {
			if other != c && other.presence(d) == Isolated && b.gathered(other) && onlyCommon(c, other, d) {
				until := now.Add(b.cfg.Quarantine)
				b.condemn(now, Verdict{d, until})
				b.fresh[d] = now.Add(b.cfg.Settle)
				break
			}
		}
	}
}

// condemn merges a verdict: the later end counts.
func (b *Book) condemn(now time.Time, v Verdict) {
	if !now.Before(v.Until) || !b.verdicts[v.Digest].Before(v.Until) {
		return
	}
	if _, known := b.verdicts[v.Digest]; !known && len(b.verdicts) >= b.cfg.MaxVerdicts {
		all := b.sortedVerdicts()
		first := all[0]
		for _, o := range all {
			if o.Until.Before(first.Until) {
				first = o
			}
		}
		delete(b.verdicts, first.Digest)
		delete(b.fresh, first.Digest)
	}
	b.verdicts[v.Digest] = v.Until
}

// sendCrashes returns one message with this entry's evidence of crashes.
func (b *Book) sendCrashes(now time.Time, crashes []*crash) []Message {
	if len(crashes) == 0 {
		return nil
	}
	m := Message{From: b.cfg.Self}
	for _, c := range crashes {
		e := Evidence{Target: c.target, Sum: c.sum, Elsewhere: b.elsewhere(c), Open: !b.agreed(c)}
		if own := c.reports[b.cfg.Self]; own != nil {
			for _, d := range sortedDigests(own.digests) {
				e.Requests = append(e.Requests, Accused{d, own.digests[d]})
			}
			e.Truncated = own.truncated
		}
		e.Cleared = sortedDigests(c.cleared)
		m.Evidence = append(m.Evidence, e)
		c.sent, c.sentSum, c.asked = now, c.sum, false
		c.placing, c.placed = len(e.Elsewhere) > 0, false
	}
	return []Message{m}
}

func (b *Book) prove(now time.Time, d Digest) {
	if _, known := b.proven[d]; !known {
		b.provenLog = append(b.provenLog, d)
	}
	b.proven[d] = now
}

func (b *Book) unplace(r *run) {
	left := slices.DeleteFunc(b.placed[r.digest], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(b.placed, r.digest)
	} else {
		b.placed[r.digest] = left
	}
}

func (b *Book) removeFromTarget(r *run) {
	id := r.target.Upstream
	left := slices.DeleteFunc(b.byTarget[id], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(b.byTarget, id)
	} else {
		b.byTarget[id] = left
	}
}
