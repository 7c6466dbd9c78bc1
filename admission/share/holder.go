package share

import (
	"math"
	"time"
)

// idleReportTimeout is how long a limit without demand is still reported, so
// that its lease is kept between two requests.
const idleReportTimeout = 5 * time.Second

// Tick returns the reports that are due. A report to this daemon itself is
// processed immediately.
func (n *Node) Tick(now time.Time) []Envelope {
	if !n.isEntry {
		return nil
	}
	var out []Envelope
	for _, link := range n.activeLinks {
		if now.Before(link.nextReport) {
			continue
		}
		link.nextReport = now.Add(n.cfg.Period)
		r := n.buildReport(now, link)
		if link.id != n.cfg.ID {
			out = append(out, Envelope{To: link.id, Message: Message{Report: r}})
			continue
		}
		if g := n.handleReport(now, n.cfg.ID, r); g != nil {
			n.handleGrant(now, n.cfg.ID, g)
		}
	}
	return out
}

// NextDeadline returns when the next report is due, or the zero time if this
// daemon has no links to owners.
func (n *Node) NextDeadline() time.Time {
	var next time.Time
	for _, l := range n.activeLinks {
		if next.IsZero() || l.nextReport.Before(next) {
			next = l.nextReport
		}
	}
	return next
}

// buildReport builds a report to an owner and records it as pending.
func (n *Node) buildReport(now time.Time, link *ownerLink) *Report {
	link.lastSeq++
	r := &Report{Incarnation: n.cfg.Incarnation, Seq: link.lastSeq, AckIncarnation: link.incarnation, Ack: link.lastGrant}
	sent := sentReport{seq: link.lastSeq, at: now}
	link.set = link.set[:0]
	for _, state := range link.limits {
		if now.Sub(state.ownerSince) >= n.cfg.exclusiveOwnership() {
			link.set = append(link.set, state.limit.ID)
			r.Digest ^= uint64(state.limit.ID)
		}
		if state.lastDemand.IsZero() || now.Sub(state.lastDemand) > idleReportTimeout {
			continue
		}
		r.Items = append(r.Items, Item{Limit: state.limit.ID, Paying: float32(state.demand.Paying), Free: float32(state.demand.Free), Used: roundUp(state.demand.Used)})
		sent.items = append(sent.items, state.limit.ID)
	}
	if r.Digest != link.setDigest {
		link.setDigest, link.setAcknowledged = r.Digest, false
	}
	if !link.setAcknowledged {
		r.HasSet, r.Set = true, append([]LimitID(nil), link.set...)
	}
	if len(link.pendingReports) == maxPendingReports {
		link.pendingReports = append(link.pendingReports[:0], link.pendingReports[1:]...)
	}
	link.pendingReports = append(link.pendingReports, sent)
	return r
}

// Step processes a message and returns the response, if any.
func (n *Node) Step(now time.Time, from string, m Message) []Envelope {
	switch {
	case m.Report != nil:
		if g := n.handleReport(now, from, m.Report); g != nil {
			return []Envelope{{To: from, Message: Message{Grant: g}}}
		}
	case m.Grant != nil:
		n.handleGrant(now, from, m.Grant)
	}
	return nil
}

// handleGrant applies the leases of a grant. Their validity starts when the
// report was sent, which is before the owner received it, so that they expire
// here before they expire at the owner.
func (n *Node) handleGrant(now time.Time, from string, g *Grant) {
	link := n.linksByOwner[from]
	if link == nil || g.ReportIncarnation != n.cfg.Incarnation {
		return
	}
	if g.Incarnation < link.incarnation || (g.Incarnation == link.incarnation && g.Seq <= link.lastGrant) {
		return
	}
	var sent *sentReport
	for i := range link.pendingReports {
		if link.pendingReports[i].seq == g.Report {
			sent = &link.pendingReports[i]
		}
	}
	if sent == nil || len(sent.items) != len(g.Shares) || now.Sub(sent.at) >= n.cfg.Lease {
		return
	}
	link.incarnation, link.lastGrant = g.Incarnation, g.Seq
	link.lastContact = sent.at
	link.setAcknowledged = !g.NeedSet
	for i, id := range sent.items {
		if state := n.limits[id]; state != nil {
			state.applyShare(from, sent.at, g.Shares[i], n.cfg.Lease)
		}
	}
	remaining := link.pendingReports[:0]
	for _, s := range link.pendingReports {
		if s.seq > g.Report {
			remaining = append(remaining, s)
		}
	}
	link.pendingReports = remaining
}

// applyShare applies one granted share. A share from a previous owner is applied
// only if the current lease is from it: that owner relies on a lower share
// taking effect once the grant is acknowledged.
func (l *limitState) applyShare(from string, sent time.Time, share float32, validity time.Duration) {
	if from != l.owner && from != l.lease.from {
		return
	}
	if share == NoAuthority {
		if from == l.owner {
			l.refusedAt = sent
		}
		return
	}
	if from == l.owner {
		l.refusedAt = time.Time{}
	}
	l.lease = lease{from: from, share: float64(share), expires: sent.Add(validity)}
}

// roundUp converts to float32 without decreasing the value.
func roundUp(v float64) float32 {
	f := float32(v)
	if float64(f) < v {
		f = math.Nextafter32(f, math.MaxFloat32)
	}
	return f
}

// roundDown converts to float32 without increasing the value.
func roundDown(v float64) float32 {
	f := float32(v)
	if float64(f) > v {
		f = math.Nextafter32(f, -math.MaxFloat32)
	}
	return f
}
