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
func (b *Tracker) Admit(now time.Time, d Digest) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.decideAdmission(now, d)
}

func (b *Tracker) decideAdmission(now time.Time, d Digest) Decision {
	if until, ok := b.verdicts[d]; ok && now.Before(until) {
		return Decision{Action: Refuse, Until: until}
	}
	decision := Decision{Action: Run}
	for _, c := range b.suspects[d] {
		decision.Action = Isolate
		if until := c.knownSince.Add(b.cfg.ReportTimeout); now.Before(until) && !b.converged(c) {
			return Decision{Action: Wait, Until: until}
		}
		// The run at another entry will show whether the request causes crashes.
		// The wait is bounded because that run may take long.
		until := c.knownSince.Add(2 * b.cfg.ReportTimeout)
		if now.Before(until) && b.runsOnPeer(now, c, func(p Placement) bool { return p.Digest == d }) {
			return Decision{Action: Wait, Until: until}
		}
	}
	if at, ok := b.completed[d]; ok && now.Sub(at) < b.cfg.CompletedRetention {
		return decision
	}
	if placed := b.runsByDigest[d]; len(placed) > 0 {
		decision.Pin = placed[0].target.Upstream
	}
	return decision
}

// Isolation returns a function that reports whether a suspect may now run on an
// upstream of a service. It is meant for the routing filter; Start checks again.
func (b *Tracker) Isolation(now time.Time, service string, d Digest) func(upstream string) bool {
	return func(upstream string) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.canIsolate(now, service, d, upstream)
	}
}

// canIsolate reports whether a suspect may run on an upstream: this entry must own
// the upstream and run no other suspect there, and no other entry may be known to
// run another suspect of the same crash there. An entry that owns no upstream of
// the service may use any of them, since a suspect must run somewhere. Another
// entry's suspect may then run on the same upstream, so a crash there is not
// conclusive.
func (b *Tracker) canIsolate(now time.Time, service string, d Digest, upstream string) bool {
	owned := b.owned[service]
	if _, isOwned := slices.BinarySearch(owned, upstream); !isOwned && len(owned) > 0 {
		return false
	}
	for _, r := range b.runsByUpstream[upstream] {
		expired := !r.endedAt.IsZero() && now.Sub(r.endedAt) >= b.cfg.EndedRetention
		if r.digest != d && !expired && len(b.suspects[r.digest]) > 0 {
			return false
		}
	}
	for _, c := range b.suspects[d] {
		if b.runsOnPeer(now, c, func(p Placement) bool { return p.Upstream == upstream && p.Digest != d }) {
			return false
		}
	}
	return true
}

// runsOnPeer reports whether another entry runs a suspect of a crash whose
// placement matches.
func (b *Tracker) runsOnPeer(now time.Time, c *crash, matches func(Placement) bool) bool {
	for _, p := range c.peerPlacements {
		if now.Sub(p.receivedAt) < b.cfg.ReportTimeout && slices.ContainsFunc(p.runs, matches) {
			return true
		}
	}
	return false
}

// Busy reports whether messages are due soon, so that Tick should be called every
// 50 ms.
func (b *Tracker) Busy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.crashOrder {
		if c.replyRequested || c.sentPlacements || c.placementChanged || c.sum != c.sentSum || !b.converged(c) {
			return true
		}
	}
	return len(b.resendUntil) > 0
}

// Snapshot returns a message with this entry's own evidence and all verdicts, for
// an entry that has just started or become reachable.
func (b *Tracker) Snapshot(now time.Time) Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := Message{From: b.cfg.Self}
	if sent := b.sendCrashes(now, b.crashOrder); len(sent) > 0 {
		m = sent[0]
	}
	m.Verdicts = b.sortedVerdicts()
	return m
}

// Verdicts lists the quarantined requests ordered by digest.
func (b *Tracker) Verdicts(now time.Time) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(b.sortedVerdicts(), func(v Verdict) bool { return !now.Before(v.Until) })
}

func (b *Tracker) sortedVerdicts() []Verdict {
	all := make([]Verdict, 0, len(b.verdicts))
	for d, until := range b.verdicts {
		all = append(all, Verdict{d, until})
	}
	sortVerdicts(all)
	return all
}

// CrashCount returns the number of crashes of which a request is a suspect.
func (b *Tracker) CrashCount(d Digest) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.suspects[d])
}

// ownedUpstreams returns the upstreams among ids that this entry owns, sorted.
func (b *Tracker) ownedUpstreams(ids []string) []string {
	var owned []string
	for _, id := range ids {
		if owner(id, b.entries) == b.cfg.Self {
			owned = append(owned, id)
		}
	}
	sort.Strings(owned)
	return owned
}

// owner returns the only entry that runs suspects on an upstream: the one with
// the highest hash (rendezvous hashing).
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
func (b *Tracker) allReported(c *crash) bool {
	for _, e := range b.entries {
		if r := c.reports[e]; r == nil || r.truncated {
			return false
		}
	}
	return true
}

// converged reports whether all reachable entries have the same information on a
// crash as this one.
func (b *Tracker) converged(c *crash) bool {
	if !b.allReported(c) {
		return false
	}
	for _, e := range b.entries {
		if e != b.cfg.Self && c.peerSums[e] != c.sum {
			return false
		}
	}
	return true
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

func (r *run) presence() Presence {
	switch {
	case !r.endedAt.IsZero():
		return RecentlyEnded
	case r.isolated:
		return Isolated
	default:
		return InFlight
	}
}

// isOnlyCommonSuspect reports whether the crashes have no common suspect other
// than d.
func isOnlyCommonSuspect(a, b *crash, d Digest) bool {
	for _, r := range a.reports {
		for other := range r.digests {
			if other != d && !a.cleared[other] && b.hasSuspect(other) {
				return false
			}
		}
	}
	return true
}

// localPlacements lists the suspects of a crash that this entry runs on other
// targets, ordered by upstream and digest.
func (b *Tracker) localPlacements(c *crash) []Placement {
	var all []Placement
	for id, rs := range b.runsByUpstream {
		for _, r := range rs {
			if r.target != c.target && c.hasSuspect(r.digest) {
				all = append(all, Placement{id, r.digest})
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
