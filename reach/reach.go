// Package reach keeps which upstreams an instance reaches by itself and which only
// through another instance, and which other instances can help. It reads no clock
// and does no input or output.
package reach

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// ProbeInterval is the time between two attempts to reach a cut upstream
	// directly. It bounds the time until a healed way is used again.
	ProbeInterval = 500 * time.Millisecond
	// goneTime is how long the other instances are not asked again for an upstream
	// that none of them reached.
	goneTime = 500 * time.Millisecond
	// isolationTime is how long an instance with cut upstreams may be without a
	// direct connection before it no longer offers to help.
	isolationTime = time.Second
	// minBlame and maxBlame bound the time for which an instance that could not help
	// is not asked. It doubles with each further failure.
	minBlame = time.Second
	maxBlame = 8 * time.Second
	// helpfulTime is how long an instance that has helped is preferred.
	helpfulTime = 10 * time.Second
	// idleTime is the time without an event after which an upstream is forgotten.
	idleTime = time.Minute
)

// Tracker is the knowledge of one instance. It is safe for concurrent use.
//
// Invariants: an upstream is cut only if the latest direct attempt failed or was
// unanswered when another instance connected; a direct connection ends the cut. What
// this instance cannot reach changes nothing for others.
type Tracker struct {
	mu        sync.Mutex
	upstreams map[string]*upstream
	helpers   map[string]*helper
	cut       int
	// connectedAt is the time of the latest direct connection to any upstream.
	connectedAt time.Time
	expiredAt   time.Time
}

type upstream struct {
	cut bool
	// through is set if another instance has connected since the latest direct
	// connection, so that connections through it may be open.
	through     bool
	connectedAt time.Time
	probedAt    time.Time
	// goneAt is the time at which no instance reached the upstream.
	goneAt time.Time
	usedAt time.Time
}

type helper struct {
	helpedAt time.Time
	failures int
	// blamedUntil is the time until which the instance is not asked.
	blamedUntil time.Time
}

// Helper is another instance that may open a connection.
type Helper struct{ ID, FailureDomain string }

// New returns a tracker that knows of no cut.
func New() *Tracker {
	return &Tracker{upstreams: map[string]*upstream{}, helpers: map[string]*helper{}}
}

// Connected records a direct connection. It reports whether connections through other
// instances, opened before, are no longer needed.
func (t *Tracker) Connected(now time.Time, address string) (restored bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.connectedAt = now
	u := t.upstream(now, address)
	restored = u.through
	u.through = false
	t.setCut(u, false)
	u.connectedAt, u.goneAt = now, time.Time{}
	return restored
}

// ConnectedThrough records that another instance connected while the direct attempt
// that began at since had failed or was unanswered. It reports whether that began a
// cut. A direct connection that was made meanwhile shows that there is none.
func (t *Tracker) ConnectedThrough(now, since time.Time, address, id string) (began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.helper(id)
	h.helpedAt, h.failures, h.blamedUntil = now, 0, time.Time{}
	u := t.upstream(now, address)
	u.through = true
	if u.connectedAt.After(since) {
		return false
	}
	began = !u.cut
	t.setCut(u, true)
	if began {
		u.probedAt = now
	}
	u.goneAt = time.Time{}
	return began
}

// Blame records that another instance could not open a connection that a third one
// could, or that it cannot help at all.
func (t *Tracker) Blame(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.helper(id)
	h.blamedUntil = now.Add(min(minBlame<<min(h.failures, 8), maxBlame))
	h.failures++
	h.helpedAt = time.Time{}
}

// Gone records that neither this instance nor the others that it asked reached the
// upstream.
func (t *Tracker) Gone(now time.Time, address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(now, address)
	t.setCut(u, false)
	u.goneAt = now
}

// Cut reports whether the upstream is reached only through other instances.
func (t *Tracker) Cut(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.upstream(now, address).cut
}

