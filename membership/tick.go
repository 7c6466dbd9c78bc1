package membership

import (
	"math"
	"slices"
	"time"
)

// Tick does what is due: it ends leases, writes batches and chooses probes.
// Call it after each input and at NextTick.
func (r *Registry) Tick(now time.Time) Output {
	t := r.at(now)
	if t-r.swept >= int64(sweepPeriod) {
		r.swept = t
		r.sweep(t)
	}
	if r.urgent != never && t >= r.urgent {
		r.urgent = never
		for _, p := range r.order {
			p.flushAt = t
		}
	}
	batches := r.flush(t)
	r.sortEvents()
	out := Output{Batches: batches, Probes: r.probes, Events: r.events}
	r.probes, r.events = nil, nil
	return out
}

// NextTick returns the time of the next work that is due.
func (r *Registry) NextTick() time.Time {
	next := r.swept + int64(sweepPeriod)
	if r.urgent != never {
		next = min(next, r.urgent)
	}
	for _, p := range r.order {
		next = min(next, p.flushAt)
	}
	return r.base.Add(time.Duration(next))
}

// sweep ends leases without reports and forgets old upstreams.
func (r *Registry) sweep(t int64) {
	r.refill(t)
	r.sweeps++
	for _, e := range r.entries {
		if r.sweeps%farSweeps != 0 && r.far(e) {
			continue
		}
		if e.own != nil && t-max(e.own.heard, e.own.last) > int64(r.cfg.Lease) {
			r.drop(e, t)
		}
		if p := e.probe; p != nil && t-p.last > int64(r.cfg.AgeBound) && len(e.sources) > 1 {
			e.remove(p)
			e.probe = nil
		}
		r.evaluate(e, t)
		r.watch(e, t)
	}
	r.chooseProbes(t)
	r.slots = slices.DeleteFunc(r.slots, func(s *slot) bool {
		expired := s.dropped && t-s.droppedAt > int64(dropRetention)
		if expired {
			r.purged = max(r.purged, s.changed)
		}
		return expired
	})
}

// far reports whether an upstream is only known through other failure domains
// whose batches come seldom, so that a second more or less does not matter.
func (r *Registry) far(e *entry) bool {
	return e.own == nil && e.probe == nil && e.current != nil && !r.nearby(e)
}

// sortEvents gives events an order that does not depend on map iteration.
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

