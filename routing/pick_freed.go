package routing

import (
	"sync/atomic"
	"time"
)

const (
	// freedFor is how long the end of one of the entry's requests counts as a
	// free slot. It covers the time from the end to the pick of the request
	// that admission then lets in; later another entry may have taken the slot.
	freedFor = 5 * time.Millisecond
	// freedSlots bounds the ends that are remembered.
	freedSlots = 16
)

// freedList remembers the upstreams that have just ended a request of this
// entry. Reports lag by a second, so at a full service this is the only sure
// sign of an idle slot: the next request goes there, which keeps each upstream
// at the load that it has.
type freedList struct {
	next atomic.Uint64
	ends [freedSlots]atomic.Pointer[freedEnd]
}

type freedEnd struct {
	u  *Upstream
	at int64 // Unix nanoseconds
}

func (l *freedList) add(now time.Time, u *Upstream) {
	l.ends[l.next.Add(1)%freedSlots].Store(&freedEnd{u, now.UnixNano()})
}

// pickFreed returns the upstream of the newest end that passes the filters, and
// uses the end up. It has effect only where the mean load of the scored
// upstreams is near a full batch; below that the scores know better.
func (s *selection) pickFreed(t *Table) *Upstream {
	if s.loads < s.r.cfg.FullService*float64(s.scored) {
		return nil
	}
	l := &s.r.freed
	newest := l.next.Load()
	for i := range uint64(freedSlots) {
		place := &l.ends[(newest-i)%freedSlots]
		end := place.Load()
		if end == nil || s.q.now-end.at > int64(freedFor) {
			continue
		}
		u := t.byID[end.u.ID]
		if u == nil || u.Incarnation != end.u.Incarnation || !s.admit(u) {
			continue
		}
		if place.CompareAndSwap(end, nil) {
			return u
		}
	}
	return nil
}
