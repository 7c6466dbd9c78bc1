package share

import (
	"math"
	"time"
)

// idleAfter is how long a limit without demand is still reported, so that a
// lease is not dropped between two requests.
const idleAfter = 5 * time.Second

// Tick returns the reports that are due. Messages to this daemon itself are
// processed at once.
func (n *Node) Tick(now time.Time) []Envelope {
	if !n.isEntry {
		return nil
	}
	var out []Envelope
	for _, l := range n.links {
		if now.Before(l.next) {
			continue
		}
		l.next = now.Add(n.cfg.Period)
		r := n.report(now, l)
		if l.id != n.cfg.ID {
			out = append(out, Envelope{To: l.id, Message: Message{Report: r}})
			continue
		}
		if g := n.answer(now, n.cfg.ID, r); g != nil {
			n.accept(now, n.cfg.ID, g)
		}
	}
	return out
}

// NextDeadline returns when Tick has reports to send.
func (n *Node) NextDeadline() time.Time {
	var next time.Time
	for _, l := range n.links {
		if next.IsZero() || l.next.Before(next) {
			next = l.next
		}
	}
	return next
}

// report builds the report to an owner and remembers what it asks for.
func (n *Node) report(now time.Time, l *ownerLink) *Report {
	l.seq++
	r := &Report{Incarnation: n.cfg.Incarnation, Seq: l.seq, AckIncarnation: l.incarnation, Ack: l.ack}
	sent := sentReport{seq: l.seq, at: now}
	l.set = l.set[:0]
	for _, h := range l.limits {
		if now.Sub(h.since) >= n.cfg.exclusive() {
			l.set = append(l.set, h.limit.ID)
			r.Digest ^= uint64(h.limit.ID)
		}
		if h.wanted.IsZero() || now.Sub(h.wanted) > idleAfter {
			continue
		}
		r.Items = append(r.Items, Item{Limit: h.limit.ID, Paying: float32(h.demand.Paying), Free: float32(h.demand.Free), Used: roundUp(h.demand.Used)})
		sent.items = append(sent.items, h.limit.ID)
	}
	if r.Digest != l.setDigest {
		l.setDigest, l.setKnown = r.Digest, false
	}
	if !l.setKnown {
		r.HasSet, r.Set = true, append([]LimitID(nil), l.set...)
	}
	if len(l.sent) == maxOutstanding {
		l.sent = append(l.sent[:0], l.sent[1:]...)
	}
	l.sent = append(l.sent, sent)
	return r
}

// Step processes a message and returns the answer to it, if any.
func (n *Node) Step(now time.Time, from string, m Message) []Envelope {
	switch {
	case m.Report != nil:
		if g := n.answer(now, from, m.Report); g != nil {
			return []Envelope{{To: from, Message: Message{Grant: g}}}
		}
	case m.Grant != nil:
		n.accept(now, from, m.Grant)
	}
	return nil
}

// accept puts the leases of a grant in force. Their time runs from when the
// report was sent, which is before the owner saw it.
func (n *Node) accept(now time.Time, from string, g *Grant) {
	l := n.out[from]
	if l == nil || g.ReportIncarnation != n.cfg.Incarnation {
		return
	}
	if g.Incarnation < l.incarnation || (g.Incarnation == l.incarnation && g.Seq <= l.ack) {
		return
	}
	var sent *sentReport
	for i := range l.sent {
		if l.sent[i].seq == g.Report {
			sent = &l.sent[i]
		}
	}
	if sent == nil || len(sent.items) != len(g.Shares) || now.Sub(sent.at) >= n.cfg.Lease {
		return
	}
	l.incarnation, l.ack = g.Incarnation, g.Seq
	l.contact = sent.at
	l.setKnown = !g.NeedSet
	for i, id := range sent.items {
		if h := n.limits[id]; h != nil {
			h.accept(from, sent.at, g.Shares[i], n.cfg.Lease)
		}
	}
	rest := l.sent[:0]
	for _, s := range l.sent {
		if s.seq > g.Report {
			rest = append(rest, s)
		}
	}
	l.sent = rest
}

// accept puts one share in force. A share of a former owner counts only while
// its lease is the one in use: the owner relies on a lower share being used
// once the grant is acknowledged.
func (h *held) accept(from string, sent time.Time, share float32, valid time.Duration) {
	if from != h.owner && from != h.lease.from {
		return
	}
	if share == NoAuthority {
		if from == h.owner {
			h.refused = sent
		}
		return
	}
	if from == h.owner {
		h.refused = time.Time{}
	}
	h.lease = lease{from: from, share: float64(share), expires: sent.Add(valid)}
}

// roundUp converts to float32 without losing any of the value.
func roundUp(v float64) float32 {
	f := float32(v)
	if float64(f) < v {
		f = math.Nextafter32(f, math.MaxFloat32)
	}
	return f
}

// roundDown converts to float32 without exceeding the value.
func roundDown(v float64) float32 {
	f := float32(v)
	if float64(f) > v {
		f = math.Nextafter32(f, -math.MaxFloat32)
	}
	return f
}
