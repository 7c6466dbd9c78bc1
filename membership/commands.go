package membership

import (
	"fmt"
	"time"
)

// SetPeers replaces the list of other daemons. The daemon's own id is ignored.
func (r *Registry) SetPeers(now time.Time, list []Peer) {
	t := r.sinceBase(now)
	keep := map[string]bool{r.cfg.ID: true}
	for _, d := range list {
		if d.ID == r.cfg.ID {
			continue
		}
		keep[d.ID] = true
		p := r.peers[d.ID]
		if p == nil {
			p = &peer{sendFull: true, receivedAt: never, recordsSentAt: never, lastFlushAt: never, nextFlushAt: t, slots: map[uint32]*source{}}
			r.peers[d.ID] = p
		}
		p.Peer = d
		p.class = localClass
		if d.FailureDomain != r.cfg.FailureDomain {
			p.class = remoteClass
		}
	}
	for id, p := range r.peers {
		if !keep[id] {
			r.clearPeerSet(p, t)
			delete(r.peers, id)
		}
	}
	r.rebuildPeerOrder()
}

// Stop announces that the daemon is shutting down, so that it is no longer
// selected as a registrar.
func (r *Registry) Stop(now time.Time) {
	r.stopping = true
	r.scheduleUrgentFlush(r.sinceBase(now))
}

// Announce processes an announcement and returns the lease to send back.
func (r *Registry) Announce(now time.Time, a Announcement) Lease {
	t := r.sinceBase(now)
	e := r.entry(a.ID)
	if e.admitIncarnation(a.Incarnation) {
		reportedAt := t
		if a.Features.Echo {
			reportedAt = never // set by the first heartbeat or a probe
			r.requestProbe(e, &a, t)
		}
		r.holdLease(e, a.Incarnation, &a, t)
		r.recordReport(e.lease, a.Sequence, a.State, e.lease.inForce, e.lease.load, reportedAt, t)
		r.evaluate(e, t)
	}
	return r.grantLease(now, a.ID, a.Avoid, false)
}

// Heartbeat processes a heartbeat and returns the lease to send back.
func (r *Registry) Heartbeat(now time.Time, h Heartbeat) Lease {
	t := r.sinceBase(now)
	e := r.entries[h.ID]
	if e == nil || h.Incarnation > e.maxIncarnation || r.description(e) == nil {
		return r.grantLease(now, h.ID, nil, true)
	}
	if h.Incarnation == e.maxIncarnation {
		a := r.description(e)
		if e.lease == nil || e.lease.incarnation != h.Incarnation {
			// A peer may have announced the incarnation first. A report must not
			// renew the lease of an earlier incarnation.
			r.holdLease(e, h.Incarnation, a, t)
		}
		reportedAt := t
		if a.Features.Echo {
			reportedAt = r.echoTime(h)
		}
		r.recordReport(e.lease, h.Sequence, h.State, h.InForce, loadOf(h), reportedAt, t)
		r.evaluate(e, t)
	}
	return r.grantLease(now, h.ID, nil, false)
}

func loadOf(h Heartbeat) Load {
	return Load{Sequence: h.Sequence, Running: h.Running, Queued: h.Queued, KVUse: h.KVUse, TokensPerSecond: h.TokensPerSecond}
}

// description returns the newest announcement of maxIncarnation, or nil.
func (r *Registry) description(e *entry) *Announcement {
	var a *Announcement
	for _, s := range e.sources {
		if s.incarnation == e.maxIncarnation && s.announced != nil && (a == nil || s.announced.Sequence > a.Sequence) {
			a = s.announced
		}
	}
	return a
}

// holdLease creates or updates the lease that this daemon holds for an upstream.
func (r *Registry) holdLease(e *entry, incarnation uint64, a *Announcement, t int64) {
	if e.lease != nil && e.lease.incarnation != incarnation {
		r.dropLease(e, t)
	}
	if e.lease == nil {
		s := &slot{number: r.nextSlot}
		s.source = source{entry: e, reporter: r.cfg.ID, incarnation: incarnation, state: a.State, sequence: a.Sequence, reportedAt: never}
		s.loadSentAt = [2]int64{never, never}
		r.nextSlot++
		r.slots = append(r.slots, s)
		e.lease = s
		e.addSource(&s.source)
	}
	s := e.lease
	if s.announced == nil || a.Sequence > s.announced.Sequence || a.Sequence == s.announced.Sequence && !sameDescription(a, s.announced) {
		s.announced = a
		r.recordChange(s, t)
		s.announcementChange = s.changeNumber
	}
}

// recordChange assigns the next change number to a slot and schedules an urgent
// flush.
func (r *Registry) recordChange(s *slot, t int64) {
	r.lastChange++
	s.changeNumber = r.lastChange
	r.scheduleUrgentFlush(t)
}

