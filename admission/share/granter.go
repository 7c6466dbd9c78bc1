package share

import (
	"sort"
	"time"
)

// peer is an owner's exchange with one entry.
type peer struct {
	incarnation, seq uint64
	grants           []sentGrant
	lastGrant        uint64
	// evidence is when this owner sent the last grant that the entry
	// acknowledged: the acknowledgement is younger than that, however late it
	// arrived.
	evidence time.Time
	digest   uint64
	hasSet   bool
	set      map[LimitID]struct{}
}

type sentGrant struct {
	seq uint64
	at  time.Time
}

// ownedLimit is what an owner knows of one limit.
type ownedLimit struct {
	holders   []*holder // by entry id
	computed  time.Time
	authority bool
	committed float64 // sum of the holders' committed shares
}

// holder is an entry's part of an owned limit.
type holder struct {
	entry    string
	demand   Demand
	reported time.Time
	target   float64
	grants   []grantedShare
	// committed is the most that the entry can be using: the largest share that
	// was granted and is neither expired nor replaced for certain.
	committed float64
}

type grantedShare struct {
	seq     uint64
	share   float64
	expires time.Time
}

// answer records the demand in a report and grants shares.
func (n *Node) answer(now time.Time, from string, r *Report) *Grant {
	p := n.peers[from]
	if p == nil {
		p = &peer{}
		n.peers[from] = p
	}
	if r.Incarnation < p.incarnation || (r.Incarnation == p.incarnation && r.Seq <= p.seq) {
		return nil
	}
	if r.Incarnation != p.incarnation {
		p.evidence, p.hasSet = time.Time{}, false
	}
	p.incarnation, p.seq = r.Incarnation, r.Seq
	acked := uint64(0)
	if r.AckIncarnation == n.cfg.Incarnation {
		acked = r.Ack
		p.acknowledge(acked)
	}
	p.keepSet(r)
	p.lastGrant++
	g := &Grant{Incarnation: n.cfg.Incarnation, Seq: p.lastGrant, ReportIncarnation: r.Incarnation, Report: r.Seq, NeedSet: !p.hasSet}
	if len(p.grants) == maxOutstanding {
		p.grants = append(p.grants[:0], p.grants[1:]...)
	}
	p.grants = append(p.grants, sentGrant{seq: g.Seq, at: now})
	g.Shares = make([]float32, len(r.Items))
	for i, item := range r.Items {
		g.Shares[i] = n.grant(now, from, item, acked, g.Seq)
	}
	return g
}

func (p *peer) acknowledge(seq uint64) {
	rest := p.grants[:0]
	for _, g := range p.grants {
		if g.seq == seq {
			p.evidence = g.at
		}
		if g.seq > seq {
			rest = append(rest, g)
		}
	}
	p.grants = rest
}

