package membership

import (
	"slices"
	"strings"
	"time"
)

// Registry is the state of one daemon: the leases that it holds, what other
// daemons report, and the View that follows from both. It is not safe for
// concurrent use; the Views that it returns are.
type Registry struct {
	cfg  Config
	base time.Time

	peers map[string]*peer
	order []*peer // by id
	// remotePeriod is the time between batches to a peer of another failure
	// domain. It changes with the set of peers only.
	remotePeriod int64

	entries map[string]*entry
	slots   []*slot // by number
	change  uint64  // newest change of the own set
	purged  uint64  // changes up to this one are no longer kept
	next    uint32  // next slot number

	view    *View
	dirty   map[string]viewChange
	events  []Event
	probes  []Probe
	urgent  int64 // time of the urgent flush, never when none
	swept   int64
	sweeps  int     // number of checks so far
	tokens  float64 // probes allowed now
	filled  int64   // time of the last refill of tokens
	loadAt  [2]int64
	stopped bool
}

// Classes of peers: load is sent to each class on its own schedule.
const (
	localPeers = iota
	remotePeers
)

// peer is what the registry knows of another daemon.
type peer struct {
	Peer
	class int

	incarnation uint64 // 0 until heard
	stopping    bool
	heardAt     int64
	clock       int64 // newest clock seen, in the peer's milliseconds
	clockAt     int64
	offset      offset

	// have is the newest change of the peer's set that was merged, and slots
	// that set. synced is false until a full set has arrived.
	have   uint64
	synced bool
	slots  map[uint32]*source
	resync bool

	// sent is the newest own change sent to the peer; full asks for all.
	sent        uint64
	full        bool
	structureAt int64
	flushAt     int64
	flushedAt   int64
}

// slot is one lease that this daemon holds, or the mark of a dropped one.
type slot struct {
	source
	number  uint32
	dropped bool
	// changed and described are the changes at which the record and its
	// announcement last changed.
	changed, described uint64
	droppedAt          int64
	// heard is the time of the last contact, which may confirm nothing.
	heard int64
	// sentLoad is the load last sent to each class of peers.
	sentLoad [2]Load
	sentAt   [2]int64
}

// source is what one daemon knows of one upstream at first hand.
type source struct {
	entry       *entry
	from        string // the daemon, empty for a probe
	incarnation uint64
	sequence    uint64 // of the report that last changed state or group
	state       State
	inForce     GroupRef
	announced   *Announcement
	load        Load
	last        int64
}

// entry is one upstream with all sources that report it.
type entry struct {
	id string
	// floor is the newest incarnation seen; older ones are never accepted.
	floor uint64
	// left says that the incarnation floor has left, which is final.
	left    bool
	sources []*source
	own     *slot
	probe   *source
	current *Upstream
	winner  *source
	lost    bool
	probeAt int64
	gone    int64 // when the upstream left the view
	seen    int64 // when the upstream entered the view
}

// New returns the registry of a daemon that knows no upstream.
func New(cfg Config, now time.Time) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{
		cfg:     cfg,
		base:    now,
		peers:   map[string]*peer{},
		entries: map[string]*entry{},
		view:    &View{bound: cfg.AgeBound},

		remotePeriod: int64(cfg.Period),
		dirty:        map[string]viewChange{},
		urgent:       never,
		tokens:       float64(cfg.ProbesPerSecond),
	}
}

func (r *Registry) at(now time.Time) int64 { return int64(now.Sub(r.base)) }

func millis(t int64) int64 { return t / int64(time.Millisecond) }

// entry returns the record of an upstream, a new one when it is unknown.
func (r *Registry) entry(id string) *entry {
	e := r.entries[id]
	if e == nil {
		e = &entry{id: id, probeAt: never}
		r.entries[id] = e
	}
	return e
}

// raise admits an incarnation: false when a newer one is known. A newer
// incarnation than the known one removes what was known of the older.
func (e *entry) raise(incarnation uint64) bool {
	if incarnation < e.floor {
		return false
	}
	if incarnation > e.floor {
		e.floor, e.left = incarnation, false
	}
	return true
}

func (e *entry) add(s *source) {
	if !slices.Contains(e.sources, s) {
		e.sources = append(e.sources, s)
	}
}

func (e *entry) remove(s *source) {
	e.sources = slices.DeleteFunc(e.sources, func(o *source) bool { return o == s })
}

