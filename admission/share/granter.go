package share

import (
	"sort"
	"time"
)

// entryPeer is the state that an owner keeps for one entry.
type entryPeer struct {
	incarnation, seq uint64
	pendingGrants    []sentGrant
	lastGrantSeq     uint64
	// confirmedAt is when this owner sent the last grant that the entry
	// acknowledged. It is a lower bound for the time of the acknowledgement,
	// regardless of network delay.
	confirmedAt time.Time
	digest      uint64
	hasSet      bool
	set         map[LimitID]struct{}
}

// sentGrant is a grant that is not acknowledged yet.
type sentGrant struct {
	seq uint64
	at  time.Time
}

// ownedLimit is the state that an owner keeps for one limit.
type ownedLimit struct {
	holders      []*leaseHolder // sorted by entry id
	computedAt   time.Time
	hasAuthority bool
	committed    float64 // sum of leaseHolder.committed
}

// leaseHolder is the state of one entry for an owned limit.
type leaseHolder struct {
	entry       string
	demand      Demand
	reportedAt  time.Time
	targetShare float64
	grants      []grantedShare
	// committed is the most that the entry can be using: the larger of its
	// reported use and the largest granted share that has not expired and is
	// not known to be replaced.
	committed float64
}

// grantedShare is a share of one limit in a grant.
type grantedShare struct {
	seq     uint64
	share   float64
	expires time.Time
}

// handleReport records the demand in a report and returns the grant. It returns
// nil for outdated and duplicate reports.
func (n *Node) handleReport(now time.Time, from string, r *Report) *Grant {
	p := n.peers[from]
	if p == nil {
		p = &entryPeer{}
		n.peers[from] = p
	}
	if r.Incarnation < p.incarnation || (r.Incarnation == p.incarnation && r.Seq <= p.seq) {
		return nil
	}
	if r.Incarnation != p.incarnation {
		p.confirmedAt, p.hasSet = time.Time{}, false
	}
	p.incarnation, p.seq = r.Incarnation, r.Seq
	acked := uint64(0)
	if r.AckIncarnation == n.cfg.Incarnation {
		acked = r.Ack
		p.recordAcknowledgement(acked)
	}
	p.updateSet(r)
	p.lastGrantSeq++
	g := &Grant{Incarnation: n.cfg.Incarnation, Seq: p.lastGrantSeq, ReportIncarnation: r.Incarnation, Report: r.Seq, NeedSet: !p.hasSet}
	if len(p.pendingGrants) == maxPendingReports {
		p.pendingGrants = append(p.pendingGrants[:0], p.pendingGrants[1:]...)
	}
	p.pendingGrants = append(p.pendingGrants, sentGrant{seq: g.Seq, at: now})
	g.Shares = make([]float32, len(r.Items))
	for i, item := range r.Items {
		g.Shares[i] = n.grant(now, from, item, acked, g.Seq)
	}
	return g
}

// recordAcknowledgement updates confirmedAt for an acknowledged grant and
// removes it and all earlier grants from the pending ones.
func (p *entryPeer) recordAcknowledgement(seq uint64) {
	remaining := p.pendingGrants[:0]
	for _, g := range p.pendingGrants {
		if g.seq == seq {
			p.confirmedAt = g.at
		}
		if g.seq > seq {
			remaining = append(remaining, g)
		}
	}
	p.pendingGrants = remaining
}

// updateSet records for which limits the entry regards this daemon as the
// owner. If the digest has changed without a new set, the set is invalid.
func (p *entryPeer) updateSet(r *Report) {
	switch {
	case r.HasSet:
		p.digest, p.hasSet = r.Digest, true
		p.set = make(map[LimitID]struct{}, len(r.Set))
		for _, id := range r.Set {
			p.set[id] = struct{}{}
		}
	case r.Digest != p.digest:
		p.hasSet = false
	}
}

// grant computes and records the share of one limit for one entry.
func (n *Node) grant(now time.Time, from string, item Item, acked, seq uint64) float32 {
	state := n.limits[item.Limit]
	if state == nil {
		return NoAuthority
	}
	owned := n.ownedLimits[item.Limit]
	if owned == nil {
		owned = &ownedLimit{}
		n.ownedLimits[item.Limit] = owned
	}
	holder := owned.holder(from)
	holder.demand = Demand{Paying: float64(item.Paying), Free: float64(item.Free), Used: float64(item.Used)}
	holder.reportedAt = now
	holder.dropReplacedGrants(acked)
	owned.updateCommitted(holder, now)
	pool := state.limit.Value
	if !state.limit.Kind.isInteger() {
		pool *= 1 - provisionalFraction
	}
	// Recomputing at most every quarter period bounds the work if many entries
	// report at the same time. It is short compared with the time that a share
	// takes to move between entries.
	if owned.computedAt.IsZero() || now.Sub(owned.computedAt) >= n.cfg.Period/4 {
		owned.computedAt = now
		owned.removeExpired(now, n.cfg.withDriftMargin(n.cfg.Lease))
		owned.hasAuthority = n.hasAuthority(now, item.Limit)
		// Rotating the order of equal demands ensures that no entry starves if
		// an integer limit is smaller than the number of entries.
		owned.computeTargets(pool, state.limit.Kind.isInteger(), int(now.UnixNano()/int64(n.cfg.Lease)))
	}
	if !owned.hasAuthority {
		return NoAuthority
	}
	available := pool - (owned.committed - holder.committed)
	share := max(0, min(holder.targetShare, available))
	if state.limit.Kind.isInteger() {
		share = float64(int(share))
	}
	rounded := roundDown(share)
	holder.grants = append(holder.grants, grantedShare{seq: seq, share: float64(rounded), expires: now.Add(n.cfg.withDriftMargin(n.cfg.Lease))})
	owned.updateCommitted(holder, now)
	return rounded
}

