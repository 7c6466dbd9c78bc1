package membership

import (
	"fmt"
	"time"
)

// SetPeers replaces the list of other daemons.
func (r *Registry) SetPeers(now time.Time, list []Peer) {
	t := r.at(now)
	keep := map[string]bool{r.cfg.ID: true}
	for _, d := range list {
		if d.ID == r.cfg.ID {
			continue
		}
		keep[d.ID] = true
		p := r.peers[d.ID]
		if p == nil {
			p = &peer{full: true, heardAt: never, structureAt: never, flushedAt: never, flushAt: t, slots: map[uint32]*source{}}
			r.peers[d.ID] = p
		}
		p.Peer = d
		p.class = localPeers
		if d.FailureDomain != r.cfg.FailureDomain {
			p.class = remotePeers
		}
	}
	for id, p := range r.peers {
		if !keep[id] {
			r.forgetPeer(p, t)
			delete(r.peers, id)
		}
	}
	r.sortedPeers()
}

// Stop says that the daemon shuts down: it is no longer chosen as a registrar.
func (r *Registry) Stop(now time.Time) {
	r.stopped = true
	r.hasten(r.at(now))
}

// Announce takes an upstream's announcement.
func (r *Registry) Announce(now time.Time, a Announcement) Lease {
	t := r.at(now)
	e := r.entry(a.ID)
	if e.raise(a.Incarnation) {
		last := t
		if a.Features.Echo {
			last = never // the first heartbeat or a probe confirms it
			r.ask(e, &a, t)
		}
		r.hold(e, a.Incarnation, &a, t)
		r.report(e.own, a.Sequence, a.State, e.own.inForce, e.own.load, last, t)
		r.evaluate(e, t)
	}
	return r.lease(now, a.ID, a.Avoid, false)
}

// Heartbeat takes an upstream's heartbeat.
func (r *Registry) Heartbeat(now time.Time, h Heartbeat) Lease {
	t := r.at(now)
	e := r.entries[h.ID]
	if e == nil || h.Incarnation > e.floor || r.description(e) == nil {
		return r.lease(now, h.ID, nil, true)
	}
	if h.Incarnation == e.floor {
		a := r.description(e)
		if e.own == nil {
			r.hold(e, h.Incarnation, a, t)
		}
		last := t
		if a.Features.Echo {
			last = r.echoed(h)
		}
		r.report(e.own, h.Sequence, h.State, h.InForce, loadOf(h), last, t)
		r.evaluate(e, t)
	}
	return r.lease(now, h.ID, nil, false)
}

func loadOf(h Heartbeat) Load {
	return Load{Sequence: h.Sequence, Running: h.Running, Queued: h.Queued, KVUse: h.KVUse, TokensPerS: h.TokensPerS}
}

// description returns the newest announcement of the newest incarnation.
func (r *Registry) description(e *entry) *Announcement {
	var a *Announcement
	for _, s := range e.sources {
		if s.incarnation == e.floor && s.announced != nil && (a == nil || s.announced.Sequence > a.Sequence) {
			a = s.announced
		}
	}
	return a
}

// hold makes this daemon a registrar of the upstream, or updates its lease.
func (r *Registry) hold(e *entry, incarnation uint64, a *Announcement, t int64) {
	if e.own != nil && e.own.incarnation != incarnation {
		r.drop(e, t)
	}
	if e.own == nil {
		s := &slot{number: r.next}
		s.source = source{entry: e, from: r.cfg.ID, incarnation: incarnation, state: a.State, sequence: a.Sequence, last: never}
		s.sentAt = [2]int64{never, never}
		r.next++
		r.slots = append(r.slots, s)
		e.own = s
		e.add(&s.source)
	}
	s := e.own
	if s.announced == nil || a.Sequence > s.announced.Sequence || a.Sequence == s.announced.Sequence && !sameDescription(a, s.announced) {
		s.announced = a
		r.changed(s, t)
		s.described = s.changed
	}
}

// changed gives the slot the next change number and hastens the batches.
func (r *Registry) changed(s *slot, t int64) {
	r.change++
	s.changed = r.change
	r.hasten(t)
}

// report records a report at first hand. An older one renews the lease only.
func (r *Registry) report(s *slot, sequence uint64, state State, inForce GroupRef, load Load, last, t int64) {
	if state == Leaving && s.state != Leaving {
		// Leaving is final for an incarnation, so its sequence does not matter.
		s.state, s.sequence = Leaving, max(sequence, s.sequence)
		r.changed(s, t)
	}
	if sequence >= s.sequence && sequence >= s.load.Sequence && s.state != Leaving {
		if s.state != state || s.inForce != inForce {
			s.state, s.inForce, s.sequence = state, inForce, sequence
			r.changed(s, t)
		}
		if load.Sequence > s.load.Sequence {
			s.load = load
		}
		s.last = max(s.last, last)
	}
	if s.state == Leaving {
		s.last = max(s.last, last)
	}
	s.heard = t
}

// drop ends the lease that this daemon holds.
func (r *Registry) drop(e *entry, t int64) {
	s := e.own
	if s == nil {
		return
	}
	e.own = nil
	e.remove(&s.source)
	s.dropped, s.droppedAt = true, t
	s.entry = nil
	r.changed(s, t)
}

// Echo marks have the form daemon/incarnation/clock.
const echoFormat = "%s/%d/%d"

