package fleet

import "time"

// Observe adds a report to the table. Accepted is false if the report is
// outdated; changed tells whether its content differs from that of the previous
// report.
func (t *Table) Observe(now time.Time, u Upstream) (accepted, changed bool) {
	old := t.upstreams[u.ID]
	if old != nil && !u.Supersedes(old) {
		drains := t.Drain(u.ID, u.StartMillis, u.Phase)
		return drains, drains
	}
	if old != nil && old.StartMillis == u.StartMillis {
		u.Phase = max(u.Phase, old.Phase)
		if u.Phase == Gone {
			// A departure may come from an instance that knows the id alone.
			u = *old
			u.Phase = Gone
		}
	}
	// Records of departures may have no address.
	if holder := t.upstreams[t.byAddress[u.Address]]; u.Address != "" && holder != nil && holder.ID != u.ID && u.Phase != Gone {
		switch {
		case holder.StartMillis <= u.StartMillis:
			holder.Phase, holder.Replaced = Gone, true
		case holder.Phase != Gone:
			// A process that started later has the address; this report is delayed.
			return false, false
		}
	}
	if old != nil && old.Address != u.Address {
		t.releaseAddress(old)
	}
	u.ReceivedAt = now
	changed = old == nil || !sameContent(old, &u)
	t.upstreams[u.ID] = &u
	if u.Phase != Gone && u.Address != "" {
		t.byAddress[u.Address] = u.ID
	}
	return true, changed
}

// releaseAddress removes an upstream from the index of addresses, so that the next
// process there is not taken for its successor.
func (t *Table) releaseAddress(u *Upstream) {
	if t.byAddress[u.Address] == u.ID {
		delete(t.byAddress, u.Address)
	}
}

// Supersedes reports whether u replaces old. An incarnation that has left does
// not come back.
func (u *Upstream) Supersedes(old *Upstream) bool {
	switch {
	case u.StartMillis != old.StartMillis:
		return u.StartMillis > old.StartMillis
	case old.Phase == Gone:
		return false
	case u.Phase == Gone:
		return true
	}
	return u.Sequence > old.Sequence
}

// sameContent reports whether two reports differ only in their sequence, their
// failure domain or the time of arrival.
func sameContent(a, b *Upstream) bool {
	if a.StartMillis != b.StartMillis || a.Phase != b.Phase || a.Member != b.Member || a.Model != b.Model ||
		a.Address != b.Address || a.Service != b.Service || a.FabricDomain != b.FabricDomain || a.Slots != b.Slots {
		return false
	}
	if len(a.Staged) != len(b.Staged) {
		return false
	}
	for i := range a.Staged {
		if a.Staged[i] != b.Staged[i] {
			return false
		}
	}
	return true
}

// LeaveUnknown records the departure of an incarnation that is not registered, so
// that a report that it sent before does not register it. It returns the record, or
// false if the upstream is registered or the start of its process is not known.
func (t *Table) LeaveUnknown(now time.Time, id string, startMillis int64) (Upstream, bool) {
	old := t.upstreams[id]
	if startMillis == 0 || old != nil && old.StartMillis >= startMillis {
		return Upstream{}, false
	}
	left := Upstream{ID: id, StartMillis: startMillis, Phase: Gone, ReceivedAt: now}
	t.upstreams[id] = &left
	return left, true
}

// Leave marks the current incarnation of an upstream as gone, unless startMillis
// shows that an earlier one has left. startMillis is zero if unknown.
func (t *Table) Leave(now time.Time, id string, startMillis int64) (Upstream, bool) {
	old := t.upstreams[id]
	if old == nil || old.Phase == Gone || startMillis != 0 && startMillis < old.StartMillis {
		return Upstream{}, false
	}
	left := *old
	left.Phase = Gone
	if startMillis > left.StartMillis {
		left.StartMillis = startMillis
	}
	left.ReceivedAt = now
	t.upstreams[id] = &left
	return left, true
}

// Drain records that an incarnation is draining, if phase says so. Draining is
// final for an incarnation: it is told by answers too, which no sequence number
// orders, and by reports that arrive late. It reports whether the phase changed.
func (t *Table) Drain(id string, startMillis int64, phase Phase) bool {
	old := t.upstreams[id]
	if old == nil || old.StartMillis != startMillis || old.Phase != Ready || phase != Draining {
		return false
	}
	drained := *old
	drained.Phase = Draining
	t.upstreams[id] = &drained
	return true
}

// RemoveOlderThan removes the upstreams whose last report arrived before the
// given time.
func (t *Table) RemoveOlderThan(before time.Time) {
	for id, u := range t.upstreams {
		if u.ReceivedAt.Before(before) {
			delete(t.upstreams, id)
			t.releaseAddress(u)
		}
	}
}

// Remove removes an upstream from the table.
func (t *Table) Remove(id string) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	delete(t.upstreams, id)
	t.releaseAddress(u)
}
