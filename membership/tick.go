package membership

import (
	"math"
	"slices"
	"time"
)

// Tick performs the work that is due: it ends expired leases, builds batches and
// selects probes. Call it after each input and at the time that NextTick returns.
func (r *Registry) Tick(now time.Time) Output {
	t := r.sinceBase(now)
	if t-r.sweptAt >= int64(sweepPeriod) {
		r.sweptAt = t
		r.sweep(t)
	}
	if r.urgentFlushAt != never && t >= r.urgentFlushAt {
		r.urgentFlushAt = never
		for _, p := range r.orderedPeers {
			p.nextFlushAt = t
		}
	}
	batches := r.flush(t)
	r.sortEvents()
	out := Output{Batches: batches, Probes: r.probes, Events: r.events}
	r.probes, r.events = nil, nil
	return out
}

// NextTick returns the time at which the next work is due.
func (r *Registry) NextTick() time.Time {
	next := r.sweptAt + int64(sweepPeriod)
	if r.urgentFlushAt != never {
		next = min(next, r.urgentFlushAt)
	}
	for _, p := range r.orderedPeers {
		next = min(next, p.nextFlushAt)
	}
	return r.base.Add(time.Duration(next))
}

// sweep ends leases that were not renewed, removes expired upstreams and
// tombstones, and selects probes.
func (r *Registry) sweep(t int64) {
	r.refillProbeTokens(t)
	r.sweepCount++
	for _, e := range r.entries {
		if r.sweepCount%remoteSweepInterval != 0 && r.isRemoteOnly(e) {
			continue
		}
		if e.lease != nil && t-max(e.lease.contactAt, e.lease.reportedAt) > int64(r.cfg.Lease) {
			r.dropLease(e, t)
		}
		if p := e.probe; p != nil && t-p.reportedAt > int64(r.cfg.AgeBound) && len(e.sources) > 1 {
			e.removeSource(p)
			e.probe = nil
		}
		r.evaluate(e, t)
		r.updateLiveness(e, t)
	}
	r.chooseProbes(t)
	r.slots = slices.DeleteFunc(r.slots, func(s *slot) bool {
		expired := s.dropped && t-s.droppedAt > int64(droppedSlotRetention)
		if expired {
			r.purgedChange = max(r.purgedChange, s.changeNumber)
		}
		return expired
	})
}

// isRemoteOnly reports whether an upstream is known only through other failure
// domains. Their batches are infrequent, so a delay of a second does not matter.
func (r *Registry) isRemoteOnly(e *entry) bool {
	return e.lease == nil && e.probe == nil && e.current != nil && !r.expectsFreshReports(e)
}

// sortEvents sorts the events so that their order does not depend on map
// iteration.
func (r *Registry) sortEvents() {
	slices.SortStableFunc(r.events, func(a, b Event) int {
		if a.ID < b.ID {
			return -1
		} else if a.ID > b.ID {
			return 1
		}
		return int(a.Kind) - int(b.Kind)
	})
}

// updateLiveness reports an upstream as lost or returned, and removes it from the
// view when its last report is too old.
func (r *Registry) updateLiveness(e *entry, t int64) {
	if e.current == nil {
		if len(e.sources) == 0 {
			r.forgetEntry(e, t)
		}
		return
	}
	age := t - e.current.live.reportedAt.Load()
	lost := age >= int64(r.cfg.AgeBound)
	if e.current.live.reportedAt.Load() == never {
		lost = e.lost
	}
	if lost != e.lost {
		kind := Lost
		if !lost {
			kind = Returned
		}
		e.lost = lost
		r.events = append(r.events, Event{kind, e.id, e.current.Incarnation})
	}
	retention := int64(r.cfg.ForgetAfter)
	if e.hasLeft {
		retention = int64(r.cfg.AgeBound)
	}
	if e.addedAt == 0 {
		e.addedAt = t
	}
	if t-max(e.current.live.reportedAt.Load(), e.addedAt) > retention && !r.hasLiveRegistrar(e, t) {
		r.events = append(r.events, Event{Removed, e.id, e.current.Incarnation})
		e.current, e.selected, e.addedAt, e.lost, e.removedAt = nil, nil, 0, false, t
		if e.probe != nil {
			e.removeSource(e.probe)
			e.probe = nil
		}
		r.markDirty(e.id, nil)
	}
}

