package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ensureCrash returns the record of a crash and creates it if necessary. At
// MaxCrashes it removes the oldest one.
func (t *Tracker) ensureCrash(now time.Time, target Target) *crash {
	if c := t.crashes[target]; c != nil {
		return c
	}
	for len(t.crashOrder) >= t.cfg.MaxCrashes {
		t.removeCrash(t.crashOrder[0])
	}
	c := &crash{
		target: target, knownSince: now, reports: map[string]*report{}, cleared: map[Digest]bool{}, depths: map[Digest]uint8{}, ownDepths: map[Digest]uint8{},
		peerSums: map[string]sums{}, peerPlacements: map[string]placements{},
	}
	t.crashes[target] = c
	t.crashOrder = append(t.crashOrder, c)
	return c
}

func (t *Tracker) removeCrash(c *crash) {
	for _, r := range c.reports {
		t.digestCount -= len(r.digests)
		for d := range r.digests {
			t.removeSuspect(d, c)
		}
	}
	delete(t.crashes, c.target)
	t.crashOrder = slices.DeleteFunc(t.crashOrder, func(o *crash) bool { return o == c })
}

// addOwnReport adds the requests that this entry has in flight at the target to
// its report. A request that has progressed is added when a crash has interrupted
// it before; requests that crash upstreams late in their runs are found by that.
func (t *Tracker) addOwnReport(now time.Time, c *crash) {
	t.ensureReport(c, t.cfg.Self, false)
	for _, r := range t.runsByUpstream[c.target.Upstream] {
		if r.target != c.target || !r.endedAt.IsZero() && now.Sub(r.endedAt) >= t.cfg.EndedRetention {
			continue
		}
		keys := keysOf(r.digest, r.parts)
		if r.progressed {
			if !t.recordInterruption(now, r.digest) {
				continue
			}
			keys = keys[:1]
		}
		for position, key := range keys {
			request := ReportedRequest{Digest: key, Presence: t.presence(r)}
			if position > 0 {
				request.Depth = t.contexts.depth(key, position)
			}
			t.addRequest(now, c, t.cfg.Self, request)
		}
	}
}

// recordInterruption records that a crash has interrupted a request that had
// progressed. It reports whether an earlier crash has interrupted the request too.
func (t *Tracker) recordInterruption(now time.Time, d Digest) bool {
	_, interrupted := t.interrupted[d]
	t.interrupted[d] = now
	return interrupted || len(t.suspects[d]) > 0
}

// ensureReport records that an entry has reported on a crash.
func (t *Tracker) ensureReport(c *crash, from string, truncated bool) {
	r := c.reports[from]
	if r == nil {
		r = &report{digests: map[Digest]Presence{}}
		c.reports[from] = r
		c.sums.addReport(factHash(from, "report", Digest{}))
	}
	if truncated && !r.truncated {
		r.truncated = true
		c.sums.addReport(factHash(from, "truncated", Digest{}))
	}
}

