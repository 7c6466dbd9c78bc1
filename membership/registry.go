package membership

import (
	"slices"
	"strings"
	"time"
)

// Registry holds the membership state of one daemon: the leases that it holds,
// the sets of leases that other daemons report, and the View derived from both.
// It is not safe for concurrent use, but the Views that it returns are.
//
// Times are nanoseconds since base, unless stated otherwise.
type Registry struct {
	cfg  Config
	base time.Time

	peers        map[string]*peer
	orderedPeers []*peer // by id
	// remotePeriod is the time between batches to a peer of another failure
	// domain. It changes with the set of peers only.
	remotePeriod int64

	entries      map[string]*entry
	slots        []*slot // by number
	lastChange   uint64  // number of the newest change to slots
	purgedChange uint64  // changes up to this number may no longer be in slots
	nextSlot     uint32  // next slot number

	view          *View
	dirty         map[string]viewChange
	events        []Event
	probes        []Probe
	urgentFlushAt int64 // time of the next urgent flush, or never
	sweptAt       int64
	sweepCount    int
	probeTokens   float64  // number of probes that the rate limit allows now
	probeTokensAt int64    // time of the last refill of probeTokens
	loadsChosenAt [2]int64 // by class of peers
	stopping      bool
}

// Classes of peers: those of the same failure domain and those of others. Each
// class has its own period and load reports.
const (
	localClass = iota
	remoteClass
)

// peer is the state kept for another daemon.
type peer struct {
	Peer
	class int

	incarnation uint64 // 0 before the first batch
	stopping    bool
	receivedAt  int64 // time of the last batch
	clock       int64 // newest Batch.Clock, in milliseconds of the peer's clock
	clockAt     int64 // local time at which clock was received
	clockOffset clockOffset

	// mergedChange is the newest change of the peer's set that was merged, and
	// slots is that set. synced is false until a full set has arrived.
	mergedChange uint64
	synced       bool
	slots        map[uint32]*source
	needsResync  bool

	// sentChange is the newest change of this daemon that was sent to the peer.
	// With sendFull, the next batch carries the full set.
	sentChange    uint64
	sendFull      bool
	recordsSentAt int64 // time of the last batch with records
	nextFlushAt   int64
	lastFlushAt   int64
}

// slot is a lease that this daemon holds, or the tombstone of a dropped one.
type slot struct {
	source
	number  uint32
	dropped bool
	// changeNumber and announcementChange are the numbers of the changes that
	// last modified the record and its announcement.
	changeNumber, announcementChange uint64
	droppedAt                        int64
	// contactAt is the time of the last message, which renews the lease even if
	// it is too old to update the report.
	contactAt int64
	// sentLoad is the load last sent to each class of peers.
	sentLoad   [2]Load
	loadSentAt [2]int64
}

// source is the record of an upstream as reported by one daemon that holds its
// lease, or by the response to a probe.
type source struct {
	entry       *entry
	reporter    string // id of the daemon, empty for a probe
	incarnation uint64
	sequence    uint64 // of the report that last changed state or group
	state       State
	inForce     GroupRef
	announced   *Announcement
	load        Load
	reportedAt  int64 // earliest possible time of the last report, or never
}

// entry is one upstream with all sources that report it.
type entry struct {
	id string
	// maxIncarnation is the highest known incarnation. Older ones are ignored.
	maxIncarnation uint64
	// hasLeft reports whether maxIncarnation has reported Leaving, which is final
	// for an incarnation.
	hasLeft   bool
	sources   []*source
	lease     *slot     // lease held by this daemon, or nil
	probe     *source   // response to the last probe, or nil
	current   *Upstream // published record, or nil
	selected  *source   // source of the published record
	lost      bool
	probedAt  int64
	removedAt int64 // time of removal from the view
	addedAt   int64 // time of addition to the view
}

// New returns the registry of a daemon that has no upstreams and peers yet.
func New(cfg Config, now time.Time) *Registry {
	cfg = cfg.withDefaults()
	return &Registry{
		cfg:     cfg,
		base:    now,
		peers:   map[string]*peer{},
		entries: map[string]*entry{},
		view:    &View{ageBound: cfg.AgeBound},

		remotePeriod:  int64(cfg.Period),
		dirty:         map[string]viewChange{},
		urgentFlushAt: never,
		probeTokens:   float64(cfg.ProbesPerSecond),
	}
}

// sinceBase returns the time in nanoseconds since the registry was created.
func (r *Registry) sinceBase(now time.Time) int64 { return int64(now.Sub(r.base)) }

func millis(t int64) int64 { return t / int64(time.Millisecond) }

// entry returns the entry of an upstream and creates it if necessary.
func (r *Registry) entry(id string) *entry {
	e := r.entries[id]
	if e == nil {
		e = &entry{id: id, probedAt: never}
		r.entries[id] = e
	}
	return e
}

// admitIncarnation returns false if a newer incarnation is known. If the given
// one is newer, it becomes maxIncarnation and sources of older ones are ignored.
func (e *entry) admitIncarnation(incarnation uint64) bool {
	if incarnation < e.maxIncarnation {
		return false
	}
	if incarnation > e.maxIncarnation {
		e.maxIncarnation, e.hasLeft = incarnation, false
	}
	return true
}

