package fleet

import "time"

// Observe takes in a report. It returns false when a newer one is known, and
// whether anything but the sequence has changed.
func (t *Table) Observe(now time.Time, u Upstream) (accepted, changed bool) {
	old := t.upstreams[u.ID]
	if old != nil && !newer(old, &u) {
		return false, false
	}
	if holder := t.upstreams[t.byAddress[u.Address]]; holder != nil && holder.ID != u.ID && holder.Phase != Gone && u.Phase != Gone {
		if holder.Born > u.Born {
			// The address belongs to a younger process; this report was delayed.
			return false, false
		}
		holder.Phase = Gone
	}
	u.Heard = now
	changed = old == nil || !sameContent(old, &u)
	t.upstreams[u.ID] = &u
	if u.Phase != Gone {
		t.byAddress[u.Address] = u.ID
	}
	return true, changed
}

// newer reports whether a report replaces the one that is known. The departure
// of an incarnation is final.
func newer(old, u *Upstream) bool {
	switch {
	case u.Born != old.Born:
		return u.Born > old.Born
	case old.Phase == Gone:
		return false
	case u.Phase == Gone:
		return true
	}
	return u.Sequence > old.Sequence
}

func sameContent(a, b *Upstream) bool {
	if a.Born != b.Born || a.Phase != b.Phase || a.Member != b.Member || a.Model != b.Model ||
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

// Leave marks the current incarnation of an upstream as gone. Born is zero
// when the caller does not know it.
func (t *Table) Leave(now time.Time, id string, born int64) (Upstream, bool) {
	old := t.upstreams[id]
	if old == nil || old.Phase == Gone || born != 0 && born < old.Born {
		return Upstream{}, false
	}
	left := *old
	left.Phase = Gone
	if born > left.Born {
		left.Born = born
	}
	left.Heard = now
	t.upstreams[id] = &left
	return left, true
}

// Forget drops upstreams that were not heard of since a time.
func (t *Table) Forget(before time.Time) {
	for id, u := range t.upstreams {
		if u.Heard.Before(before) {
			delete(t.upstreams, id)
			if t.byAddress[u.Address] == id {
				delete(t.byAddress, u.Address)
			}
		}
	}
}

// Drop forgets an upstream.
func (t *Table) Drop(id string) {
	u := t.upstreams[id]
	if u == nil {
		return
	}
	delete(t.upstreams, id)
	if t.byAddress[u.Address] == id {
		delete(t.byAddress, u.Address)
	}
}
