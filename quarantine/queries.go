package quarantine

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Admit decides how a request may run. Call it before an upstream is picked.
func (t *Tracker) Admit(now time.Time, d Digest, parts ...Digest) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeParts(parts)
	return t.decideAdmission(now, d, parts)
}

// keysOf lists the digests of a request and of its parts.
func keysOf(d Digest, parts []Digest) []Digest { return append([]Digest{d}, parts...) }

func (t *Tracker) decideAdmission(now time.Time, d Digest, parts []Digest) Decision {
	decision := Decision{Action: Run}
	for _, key := range keysOf(d, parts) {
		switch of := t.decideOn(now, d, key); of.Action {
		case Refuse:
			return of
		case Wait:
			decision = of
		case Isolate:
			if decision.Action == Run {
				decision = of
			}
		case Run:
		}
	}
	if decision.Action == Wait {
		return decision
	}
	if at, ok := t.completed[d]; ok && now.Sub(at) < t.cfg.CompletedRetention {
		return decision
	}
	if placed := t.runsByDigest[d]; len(placed) > 0 {
		decision.Pin = placed[0].target.Upstream
	}
	return decision
}

// decideOn returns the decision on a request as far as it depends on one key: the
// request's own digest or that of a part.
func (t *Tracker) decideOn(now time.Time, d, key Digest) Decision {
	if until, ok := t.verdicts[key]; ok && now.Before(until) {
		return Decision{Action: Refuse, Until: until, Culprit: key}
	}
	decision := Decision{Action: Run}
	for _, c := range t.suspects[key] {
		decision.Action = Isolate
		if until := c.knownSince.Add(t.cfg.ReportTimeout); now.Before(until) && !t.reportsAgree(c) {
			return Decision{Action: Wait, Until: until}
		}
		// The run at another entry will show whether the key causes crashes. The
		// wait is bounded because that run may take long.
		until := c.knownSince.Add(2 * t.cfg.ReportTimeout)
		if now.Before(until) && t.runsOnPeer(now, c, func(p Placement) bool { return p.Digest == key }) {
			return Decision{Action: Wait, Until: until}
		}
	}
	if decision.Action == Isolate && key.isPart() && t.runsHere(d, key) {
		return Decision{Action: Wait, Until: now.Add(t.cfg.ReportTimeout)}
	}
	return decision
}

// runsHere reports whether this entry runs another request with a part that has
// not progressed. That run will show whether the part causes crashes.
func (t *Tracker) runsHere(d, part Digest) bool {
	for _, r := range t.runs {
		if r.digest != d && !r.progressed && slices.Contains(r.parts, part) {
			return true
		}
	}
	return false
}

// Isolation returns a function that reports whether a suspect may now run on an
// upstream of a service. It is meant for the routing filter; Start checks again.
func (t *Tracker) Isolation(now time.Time, service string, d Digest, parts ...Digest) func(upstream string) bool {
	return func(upstream string) bool {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.canIsolate(now, service, d, parts, upstream)
	}
}

// canIsolate reports whether a suspect may run on an upstream: this entry must own
// the upstream and run no other suspect there, and no other entry may be known to
// run another suspect of the same crash there. An entry that owns no upstream of
// the service may use any of them, since a suspect must run somewhere. Another
// entry's suspect may then run on the same upstream, so a crash there is not
// conclusive.
func (t *Tracker) canIsolate(now time.Time, service string, d Digest, parts []Digest, upstream string) bool {
	owned := t.owned[service]
	if _, isOwned := slices.BinarySearch(owned, upstream); !isOwned && len(owned) > 0 {
		return false
	}
	for _, r := range t.runsByUpstream[upstream] {
		expired := !r.endedAt.IsZero() && now.Sub(r.endedAt) >= t.cfg.EndedRetention
		if r.digest != d && !expired && !r.progressed && t.isSuspect(r) {
			return false
		}
	}
	keys := keysOf(d, parts)
	for _, key := range keys {
		for _, c := range t.suspects[key] {
			if t.runsOnPeer(now, c, func(p Placement) bool { return p.Upstream == upstream && !slices.Contains(keys, p.Digest) }) {
				return false
			}
		}
	}
	return true
}