// hasAuthority reports whether this daemon may grant leases of a limit. The
// leases of its previous incarnation must have expired, and a majority of the
// entries must have confirmed recently that they have had no other owner for so
// long that no other daemon's leases can still be valid.
func (n *Node) hasAuthority(now time.Time, id LimitID) bool {
	if now.Sub(n.started) < n.cfg.withDriftMargin(n.cfg.Lease) {
		return false
	}
	votes := 0
	for _, entry := range n.entries {
		p := n.peers[entry]
		if p == nil || !p.hasSet || p.confirmedAt.IsZero() || now.Sub(p.confirmedAt) >= n.cfg.Evidence {
			continue
		}
		if _, ok := p.set[id]; ok {
			votes++
		}
	}
	return 2*votes > len(n.entries)
}

// holder returns the state of an entry, which it creates if necessary.
func (o *ownedLimit) holder(entry string) *leaseHolder {
	i := sort.Search(len(o.holders), func(i int) bool { return o.holders[i].entry >= entry })
	if i < len(o.holders) && o.holders[i].entry == entry {
		return o.holders[i]
	}
	h := &leaseHolder{entry: entry}
	o.holders = append(o.holders, nil)
	copy(o.holders[i+1:], o.holders[i:])
	o.holders[i] = h
	o.computedAt = time.Time{}
	return h
}

// dropReplacedGrants removes the shares that the acknowledged grant replaced. A
// grant that does not contain this limit replaces nothing, because an earlier
// grant of the limit may have been lost.
func (h *leaseHolder) dropReplacedGrants(seq uint64) {
	for i, g := range h.grants {
		if g.seq == seq {
			h.grants = append(h.grants[:0], h.grants[i:]...)
			return
		}
	}
}

// updateCommitted removes expired shares of an entry and recomputes committed.
func (o *ownedLimit) updateCommitted(h *leaseHolder, now time.Time) {
	o.committed -= h.committed
	h.committed = h.demand.Used
	remaining := h.grants[:0]
	for _, g := range h.grants {
		if now.Before(g.expires) {
			remaining = append(remaining, g)
			h.committed = max(h.committed, g.share)
		}
	}
	h.grants = remaining
	o.committed += h.committed
}

// removeExpired removes entries that have not reported for the duration of a
// lease and hold no unexpired share.
func (o *ownedLimit) removeExpired(now time.Time, lease time.Duration) {
	remaining := o.holders[:0]
	o.committed = 0
	for _, h := range o.holders {
		h.committed = 0
		if now.Sub(h.reportedAt) >= lease {
			h.demand = Demand{}
		}
		o.updateCommitted(h, now)
		if now.Sub(h.reportedAt) < lease || len(h.grants) > 0 {
			remaining = append(remaining, h)
		}
	}
	clear(o.holders[len(remaining):])
	o.holders = remaining
}

// computeTargets computes the target share of each entry: max-min fair division
// by paying demand, then by free demand, and equal parts of the remainder.
func (o *ownedLimit) computeTargets(pool float64, integer bool, rotation int) {
	n := len(o.holders)
	demand := make([]float64, n)
	for i, h := range o.holders {
		h.targetShare, demand[i] = 0, h.demand.Paying
	}
	pool = o.fillMaxMin(demand, pool, integer, rotation)
	for i, h := range o.holders {
		demand[i] = h.demand.Free
	}
	pool = o.fillMaxMin(demand, pool, integer, rotation)
	for i := range demand {
		demand[i] = pool
	}
	o.fillMaxMin(demand, pool, integer, rotation)
}

// fillMaxMin adds a max-min fair division of the pool, limited by demand, to
// the target shares and returns the remainder.
func (o *ownedLimit) fillMaxMin(demand []float64, pool float64, integer bool, rotation int) float64 {
	order := make([]int, len(demand))
	for i := range order {
		order[i] = (i + rotation) % len(demand)
	}
	sort.SliceStable(order, func(a, b int) bool { return demand[order[a]] < demand[order[b]] })
	for k, i := range order {
		amount := min(demand[i], pool/float64(len(order)-k))
		if integer {
			amount = float64(int(amount))
		}
		o.holders[i].targetShare += amount
		pool -= amount
	}
	return pool
}