// recordReport updates a slot with a report from its upstream. A report older
// than the last one only renews the lease.
func (r *Registry) recordReport(s *slot, sequence uint64, state State, inForce GroupRef, load Load, reportedAt, t int64) {
	if state == Leaving && s.state != Leaving {
		// Leaving is final for an incarnation, whatever the sequence.
		s.state, s.sequence = Leaving, max(sequence, s.sequence)
		r.recordChange(s, t)
	}
	if sequence >= s.sequence && sequence >= s.load.Sequence && s.state != Leaving {
		if s.state != state || s.inForce != inForce {
			s.state, s.inForce, s.sequence = state, inForce, sequence
			r.recordChange(s, t)
		}
		if load.Sequence > s.load.Sequence {
			s.load = load
		}
		s.reportedAt = max(s.reportedAt, reportedAt)
	}
	if s.state == Leaving {
		s.reportedAt = max(s.reportedAt, reportedAt)
	}
	s.contactAt = t
}

// dropLease ends the lease that this daemon holds and leaves a tombstone in its
// slot.
func (r *Registry) dropLease(e *entry, t int64) {
	s := e.lease
	if s == nil {
		return
	}
	e.lease = nil
	e.removeSource(&s.source)
	s.dropped, s.droppedAt = true, t
	s.entry = nil
	r.recordChange(s, t)
}

// echoFormat is the format of Lease.Echo: daemon id, incarnation, and clock in
// milliseconds.
const echoFormat = "%s/%d/%d"

// echoTime returns the earliest local time at which the heartbeat can have been
// sent. It returns never if the echo is not of this incarnation of the daemon.
func (r *Registry) echoTime(h Heartbeat) int64 {
	var incarnation uint64
	var clock int64
	prefix := r.cfg.ID + "/"
	if len(h.Echo) <= len(prefix) || h.Echo[:len(prefix)] != prefix || h.EchoAgeMillis < 0 {
		return never
	}
	if n, err := fmt.Sscanf(h.Echo[len(prefix):], "%d/%d", &incarnation, &clock); n != 2 || err != nil || incarnation != r.cfg.Incarnation {
		return never
	}
	age := float64(h.EchoAgeMillis) * (1 - r.cfg.MaxClockDrift)
	return int64((float64(clock) + age) * float64(time.Millisecond))
}

// RecordProbe processes the response of an upstream to a probe. sent is the
// time at which the probe was sent, and so the earliest possible time of the
// report.
func (r *Registry) RecordProbe(now, sent time.Time, a Announcement, h Heartbeat) {
	t := r.sinceBase(now)
	e := r.entry(a.ID)
	if h.ID != a.ID || h.Incarnation != a.Incarnation || !e.admitIncarnation(a.Incarnation) {
		return
	}
	p := e.probe
	if p == nil || p.incarnation != a.Incarnation {
		if p != nil {
			e.removeSource(p)
		}
		p = &source{entry: e, incarnation: a.Incarnation, reportedAt: never}
		e.probe = p
		e.addSource(p)
	}
	if h.Sequence >= p.load.Sequence && p.state != Leaving {
		if p.announced == nil || p.state != h.State || p.inForce != h.InForce {
			p.sequence = h.Sequence
		}
		p.announced, p.state, p.inForce, p.load = &a, h.State, h.InForce, loadOf(h)
	}
	if h.Sequence >= p.load.Sequence {
		p.reportedAt = max(p.reportedAt, r.sinceBase(sent))
	}
	r.evaluate(e, t)
}

// Merge processes a batch from another daemon. Batches may be lost, reordered
// and repeated: once the set is complete, the state is the same.
func (r *Registry) Merge(now time.Time, from string, b Batch) {
	p := r.peers[from]
	if p == nil || b.Incarnation < p.incarnation {
		return
	}
	t := r.sinceBase(now)
	if b.Incarnation > p.incarnation {
		r.resetPeer(p, b.Incarnation, t)
	}
	p.receivedAt = t
	if b.Clock >= p.clock {
		p.clock, p.clockAt, p.stopping = b.Clock, t, b.Stopping
	}
	r.acknowledge(p, b, t)
	switch {
	case b.To < p.mergedChange:
		return
	case b.Full && (!p.synced || b.To > p.mergedChange):
		r.replacePeerSet(p, b, t)
	case b.Full:
	case p.synced && b.From <= p.mergedChange:
		r.applyRecords(p, b.Records, t)
		p.mergedChange = b.To
	default:
		p.needsResync = true
		p.scheduleFlush(t)
		return
	}
	r.applyLiveness(p, b, t)
}