// isSuspect reports whether the request of a run or one of its parts is a
// suspect.
func (t *Tracker) isSuspect(r *run) bool {
	return slices.ContainsFunc(keysOf(r.digest, r.parts), func(key Digest) bool { return len(t.suspects[key]) > 0 })
}

// runsOnPeer reports whether another entry runs a suspect of a crash whose
// placement matches.
func (t *Tracker) runsOnPeer(now time.Time, c *crash, matches func(Placement) bool) bool {
	for _, p := range c.peerPlacements {
		if now.Sub(p.receivedAt) < t.cfg.ReportTimeout && slices.ContainsFunc(p.runs, matches) {
			return true
		}
	}
	return false
}

// Busy reports whether messages are due soon, so that Tick should be called every
// 50 ms.
func (t *Tracker) Busy() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.crashOrder {
		if c.replyRequested || c.sentPlacements || t.hasNews(c) || !t.converged(c) {
			return true
		}
	}
	return len(t.resendUntil) > 0
}

// KnownCrash reports whether a target is known to have crashed.
func (t *Tracker) KnownCrash(target Target) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crashes[target] != nil
}

// Snapshot returns a message with this entry's own evidence and all verdicts, for
// an entry that has just started or become reachable.
func (t *Tracker) Snapshot(now time.Time) Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	m := Message{From: t.cfg.Self}
	if sent := t.sendCrashes(now, t.crashOrder); len(sent) > 0 {
		m = sent[0]
	}
	m.Verdicts = t.sortedVerdicts()
	return m
}

// Verdicts lists the quarantined requests ordered by digest.
func (t *Tracker) Verdicts(now time.Time) []Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.DeleteFunc(t.sortedVerdicts(), func(v Verdict) bool { return !now.Before(v.Until) })
}

func (t *Tracker) sortedVerdicts() []Verdict {
	all := make([]Verdict, 0, len(t.verdicts))
	for d, until := range t.verdicts {
		all = append(all, Verdict{d, until})
	}
	sortVerdicts(all)
	return all
}

// CrashCount returns the number of crashes of which a request is a suspect.
func (t *Tracker) CrashCount(d Digest) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.suspects[d])
}

// ownedUpstreams returns the upstreams among ids that this entry owns, sorted.
func (t *Tracker) ownedUpstreams(ids []string) []string {
	var owned []string
	for _, id := range ids {
		if owner(id, t.entries) == t.cfg.Self {
			owned = append(owned, id)
		}
	}
	sort.Strings(owned)
	return owned
}

// owner returns the entry that owns an upstream: the one with the highest hash
// (rendezvous hashing).
func owner(upstream string, entries []string) string {
	best, highest := "", uint64(0)
	for _, e := range entries {
		if h := xxhash.Sum64String(e + "\x00" + upstream); best == "" || h > highest {
			best, highest = e, h
		}
	}
	return best
}

// allReported reports whether all reachable entries have reported on a crash in
// full.
func (t *Tracker) allReported(c *crash) bool {
	for _, e := range t.entries {
		if r := c.reports[e]; r == nil || r.truncated {
			return false
		}
	}
	return true
}

// reportsAgree reports whether all reachable entries are known to have the same
// reports on a crash as this one.
func (t *Tracker) reportsAgree(c *crash) bool {
	return t.allReported(c) && t.allPeers(func(e string) bool {
		// Entries of earlier versions send a sum over all facts only.
		return c.peerSums[e].reports == c.sums.reports || c.peerSums[e].all == c.sums.all
	})
}

// converged reports whether all reachable entries are known to have the same
// information on a crash as this one.
func (t *Tracker) converged(c *crash) bool {
	return t.allReported(c) && t.allPeers(func(e string) bool { return c.peerSums[e].all == c.sums.all })
}

// allPeers reports whether a condition holds for all other reachable entries.
func (t *Tracker) allPeers(holds func(entry string) bool) bool {
	return !slices.ContainsFunc(t.entries, func(e string) bool { return e != t.cfg.Self && !holds(e) })
}

// hasNews reports whether the other entries need a message about a crash at once.
// A sum over reports is of no use to them before it covers all entries. What they
// cleared themselves is confirmed with the next message that is sent again, since
// it makes no suspect wait.
func (t *Tracker) hasNews(c *crash) bool {
	return c.sentAt.IsZero() || c.placementChanged || c.ownNews || c.sums.reports != c.sentSums.reports && t.allReported(c)
}

