package quarantine

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ensureCrash returns the record of a crash and creates it if necessary. At
// MaxCrashes it removes the oldest one.
func (b *Tracker) ensureCrash(now time.Time, t Target) *crash {
	if c := b.crashes[t]; c != nil {
		return c
	}
	for len(b.crashOrder) >= b.cfg.MaxCrashes {
		b.removeCrash(b.crashOrder[0])
	}
	c := &crash{
		target: t, knownSince: now, reports: map[string]*report{}, cleared: map[Digest]bool{},
		peerSums: map[string]uint64{}, peerPlacements: map[string]placements{},
	}
	b.crashes[t] = c
	b.crashOrder = append(b.crashOrder, c)
	return c
}

func (b *Tracker) removeCrash(c *crash) {
	for _, r := range c.reports {
		b.digestCount -= len(r.digests)
		for d := range r.digests {
			b.removeSuspect(d, c)
		}
	}
	delete(b.crashes, c.target)
	b.crashOrder = slices.DeleteFunc(b.crashOrder, func(o *crash) bool { return o == c })
}

// addOwnReport adds the requests that this entry has in flight at the target to
// its report.
func (b *Tracker) addOwnReport(now time.Time, c *crash) {
	b.ensureReport(c, b.cfg.Self, false)
	for _, r := range b.runsByUpstream[c.target.Upstream] {
		if r.target == c.target && (r.endedAt.IsZero() || now.Sub(r.endedAt) < b.cfg.EndedRetention) {
			b.addRequest(c, b.cfg.Self, ReportedRequest{r.digest, r.presence()})
		}
	}
}

// ensureReport records that an entry has reported on a crash.
func (b *Tracker) ensureReport(c *crash, from string, truncated bool) {
	r := c.reports[from]
	if r == nil {
		r = &report{digests: map[Digest]Presence{}}
		c.reports[from] = r
		c.sum ^= factHash(from, "report", Digest{})
	}
	if truncated && !r.truncated {
		r.truncated = true
		c.sum ^= factHash(from, "truncated", Digest{})
	}
}

// addRequest adds a request to an entry's report, which is the union of all
// requests that the entry has reported.
func (b *Tracker) addRequest(c *crash, from string, request ReportedRequest) {
	r, d := c.reports[from], request.Digest
	previous, known := r.digests[d]
	if !known && len(r.digests) >= MaxReport {
		b.ensureReport(c, from, true)
		return
	}
	if !known {
		b.digestCount++
	}
	if request.Presence > previous {
		c.sum ^= presenceHash(from, d, previous) ^ presenceHash(from, d, request.Presence)
		r.digests[d] = request.Presence
	}
	if !c.cleared[d] {
		b.addSuspect(d, c)
	}
	for b.digestCount > b.cfg.MaxDigests && b.crashOrder[0] != c {
		b.removeCrash(b.crashOrder[0])
	}
}

// presenceHash returns the hash of an entry's report of a request with the given
// presence, or 0 for no report.
func presenceHash(from string, d Digest, p Presence) uint64 {
	if p == 0 {
		return 0
	}
	return factHash(from, string('0'+rune(p)), d)
}

func (b *Tracker) addCleared(c *crash, d Digest) {
	if c.cleared[d] || len(c.cleared) >= MaxReport {
		return
	}
	c.cleared[d] = true
	c.sum ^= factHash("", "cleared", d)
	b.removeSuspect(d, c)
}

// factHash returns the hash of one fact about a crash. The sum of a crash is the
// XOR of these hashes, so it does not depend on the order of the facts.
func factHash(from, kind string, d Digest) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, from...)
	buffer = append(buffer, 0)
	buffer = append(buffer, kind...)
	buffer = append(buffer, 0)
	buffer = append(buffer, d[:]...)
	return xxhash.Sum64(buffer)
}