// addRequest adds a request to an entry's report, which is the union of all
// requests that the entry has reported. A request that this entry knows to be
// sound is cleared at once.
func (t *Tracker) addRequest(now time.Time, c *crash, from string, request ReportedRequest) {
	r, d := c.reports[from], request.Digest
	previous, known := r.digests[d]
	if !known && len(r.digests) >= MaxReport {
		t.ensureReport(c, from, true)
		return
	}
	if !known {
		t.digestCount++
	}
	c.addDepth(d, request.Depth)
	if request.Presence > previous {
		c.sums.addReport(presenceHash(from, d, previous) ^ presenceHash(from, d, request.Presence))
		r.digests[d] = request.Presence
	}
	switch at, completed := t.completed[d]; {
	case c.cleared[d]:
	case completed && now.Sub(at) < t.cfg.SoundRetention:
		t.addCleared(c, d)
		c.ownNews = true
	default:
		t.addSuspect(d, c)
	}
	for t.digestCount > t.cfg.MaxDigests && t.crashOrder[0] != c {
		t.removeCrash(t.crashOrder[0])
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

func (t *Tracker) addCleared(c *crash, d Digest) {
	if c.cleared[d] || len(c.cleared) >= MaxReport {
		return
	}
	c.cleared[d] = true
	c.sums.all ^= factHash("", "cleared", d)
	t.removeSuspect(d, c)
}

// factHash returns the hash of one fact about a crash. The sums of a crash are the
// XOR of these hashes, so they do not depend on the order of the facts.
func factHash(from, kind string, d Digest) uint64 {
	buffer := make([]byte, 0, 64)
	buffer = append(buffer, from...)
	buffer = append(buffer, 0)
	buffer = append(buffer, kind...)
	buffer = append(buffer, 0)
	buffer = append(buffer, d[:]...)
	return xxhash.Sum64(buffer)
}

func (t *Tracker) addSuspect(d Digest, c *crash) {
	if !slices.Contains(t.suspects[d], c) {
		t.suspects[d] = append(t.suspects[d], c)
	}
	delete(t.completed, d)
}

func (t *Tracker) removeSuspect(d Digest, c *crash) {
	left := slices.DeleteFunc(t.suspects[d], func(o *crash) bool { return o == c })
	if len(left) == 0 {
		delete(t.suspects, d)
	} else {
		t.suspects[d] = left
	}
}

// recordSound records that requests or parts do not crash upstreams, and clears
// them of all known crashes.
func (t *Tracker) recordSound(now time.Time, sound []Digest) []Message {
	var crashes []*crash
	for _, d := range sound {
		t.recordCompletion(now, d)
		for _, c := range slices.Clone(t.suspects[d]) {
			t.addCleared(c, d)
			if !slices.Contains(crashes, c) {
				crashes = append(crashes, c)
			}
		}
	}
	for _, c := range crashes {
		t.quarantineCulprits(now, c)
	}
	return t.sendCrashes(now, crashes)
}

// proof is a number of crashes that a request or part must explain to be
// quarantined, and how many of them must have interrupted an isolated run of it.
type proof struct {
	crashes, isolated int
}

var (
	// One isolated run is not enough, because a request that crashes upstreams but
	// is not a suspect yet may have run on the same upstream.
	requestProofs = []proof{{crashes: 2, isolated: 2}}
	// Each of two culprits at the same time may crash an upstream in isolation, and
	// a part that both have in common is then all that the two crashes have in
	// common. So it is with a crash before them if that upstream ended by itself.
	partProofs = []proof{{crashes: 3, isolated: 3}, {crashes: 4, isolated: 2}}
)

// extraCrashesWithoutReports is the number of isolated crashes that a proof needs
// in addition if reports are missing. They may name another common suspect. Only a
// request that is no suspect at that entry yet can be one, which is unlikely at one
// more crash.
const extraCrashesWithoutReports = 1

// quarantineCulprits quarantines the requests and parts that ran in isolation at
// this crash and at others, and are the only suspects that these have in common.
func (t *Tracker) quarantineCulprits(now time.Time, c *crash) {
	if !t.settled(c) {
		return
	}
	for _, d := range c.uncleared() {
		if _, quarantined := t.verdicts[d]; quarantined || c.presence(d) != Isolated || !t.isCulprit(c, d) {
			continue
		}
		t.mergeVerdict(now, Verdict{d, now.Add(t.cfg.Quarantine)})
		t.resendUntil[d] = now.Add(t.cfg.ReportTimeout)
	}
}

// settleOverdue stops waiting for the reports that entries still owe after
// ReportTimeout. An entry that is listed as reachable may never answer.
func (t *Tracker) settleOverdue(now time.Time) {
	for _, c := range t.crashOrder {
		if c.overdue || now.Sub(c.knownSince) < t.cfg.ReportTimeout {
			continue
		}
		c.overdue = true
		t.quarantineCulprits(now, c)
	}
}

// settled reports whether no further reports on a crash are awaited. A crash with
// a truncated report proves nothing.
func (t *Tracker) settled(c *crash) bool {
	return t.allReported(c) || c.overdue && !c.truncated()
}

// isCulprit reports whether a request or part explains enough crashes, this
// isolated one among them. A crash that a quarantined part explains is no evidence
// against the parts that were there too.
func (t *Tracker) isCulprit(c *crash, d Digest) bool {
	if d.isPart() && t.hasQuarantinedPart(c) {
		return false
	}
	var settled []*crash
	for _, o := range t.suspects[d] {
		if o == c || o.presence(d) < InFlight || !t.settled(o) || d.isPart() && t.hasQuarantinedPart(o) {
			continue
		}
		if t.explainsBoth(c, o, d) {
			settled = append(settled, o)
		}
	}
	slices.SortStableFunc(settled, func(a, b *crash) int { return cmp.Compare(b.presence(d), a.presence(d)) })
	proofs := requestProofs
	if d.isPart() {
		proofs = partProofs
	}
	proves := func(crashes []*crash, extra int) bool {
		return slices.ContainsFunc(proofs, func(p proof) bool {
			return t.explainsAny(crashes, d, p.crashes-1+extra, p.isolated-1+extra)
		})
	}
	if proves(settled, extraCrashesWithoutReports) {
		return true
	}
	reported := slices.DeleteFunc(settled, func(o *crash) bool { return !t.allReported(o) })
	return t.allReported(c) && proves(reported, 0)
}

// hasQuarantinedPart reports whether a part that is quarantined was in flight at a
// crash.
func (t *Tracker) hasQuarantinedPart(c *crash) bool {
	for part := range c.depths {
		if _, quarantined := t.verdicts[part]; quarantined && c.presence(part) >= InFlight && !c.cleared[part] {
			return true
		}
	}
	return false
}

// mergeVerdict records a verdict. Of two verdicts on a request, the one that ends
// later applies. At MaxVerdicts it removes the verdict that ends first.
func (t *Tracker) mergeVerdict(now time.Time, v Verdict) {
	if !now.Before(v.Until) || !t.verdicts[v.Digest].Before(v.Until) {
		return
	}
	if _, known := t.verdicts[v.Digest]; !known && len(t.verdicts) >= t.cfg.MaxVerdicts {
		all := t.sortedVerdicts()
		first := all[0]
		for _, o := range all {
			if o.Until.Before(first.Until) {
				first = o
			}
		}
		delete(t.verdicts, first.Digest)
		delete(t.resendUntil, first.Digest)
	}
	_, known := t.verdicts[v.Digest]
	t.verdicts[v.Digest] = v.Until
	if !known && t.cfg.OnVerdict != nil {
		t.cfg.OnVerdict(v)
	}
}

// sendCrashes returns one message with this entry's evidence of the crashes and
// marks it as sent.
func (t *Tracker) sendCrashes(now time.Time, crashes []*crash) []Message {
	if len(crashes) == 0 {
		return nil
	}
	m := Message{From: t.cfg.Self}
	for _, c := range crashes {
		e := Evidence{Target: c.target, Sum: c.sums.all, ReportSum: c.sums.reports, Elsewhere: t.localPlacements(c), Open: c.sums == c.sentSums && !t.converged(c)}
		if own := c.reports[t.cfg.Self]; own != nil {
			for _, d := range sortedDigests(own.digests) {
				e.Requests = append(e.Requests, ReportedRequest{d, own.digests[d], c.depths[d]})
			}
			e.Truncated = own.truncated
		}
		e.Cleared = sortedDigests(c.cleared)
		for _, d := range sortedDigests(c.ownDepths) {
			e.Depths = append(e.Depths, PartDepth{d, c.ownDepths[d]})
		}
		m.Evidence = append(m.Evidence, e)
		c.sentAt, c.sentSums, c.replyRequested = now, c.sums, false
		c.sentPlacements, c.placementChanged, c.ownNews = len(e.Elsewhere) > 0, false, false
	}
	return []Message{m}
}

func (t *Tracker) recordCompletion(now time.Time, d Digest) {
	if _, known := t.completed[d]; !known {
		t.completedOrder = append(t.completedOrder, d)
	}
	t.completed[d] = now
}

func (t *Tracker) removeFromDigest(r *run) {
	left := slices.DeleteFunc(t.runsByDigest[r.digest], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(t.runsByDigest, r.digest)
	} else {
		t.runsByDigest[r.digest] = left
	}
}

func (t *Tracker) removeFromUpstream(r *run) {
	id := r.target.Upstream
	left := slices.DeleteFunc(t.runsByUpstream[id], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(t.runsByUpstream, id)
	} else {
		t.runsByUpstream[id] = left
	}
}