// watch reports loss and return, and removes what is too old.
func (r *Registry) watch(e *entry, t int64) {
	if e.current == nil {
		if len(e.sources) == 0 {
			r.forgetFloor(e, t)
		}
		return
	}
	age := t - e.current.cell.last.Load()
	lost := age >= int64(r.cfg.AgeBound)
	if e.current.cell.last.Load() == never {
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
	forget := int64(r.cfg.ForgetAfter)
	if e.left {
		forget = int64(r.cfg.AgeBound)
	}
	if e.seen == 0 {
		e.seen = t
	}
	if t-max(e.current.cell.last.Load(), e.seen) > forget && !r.claimed(e, t) {
		r.events = append(r.events, Event{Removed, e.id, e.current.Incarnation})
		e.current, e.winner, e.seen, e.lost, e.gone = nil, nil, 0, false, t
		if e.probe != nil {
			e.remove(e.probe)
			e.probe = nil
		}
		r.mark(e.id, nil)
	}
}

// claimed reports whether a daemon that is heard still holds a lease.
func (r *Registry) claimed(e *entry, t int64) bool {
	if e.own != nil {
		return true
	}
	for _, s := range e.sources {
		if p := r.peers[s.from]; p != nil && r.live(p, t) {
			return true
		}
	}
	return false
}

// forgetFloor drops the memory of an upstream that no daemon holds.
func (r *Registry) forgetFloor(e *entry, t int64) {
	if t-e.gone > int64(floorRetention) {
		delete(r.entries, e.id)
	}
}

// flush writes the batches that are due.
func (r *Registry) flush(t int64) []Outgoing {
	var due []*peer
	var count, dueCount [2]int
	for _, p := range r.order {
		count[p.class]++
		if p.flushAt <= t {
			due = append(due, p)
			dueCount[p.class]++
		}
	}
	if len(due) == 0 {
		return nil
	}
	allAge, except := r.ages(t)
	var loads [2][]SlotLoad
	for class := range loads {
		// A load counts as sent once, so it goes with batches to the whole class.
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

// batchFor writes the header and the changes for one peer.
func (r *Registry) batchFor(p *peer, t int64) Batch {
	b := Batch{
		Incarnation: r.cfg.Incarnation, Clock: millis(t), Stopping: r.stopped,
		PeerIncarnation: p.incarnation, Echo: p.clock, EchoHold: max(0, millis(t-p.clockAt)),
		Have: p.have, Resync: p.resync || p.incarnation != 0 && !p.synced,
		From: p.sent, To: r.change, Full: p.full,
	}
	if p.incarnation == 0 {
		b.Echo, b.EchoHold = 0, 0
	}
	if b.Full {
		b.From = 0
	}
	switch {
	case p.incarnation == 0:
		// Nothing was heard from the peer, so it may not exist: the set waits for
		// its answer.
		b.Full, b.From = false, r.change
	case b.Full || p.sent < r.change:
		b.Records = r.records(b.From, b.Full)
		p.structureAt = t
		p.sent, p.full = r.change, false
	}
	p.flushedAt, p.flushAt = t, r.gridAfter(t, r.period(p.class))
	if len(b.Records) > 0 {
		p.flushAt = min(p.flushAt, t+int64(followUp))
	}
	return b
}

// gridAfter returns the next time on the daemon's grid of the period. All
// peers of a class share the grid, and daemons are spread over the period.
func (r *Registry) gridAfter(t, period int64) int64 {
	phase := int64(rank(r.cfg.ID, "phase") % uint64(period))
	return t + period - (t-phase+period)%period
}

// period is the time between batches to a class of peers.
func (r *Registry) period(class int) int64 {
	if class == localPeers {
		return int64(r.cfg.Period)
	}
	return r.remotePeriod
}

// records returns the slots that changed after a change, or all.
func (r *Registry) records(after uint64, full bool) []Record {
	var list []Record
	for _, s := range r.slots {
		if s.changed <= after || full && s.dropped {
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
		if s.described > after {
			rec.Announcement = s.announced
		}
		list = append(list, rec)
	}
	return list
}

// ages returns the age that covers the slots reported in time, and the others.
func (r *Registry) ages(t int64) (all int64, except []SlotAge) {
	usual := int64(r.cfg.Heartbeat + r.cfg.Heartbeat/4)
	for _, s := range r.slots {
		if s.dropped {
			continue
		}
		age := t - s.last
		switch {
		case s.last == never:
			except = append(except, SlotAge{s.number, -1})
		case age > usual:
			except = append(except, SlotAge{s.number, millis(age) + 1})
		default:
			all = max(all, millis(age)+1)
		}
	}
	return all, except
}

// chooseLoads returns the loads worth sending, largest change first, within
// the byte budget that the time since the last choice has earned.
func (r *Registry) chooseLoads(class, peers int, t int64) []SlotLoad {
	rate := r.cfg.LoadBytesPerSecond
	if class == remotePeers {
		rate = r.cfg.RemoteBytesPerSecond
	}
	elapsed := min(float64(t-r.loadAt[class])/float64(time.Second), 60)
	budget := int(elapsed * float64(rate) / float64(peers) / loadBytes)
	if budget == 0 {
		return nil
	}
	r.loadAt[class] = t
	type candidate struct {
		s    *slot
		size float64
	}
	var list []candidate
	for _, s := range r.slots {
		if s.dropped || s.load.Sequence == s.sentLoad[class].Sequence || !r.reportsLoad(s, t) {
			continue
		}
		size := loadChange(s, s.sentLoad[class])
		if s.load.idle() != s.sentLoad[class].idle() {
			size += r.cfg.LoadThreshold // drains wait for this change
		}
		if waited := t - s.sentAt[class]; s.sentAt[class] == never || waited > int64(loadRefresh) {
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
		c.s.sentLoad[class], c.s.sentAt[class] = c.s.load, t
		loads = append(loads, SlotLoad{c.s.number, c.s.load})
	}
	return loads
}

func (l Load) idle() bool { return l.Running == 0 && l.Queued == 0 }

// loadChange measures the difference between two loads in units of the
// upstream's concurrency.
func loadChange(s *slot, old Load) float64 {
	concurrent := 1.0
	if s.announced != nil && s.announced.MaxConcurrent > 0 {
		concurrent = float64(s.announced.MaxConcurrent)
	}
	requests := math.Abs(float64(s.load.Running-old.Running)) + math.Abs(float64(s.load.Queued-old.Queued))
	return requests/concurrent + math.Abs(s.load.KVUse-old.KVUse)
}

// reportsLoad chooses one of the registrars of an upstream to report its load.
func (r *Registry) reportsLoad(s *slot, t int64) bool {
	own := rank(s.entry.id, r.cfg.ID)
	for _, o := range s.entry.sources {
		p := r.peers[o.from]
		if p != nil && o.incarnation == s.incarnation && r.live(p, t) && t-o.last < int64(r.cfg.AgeBound) && rank(s.entry.id, o.from) > own {
			return false
		}
	}
	return true
}
