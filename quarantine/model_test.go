package quarantine

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// model simulates several entries, each with a Tracker, and upstreams that
// crash on some requests. Messages are lost, delayed, repeated and reordered.
type model struct {
	now       time.Time
	random    *rand.Rand
	names     []string
	trackers  []*Tracker
	upstreams []*modelUpstream
	culprits  map[Digest]bool
	requests  []*modelRequest
	messages  []modelMessage
	notices   []modelNotice // crashes that entries will detect later
	down      map[[2]int]time.Time
	// severed exchanges no messages with the other entries, which take it to be
	// reachable. It is -1 for none.
	severed int
	// beginTime is the time after which a sound request with parts has progressed.
	beginTime time.Duration
	nextRun   uint64

	crashes []modelCrash
	// starts are the times at which requests with a culprit began to run.
	starts    []time.Time
	completed map[Digest]bool
	refused   map[Digest]int
	// soundRefused holds the refused requests that have no culprit.
	soundRefused map[Digest]bool
	waiting      int
}

type modelUpstream struct {
	id          string
	incarnation uint64
	backAt      time.Time // zero while it runs
	running     []*modelRequest
}

type modelRequest struct {
	entry    int
	digest   Digest
	parts    []Digest
	run      uint64
	target   Target
	endsAt   time.Time // zero before it runs
	beginsAt time.Time // when it progresses, zero if never
	cancelAt time.Time
	done     bool
}

type modelMessage struct {
	to        int
	deliverAt time.Time
	msg       Message
}

type modelNotice struct {
	entry    int
	noticeAt time.Time
	target   Target
}

// modelCrash is a crash with the requests that were actually in flight.
type modelCrash struct {
	at      time.Time
	cause   Digest
	digests map[Digest]bool
}

const (
	modelTick = 100 * time.Millisecond
	// The sum of maxDown, maxDelay, the resend interval and a tick for each stays
	// below MaxOneWayDelay.
	maxDown      = 600 * time.Millisecond
	minUp        = 400 * time.Millisecond
	maxDelay     = 900 * time.Millisecond
	modelService = "plain"
	maxCrashIn   = time.Second
)

func newModel(seed uint64, entries, upstreams int) *model {
	m := &model{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), culprits: map[Digest]bool{},
		down: map[[2]int]time.Time{}, severed: -1, beginTime: modelTick, completed: map[Digest]bool{}, refused: map[Digest]int{}, soundRefused: map[Digest]bool{},
	}
	var ids []string
	for i := range upstreams {
		u := &modelUpstream{id: fmt.Sprintf("u%02d", i), incarnation: 1}
		m.upstreams, ids = append(m.upstreams, u), append(ids, u.id)
	}
	for i := range entries {
		m.names = append(m.names, fmt.Sprintf("e%d", i))
	}
	for i := range entries {
		tracker := New(Config{Self: m.names[i]})
		tracker.SetEntries(m.now, m.names)
		tracker.SetUpstreams(modelService, ids)
		m.trackers = append(m.trackers, tracker)
	}
	return m
}

func (m *model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.random.Int64N(int64(high-low)+1))
}

func (m *model) send(entry int, d Digest, cancelled bool, parts ...Digest) {
	r := &modelRequest{entry: entry, digest: d, parts: parts}
	if cancelled {
		r.cancelAt = m.now.Add(m.between(0, time.Second))
	}
	m.requests = append(m.requests, r)
}

// culprit returns the digest of the request or of the part that makes a request
// crash its upstream.
func (m *model) culprit(r *modelRequest) (Digest, bool) {
	for _, key := range keysOf(r.digest, r.parts) {
		if m.culprits[key] {
			return key, true
		}
	}
	return Digest{}, false
}

// broadcast sends messages to all other entries over links that are intermittently
// down.
func (m *model) broadcast(from int, msgs []Message) {
	for _, msg := range msgs {
		for to := range m.trackers {
			if to == from || to == m.severed || from == m.severed {
				continue
			}
			link := [2]int{from, to}
			if m.down[link].IsZero() || !m.now.Before(m.down[link].Add(maxDown+minUp)) {
				m.down[link] = m.now.Add(-m.between(0, maxDown))
			}
			if m.now.Before(m.down[link].Add(maxDown)) {
				continue
			}
			for range 1 + m.random.IntN(2) {
				m.messages = append(m.messages, modelMessage{to, m.now.Add(m.between(0, maxDelay)), msg})
			}
		}
	}
}

func (m *model) step() {
	m.now = m.now.Add(modelTick)
	m.runUpstreams()
	m.notices = slices.DeleteFunc(m.notices, func(n modelNotice) bool {
		if m.now.Before(n.noticeAt) {
			return false
		}
		m.broadcast(n.entry, m.trackers[n.entry].Crashed(m.now, n.target))
		return true
	})
	var due []modelMessage
	m.messages = slices.DeleteFunc(m.messages, func(mm modelMessage) bool {
		if m.now.Before(mm.deliverAt) {
			return false
		}
		due = append(due, mm)
		return true
	})
	m.random.Shuffle(len(due), func(i, j int) { due[i], due[j] = due[j], due[i] })
	for _, mm := range due {
		m.broadcast(mm.to, m.trackers[mm.to].Merge(m.now, mm.msg))
	}
	for i, tracker := range m.trackers {
		m.broadcast(i, tracker.Tick(m.now))
	}
	m.dispatch()
}