// hasLiveRegistrar reports whether this or another live daemon holds a lease of
// the upstream.
func (r *Registry) hasLiveRegistrar(e *entry, t int64) bool {
	if e.lease != nil {
		return true
	}
	for _, s := range e.sources {
		if p := r.peers[s.reporter]; p != nil && r.isLive(p, t) {
			return true
		}
	}
	return false
}

// forgetEntry deletes the entry of an upstream that was removed longer than
// incarnationRetention ago.
func (r *Registry) forgetEntry(e *entry, t int64) {
	if t-e.removedAt > int64(incarnationRetention) {
		delete(r.entries, e.id)
	}
}

// flush returns the batches that are due.
func (r *Registry) flush(t int64) []Outgoing {
	var due []*peer
	var count, dueCount [2]int
	for _, p := range r.orderedPeers {
		count[p.class]++
		if p.nextFlushAt <= t {
			due = append(due, p)
			dueCount[p.class]++
		}
	}
	if len(due) == 0 {
		return nil
	}
	allAge, except := r.slotAges(t)
	var loads [2][]SlotLoad
	for class := range loads {
		// The load last sent is kept per class, not per peer, so loads are sent only
		// when batches to all peers of the class are due.
		if dueCount[class] > 0 && dueCount[class] == count[class] {
			loads[class] = r.chooseLoads(class, count[class], t)
		}
	}
	batches := make([]Outgoing, 0, len(due))
	for _, p := range due {
		b := r.batchFor(p, t)
		b.AllAge, b.Except, b.Loads = allAge, except, loads[p.class]
		batches = append(batches, Outgoing{p.ID, b})
	}
	return batches
}

// batchFor returns the batch for a peer, without liveness and loads.
func (r *Registry) batchFor(p *peer, t int64) Batch {
	b := Batch{
		Incarnation: r.cfg.Incarnation, Clock: millis(t), Stopping: r.stopping,
		PeerIncarnation: p.incarnation, Echo: p.clock, EchoHold: max(0, millis(t-p.clockAt)),
		Have: p.mergedChange, Resync: p.needsResync || p.incarnation != 0 && !p.synced,
		From: p.sentChange, To: r.lastChange, Full: p.sendFull,
	}
	if p.incarnation == 0 {
		b.Echo, b.EchoHold = 0, 0
	}
	if b.Full {
		b.From = 0
	}
	switch {
	case p.incarnation == 0:
		// No batch has arrived from the peer, so it may not exist. The full set is
		// sent after its first batch.
		b.Full, b.From = false, r.lastChange
	case b.Full || p.sentChange < r.lastChange:
		b.Records = r.records(b.From, b.Full)
		p.recordsSentAt = t
		p.sentChange, p.sendFull = r.lastChange, false
	}
	p.lastFlushAt, p.nextFlushAt = t, r.nextBatchTime(t, r.period(p.class))
	if len(b.Records) > 0 {
		p.nextFlushAt = min(p.nextFlushAt, t+int64(followUpDelay))
	}
	return b
}

// nextBatchTime returns the next time after t in the daemon's fixed schedule for
// a period. All peers of a class share the schedule. Its phase depends on the
// daemon's id, which spreads the batches of all daemons over the period.
func (r *Registry) nextBatchTime(t, period int64) int64 {
	phase := int64(rendezvousHash(r.cfg.ID, "phase") % uint64(period))
	return t + period - (t-phase+period)%period
}

// period returns the time between batches to a class of peers.
func (r *Registry) period(class int) int64 {
	if class == localClass {
		return int64(r.cfg.Period)
	}
	return r.remotePeriod
}