func (b *Tracker) addSuspect(d Digest, c *crash) {
	if !slices.Contains(b.suspects[d], c) {
		b.suspects[d] = append(b.suspects[d], c)
	}
	delete(b.completed, d)
}

func (b *Tracker) removeSuspect(d Digest, c *crash) {
	left := slices.DeleteFunc(b.suspects[d], func(o *crash) bool { return o == c })
	if len(left) == 0 {
		delete(b.suspects, d)
	} else {
		b.suspects[d] = left
	}
}

// clearRequest clears a completed request of all known crashes.
func (b *Tracker) clearRequest(now time.Time, d Digest) []Message {
	crashes := append([]*crash(nil), b.suspects[d]...)
	for _, c := range crashes {
		b.addCleared(c, d)
	}
	for _, c := range crashes {
		b.quarantineCulprits(now, c)
	}
	return b.sendCrashes(now, crashes)
}

// quarantineCulprits quarantines the requests that ran in isolation at this crash
// and at another one, and are the only suspects common to both. One isolated run
// is not enough, because a request that crashes upstreams but is not a suspect yet
// may have run on the same upstream. Both crashes need the reports of all entries,
// since a missing report could name another common suspect.
func (b *Tracker) quarantineCulprits(now time.Time, c *crash) {
	if !b.allReported(c) {
		return
	}
	for _, d := range c.uncleared() {
		if _, quarantined := b.verdicts[d]; quarantined || c.presence(d) != Isolated {
			continue
		}
		for _, other := range b.suspects[d] {
			if other != c && other.presence(d) == Isolated && b.allReported(other) && isOnlyCommonSuspect(c, other, d) {
				until := now.Add(b.cfg.Quarantine)
				b.mergeVerdict(now, Verdict{d, until})
				b.resendUntil[d] = now.Add(b.cfg.ReportTimeout)
				break
			}
		}
	}
}

// mergeVerdict records a verdict. Of two verdicts on a request, the one that ends
// later applies. At MaxVerdicts it removes the verdict that ends first.
func (b *Tracker) mergeVerdict(now time.Time, v Verdict) {
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
		delete(b.resendUntil, first.Digest)
	}
	b.verdicts[v.Digest] = v.Until
}

// sendCrashes returns one message with this entry's evidence of the crashes and
// marks it as sent.
func (b *Tracker) sendCrashes(now time.Time, crashes []*crash) []Message {
	if len(crashes) == 0 {
		return nil
	}
	m := Message{From: b.cfg.Self}
	for _, c := range crashes {
		e := Evidence{Target: c.target, Sum: c.sum, Elsewhere: b.localPlacements(c), Open: !b.converged(c)}
		if own := c.reports[b.cfg.Self]; own != nil {
			for _, d := range sortedDigests(own.digests) {
				e.Requests = append(e.Requests, ReportedRequest{d, own.digests[d]})
			}
			e.Truncated = own.truncated
		}
		e.Cleared = sortedDigests(c.cleared)
		m.Evidence = append(m.Evidence, e)
		c.sentAt, c.sentSum, c.replyRequested = now, c.sum, false
		c.sentPlacements, c.placementChanged = len(e.Elsewhere) > 0, false
	}
	return []Message{m}
}

func (b *Tracker) recordCompletion(now time.Time, d Digest) {
	if _, known := b.completed[d]; !known {
		b.completedOrder = append(b.completedOrder, d)
	}
	b.completed[d] = now
}

func (b *Tracker) removeFromDigest(r *run) {
	left := slices.DeleteFunc(b.runsByDigest[r.digest], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(b.runsByDigest, r.digest)
	} else {
		b.runsByDigest[r.digest] = left
	}
}

func (b *Tracker) removeFromUpstream(r *run) {
	id := r.target.Upstream
	left := slices.DeleteFunc(b.runsByUpstream[id], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(b.runsByUpstream, id)
	} else {
		b.runsByUpstream[id] = left
	}
}
