package quarantine

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Admit rules on a request before an upstream is picked for it.
func (b *Book) Admit(now time.Time, d Digest) Ruling {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rule(now, d)
}

func (b *Book) rule(now time.Time, d Digest) Ruling {
	if until, ok := b.verdicts[d]; ok && now.Before(until) {
		return Ruling{Action: Refuse, Until: until}
	}
	ruling := Ruling{Action: Run}
	for _, c := range b.suspects[d] {
		ruling.Action = Isolate
		if until := c.known.Add(b.cfg.Settle); now.Before(until) && !b.agreed(c) {
			return Ruling{Action: Wait, Until: until}
		}
		// Another entry's run will show whether the request is to blame. The
		// wait is bounded, as a long answer would hold the copies for long.
		until := c.known.Add(2 * b.cfg.Settle)
		if now.Before(until) && b.placedElsewhere(now, c, func(p Placement) bool { return p.Digest == d }) {
			return Ruling{Action: Wait, Until: until}
		}
	}
	if at, ok := b.proven[d]; ok && now.Sub(at) < b.cfg.Proven {
		return ruling
	}
	if placed := b.placed[d]; len(placed) > 0 {
		ruling.Pin = placed[0].target.Upstream
	}
	return ruling
}

// Isolation returns the function that says on which upstreams of a service a
// suspect may run now. It is meant for the routing filter; Start checks again.
func (b *Book) Isolation(now time.Time, service string, d Digest) func(upstream string) bool {
	return func(upstream string) bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.mayIsolate(now, service, d, upstream)
	}
}

// mayIsolate says whether a suspect may run on an upstream: this entry owns the
// upstream, runs no other suspect there, and no other entry is known to run
// another suspect of the same crash there. An entry that owns no upstream of
// the service may use any of them, since a suspect must run somewhere; another
// entry's suspect can then be on the same upstream, and a crash there proves
// nothing.
func (b *Book) mayIsolate(now time.Time, service string, d Digest, upstream string) bool {
	owned := b.owned[service]
	if _, mine := slices.BinarySearch(owned, upstream); !mine && len(owned) > 0 {
		return false
	}
	for _, r := range b.byTarget[upstream] {
		lingers := !r.ended.IsZero() && now.Sub(r.ended) >= b.cfg.Linger
		if r.digest != d && !lingers && len(b.suspects[r.digest]) > 0 {
			return false
		}
	}
	for _, c := range b.suspects[d] {
		if b.placedElsewhere(now, c, func(p Placement) bool { return p.Upstream == upstream && p.Digest != d }) {
			return false
		}
	}
	return true
}

// placedElsewhere says whether another entry runs a suspect of a crash that
// matches.
func (b *Book) placedElsewhere(now time.Time, c *crash, matches func(Placement) bool) bool {
	for _, p := range c.elsewhere {
		if now.Sub(p.at) < b.cfg.Settle && slices.ContainsFunc(p.runs, matches) {
			return true
		}
	}
	return false
}

// Busy says that messages are due soon, so that Tick should be called every
// 50 ms.
func (b *Book) Busy() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.order {
		if c.asked || c.placing || c.placed || c.sum != c.sentSum || !b.agreed(c) {
			return true
		}
	}
	return len(b.fresh) > 0
}

// Snapshot returns a message with all that this entry knows at first hand, for
// an entry that has just started or become reachable.
func (b *Book) Snapshot(now time.Time) Message {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := Message{From: b.cfg.Self}
	if sent := b.sendCrashes(now, b.order); len(sent) > 0 {
		m = sent[0]
	}
	m.Verdicts = b.sortedVerdicts()
	return m
}

// Verdicts lists the quarantined requests in the order of their digests.
func (b *Book) Verdicts(now time.Time) []Verdict {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.DeleteFunc(b.sortedVerdicts(), func(v Verdict) bool { return !now.Before(v.Until) })
}

func (b *Book) sortedVerdicts() []Verdict {
	all := make([]Verdict, 0, len(b.verdicts))
	for d, until := range b.verdicts {
		all = append(all, Verdict{d, until})
	}
	sortVerdicts(all)
	return all
}

// Suspect says whether a request is accused by a crash, and by how many.
func (b *Book) Suspect(d Digest) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.suspects[d])
}

// ownedOf returns the upstreams that this entry owns, in order.
func (b *Book) ownedOf(ids []string) []string {
	var owned []string
	for _, id := range ids {
		if owner(id, b.entries) == b.cfg.Self {
			owned = append(owned, id)
		}
	}
	sort.Strings(owned)
	return owned
}

// owner returns the entry from which an upstream takes suspects: the one with
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

// gathered says that all reachable entries have reported on a crash.
func (b *Book) gathered(c *crash) bool {
	for _, e := range b.entries {
		if r := c.reports[e]; r == nil || r.truncated {
			return false
		}
	}
	return true
}

// agreed says that all reachable entries know all that this one knows of a
// crash.
func (b *Book) agreed(c *crash) bool {
	if !b.gathered(c) {
		return false
	}
	for _, e := range b.entries {
		if e != b.cfg.Self && c.sums[e] != c.sum {
			return false
		}
	}
	return true
}

// accused returns the requests in flight that are not cleared, in order.
func (c *crash) accused() []Digest {
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

func (c *crash) accuses(d Digest) bool {
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

// presence returns the highest presence of a request at a crash.
func (c *crash) presence(d Digest) Presence {
	highest := Presence(0)
	for _, r := range c.reports {
		highest = max(highest, r.digests[d])
	}
	return highest
}

func (r *run) presence() Presence {
	switch {
	case !r.ended.IsZero():
		return Lingering
	case r.isolated:
		return Isolated
	default:
		return InFlight
	}
}

// onlyCommon says that d is the only request that both crashes accuse.
func onlyCommon(a, b *crash, d Digest) bool {
	for _, r := range a.reports {
		for other := range r.digests {
			if other != d && !a.cleared[other] && b.accuses(other) {
				return false
			}
		}
	}
	return true
}

// elsewhere lists the suspects of a crash that this entry runs, by upstream and
// digest.
func (b *Book) elsewhere(c *crash) []Placement {
	var all []Placement
	for id, rs := range b.byTarget {
		for _, r := range rs {
			if r.target != c.target && c.accuses(r.digest) {
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