func (s *source) confirms(o *source) bool {
	return s.incarnation == o.incarnation && s.state == o.state && s.inForce == o.inForce
}

// choose returns the source whose record stands: the newest report of the
// newest incarnation, among those young enough while there are any.
func (e *entry) choose(oldest int64) *source {
	var best *source
	for _, s := range e.sources {
		if s.incarnation < e.floor || s.announced == nil {
			continue
		}
		if best == nil || s.beats(best, oldest) {
			best = s
		}
	}
	return best
}

func (s *source) beats(o *source, oldest int64) bool {
	if fresh, other := s.last >= oldest, o.last >= oldest; fresh != other {
		return fresh
	}
	if s.sequence != o.sequence {
		return s.sequence > o.sequence
	}
	return s.from < o.from
}

// evaluate derives the published record of an upstream from its sources.
func (r *Registry) evaluate(e *entry, t int64) {
	best := e.choose(t - int64(r.cfg.AgeBound))
	e.winner = best
	if best == nil {
		return
	}
	announced, load, last := best.announced, best.load, int64(never)
	for _, s := range e.sources {
		if s.incarnation != best.incarnation {
			continue
		}
		if s.announced != nil && s.announced.Sequence > announced.Sequence {
			announced = s.announced
		}
		if s.load.Sequence > load.Sequence {
			load = s.load
		}
		if s.confirms(best) {
			last = max(last, s.last)
		}
		if s.state == Leaving {
			e.left = true
		}
	}
	state := best.state
	if e.left {
		state = Leaving
	}
	r.publish(e, announced, state, best.inForce)
	e.current.cell.raise(last, load)
}

// publish replaces the record of an upstream when it differs.
func (r *Registry) publish(e *entry, a *Announcement, state State, inForce GroupRef) {
	old := e.current
	if old != nil && old.State == state && old.InForce == inForce && sameDescription(&old.Announcement, a) {
		return
	}
	next := &Upstream{Announcement: *a, InForce: inForce, cell: &cell{base: r.base}}
	next.State = state
	next.cell.last.Store(never)
	e.current = next
	r.noteEvent(e, old, next)
	r.mark(e.id, next)
}

func sameDescription(a, b *Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence && a.Address == b.Address &&
		a.MaxConcurrent == b.MaxConcurrent && slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}

func (r *Registry) noteEvent(e *entry, old, next *Upstream) {
	kind := Changed
	switch {
	case old == nil:
		kind = Joined
	case old.Incarnation != next.Incarnation:
		kind = Restarted
		e.lost = false
	case old.State == next.State && old.InForce == next.InForce:
		return
	}
	r.events = append(r.events, Event{kind, e.id, next.Incarnation})
}

// mark records that an upstream differs from the published View.
func (r *Registry) mark(id string, next *Upstream) {
	r.dirty[id] = viewChange{old: r.view.Get(id), now: next}
}

// raise moves the cell forward; it never goes back.
func (c *cell) raise(last int64, load Load) {
	if last > c.last.Load() {
		c.last.Store(last)
	}
	if old := c.load.Load(); old == nil || load.Sequence > old.Sequence {
		c.load.Store(&load)
	}
}

// refresh takes a newer time of report from a source without a new choice
// when the source confirms the published record.
func (r *Registry) refresh(s *source, last, t int64) {
	if last <= s.last {
		return
	}
	stale := s.last < t-int64(r.cfg.AgeBound)
	s.last = last
	e := s.entry
	if stale || e.winner == nil || e.current == nil {
		r.evaluate(e, t)
		return
	}
	if s.confirms(e.winner) {
		e.current.cell.raise(last, s.load)
	}
}

// sortedPeers rebuilds the order of peers by id.
func (r *Registry) sortedPeers() {
	r.order = r.order[:0]
	for _, p := range r.peers {
		r.order = append(r.order, p)
	}
	slices.SortFunc(r.order, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	remote := 0
	for _, p := range r.order {
		if p.class == remotePeers {
			remote++
		}
	}
	paced := float64(remote*remoteBatchBytes) / float64(r.cfg.RemoteBytesPerSecond) * float64(time.Second)
	r.remotePeriod = max(int64(r.cfg.Period), int64(paced))
}

// hasten makes the next batches due within the urgent delay.
func (r *Registry) hasten(t int64) {
	if r.urgent == never {
		r.urgent = t + int64(r.cfg.UrgentDelay)
	}
}