// acknowledge processes the fields of a batch that refer to the batches of this
// daemon.
func (r *Registry) acknowledge(p *peer, b Batch, t int64) {
	if b.PeerIncarnation != r.cfg.Incarnation {
		// The peer has received no batch from this incarnation of the daemon.
		p.sendFull = true
		p.scheduleFlush(t)
		return
	}
	p.clockOffset.update(b.Clock, b.Echo, b.EchoHold, r.cfg.MaxClockDrift)
	behind := b.Have < p.sentChange && t-p.recordsSentAt > int64(followUpDelay)
	if b.Resync || behind {
		p.sentChange = min(p.sentChange, b.Have)
		p.sendFull = p.sendFull || b.Have == 0 || b.Have < r.purgedChange
		p.scheduleFlush(t)
	}
}

// scheduleFlush makes the next batch due at once, but no earlier than
// resyncInterval after the last. Otherwise two daemons that both miss changes of
// the other would exchange batches without pause.
func (p *peer) scheduleFlush(t int64) {
	p.nextFlushAt = min(p.nextFlushAt, max(t, p.lastFlushAt+int64(resyncInterval)))
}

func (r *Registry) resetPeer(p *peer, incarnation uint64, t int64) {
	r.clearPeerSet(p, t)
	p.incarnation = incarnation
	p.clock, p.clockAt, p.clockOffset = 0, t, clockOffset{}
	p.mergedChange, p.synced, p.needsResync = 0, false, false
	p.sentChange, p.sendFull = 0, true
	p.scheduleFlush(t)
}

func (r *Registry) clearPeerSet(p *peer, t int64) {
	for n, s := range p.slots {
		r.removeSource(s, t)
		delete(p.slots, n)
	}
}

func (r *Registry) removeSource(s *source, t int64) {
	s.entry.removeSource(s)
	r.evaluate(s.entry, t)
}

// replacePeerSet merges a full set. Slots that are not in it are removed.
func (r *Registry) replacePeerSet(p *peer, b Batch, t int64) {
	named := make(map[uint32]bool, len(b.Records))
	for _, rec := range b.Records {
		named[rec.Slot] = true
	}
	for n, s := range p.slots {
		if !named[n] {
			delete(p.slots, n)
			r.removeSource(s, t)
		}
	}
	r.applyRecords(p, b.Records, t)
	p.mergedChange, p.synced, p.needsResync = b.To, true, false
}

func (r *Registry) applyRecords(p *peer, records []Record, t int64) {
	for i := range records {
		r.applyRecord(p, &records[i], t)
	}
	p.needsResync = false
}

func (r *Registry) applyRecord(p *peer, rec *Record, t int64) {
	s := p.slots[rec.Slot]
	if rec.Dropped {
		if s != nil {
			delete(p.slots, rec.Slot)
			r.removeSource(s, t)
		}
		return
	}
	e := r.entry(rec.ID)
	e.admitIncarnation(rec.Incarnation)
	if s == nil {
		s = &source{entry: e, reporter: p.ID, incarnation: rec.Incarnation, reportedAt: never}
		p.slots[rec.Slot] = s
		e.addSource(s)
	}
	s.sequence, s.state, s.inForce = rec.Sequence, rec.State, rec.InForce
	if rec.Announcement != nil {
		s.announced = rec.Announcement
	}
	if rec.Load.Sequence > s.load.Sequence {
		s.load = rec.Load
	}
	r.evaluate(e, t)
}

// applyLiveness updates the ages and loads of a peer's set. The set must be as of
// change b.To, because ages and loads refer to its slots.
func (r *Registry) applyLiveness(p *peer, b Batch, t int64) {
	for _, l := range b.Loads {
		s := p.slots[l.Slot]
		if s == nil || l.Load.Sequence <= s.load.Sequence {
			continue
		}
		s.load = l.Load
		if e := s.entry; e.current != nil && s.incarnation == e.current.Incarnation {
			e.current.live.advance(never, s.load)
		}
	}
	if !p.clockOffset.known {
		return
	}
	allReportedAt := p.clockOffset.toLocal(b.Clock-b.AllAge, t, r.cfg.MaxClockDrift)
	var except map[uint32]int64
	if len(b.Except) > 0 {
		except = make(map[uint32]int64, len(b.Except))
	}
	for _, x := range b.Except {
		except[x.Slot] = x.Age
	}
	for n, s := range p.slots {
		reportedAt := allReportedAt
		if age, ok := except[n]; ok {
			reportedAt = never
			if age >= 0 {
				reportedAt = p.clockOffset.toLocal(b.Clock-age, t, r.cfg.MaxClockDrift)
			}
		}
		r.refreshLiveness(s, reportedAt, t)
	}
}