// keepSet records which limits the entry counts as this owner's.
func (p *peer) keepSet(r *Report) {
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

// grant returns the share of one entry of one limit.
func (n *Node) grant(now time.Time, from string, item Item, acked, seq uint64) float32 {
	h := n.limits[item.Limit]
	if h == nil {
		return NoAuthority
	}
	o := n.owned[item.Limit]
	if o == nil {
		o = &ownedLimit{}
		n.owned[item.Limit] = o
	}
	e := o.holder(from)
	e.demand = Demand{Paying: float64(item.Paying), Free: float64(item.Free), Used: float64(item.Used)}
	e.reported = now
	e.acknowledge(acked)
	o.commit(e, now)
	pool := h.limit.Value
	if !h.limit.Kind.whole() {
		pool *= 1 - starterFraction
	}
	// A quarter of a period is short against the time that a share takes to
	// move, and bounds the work when many entries report at once.
	if o.computed.IsZero() || now.Sub(o.computed) >= n.cfg.Period/4 {
		o.computed = now
		o.sweep(now, n.cfg.stretch(n.cfg.Lease))
		o.authority = n.authority(now, item.Limit)
		// Equal claims to whole units take turns, so that a limit under the
		// number of entries starves none of them.
		o.divide(pool, h.limit.Kind.whole(), int(now.UnixNano()/int64(n.cfg.Lease)))
	}
	if !o.authority {
		return NoAuthority
	}
	free := pool - (o.committed - e.committed)
	share := max(0, min(e.target, free))
	if h.limit.Kind.whole() {
		share = float64(int(share))
	}
	rounded := roundDown(share)
	e.grants = append(e.grants, grantedShare{seq: seq, share: float64(rounded), expires: now.Add(n.cfg.stretch(n.cfg.Lease))})
	o.commit(e, now)
	return rounded
}

// authority returns whether this daemon may grant leases of a limit: leases of
// its own former incarnation have ended, and a majority of the entries has
// lately confirmed to have no other owner for long enough that no other
// daemon's leases can be valid.
func (n *Node) authority(now time.Time, id LimitID) bool {
	if now.Sub(n.started) < n.cfg.stretch(n.cfg.Lease) {
		return false
	}
	votes := 0
	for _, entry := range n.entries {
		p := n.peers[entry]
		if p == nil || !p.hasSet || p.evidence.IsZero() || now.Sub(p.evidence) >= n.cfg.Evidence {
			continue
		}
		if _, ok := p.set[id]; ok {
			votes++
		}
	}
	return 2*votes > len(n.entries)
}

func (o *ownedLimit) holder(entry string) *holder {
	i := sort.Search(len(o.holders), func(i int) bool { return o.holders[i].entry >= entry })
	if i < len(o.holders) && o.holders[i].entry == entry {
		return o.holders[i]
	}
	h := &holder{entry: entry}
	o.holders = append(o.holders, nil)
	copy(o.holders[i+1:], o.holders[i:])
	o.holders[i] = h
	o.computed = time.Time{}
	return h
}

// acknowledge drops the shares that the acknowledged grant replaced. A grant
// without this limit replaced nothing, because an earlier one may be lost.
func (h *holder) acknowledge(seq uint64) {
	for i, g := range h.grants {
		if g.seq == seq {
			h.grants = append(h.grants[:0], h.grants[i:]...)
			return
		}
	}
}

// commit recomputes what an entry can be using at most.
func (o *ownedLimit) commit(h *holder, now time.Time) {
	o.committed -= h.committed
	h.committed = h.demand.Used
	rest := h.grants[:0]
	for _, g := range h.grants {
		if now.Before(g.expires) {
			rest = append(rest, g)
			h.committed = max(h.committed, g.share)
		}
	}
	h.grants = rest
	o.committed += h.committed
}

// sweep forgets entries that have not reported for a lease and hold nothing.
func (o *ownedLimit) sweep(now time.Time, lease time.Duration) {
	rest := o.holders[:0]
	o.committed = 0
	for _, h := range o.holders {
		h.committed = 0
		if now.Sub(h.reported) >= lease {
			h.demand = Demand{}
		}
		o.commit(h, now)
		if now.Sub(h.reported) < lease || len(h.grants) > 0 {
			rest = append(rest, h)
		}
	}
	clear(o.holders[len(rest):])
	o.holders = rest
}

// divide sets each entry's target: paying demand first, then free demand, each
// max-min fair, then equal parts of what is left.
func (o *ownedLimit) divide(pool float64, whole bool, turn int) {
	n := len(o.holders)
	want := make([]float64, n)
	for i, h := range o.holders {
		h.target, want[i] = 0, h.demand.Paying
	}
	pool = o.fill(want, pool, whole, turn)
	for i, h := range o.holders {
		want[i] = h.demand.Free
	}
	pool = o.fill(want, pool, whole, turn)
	for i := range want {
		want[i] = pool
	}
	o.fill(want, pool, whole, turn)
}

// fill adds to the targets a max-min fair division of the pool, no more than
// wanted, and returns what is left.
func (o *ownedLimit) fill(want []float64, pool float64, whole bool, turn int) float64 {
	order := make([]int, len(want))
	for i := range order {
		order[i] = (i + turn) % len(want)
	}
	sort.SliceStable(order, func(a, b int) bool { return want[order[a]] < want[order[b]] })
	for k, i := range order {
		part := min(want[i], pool/float64(len(order)-k))
		if whole {
			part = float64(int(part))
		}
		o.holders[i].target += part
		pool -= part
	}
	return pool
}