// MayAsk reports whether other instances may be asked for the upstream.
func (t *Tracker) MayAsk(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(now, address)
	return u.goneAt.IsZero() || now.Sub(u.goneAt) >= goneTime
}

// ClaimProbe reports whether a direct attempt is due, and records that the caller
// makes it.
func (t *Tracker) ClaimProbe(now time.Time, address string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	u := t.upstream(now, address)
	if now.Sub(u.probedAt) < ProbeInterval {
		return false
	}
	u.probedAt = now
	return true
}

// Isolated reports whether the instance seems to reach no upstream by itself.
func (t *Tracker) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut > 0 && now.Sub(t.connectedAt) > isolationTime
}

// Through lists the upstreams to which connections through other instances may be open.
func (t *Tracker) Through() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var addresses []string
	for address, u := range t.upstreams {
		if u.through {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Forget drops what is known of an upstream.
func (t *Tracker) Forget(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u := t.upstreams[address]; u != nil {
		t.setCut(u, false)
		delete(t.upstreams, address)
	}
}

// CutUpstreams returns the number of upstreams that are reached only through other
// instances.
func (t *Tracker) CutUpstreams() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

// Order returns the instances to ask, the best first: those that have helped, those
// in the failure domain of this instance, and others, at random among equals, so that
// the work is spread. Instances that could not help are left out for a while.
func (t *Tracker) Order(now time.Time, random *rand.Rand, failureDomain string, candidates []Helper) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var order [4][]string
	for _, c := range candidates {
		class := 0
		if h := t.helpers[c.ID]; h != nil {
			if now.Before(h.blamedUntil) {
				continue
			}
			if !h.helpedAt.IsZero() && now.Sub(h.helpedAt) < helpfulTime {
				class = -2
			}
		}
		if c.FailureDomain != failureDomain {
			class++
		}
		order[class+2] = append(order[class+2], c.ID)
	}
	for _, ids := range order {
		random.Shuffle(len(ids), func(i, j int) { ids[i], ids[j] = ids[j], ids[i] })
	}
	// One instance that has helped must not get all the work while others could.
	if known, unknown := len(order[0])+len(order[1]), len(order[2])+len(order[3]); known > 0 && unknown > 0 && random.IntN(exploreEvery) == 0 {
		return slices.Concat(order[2][:min(len(order[2]), 1)], order[0], order[1], order[2][min(len(order[2]), 1):], order[3])
	}
	return slices.Concat(order[0], order[1], order[2], order[3])
}

// exploreEvery is the number of connections of which one is asked of an instance that
// has not helped recently.
const exploreEvery = 4

// upstream returns the record of an upstream. The caller holds mu.
func (t *Tracker) upstream(now time.Time, address string) *upstream {
	t.expire(now)
	u := t.upstreams[address]
	if u == nil {
		u = &upstream{}
		t.upstreams[address] = u
	}
	u.usedAt = now
	return u
}

// helper returns the record of another instance. The caller holds mu.
func (t *Tracker) helper(id string) *helper {
	h := t.helpers[id]
	if h == nil {
		h = &helper{}
		t.helpers[id] = h
	}
	return h
}

// setCut changes the state of an upstream. The caller holds mu.
func (t *Tracker) setCut(u *upstream, cut bool) {
	if u.cut != cut {
		u.cut = cut
		if cut {
			t.cut++
		} else {
			t.cut--
		}
	}
}

// expire forgets what has not been used for idleTime. The caller holds mu.
func (t *Tracker) expire(now time.Time) {
	if now.Sub(t.expiredAt) < idleTime/4 {
		return
	}
	t.expiredAt = now
	for address, u := range t.upstreams {
		if now.Sub(u.usedAt) >= idleTime {
			t.setCut(u, false)
			delete(t.upstreams, address)
		}
	}
	for id, h := range t.helpers {
		if now.Sub(h.helpedAt) >= idleTime && now.Sub(h.blamedUntil) >= idleTime {
			delete(t.helpers, id)
		}
	}
}