func (e *entry) addSource(s *source) {
	if !slices.Contains(e.sources, s) {
		e.sources = append(e.sources, s)
	}
}

func (e *entry) removeSource(s *source) {
	e.sources = slices.DeleteFunc(e.sources, func(o *source) bool { return o == s })
}

// confirms reports whether both sources have the same incarnation, state and
// group.
func (s *source) confirms(o *source) bool {
	return s.incarnation == o.incarnation && s.state == o.state && s.inForce == o.inForce
}

// selectSource returns the source whose record is published, or nil. Sources of
// older incarnations are ignored; see preferredTo for the order of the others.
func (e *entry) selectSource(oldest int64) *source {
	var best *source
	for _, s := range e.sources {
		if s.incarnation < e.maxIncarnation || s.announced == nil {
			continue
		}
		if best == nil || s.preferredTo(best, oldest) {
			best = s
		}
	}
	return best
}

// preferredTo orders sources: first those with a report not older than oldest,
// then by descending sequence, then by reporter.
func (s *source) preferredTo(o *source, oldest int64) bool {
	if fresh, otherFresh := s.reportedAt >= oldest, o.reportedAt >= oldest; fresh != otherFresh {
		return fresh
	}
	if s.sequence != o.sequence {
		return s.sequence > o.sequence
	}
	return s.reporter < o.reporter
}

// evaluate derives the published record of an upstream from its sources.
func (r *Registry) evaluate(e *entry, t int64) {
	best := e.selectSource(t - int64(r.cfg.AgeBound))
	e.selected = best
	if best == nil {
		return
	}
	announced, load, reportedAt := best.announced, best.load, int64(never)
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
			reportedAt = max(reportedAt, s.reportedAt)
		}
		if s.state == Leaving {
			e.hasLeft = true
		}
	}
	state := best.state
	if e.hasLeft {
		state = Leaving
	}
	r.publish(e, announced, state, best.inForce)
	e.current.live.advance(reportedAt, load)
}

// publish replaces the published record of an upstream if it differs.
func (r *Registry) publish(e *entry, a *Announcement, state State, inForce GroupRef) {
	old := e.current
	if old != nil && old.State == state && old.InForce == inForce && sameDescription(&old.Announcement, a) {
		return
	}
	next := &Upstream{Announcement: *a, InForce: inForce, live: &liveState{base: r.base}}
	next.State = state
	next.live.reportedAt.Store(never)
	e.current = next
	r.recordEvent(e, old, next)
	r.markDirty(e.id, next)
}

func sameDescription(a, b *Announcement) bool {
	return a.Incarnation == b.Incarnation && a.Sequence == b.Sequence && a.Address == b.Address &&
		a.MaxConcurrent == b.MaxConcurrent && slices.Equal(a.Models, b.Models) && slices.Equal(a.Services, b.Services)
}

func (r *Registry) recordEvent(e *entry, old, next *Upstream) {
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

// markDirty records that an upstream differs from the last View.
func (r *Registry) markDirty(id string, next *Upstream) {
	r.dirty[id] = viewChange{old: r.view.Get(id), new: next}
}

// advance stores the report time and the load if they are newer than the stored
// ones.
func (l *liveState) advance(reportedAt int64, load Load) {
	if reportedAt > l.reportedAt.Load() {
		l.reportedAt.Store(reportedAt)
	}
	if old := l.load.Load(); old == nil || load.Sequence > old.Sequence {
		l.load.Store(&load)
	}
}

// refreshLiveness sets a newer report time of a source. It evaluates the entry
// again only if the source had expired or nothing is published; otherwise the
// new time updates the published record if the source confirms it.
func (r *Registry) refreshLiveness(s *source, reportedAt, t int64) {
	if reportedAt <= s.reportedAt {
		return
	}
	stale := s.reportedAt < t-int64(r.cfg.AgeBound)
	s.reportedAt = reportedAt
	e := s.entry
	if stale || e.selected == nil || e.current == nil {
		r.evaluate(e, t)
		return
	}
	if s.confirms(e.selected) {
		e.current.live.advance(reportedAt, s.load)
	}
}

// rebuildPeerOrder sorts the peers by id and computes remotePeriod.
func (r *Registry) rebuildPeerOrder() {
	r.orderedPeers = r.orderedPeers[:0]
	for _, p := range r.peers {
		r.orderedPeers = append(r.orderedPeers, p)
	}
	slices.SortFunc(r.orderedPeers, func(a, b *peer) int { return strings.Compare(a.ID, b.ID) })
	remote := 0
	for _, p := range r.orderedPeers {
		if p.class == remoteClass {
			remote++
		}
	}
	minPeriod := float64(remote*remoteBatchBytes) / float64(r.cfg.RemoteBytesPerSecond) * float64(time.Second)
	r.remotePeriod = max(int64(r.cfg.Period), int64(minPeriod))
}

// scheduleUrgentFlush schedules a flush to all peers within Config.UrgentDelay.
func (r *Registry) scheduleUrgentFlush(t int64) {
	if r.urgentFlushAt == never {
		r.urgentFlushAt = t + int64(r.cfg.UrgentDelay)
	}
}