// truncated reports whether an entry's report of the crash is truncated.
func (c *crash) truncated() bool {
	for _, r := range c.reports {
		if r.truncated {
			return true
		}
	}
	return false
}

// uncleared returns the sorted digests of the reported requests that are not
// cleared.
func (c *crash) uncleared() []Digest {
	var all []Digest
	for _, r := range c.reports {
		for d := range r.digests {
			if !c.cleared[d] {
				all = append(all, d)
			}
		}
	}
	sortDigests(all)
	return slices.Compact(all)
}

// hasSuspect reports whether a request was reported at the crash and is not
// cleared.
func (c *crash) hasSuspect(d Digest) bool {
	if c.cleared[d] {
		return false
	}
	for _, r := range c.reports {
		if r.digests[d] > 0 {
			return true
		}
	}
	return false
}

// presence returns the highest presence that any entry reported for a request.
func (c *crash) presence(d Digest) Presence {
	highest := Presence(0)
	for _, r := range c.reports {
		highest = max(highest, r.digests[d])
	}
	return highest
}

// presence returns the presence of a run at a crash of its upstream.
func (t *Tracker) presence(r *run) Presence {
	switch {
	case !r.endedAt.IsZero():
		return RecentlyEnded
	case r.isolated && !(r.progressed && t.besideSuspect(r)):
		return Isolated
	default:
		return InFlight
	}
}

// besideSuspect reports whether another suspect was started on the upstream of a
// run. A run that has progressed does not prevent that.
func (t *Tracker) besideSuspect(r *run) bool {
	return slices.ContainsFunc(t.runsByUpstream[r.target.Upstream], func(o *run) bool {
		return o.digest != r.digest && o.target == r.target && o.isolated
	})
}

// explainsBoth reports whether d is the only suspect that two crashes have in
// common, apart from wider parts that ran with it in isolation at both. If the
// narrower one is not the cause, requests without it go on to crash upstreams and
// show the wider one.
func (t *Tracker) explainsBoth(a, b *crash, d Digest) bool {
	for _, r := range a.reports {
		for other := range r.digests {
			if other == d || a.cleared[other] || !b.hasSuspect(other) {
				continue
			}
			ranTogether := other.isPart() && a.presence(other) == Isolated && b.presence(other) == Isolated
			if !ranTogether || !t.isWider(other, d) {
				return false
			}
		}
	}
	return true
}

// explainsAny reports whether d explains each two of some count crashes, at least
// isolated of which interrupted it in isolation. The crashes must be ordered by
// the presence of d, the highest first.
func (t *Tracker) explainsAny(crashes []*crash, d Digest, count, isolated int) bool {
	if count == 0 {
		return true
	}
	for i, c := range crashes {
		if isolated > 0 && c.presence(d) != Isolated {
			return false
		}
		var others []*crash
		for _, o := range crashes[i+1:] {
			if t.explainsBoth(c, o, d) {
				others = append(others, o)
			}
		}
		if t.explainsAny(others, d, count-1, isolated-1) {
			return true
		}
	}
	return false
}

// localPlacements lists the suspects of a crash that this entry runs on other
// targets, ordered by upstream and digest.
func (t *Tracker) localPlacements(c *crash) []Placement {
	var all []Placement
	for id, rs := range t.runsByUpstream {
		for _, r := range rs {
			if r.target == c.target || r.progressed {
				continue
			}
			for _, key := range keysOf(r.digest, r.parts) {
				if c.hasSuspect(key) {
					all = append(all, Placement{id, key})
				}
			}
		}
	}
	slices.SortFunc(all, func(a, b Placement) int {
		return cmp.Or(strings.Compare(a.Upstream, b.Upstream), slices.Compare(a.Digest[:], b.Digest[:]))
	})
	return slices.Compact(all)
}

func sortedDigests[V any](set map[Digest]V) []Digest {
	all := make([]Digest, 0, len(set))
	for d := range set {
		all = append(all, d)
	}
	sortDigests(all)
	return all
}

func sortDigests(all []Digest) {
	slices.SortFunc(all, func(a, b Digest) int { return slices.Compare(a[:], b[:]) })
}

func sortVerdicts(all []Verdict) {
	slices.SortFunc(all, func(a, b Verdict) int { return slices.Compare(a.Digest[:], b.Digest[:]) })
}