// records returns the slots modified after the given change, or with full all
// slots that are not dropped.
func (r *Registry) records(after uint64, full bool) []Record {
	var list []Record
	for _, s := range r.slots {
		if s.changeNumber <= after || full && s.dropped {
			continue
		}
		if s.dropped {
			list = append(list, Record{Slot: s.number, Dropped: true})
			continue
		}
		rec := Record{
			Slot: s.number, ID: s.entry.id, Incarnation: s.incarnation, Sequence: s.sequence,
			State: s.state, InForce: s.inForce, Load: s.load,
		}
		if s.announcementChange > after {
			rec.Announcement = s.announced
		}
		list = append(list, rec)
	}
	return list
}

// slotAges returns the highest age among the slots that reported on time, and
// the individual ages of the others.
func (r *Registry) slotAges(t int64) (all int64, except []SlotAge) {
	onTime := int64(r.cfg.Heartbeat + r.cfg.Heartbeat/4)
	for _, s := range r.slots {
		if s.dropped {
			continue
		}
		age := t - s.reportedAt
		switch {
		case s.reportedAt == never:
			except = append(except, SlotAge{s.number, -1})
		case age > onTime:
			except = append(except, SlotAge{s.number, millis(age) + 1})
		default:
			all = max(all, millis(age)+1)
		}
	}
	return all, except
}

// chooseLoads returns the loads to send to a class of peers, largest change
// first. The byte budget grows with the time since loads were last sent.
func (r *Registry) chooseLoads(class, peers int, t int64) []SlotLoad {
	rate := r.cfg.LoadBytesPerSecond
	if class == remoteClass {
		rate = r.cfg.RemoteBytesPerSecond
	}
	elapsed := min(float64(t-r.loadsChosenAt[class])/float64(time.Second), 60)
	budget := int(elapsed * float64(rate) / float64(peers) / slotLoadBytes)
	if budget == 0 {
		return nil
	}
	r.loadsChosenAt[class] = t
	type candidate struct {
		s    *slot
		size float64
	}
	var list []candidate
	for _, s := range r.slots {
		if s.dropped || s.load.Sequence == s.sentLoad[class].Sequence || !r.isLoadReporter(s, t) {
			continue
		}
		size := loadChange(s, s.sentLoad[class])
		if s.load.idle() != s.sentLoad[class].idle() {
			size += r.cfg.LoadThreshold // drains depend on this change
		}
		if waited := t - s.loadSentAt[class]; s.loadSentAt[class] == never || waited > int64(loadRefreshInterval) {
			size += r.cfg.LoadThreshold
		}
		if size >= r.cfg.LoadThreshold {
			list = append(list, candidate{s, size})
		}
	}
	slices.SortStableFunc(list, func(a, b candidate) int {
		switch {
		case a.size > b.size:
			return -1
		case a.size < b.size:
			return 1
		}
		return 0
	})
	list = list[:min(len(list), budget)]
	loads := make([]SlotLoad, 0, len(list))
	for _, c := range list {
		c.s.sentLoad[class], c.s.loadSentAt[class] = c.s.load, t
		loads = append(loads, SlotLoad{c.s.number, c.s.load})
	}
	return loads
}

func (l Load) idle() bool { return l.Running == 0 && l.Queued == 0 }

// loadChange returns the difference between the load of a slot and an older
// load, as a fraction of the upstream's concurrency.
func loadChange(s *slot, old Load) float64 {
	concurrent := 1.0
	if s.announced != nil && s.announced.MaxConcurrent > 0 {
		concurrent = float64(s.announced.MaxConcurrent)
	}
	requests := math.Abs(float64(s.load.Running-old.Running)) + math.Abs(float64(s.load.Queued-old.Queued))
	return requests/concurrent + math.Abs(s.load.KVUse-old.KVUse)
}

// isLoadReporter reports whether this daemon reports the load of a slot. Of the
// live registrars with a recent report, the one with the highest rendezvous hash
// does.
func (r *Registry) isLoadReporter(s *slot, t int64) bool {
	own := rendezvousHash(s.entry.id, r.cfg.ID)
	for _, o := range s.entry.sources {
		p := r.peers[o.reporter]
		if p != nil && o.incarnation == s.incarnation && r.isLive(p, t) && t-o.reportedAt < int64(r.cfg.AgeBound) && rendezvousHash(s.entry.id, o.reporter) > own {
			return false
		}
	}
	return true
}