// runUpstreams restarts crashed upstreams and ends the requests that are due.
func (m *model) runUpstreams() {
	for _, u := range m.upstreams {
		if !u.backAt.IsZero() && !m.now.Before(u.backAt) {
			u.backAt = time.Time{}
			u.incarnation++
		}
		for _, r := range slices.Clone(u.running) {
			cause, crashes := m.culprit(r)
			if u.backAt.IsZero() && !r.done && !r.beginsAt.IsZero() && !m.now.Before(r.beginsAt) {
				m.broadcast(r.entry, m.trackers[r.entry].Progressed(m.now, r.run))
			}
			switch {
			case !u.backAt.IsZero():
			case !r.done && !r.cancelAt.IsZero() && !m.now.Before(r.cancelAt):
				r.done = true
				m.broadcast(r.entry, m.trackers[r.entry].Finish(m.now, r.run, Cancelled))
			case m.now.Before(r.endsAt):
			case crashes:
				m.crash(u, cause)
			default:
				u.running = slices.DeleteFunc(u.running, func(o *modelRequest) bool { return o == r })
				if !r.done {
					m.completed[r.digest] = true
					m.broadcast(r.entry, m.trackers[r.entry].Finish(m.now, r.run, Completed))
				}
				r.done = true
			}
		}
	}
}

func (m *model) crash(u *modelUpstream, cause Digest) {
	c := modelCrash{at: m.now, cause: cause, digests: map[Digest]bool{}}
	entries, cancelled := map[int]bool{}, map[int]bool{}
	for _, r := range u.running {
		c.digests[r.digest] = true
		if !r.done {
			entries[r.entry] = true
			if _, crashes := m.culprit(r); !crashes || m.random.IntN(2) == 0 {
				m.send(r.entry, r.digest, false, r.parts...) // the entry retries
			}
		}
		cancelled[r.entry] = cancelled[r.entry] || r.done
		r.done = true
	}
	m.crashes = append(m.crashes, c)
	target := Target{u.id, u.incarnation}
	for e := range m.trackers {
		if entries[e] {
			// The entry detects the crash before it retries.
			m.broadcast(e, m.trackers[e].Crashed(m.now, target))
		} else if cancelled[e] || m.random.IntN(3) == 0 {
			// The entry learns of the crash from membership.
			m.notices = append(m.notices, modelNotice{e, m.now.Add(m.between(0, time.Second)), target})
		}
	}
	u.running, u.backAt = nil, m.now.Add(m.between(200*time.Millisecond, 2*time.Second))
}

// dispatch starts the waiting requests that are admitted.
func (m *model) dispatch() {
	m.waiting = 0
	m.requests = slices.DeleteFunc(m.requests, func(r *modelRequest) bool {
		tracker := m.trackers[r.entry]
		decision := tracker.Admit(m.now, r.digest, r.parts...)
		if decision.Action == Refuse {
			m.refused[r.digest]++
			if _, crashes := m.culprit(r); !crashes {
				m.soundRefused[r.digest] = true
			}
			return true
		}
		m.waiting++
		if decision.Action == Wait {
			return false
		}
		isolated := tracker.Isolation(m.now, modelService, r.digest, r.parts...)
		for _, i := range m.random.Perm(len(m.upstreams)) {
			u := m.upstreams[i]
			if !u.backAt.IsZero() || (decision.Pin != "" && decision.Pin != u.id) ||
				(decision.Pin == "" && decision.Action == Isolate && !isolated(u.id)) {
				continue
			}
			m.nextRun++
			r.run, r.target = m.nextRun, Target{u.id, u.incarnation}
			if _, ok := tracker.Start(m.now, modelService, r.run, r.digest, r.target, r.parts...); !ok {
				return false
			}
			if decision.Action == Isolate {
				r.cancelAt = time.Time{}
			}
			r.endsAt = m.now.Add(m.between(modelTick, maxCrashIn))
			if _, crashes := m.culprit(r); crashes {
				m.starts = append(m.starts, m.now)
			} else {
				r.endsAt = m.now.Add(m.between(modelTick, 3*time.Second))
				if len(r.parts) > 0 {
					r.beginsAt = m.now.Add(m.beginTime)
				}
			}
			u.running = append(u.running, r)
			return true
		}
		return false
	})
}

// idle reports whether nothing is running, waiting or being delivered.
func (m *model) idle() bool {
	for _, u := range m.upstreams {
		if len(u.running) > 0 {
			return false
		}
	}
	return m.waiting+len(m.messages)+len(m.notices) == 0
}

// explains reports whether d is the only uncompleted request common to some two
// crashes.
func (m *model) explains(d Digest) bool {
	for i, a := range m.crashes {
		for _, b := range m.crashes[i+1:] {
			alone := a.digests[d] && b.digests[d]
			for other := range a.digests {
				if other != d && b.digests[other] && !m.completed[other] {
					alone = false
				}
			}
			if alone {
				return true
			}
		}
	}
	return false
}
