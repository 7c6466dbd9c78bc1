package routing

import (
	"sync/atomic"
	"time"
)

const (
	// freedSlotTTL is how long the end of one of the entry's requests counts as
	// a free slot. It covers the time until the next request that admission lets
	// in is picked; after that, another entry may have taken the slot.
	freedSlotTTL = 5 * time.Millisecond
	// maxFreedSlots is the number of most recent freed slots kept.
	maxFreedSlots = 16
)

// freedSlotRing is a ring buffer of the upstreams that most recently finished a
// request of this entry. Load reports lag by a second, so this is the only
// reliable sign of an idle slot in a saturated service. Sending the next request
// there keeps the load of each upstream constant.
type freedSlotRing struct {
	next  atomic.Uint64
	slots [maxFreedSlots]atomic.Pointer[freedSlot]
}

type freedSlot struct {
	upstream *Upstream
	endedAt  int64 // Unix nanoseconds
}

func (r *freedSlotRing) add(now time.Time, u *Upstream) {
	r.slots[r.next.Add(1)%maxFreedSlots].Store(&freedSlot{u, now.UnixNano()})
}

// pickFreedSlot consumes the most recent freed slot whose upstream passes the
// filters and returns that upstream. It returns nil unless the mean load of the
// scored upstreams is at least FreedSlotThreshold; below that, the scores
// choose better.
func (s *selection) pickFreedSlot(t *Table) *Upstream {
	if s.loadRatioSum < s.r.cfg.FreedSlotThreshold*float64(s.scored) {
		return nil
	}
	ring := &s.r.freedSlots
	newest := ring.next.Load()
	for i := range uint64(maxFreedSlots) {
		slot := &ring.slots[(newest-i)%maxFreedSlots]
		freed := slot.Load()
		if freed == nil || s.q.now-freed.endedAt > int64(freedSlotTTL) {
			continue
		}
		u := t.byID[freed.upstream.ID]
		if u == nil || u.Incarnation != freed.upstream.Incarnation || !s.admit(u) {
			continue
		}
		if slot.CompareAndSwap(freed, nil) {
			return u
		}
	}
	return nil
}