// echoed returns the earliest local time at which the heartbeat can have been
// sent, never when its echo is not from this run of the daemon.
func (r *Registry) echoed(h Heartbeat) int64 {
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

// Probed takes the answer of an upstream to a probe that was sent at the time
// given, which is the earliest that the answer can speak of.
func (r *Registry) Probed(now, sent time.Time, a Announcement, h Heartbeat) {
	t := r.at(now)
	e := r.entry(a.ID)
	if h.ID != a.ID || h.Incarnation != a.Incarnation || !e.raise(a.Incarnation) {
		return
	}
	p := e.probe
	if p == nil || p.incarnation != a.Incarnation {
		if p != nil {
			e.remove(p)
		}
		p = &source{entry: e, incarnation: a.Incarnation, last: never}
		e.probe = p
		e.add(p)
	}
	if h.Sequence >= p.load.Sequence && p.state != Leaving {
		if p.announced == nil || p.state != h.State || p.inForce != h.InForce {
			p.sequence = h.Sequence
		}
		p.announced, p.state, p.inForce, p.load = &a, h.State, h.InForce, loadOf(h)
	}
	if h.Sequence >= p.load.Sequence {
		p.last = max(p.last, r.at(sent))
	}
	r.evaluate(e, t)
}

// Merge takes a batch from another daemon. Merging the same batches in any
// order, any number of times, gives the same state once the sets are in step.
func (r *Registry) Merge(now time.Time, from string, b Batch) {
	p := r.peers[from]
	if p == nil || b.Incarnation < p.incarnation {
		return
	}
	t := r.at(now)
	if b.Incarnation > p.incarnation {
		r.resetPeer(p, b.Incarnation, t)
	}
	p.heardAt = t
	if b.Clock >= p.clock {
		p.clock, p.clockAt, p.stopping = b.Clock, t, b.Stopping
	}
	r.acknowledge(p, b, t)
	switch {
	case b.To < p.have:
		return
	case b.Full && (!p.synced || b.To > p.have):
		r.replaceSet(p, b, t)
	case b.Full:
	case p.synced && b.From <= p.have:
		r.applyRecords(p, b.Records, t)
		p.have = b.To
	default:
		p.resync = true
		p.hasten(t)
		return
	}
	r.applyLiveness(p, b, t)
}

// acknowledge takes what the peer says of this daemon's own batches.
func (r *Registry) acknowledge(p *peer, b Batch, t int64) {
	if b.PeerIncarnation != r.cfg.Incarnation {
		// The peer has heard nothing from this run of the daemon.
		p.full = true
		p.hasten(t)
		return
	}
	p.offset.learn(b.Clock, b.Echo, b.EchoHold, r.cfg.MaxClockDrift)
	behind := b.Have < p.sent && t-p.structureAt > int64(followUp)
	if b.Resync || behind {
		p.sent = min(p.sent, b.Have)
		p.full = p.full || b.Have == 0 || b.Have < r.purged
		p.hasten(t)
	}
}

// hasten makes the next batch due at once, but not right after another one:
// two daemons that miss each other's sets must not answer without a pause.
func (p *peer) hasten(t int64) {
	p.flushAt = min(p.flushAt, max(t, p.flushedAt+int64(resyncPause)))
}

func (r *Registry) resetPeer(p *peer, incarnation uint64, t int64) {
	r.clearSet(p, t)
	p.incarnation = incarnation
	p.clock, p.clockAt, p.offset = 0, t, offset{}
	p.have, p.synced, p.resync = 0, false, false
	p.sent, p.full = 0, true
	p.hasten(t)
}

func (r *Registry) clearSet(p *peer, t int64) {
	for n, s := range p.slots {
		r.removeSource(s, t)
		delete(p.slots, n)
	}
}

func (r *Registry) forgetPeer(p *peer, t int64) { r.clearSet(p, t) }

func (r *Registry) removeSource(s *source, t int64) {
	s.entry.remove(s)
	r.evaluate(s.entry, t)
}

// replaceSet merges a full set: slots that it does not name are dropped.
func (r *Registry) replaceSet(p *peer, b Batch, t int64) {
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
	p.have, p.synced, p.resync = b.To, true, false
}

func (r *Registry) applyRecords(p *peer, records []Record, t int64) {
	for i := range records {
		r.applyRecord(p, &records[i], t)
	}
	p.resync = false
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
	e.raise(rec.Incarnation)
	if s == nil {
		s = &source{entry: e, from: p.ID, incarnation: rec.Incarnation, last: never}
		p.slots[rec.Slot] = s
		e.add(s)
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

// applyLiveness takes the ages and loads of a set that is in step.
func (r *Registry) applyLiveness(p *peer, b Batch, t int64) {
	for _, l := range b.Loads {
		s := p.slots[l.Slot]
		if s == nil || l.Load.Sequence <= s.load.Sequence {
			continue
		}
		s.load = l.Load
		if e := s.entry; e.current != nil && s.incarnation == e.current.Incarnation {
			e.current.cell.raise(never, s.load)
		}
	}
	if !p.offset.known {
		return
	}
	all := p.offset.local(b.Clock-b.AllAge, t, r.cfg.MaxClockDrift)
	var except map[uint32]int64
	if len(b.Except) > 0 {
		except = make(map[uint32]int64, len(b.Except))
	}
	for _, x := range b.Except {
		except[x.Slot] = x.Age
	}
	for n, s := range p.slots {
		last := all
		if age, ok := except[n]; ok {
			last = never
			if age >= 0 {
				last = p.offset.local(b.Clock-age, t, r.cfg.MaxClockDrift)
			}
		}
		r.refresh(s, last, t)
	}
}
